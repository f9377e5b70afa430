package marlford.board;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongPredicate;

/**
 * The leader's board: soft state that members report and that is passed on to all. A row is kept until it is replaced
 * by one with a greater token, or a younger one with the same token, or until it is {@value #KEEP_MS} ms old. The age
 * of a row is an upper bound and only grows on the way, except for the shortest network delay from its reporter
 * ({@link DelayEstimator}).
 *
 * <p>Limits: {@value #ROWS_MAX} rows and {@value #CHARS_MAX} characters, beyond which a new row is rejected and
 * counted; {@value #NOTICE_MAX} characters in one reply, the rest follows with the next. Times in milliseconds of one
 * monotonic clock. Not thread-safe.
 */
public final class Board {
    /** The maximum length of a value in characters: a list of some 600 hosts. */
    public static final int VALUE_MAX = 96 * 1024;

    static final int ROWS_MAX = 4096;
    static final int CHARS_MAX = 1 << 20;
    static final int NOTICE_MAX = 128 * 1024;
    static final double KEEP_MS = 30_000;
    private static final int NAME_MAX = 256;

    private record Entry(Row row, double foundAt) {}

    private final Map<RowKey, Long> places = new HashMap<>();
    private final TreeMap<Long, Entry> rows = new TreeMap<>(); // by position
    private final DelayEstimator lateness = new DelayEstimator();
    private long id;
    private long changes;
    private int chars;
    private long turnedAway;

    /** Starts an empty board with a new id. */
    public void begin(long id) {
        this.id = id;
        places.clear();
        rows.clear();
        chars = 0;
    }

    /**
     * Applies a member's update and returns the changes since its position.
     *
     * @param sender the member's session
     * @param holds whether the member holds a token; rows with other tokens are rejected
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

    /** Numbers of rows and of rejected rows, for the operators' page. */
    public String text() {
        return "board=" + id + " rows=" + rows.size() + " chars=" + chars + " turned_away=" + turnedAway;
    }
}
