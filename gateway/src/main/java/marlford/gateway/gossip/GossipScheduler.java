package marlford.gateway.gossip;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * When a gateway of a large tier speaks to all others, and of whom. What changed goes first, longest waiting first; what
 * room is left repeats what was told lately, so that a lost message is made up for by one of the next.
 *
 * <p><b>Cost.</b> Each message reaches every other gateway, and each takes in only so many a second: the gap grows with
 * the tier, and what one gateway takes in does not. Gaps are drawn about their mean, or a tier that started together would
 * speak together for good and pass every receiver's limit at once.
 *
 * <p>Pure: every call brings its time, in milliseconds; the source of chance is the caller's. Bound: {@code most}
 * customers wait or are repeated; beyond it the one that has waited longest is left out, and is told when it changes
 * again. Not thread-safe; it belongs to one event loop.
 */
public final class GossipScheduler {
    private static final int REPEATS = 3; // at one loss in ten, one change in ten thousand is not heard
    private static final double JITTER = 0.25; // of the gap, to both sides

    private static final double IDLE_MS = 1000; // beyond the gap

    private final double gapMs;
    private final int most;
    private final Random random;
    private final LinkedHashSet<Long> changed = new LinkedHashSet<>();
    private final LinkedHashMap<Long, Integer> again = new LinkedHashMap<>();
    private double dueAt;

    /**
     * @param gapMs mean time between messages, in milliseconds; above 0
     * @param most customers that may wait, at least 1
     */
    public GossipScheduler(double now, double gapMs, int most, Random random) {
        this.gapMs = gapMs;
        this.most = most;
        this.random = random;
        dueAt = now + gapMs * random.nextDouble();
    }

    /** The mean time between messages, in milliseconds. */
    public double gapMs() {
        return gapMs;
    }

    /** There is something new to tell of this customer. */
    public void changed(long customer) {
        again.remove(customer);
        if (changed.add(customer) && changed.size() > most) {
            dropFirst(changed.iterator());
        }
    }

    private static void dropFirst(Iterator<?> all) {
        all.next();
        all.remove();
    }

    /**
     * Whether a message is to leave now: with nothing to tell one does so now and then, since who is silent is taken for
     * one that is gone.
     *
     * @param more whether there is something to tell beside customers
     */
    public boolean due(double now, boolean more) {
        boolean nothing = changed.isEmpty() && again.isEmpty() && !more;
        return now >= (nothing ? dueAt + IDLE_MS : dueAt);
    }

    /** The customers of the message that leaves now. */
    public List<Long> next(double now, int room) {
        dueAt = now + gapMs * (1 - JITTER + 2 * JITTER * random.nextDouble());
        List<Long> told = new ArrayList<>(room);
        for (Iterator<Long> it = changed.iterator(); it.hasNext() && told.size() < room; it.remove()) {
            told.add(it.next());
        }
        int fresh = told.size();
        List<Map.Entry<Long, Integer>> left = new ArrayList<>();
        Iterator<Map.Entry<Long, Integer>> it = again.entrySet().iterator();
        while (it.hasNext() && told.size() < room) {
            Map.Entry<Long, Integer> next = it.next();
            told.add(next.getKey());
            left.add(Map.entry(next.getKey(), next.getValue() - 1));
            it.remove();
        }
        left.stream().filter(e -> e.getValue() > 0).forEach(e -> again.put(e.getKey(), e.getValue()));
        told.subList(0, fresh).forEach(id -> again.put(id, REPEATS));
        while (again.size() > most) {
            dropFirst(again.keySet().iterator());
        }
        return told;
    }
}
