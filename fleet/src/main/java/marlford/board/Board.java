package marlford.board;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongPredicate;

/**
 * The leader's board. A row stands until one of a greater token, or a younger one of the same, replaces it, or it is
 * {@value #KEEP_MS} ms old. Ages only grow on the way: a row is told as old as it may be, never younger, but for the
 * shortest way from its finder to here ({@link DelayEstimator}).
 *
 * <p>Bounds: {@value #ROWS_MAX} rows and {@value #CHARS_MAX} characters, beyond which a new row is not taken and counted;
 * {@value #NOTICE_MAX} characters in one notice, the rest comes with the next. Milliseconds by one monotonic clock. Not
 * thread-safe.
 */
public final class Board {
    /** The longest value, in characters: a list of some six hundred hosts. */
    public static final int VALUE_MAX = 96 * 1024;

    static final int ROWS_MAX = 4096;
    static final int CHARS_MAX = 1 << 20;
    static final int NOTICE_MAX = 128 * 1024;
    static final double KEEP_MS = 30_000;
    private static final int NAME_MAX = 256;

    private record Entry(Row row, double foundAt) {}

    private final Map<RowKey, Long> places = new HashMap<>();
    private final TreeMap<Long, Entry> rows = new TreeMap<>(); // by the number of their change
    private final DelayEstimator lateness = new DelayEstimator();
    private long id;
    private long changes;
    private int chars;
    private long turnedAway;

    /** Begins anew, as another one. */
    public void begin(long id) {
        this.id = id;
        places.clear();
        rows.clear();
        chars = 0;
    }

    /**
     * Takes what a member tells and says what is new to it.
     *
     * @param sender the member's session
     * @param holds whether the member holds a token now; rows of others are not taken
     */
    public BoardChanges hear(long sender, BoardUpdate t, LongPredicate holds, double now) {
        double late = lateness.of(sender, t.at(), now);
        for (Row r : t.rows() == null ? List.<Row>of() : t.rows()) {
            if (!holds.test(r.token()) || !put(r, now - r.ageMs() - late, now)) {
                turnedAway++;
            }
        }
        return since(t.board() == id ? t.heard() : 0, now);
    }

    private boolean put(Row r, double foundAt, double now) {
        if (!fits(r) || !(now - foundAt < KEEP_MS)) {
            return false;
        }
        RowKey place = RowKey.of(r);
        Entry old = at(place);
        if (old != null
                && (r.token() < old.row().token() || r.token() == old.row().token() && foundAt <= old.foundAt())) {
            return false;
        }
        expire(now);
        Entry there = at(place); // the old one, if it has not expired
        int more = size(r) - (there == null ? 0 : size(there.row()));
        if (there == null && rows.size() >= ROWS_MAX || chars + more > CHARS_MAX) {
            return false;
        }
        chars += more;
        rows.put(++changes, new Entry(r, foundAt));
        Long before = places.put(place, changes);
        if (before != null) {
            rows.remove(before);
        }
        return true;
    }

    private Entry at(RowKey place) {
        Long change = places.get(place);
        return change == null ? null : rows.get(change);
    }

    private static boolean fits(Row r) {
        return r.topic() != null
                && r.key() != null
                && r.value() != null
                && r.ageMs() >= 0
                && r.value().length() <= VALUE_MAX
                && r.topic().length() <= NAME_MAX
                && r.key().length() <= NAME_MAX;
    }

    private static int size(Row r) {
        return r.topic().length() + r.key().length() + r.value().length();
    }

    private void expire(double now) {
        for (Iterator<Entry> i = rows.values().iterator(); i.hasNext(); ) {
            Entry e = i.next();
            if (now - e.foundAt() > KEEP_MS) {
                i.remove();
                places.remove(RowKey.of(e.row()));
                chars -= size(e.row());
            }
        }
    }

    private BoardChanges since(long heard, double now) {
        List<Row> news = new ArrayList<>();
        long upTo = changes;
        int told = 0;
        for (Map.Entry<Long, Entry> e : rows.tailMap(heard, false).entrySet()) {
            Row r = e.getValue().row();
            told += size(r);
            if (told > NOTICE_MAX && !news.isEmpty()) {
                upTo = e.getKey() - 1;
                break;
            }
            double age = now - e.getValue().foundAt();
            if (age <= KEEP_MS) {
                news.add(new Row(r.topic(), r.key(), r.token(), r.value(), age));
            }
        }
        return new BoardChanges(id, upTo, news);
    }

    /** How many rows stand, and how many were not taken: for operators. */
    public String text() {
        return "board=" + id + " rows=" + rows.size() + " chars=" + chars + " turned_away=" + turnedAway;
    }
}
