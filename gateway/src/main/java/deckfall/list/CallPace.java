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
    private static final long PATIENCE_LEAST_MS = 200; // an agent on the own machine answers at once, a late loop apart
    private static final long AGAIN_MS = 50; // after a first broken call; a watch is over only after 200
    private static final long AGAIN_MAX_MS = 800; // each further one doubles the wait, up to this
    private static final double AGAIN_SHARE = 0.2; // of a drain's grace: the same where that is short
    private static final double ANSWER_SHARE = 0.5; // of a drain's grace: how long an agent that is called may be silent
    static final long SILENT_MS = 2000; // by the platform's word: a watch's news counts as told so long after its hold
    static final long CONNECT_MAX_MS = 1000; // for a connection to an agent
    static final long ANSWER_MS = 500; // for a list once the connection stands

    private final Random random;
    private final long againMaxMs;
    private final long answerMs; // for an answer that need not wait for news
    private final long crowdedWatchMs;
    private double paceMs;
    private int broken;

    /**
     * @param graceMs of a drain, by the settings: how long after its word a host may still be sent to; 0 or more
     * @param pushed whether the agent is told by itself, and answers at once and at no cost; else it is one service for
     *     the whole tier, which short waits of all would only make later
     */
    public CallPace(Random random, double graceMs, boolean pushed) {
        this.random = random;
        this.againMaxMs = pushed ? (long) Math.min(AGAIN_MAX_MS, Math.max(AGAIN_MS, AGAIN_SHARE * graceMs)) : AGAIN_MAX_MS;
        this.answerMs = pushed ? (long) Math.min(PATIENCE_MS, Math.max(PATIENCE_LEAST_MS, ANSWER_SHARE * graceMs)) : PATIENCE_MS;
        this.crowdedWatchMs = (long) Math.max(PATIENCE_LEAST_MS, Math.min(PATIENCE_CROWDED_MS,
                SILENT_MS + graceMs - CONNECT_MAX_MS - ANSWER_MS - AGAIN_MS));
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
        long wait = Math.min(againMaxMs, AGAIN_MS << Math.min(broken++, Long.SIZE / 4));
        return Math.max(wait / 2 + random.nextInt((int) wait / 2 + 1), drawn(paceMs));
    }

    /**
     * A watch got no answer within its time; how long to wait before the next call, in milliseconds. It was not turned
     * away, and what it missed counts as told soon, so the pace of a crowd does not hold it back.
     */
    public long fellSilent() {
        broken++;
        return AGAIN_MS / 2 + random.nextInt((int) AGAIN_MS / 2 + 1);
    }

    /** How long a connection to an agent may take to come up, in milliseconds. */
    public long connectMs() {
        return Math.min(CONNECT_MAX_MS, answerMs);
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

    /**
     * How long an answer is waited for beyond what the call may be held, in milliseconds.
     *
     * @param watch whether it may be held at all; what such a call misses is to be had before it counts as told
     */
    public long patienceMs(boolean watch) {
        if (watch) {
            return crowded() ? crowdedWatchMs : PATIENCE_MS;
        }
        return crowded() ? PATIENCE_CROWDED_MS : answerMs;
    }
}
