package marlford.board;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A member's side of the board: rows still to be reported, and rows received. The age of a received row includes the
 * whole time since the request was sent, so a reply that was delayed by a suspended process or a slow link is old,
 * never too young.
 *
 * <p>Limits: {@value #TELL_MAX} characters in one update, the rest follows; {@value #HEARD_MAX} rows to report and as
 * many received, beyond which the oldest are dropped. Times in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class BoardClient {
    static final int TELL_MAX = 128 * 1024;
    static final int HEARD_MAX = Board.ROWS_MAX;

    /** A row, and the local time from which its age counts. */
    private record Dated(Row row, double at) {}

    private final Map<RowKey, Dated> toTell = new LinkedHashMap<>();
    private final Map<RowKey, Dated> heard = new LinkedHashMap<>(); // in order of arrival
    private final Map<RowKey, Dated> news = new LinkedHashMap<>();
    private List<Dated> told = List.of(); // with the update under way
    private long board;
    private long upTo;
    private boolean urgent;

    /**
     * Reports a row.
     *
     * @param foundAt local time at which the observation began
     * @param soon whether it should be sent before the next renewal is due
     */
    public void tell(String topic, String key, long token, String value, double foundAt, boolean soon) {
        toTell.put(new RowKey(topic, key), new Dated(new Row(topic, key, token, value, 0), foundAt));
        if (toTell.size() > HEARD_MAX) {
            toTell.remove(toTell.keySet().iterator().next());
        }
        urgent |= soon;
    }

    /** Whether an update should be sent at once. */
    public boolean isUrgent() {
        return urgent;
    }

    /** Whether no row of this token is still to be reported. */
    public boolean isTold(long token) {
        return toTell.values().stream().noneMatch(d -> d.row().token() == token);
    }

    /** The update to be sent now. */
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
     * The update was answered, so its rows have arrived.
     *
     * @param n null from an older voter without a board
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

    /** The rows of a topic received since the last call, with their present ages. */
    public List<Row> news(String topic, double now) {
        List<Row> rows = new ArrayList<>();
        news.values()
                .removeIf(d -> d.row().topic().equals(topic) && rows.add(d.row().aged(now - d.at())));
        return rows;
    }

    /** The latest row of a key, with its present age; null for none. */
    public Row row(String topic, String key, double now) {
        Dated d = heard.get(new RowKey(topic, key));
        return d == null ? null : d.row().aged(now - d.at());
    }

    /** The session has ended, and with it its tokens. */
    public void ended() {
        toTell.clear();
        told = List.of();
    }
}
