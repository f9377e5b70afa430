package marlford.gateway.list;

import java.util.Random;

/**
 * How often one gateway calls discovery, which serves the whole tier with a fixed capacity and turns calls away when its
 * line is long. Alone, a call at once after each answer and short patience are best; where all do it, each change makes
 * every gateway call again, the line grows, calls given up too early are still worked on, and nobody hears anything.
 *
 * <p>So the pace is of two kinds. While nobody is turned away, calls follow each other at once and a broken one is
 * made again soon. From the first refusal on each gateway slows down: the pace doubles with a refusal, up to
 * {@value #MOST_MS} ms, and shortens by three tenths with an answer, as congestion control does it; each wait is drawn
 * about the pace, or a tier that was turned away together would come back together.
 *
 * <p><b>The deadline.</b> A change counts as known {@value #TOLD_MS} ms after discovery had it and could be reached,
 * whatever happened to the calls before. The last moment at which this gateway can have missed nothing is the start of
 * its last call, or an answer to it. So a call that follows begins at most {@value #DUE_MS} ms after that moment, which
 * leaves the rest for the call itself: no wait, no pause for a turn and no silent watch lasts longer.
 *
 * <p>Pure: every method brings its time, in milliseconds; the source of chance is the caller's. Not thread-safe; it
 * belongs to one event loop.
 */
public final class PollingBackoff {
    static final long TOLD_MS = 6000; // the platform's own limit
    static final long CONNECT_MAX_MS = 1000; // for a connection to an agent
    static final long ANSWER_MS = 500; // for a list once the connection stands
    static final long DUE_MS = TOLD_MS - CONNECT_MAX_MS - ANSWER_MS; // from the last call's start to the next one
    private static final long AGAIN_MS = 50; // after a first broken call; a watch is over only after 200
    /** How long after its call a watch is given up where nothing went before it, in milliseconds. */
    public static final long WATCH_MS = DUE_MS - AGAIN_MS;
    static final long LATEST_MS = 25; // the least wait of all, where a call itself took up the time
    static final double MOST_MS = 3000; // a wait is drawn up to half as long again
    private static final double FIRST_MS = 500; // pace after a first refusal
    private static final double LEAST_MS = 200; // below this a watch goes on without a break: no pace is needed
    private static final double FASTER = 0.7;
    private static final double SLOWER = 2;
    private static final long WATCH_PATIENCE_MS = 450; // beyond what a watch may be held
    private static final long WATCH_PATIENCE_CROWDED_MS = 1450;
    private static final long PATIENCE_MS = 1000; // for an answer that need not wait for news
    private static final long PATIENCE_CROWDED_MS = 3000; // discovery's line lasts two seconds
    private static final long PATIENCE_LEAST_MS = 200; // an agent on the own machine answers at once, a late loop apart
    private static final long AGAIN_MAX_MS = 800; // each further one doubles the wait, up to this
    private static final double AGAIN_SHARE = 0.2; // of a drain's grace: the same where that is short
    private static final double ANSWER_SHARE = 0.5; // of a drain's grace: how long an agent that is called may be silent

    private final Random random;
    private final long againMaxMs;
    private final long answerMs;
    private double paceMs;
    private int broken;
    private int unusable; // answers in a row of which nothing could be taken
    private double upToDateAt; // nothing that discovery had by then was missed

    /**
     * @param graceMs of a drain, by the settings: how long after its word a host may still be sent to; 0 or more
     * @param pushed whether the agent is told by itself, and answers at once and at no cost; else it is one service for
     *     the whole tier, which short waits of all would only make later
     */
    public PollingBackoff(Random random, double graceMs, boolean pushed) {
        this.random = random;
        this.againMaxMs = pushed ? (long) Math.min(AGAIN_MAX_MS, Math.max(AGAIN_MS, AGAIN_SHARE * graceMs)) : AGAIN_MAX_MS;
        this.answerMs = pushed ? (long) Math.min(PATIENCE_MS, Math.max(PATIENCE_LEAST_MS, ANSWER_SHARE * graceMs)) : PATIENCE_MS;
    }

