package marlford.board;

import java.util.HashMap;
import java.util.Map;

/**
 * How late a message comes, of senders whose clocks are not this one: by how much more than the least of the last minute
 * it took. That least one's own way is not seen, so a message may be older by as much as the shortest way there. A clock
 * that runs slow makes messages look later than they are, by its error over a minute at most; a fast one does no harm.
 *
 * <p>Bound: {@value #SENDERS_MAX} senders, beyond which those that were silent for two minutes are forgotten, and a message
 * of one more counts as later than anything. Milliseconds. Not thread-safe.
 */
final class DelayEstimator {
    static final int SENDERS_MAX = 4000;
    private static final double SPAN_MS = 30_000; // two of them make the minute

    private static final class Least {
        double now = Double.POSITIVE_INFINITY;
        double before = Double.POSITIVE_INFINITY;
        double since;
        double seen;
    }

    private final Map<Long, Least> senders = new HashMap<>();

    /** @param sentAt by the sender's clock, {@code now} by this one's */
    double of(long sender, double sentAt, double now) {
        if (!senders.containsKey(sender) && senders.size() >= SENDERS_MAX) {
            senders.values().removeIf(l -> now - l.seen > 4 * SPAN_MS);
            if (senders.size() >= SENDERS_MAX) {
                return Double.POSITIVE_INFINITY;
            }
        }
        Least l = senders.computeIfAbsent(sender, s -> new Least());
        if (now - l.since > SPAN_MS) {
            l.before = now - l.since > 2 * SPAN_MS ? Double.POSITIVE_INFINITY : l.now;
            l.now = Double.POSITIVE_INFINITY;
            l.since = now;
        }
        l.seen = now;
        l.now = Math.min(l.now, now - sentAt);
        return now - sentAt - Math.min(l.now, l.before);
    }
}
