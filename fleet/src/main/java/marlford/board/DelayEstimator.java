package marlford.board;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the delay of messages from senders with other clocks: how much longer a message took than the fastest one
 * of the last minute. The delay of that fastest message is not visible, so a message may be older by as much. A slow
 * clock of the sender makes messages look later, by its drift over a minute at most; a fast one has no effect.
 *
 * <p>Limit: {@value #SENDERS_MAX} senders. Beyond it, senders that were silent for two minutes are dropped, and a
 * message of a further sender counts as infinitely late. Times in milliseconds. Not thread-safe.
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
