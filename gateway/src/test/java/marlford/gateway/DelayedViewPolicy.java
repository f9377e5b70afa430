package marlford.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * A reference policy for a whole tier: whichever gateway a request uses, it sees each token bucket's true state as of
 * {@value #VIEW_DELAY_MS} ms ago. No exchange of messages can do much better, so quota overruns are compared with it.
 */
public final class DelayedViewPolicy {
    static final double VIEW_DELAY_MS = 100; // transit of two messages, one in ten of which is lost

    /** The level of a token bucket at a time. */
    private record Level(double at, double level) { }

    private final Map<Object, ArrayDeque<Level>> history = new HashMap<>();
    private final Map<Object, double[]> buckets = new HashMap<>(); // level, and its time
    private double overrunUnits;
    private double admittedUnits;

    /** Decides on a request of a customer whose token bucket fills by {@code rate} units a second up to {@code burst}. */
    public void request(Object customer, double rate, double burst, double units, double now) {
        double[] bucket = buckets.computeIfAbsent(customer, k -> new double[] {burst, now});
        bucket[0] = Math.min(burst, bucket[0] + (now - bucket[1]) / 1000 * rate);
        bucket[1] = now;
        ArrayDeque<Level> levels = history.computeIfAbsent(customer, k -> new ArrayDeque<>());
        while (levels.size() > 1 && second(levels).at() <= now - VIEW_DELAY_MS) {
            levels.poll();
        }
        boolean hasDelayedView = !levels.isEmpty() && levels.peek().at() <= now - VIEW_DELAY_MS;
        double level = hasDelayedView
                ? Math.min(burst, levels.peek().level() + (now - VIEW_DELAY_MS - levels.peek().at()) / 1000 * rate) : burst;
        if (level >= units) {
            admittedUnits += units;
            if (bucket[0] < units) {
                overrunUnits += units;
            } else {
                bucket[0] -= units;
            }
            levels.add(new Level(now, bucket[0]));
        }
    }

    private static Level second(ArrayDeque<Level> levels) {
        Iterator<Level> it = levels.iterator();
        it.next();
        return it.next();
    }

    /** The share of all admitted units that exceeded quotas. */
    public double overrunShare() {
        return overrunUnits / Math.max(1, admittedUnits);
    }

    /** Resets the counts, but not the token buckets. */
    public void resetCounts() {
        overrunUnits = admittedUnits = 0;
    }
}
