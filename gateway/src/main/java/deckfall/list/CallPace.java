package deckfall.list;

import java.util.Random;

/**
 * How often one gateway calls discovery, which serves the whole tier with a fixed capacity and turns calls away when its
 * line is long. Alone, a call at once after each answer and short patience are best; where all do it, each change makes
 * every gateway call again, the line grows, calls given up too early are still worked on, and nobody hears anything.
 *
 * <p>So the pace is of two kinds. While nobody is turned away, calls follow each other at once and a broken one is
 * made again soon. From the first refusal on each gateway slows down: the pace doubles with a refusal, up to
 * {@value #MOST_MS} ms, and shortens by three tenths with an answer, as congestion control does it; each wait is drawn
 * about the pace, or a tier that was turned away together would come back together. A call then waits longer for its
 * answer than the line may be, and a watch is held longer, since to renew it is a call as well.
 *
 * <p>Pure: no clock; the source of chance is the caller's. Not thread-safe; it belongs to one event loop.
 */
public final class CallPace {
    private static final double FIRST_MS = 500; // pace after a first refusal
    static final double MOST_MS = 4000; // news counts as told 6 s later, and a wait is up to half as long again
    private static final double LEAST_MS = 200; // below this a watch goes on without a break: no pace is needed
    private static final double FASTER = 0.7;
    private static final double SLOWER = 2;
    private static final long HOLD_MS = 5000; // short: what a call that went astray would have told comes soon
    private static final long HOLD_CROWDED_MS = 20_000;
    private static final long PATIENCE_MS = 1000; // beyond what a call may wait
    private static final long PATIENCE_CROWDED_MS = 6000; // three of discovery's own time limits
    private static final long AGAIN_MS = 50; // after a first broken call; a watch is over only after 200
    private static final long AGAIN_MAX_MS = 800; // each further one doubles the wait, up to this

    private final Random random;
    private double paceMs;
    private int broken;

    public CallPace(Random random) {
        this.random = random;
    }

    /** A call was answered with a word that counts; how long to wait before the next one, in milliseconds. */
    public long answered() {
        broken = 0;
        paceMs = paceMs * FASTER < LEAST_MS ? 0 : paceMs * FASTER;
        return drawn(paceMs);
    }

    /** A call was turned away; how long to wait before the next one, in milliseconds. */
    public long turnedAway() {
        paceMs = Math.min(MOST_MS, Math.max(FIRST_MS, paceMs * SLOWER));
        return drawn(paceMs);
    }

    /** A call broke or nobody answered; how long to wait before the next one, in milliseconds. */
    public long broke() {
        long wait = Math.min(AGAIN_MAX_MS, AGAIN_MS << Math.min(broken++, Long.SIZE / 4));
        return Math.max(wait / 2 + random.nextInt((int) wait / 2 + 1), drawn(paceMs));
    }

    /** Another address is called from here on. */
    public void moved() {
        broken = 0;
        paceMs = 0;
    }

    private long drawn(double ms) {
        return (long) (ms * (0.5 + random.nextDouble()));
    }

    /** Whether calls have been turned away lately. */
    public boolean crowded() {
        return paceMs > 0;
    }

    /** How long a watch may be held, in milliseconds. */
    public long holdMs() {
        return crowded() ? HOLD_CROWDED_MS : HOLD_MS;
    }

    /** How long beyond that an answer is waited for, in milliseconds. */
    public long patienceMs() {
        return crowded() ? PATIENCE_CROWDED_MS : PATIENCE_MS;
    }
}
