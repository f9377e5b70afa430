package marlford.register;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * An upper bound of the age of a log entry, by the local clock alone. A confirmed read that was <em>requested</em> at
 * time t and saw the log up to index i proves that every later entry was committed after t, and so was everything
 * that followed from it. Every renewal of a session is such a read. No other clock is involved; a delayed read makes
 * entries look older, never younger.
 *
 * <p>Limit: {@value #LOOKS_MAX} reads. The oldest are dropped, after which entries before all remaining reads have an
 * unknown (infinite) age; so have all entries from before the start of the process. Times in milliseconds of one
 * monotonic clock. Not thread-safe.
 */
public final class StalenessBound {
    static final int LOOKS_MAX = 1024;

    private record Look(double askedAt, long index) {}

    private final ArrayDeque<Look> looks = new ArrayDeque<>(); // oldest first; both components grow

    /** Records a confirmed read, requested at this time, that saw the log up to this index. */
    public void saw(double askedAt, long index) {
        Look last = looks.peekLast();
        if (last != null && (askedAt < last.askedAt() || index < last.index())) {
            return; // out of order: a later read has proved as much
        }
        if (last != null && last.index() == index) {
            looks.pollLast(); // a later read of the same index is a tighter bound
        }
        looks.addLast(new Look(askedAt, index));
        if (looks.size() > LOOKS_MAX) {
            looks.pollFirst();
        }
    }

    /** The maximum time since an entry of this index was committed; infinite if unknown. */
    public double most(long index, double now) {
        for (Iterator<Look> i = looks.descendingIterator(); i.hasNext(); ) {
            Look l = i.next();
            if (l.index() < index) {
                return now - l.askedAt();
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