    /** A connection to an agent is asked for, and on it a call. */
    public void called(double now) {
        upToDateAt = now;
    }

    /** A call was answered with a word that counts; how long to wait before the next one, in milliseconds. */
    public long answered(double now) {
        broken = 0;
        unusable = 0;
        upToDateAt = now;
        paceMs = paceMs * FASTER < LEAST_MS ? 0 : paceMs * FASTER;
        return drawn(paceMs);
    }

    /** A call was turned away; how long to wait before the next one, in milliseconds. */
    public long turnedAway(double now) {
        upToDateAt = now; // whoever is turned away could not reach discovery until then
        paceMs = Math.min(MOST_MS, Math.max(FIRST_MS, paceMs * SLOWER));
        return drawn(paceMs);
    }

    /** A call broke or nobody answered; how long to wait before the next one, in milliseconds. */
    public long broke(double now) {
        long wait = Math.min(againMaxMs, AGAIN_MS << Math.min(broken++, Long.SIZE / 4));
        return due(now, Math.max(upperHalf(wait), drawn(paceMs)));
    }

    /**
     * An answer came that can't be used at all. To read it again is work for nothing, so further calls come ever later;
     * how long to wait before the next one, in milliseconds.
     */
    public long unusable(double now) {
        long wait = Math.min(DUE_MS, AGAIN_MS << Math.min(unusable++, Long.SIZE / 4));
        return due(now, Math.max(upperHalf(wait), drawn(paceMs)));
    }

    /** The list is longer than this process can hold, and hardly shorter soon; how long to wait, in milliseconds. */
    public long tooLong(double now) {
        return due(now, upperHalf(DUE_MS));
    }

    /**
     * A watch got no answer within its time; how long to wait before the next call, in milliseconds. It was not turned
     * away, and what it missed counts as told soon, so the pace of a crowd does not hold it back.
     */
    public long fellSilent() {
        broken++;
        return upperHalf(AGAIN_MS);
    }

    /** How long others may have their turn before this gateway calls by itself, in milliseconds. */
    public long turnMs(double now) {
        return due(now, DUE_MS);
    }

    /** How long a connection to an agent may take to come up, in milliseconds. */
    public long connectMs() {
        return Math.min(CONNECT_MAX_MS, answerMs);
    }

    /** Another address is called from here on. */
    public void moved() {
        broken = 0;
        unusable = 0;
        paceMs = 0;
    }

    /** Whether calls have been turned away lately. */
    public boolean crowded() {
        return paceMs > 0;
    }

    /** How long after its call a watch that is opened now is given up, in milliseconds. */
    public long watchMs(double now) {
        return Math.max(PATIENCE_LEAST_MS, due(now, DUE_MS) - AGAIN_MS);
    }

    /** How long discovery may hold a watch that is given up after {@code watchMs}, in milliseconds. */
    public long holdMs(long watchMs) {
        return Math.max(0, watchMs - (crowded() ? WATCH_PATIENCE_CROWDED_MS : WATCH_PATIENCE_MS));
    }

    /** How long the answer to a call for the whole list may be silent, in milliseconds. */
    public long patienceMs() {
        return crowded() ? PATIENCE_CROWDED_MS : answerMs;
    }

    /** By when the next call has to begin, even where an answer to the last one is still coming in. */
    public double nextCallBy() {
        return upToDateAt + DUE_MS;
    }

    /** So much of a wait as leaves the time for a call ahead of the deadline. */
    private long due(double now, long wait) {
        return Math.max(LATEST_MS, (long) Math.min(wait, nextCallBy() - now));
    }

    private long upperHalf(long wait) {
        return wait / 2 + random.nextInt((int) wait / 2 + 1);
    }

    private long drawn(double ms) {
        return (long) (ms * (0.5 + random.nextDouble()));
    }
}
