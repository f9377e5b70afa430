package marlford.board;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A member's side of the board: what it found out and has not got rid of yet, and what it heard. What is heard is as old as
 * it was there and the whole time since it was asked for, so a reply that stood in a stopped process or a slow link is old.
 *
 * <p>Bounds: {@value #TELL_MAX} characters told at once, the rest follows; {@value #HEARD_MAX} rows to tell and as many heard,
 * beyond which the oldest are forgotten. Milliseconds by one monotonic clock. Not thread-safe.
 */
public final class BoardClient {
    static final int TELL_MAX = 128 * 1024;
    static final int HEARD_MAX = Board.ROWS_MAX;

    /** A row that was found out or heard at this time by the own clock, at the latest, if it had no age then. */
    private record Dated(Row row, double at) {}

    private final Map<RowKey, Dated> toTell = new LinkedHashMap<>();
    private final Map<RowKey, Dated> heard = new LinkedHashMap<>(); // those heard last stand last
    private final Map<RowKey, Dated> news = new LinkedHashMap<>();
    private List<Dated> told = List.of(); // with the telling that is under way
    private long board;
    private long upTo;
    private boolean urgent;

    /**
     * Has something to tell.
     *
     * @param foundAt when it began to be found out, by the own clock
     * @param soon whether it should not wait for the next renewal
     */
    public void tell(String topic, String key, long token, String value, double foundAt, boolean soon) {
        toTell.put(new RowKey(topic, key), new Dated(new Row(topic, key, token, value, 0), foundAt));
        if (toTell.size() > HEARD_MAX) {
            toTell.remove(toTell.keySet().iterator().next());
        }
        urgent |= soon;
    }

    /** Whether something is not to wait. */
    public boolean isUrgent() {
        return urgent;
    }

    /** Whether all that was found out under this token was told, or can't be any more. */
    public boolean isTold(long token) {
        return toTell.values().stream().noneMatch(d -> d.row().token() == token);
    }

    /** What goes with a message that leaves now. */
    public BoardUpdate telling(double now) {
        List<Row> rows = new ArrayList<>();
        List<Dated> with = new ArrayList<>();
        int chars = 0;
        for (Dated d : toTell.values()) {
            chars += d.row().value().length();
            if (chars > TELL_MAX && !with.isEmpty()) {
                break;
            }
            with.add(d);
            rows.add(d.row().aged(now - d.at()));
        }
        told = with;
        urgent = false;
        return new BoardUpdate(now, board, upTo, rows);
    }

    /**
     * The message was answered: what went with it has arrived.
     *
     * @param n null from a voter that keeps no board, as older ones do
     */
    public void heard(BoardChanges n, double askedAt) {
        toTell.values().removeAll(told);
        told = List.of();
        if (n == null) {
            return;
        }
        board = n.board();
        upTo = n.upTo();
        for (Row r : n.rows()) {
            RowKey place = RowKey.of(r);
            Dated d = new Dated(r, askedAt);
            heard.remove(place);
            heard.put(place, d);
            news.put(place, d);
        }
        while (heard.size() > HEARD_MAX) {
            RowKey oldest = heard.keySet().iterator().next();
            heard.remove(oldest);
            news.remove(oldest);
        }
    }

    /** What was heard of this topic since this was asked last, with its age of now. */
    public List<Row> news(String topic, double now) {
        List<Row> rows = new ArrayList<>();
        news.values()
                .removeIf(d -> d.row().topic().equals(topic) && rows.add(d.row().aged(now - d.at())));
        return rows;
    }

    /** The row of this key that was heard last, with its age of now; null where none was. */
    public Row row(String topic, String key, double now) {
        Dated d = heard.get(new RowKey(topic, key));
        return d == null ? null : d.row().aged(now - d.at());
    }

    /** The session is over: its tokens are worth nothing. */
    public void ended() {
        toTell.clear();
        told = List.of();
    }
}
