package marlford.register;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * How old a line of the log is at most, by one's own clock alone. A confirmed look at the log that was <em>asked for</em> at a
 * time t and saw it up to index i proves that any later line was agreed after t: what went out after that line did so after t,
 * too. Every renewal is such a look. No clock of another process is read, and no message's time is guessed; a look that was
 * long on its way makes lines older, never younger.
 *
 * <p>Bound: {@value #LOOKS_MAX} looks; the oldest are forgotten, and what they proved with them: a line before all of them has
 * any age. A new process knows no look, so it finds all that was there before it too old. Milliseconds by one monotonic
 * clock. Not thread-safe.
 */
public final class StalenessBound {
    static final int LOOKS_MAX = 1024;

    private record Look(double askedAt, long index) {}

    private final ArrayDeque<Look> looks = new ArrayDeque<>(); // oldest first; both figures grow

    /** A confirmed look that was asked for then saw the log up to this index. */
    public void saw(double askedAt, long index) {
        Look last = looks.peekLast();
        if (last != null && (askedAt < last.askedAt() || index < last.index())) {
            return; // its reply was overtaken: a later look has proved as much
        }
        if (last != null && last.index() == index) {
            looks.pollLast(); // asked for later, with nothing new: that proves more of what follows
        }
        looks.addLast(new Look(askedAt, index));
        if (looks.size() > LOOKS_MAX) {
            looks.pollFirst();
        }
    }

    /** For how long, at most, a line of this index may have been agreed; infinite where that is not known. */
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
