package marlford.gateway.gossip;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Decides when a gateway of a large tier sends a usage message to all others, and which customers it reports. Customers
 * that changed come first, longest waiting first; the remaining room repeats recent reports, so that one of the next
 * messages makes up for a lost one.
 *
 * <p><b>Cost.</b> Each message goes to every other gateway, and each gateway accepts only a limited number per second. The
 * interval between messages therefore grows with the tier, while the number that one gateway receives stays the same.
 * Intervals are drawn at random around their mean: gateways that started together would otherwise keep sending at the same
 * moments and exceed every receiver's limit.
 *
 * <p>Pure: the caller passes the time, in milliseconds, to every call, and provides the random source. Memory: at most
 * {@code maxCustomers} customers wait, and as many are repeated; above that the one that has waited longest is dropped and
 * is reported when it changes again. Not thread-safe: used on one event loop only.
 */
public final class GossipScheduler {
    private static final int REPEATS_PER_CHANGE = 3; // with 10 % loss one change in 10 000 is lost in all its copies
    private static final double INTERVAL_JITTER_SHARE = 0.25; // of the mean interval, in both directions

    private static final double IDLE_EXTRA_INTERVAL_MS = 1000; // added to the interval while there is nothing to report

    private final double meanIntervalMs;
    private final int maxCustomers;
    private final Random random;
    private final LinkedHashSet<Long> changed = new LinkedHashSet<>();
    private final LinkedHashMap<Long, Integer> repeatsLeft = new LinkedHashMap<>();
    private double nextMessageMs;

    /**
     * @param meanIntervalMs mean time between messages, in milliseconds; above 0
     * @param maxCustomers upper limit of customers that wait; at least 1
     */
    public GossipScheduler(double now, double meanIntervalMs, int maxCustomers, Random random) {
        this.meanIntervalMs = meanIntervalMs;
        this.maxCustomers = maxCustomers;
        this.random = random;
        nextMessageMs = now + meanIntervalMs * random.nextDouble();
    }

    /** The mean time between messages, in milliseconds. */
    public double meanIntervalMs() {
        return meanIntervalMs;
    }

    /** Records that there is something new to report on this customer. */
    public void customerChanged(long customer) {
        repeatsLeft.remove(customer);
        if (changed.add(customer) && changed.size() > maxCustomers) {
            dropFirst(changed.iterator());
        }
    }

    private static void dropFirst(Iterator<?> all) {
        all.next();
        all.remove();
    }

    /**
     * Whether a message has to be sent now. A gateway with nothing to report still sends one from time to time, since peers
     * take a silent gateway for dead.
     *
     * @param moreContent whether there is something to report other than customers
     */
    public boolean isDue(double now, boolean moreContent) {
        boolean nothingToReport = changed.isEmpty() && repeatsLeft.isEmpty() && !moreContent;
        return now >= (nothingToReport ? nextMessageMs + IDLE_EXTRA_INTERVAL_MS : nextMessageMs);
    }

    /** The customers to report in the message that is sent now, at most {@code maxEntries}; schedules the next message. */
    public List<Long> nextCustomers(double now, int maxEntries) {
        nextMessageMs = now + meanIntervalMs * (1 - INTERVAL_JITTER_SHARE + 2 * INTERVAL_JITTER_SHARE * random.nextDouble());
        List<Long> reported = new ArrayList<>(maxEntries);
        for (Iterator<Long> it = changed.iterator(); it.hasNext() && reported.size() < maxEntries; it.remove()) {
            reported.add(it.next());
        }
        int changedCount = reported.size();
        List<Map.Entry<Long, Integer>> repeated = new ArrayList<>();
        Iterator<Map.Entry<Long, Integer>> it = repeatsLeft.entrySet().iterator();
        while (it.hasNext() && reported.size() < maxEntries) {
            Map.Entry<Long, Integer> next = it.next();
            reported.add(next.getKey());
            repeated.add(Map.entry(next.getKey(), next.getValue() - 1));
            it.remove();
        }
        repeated.stream().filter(e -> e.getValue() > 0).forEach(e -> repeatsLeft.put(e.getKey(), e.getValue()));
        reported.subList(0, changedCount).forEach(id -> repeatsLeft.put(id, REPEATS_PER_CHANGE));
        while (repeatsLeft.size() > maxCustomers) {
            dropFirst(repeatsLeft.keySet().iterator());
        }
        return reported;
    }
}
