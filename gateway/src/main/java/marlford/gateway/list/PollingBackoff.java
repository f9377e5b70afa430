package marlford.gateway.list;

import java.util.Random;

/**
 * Decides when one gateway calls discovery, a service of fixed capacity for the whole tier that rejects calls while its
 * queue is long. For a gateway that calls alone it is best to call again immediately after each answer and to time out
 * early. If all gateways do so, each change makes all of them call again, the queue grows, discovery still works on calls
 * that have timed out, and no gateway gets an answer.
 *
 * <p>Therefore there are two modes. While no call is rejected, calls follow each other immediately and a failed one is
 * repeated soon. From the first rejection on the gateway throttles itself: the mean wait doubles with each rejection, up to
 * {@value #MAX_MEAN_WAIT_MS} ms, and shrinks by three tenths with each answer, as in congestion control. Each wait is
 * drawn at random around the mean, since gateways that were rejected together would otherwise return together.
 *
 * <p><b>The deadline.</b> A gateway has to know a change {@value #CHANGE_KNOWN_MS} ms after discovery had it and was
 * reachable, whatever happened to earlier calls. The latest moment up to which this gateway can't have missed a change is
 * the start of its last call, or an answer to it. The next call therefore begins at most {@value #MAX_CALL_GAP_MS} ms after
 * that moment, which leaves the rest for the call itself: no backoff, no wait for a shared fetch and no unanswered long poll
 * lasts longer.
 *
 * <p>A long poll is a call that discovery may hold until there is a change.
 *
 * <p>Pure: the caller passes the time, in milliseconds, to every method, and provides the random source. Not thread-safe:
 * used on one event loop only.
 */
public final class PollingBackoff {
    static final long CHANGE_KNOWN_MS = 6000; // required by the platform
    static final long MAX_CONNECT_MS = 1000; // timeout of a connection to an agent
    static final long LIST_ANSWER_MS = 500; // allowance for the answer with a list on an open connection
    static final long MAX_CALL_GAP_MS = CHANGE_KNOWN_MS - MAX_CONNECT_MS - LIST_ANSWER_MS; // from one call's start to the next
    private static final long FIRST_RETRY_MS = 50; // wait after the first of several failed calls; a long poll lasts at least 200
    /** Timeout of a long poll that has no earlier call to count from, in milliseconds after its start. */
    public static final long DEFAULT_LONG_POLL_TIMEOUT_MS = MAX_CALL_GAP_MS - FIRST_RETRY_MS;
    static final long MIN_WAIT_MS = 25; // shortest wait before a call that is already due
    static final double MAX_MEAN_WAIT_MS = 3000; // a drawn wait may be half as long again
    private static final double FIRST_REJECTION_MEAN_WAIT_MS = 500;
    private static final double MIN_MEAN_WAIT_MS = 200; // below it calls follow each other without a wait
    private static final double ANSWER_WAIT_FACTOR = 0.7;
    private static final double REJECTION_WAIT_FACTOR = 2;
    private static final long LONG_POLL_MARGIN_MS = 450; // from the end of discovery's hold to the timeout
    private static final long THROTTLED_LONG_POLL_MARGIN_MS = 1450;
    private static final long ANSWER_TIMEOUT_MS = 1000; // for an answer that does not wait for a change
    private static final long THROTTLED_ANSWER_TIMEOUT_MS = 3000; // a call may spend two seconds in discovery's queue
    private static final long MIN_ANSWER_TIMEOUT_MS = 200; // a local agent answers at once, but this event loop may be late
    private static final long MAX_RETRY_MS = 800; // each further failure doubles the wait, up to this
    private static final double RETRY_GRACE_SHARE = 0.2; // upper limit of the retry wait, as a share of a short drain grace
    private static final double TIMEOUT_GRACE_SHARE = 0.5; // upper limit of the answer timeout, as a share of the drain grace

    private final Random random;
    private final long maxRetryMs;
    private final long answerTimeoutMs;
    private double meanWaitMs;
    private int failures; // in a row
    private int unusableAnswers; // in a row
    private double upToDateAtMs; // no change that discovery had by this time was missed

    /**
     * @param graceMs the drain grace of the settings, in milliseconds: how long after the report of its drain a host may
     *     still be sent requests; 0 or more
     * @param pushed whether the agent receives changes by itself, and so answers at once and at no cost; otherwise it is one
     *     service for the whole tier, which shorter waits of all gateways would only slow down
     */
    public PollingBackoff(Random random, double graceMs, boolean pushed) {
        this.random = random;
        this.maxRetryMs = pushed ? (long) Math.min(MAX_RETRY_MS, Math.max(FIRST_RETRY_MS, RETRY_GRACE_SHARE * graceMs)) : MAX_RETRY_MS;
        this.answerTimeoutMs = pushed
                ? (long) Math.min(ANSWER_TIMEOUT_MS, Math.max(MIN_ANSWER_TIMEOUT_MS, TIMEOUT_GRACE_SHARE * graceMs))
                : ANSWER_TIMEOUT_MS;
    }

    /** Records that a connection to an agent is being opened for a call. */
    public void callStarted(double now) {
        upToDateAtMs = now;
    }

    /** Records that a call was answered with an accepted update; returns the wait before the next call, in milliseconds. */
    public long waitAfterAnswer(double now) {
        failures = 0;
        unusableAnswers = 0;
        upToDateAtMs = now;
        meanWaitMs = meanWaitMs * ANSWER_WAIT_FACTOR < MIN_MEAN_WAIT_MS ? 0 : meanWaitMs * ANSWER_WAIT_FACTOR;
        return randomized(meanWaitMs);
    }

    /** Records that a call was rejected under load; returns the wait before the next call, in milliseconds. */
    public long waitAfterRejection(double now) {
        upToDateAtMs = now; // up to a rejection, discovery counts as not reachable
        meanWaitMs = Math.min(MAX_MEAN_WAIT_MS, Math.max(FIRST_REJECTION_MEAN_WAIT_MS, meanWaitMs * REJECTION_WAIT_FACTOR));
        return randomized(meanWaitMs);
    }

    /** Records that a call failed or was not answered; returns the wait before the next call, in milliseconds. */
    public long waitAfterFailure(double now) {
        long wait = Math.min(maxRetryMs, FIRST_RETRY_MS << Math.min(failures++, Long.SIZE / 4));
        return beforeDeadline(now, Math.max(upperHalf(wait), randomized(meanWaitMs)));
    }

    /**
     * Records an answer that could not be used at all. Reading the same answer again is useless, so the waits grow up to the
     * deadline; returns the wait before the next call, in milliseconds.
     */
    public long waitAfterUnusableAnswer(double now) {
        long wait = Math.min(MAX_CALL_GAP_MS, FIRST_RETRY_MS << Math.min(unusableAnswers++, Long.SIZE / 4));
        return beforeDeadline(now, Math.max(upperHalf(wait), randomized(meanWaitMs)));
    }

    /**
     * Records a list that is longer than this process can hold. It is unlikely to be shorter soon; returns the wait before
     * the next call, in milliseconds.
     */
    public long waitAfterTooLongList(double now) {
        return beforeDeadline(now, upperHalf(MAX_CALL_GAP_MS));
    }

    /**
     * Records that a long poll got no answer within its timeout; returns the wait before the next call, in milliseconds. The
     * call was not rejected, and a change that it missed has to be known soon, so throttling does not extend the wait.
     */
    public long waitAfterLongPollTimeout() {
        failures++;
        return upperHalf(FIRST_RETRY_MS);
    }

    /** How long to wait for a list fetched by another gateway before this one calls by itself, in milliseconds. */
    public long sharedFetchWaitMs(double now) {
        return beforeDeadline(now, MAX_CALL_GAP_MS);
    }

    /** Timeout of a connection to an agent, in milliseconds. */
    public long connectTimeoutMs() {
        return Math.min(MAX_CONNECT_MS, answerTimeoutMs);
    }

    /** Resets the state, since another address is called from now on. */
    public void agentChanged() {
        failures = 0;
        unusableAnswers = 0;
        meanWaitMs = 0;
    }

    /** Whether this gateway throttles its calls, since some were rejected recently. */
    public boolean isThrottled() {
        return meanWaitMs > 0;
    }

    /** Timeout of a long poll that starts now, in milliseconds. */
    public long longPollTimeoutMs(double now) {
        return Math.max(MIN_ANSWER_TIMEOUT_MS, beforeDeadline(now, MAX_CALL_GAP_MS) - FIRST_RETRY_MS);
    }

    /** How long discovery may hold a long poll with this timeout, in milliseconds. */
    public long holdMs(long timeoutMs) {
        return Math.max(0, timeoutMs - (isThrottled() ? THROTTLED_LONG_POLL_MARGIN_MS : LONG_POLL_MARGIN_MS));
    }

    /** Timeout of a call for the full list, in milliseconds; counts from the start and from each part of the answer. */
    public long answerTimeoutMs() {
        return isThrottled() ? THROTTLED_ANSWER_TIMEOUT_MS : answerTimeoutMs;
    }

    /** When the next call has to begin, even if the answer to the last one is still being received. */
    public double nextCallDeadlineMs() {
        return upToDateAtMs + MAX_CALL_GAP_MS;
    }

    /** The wait, shortened where the next call would otherwise begin after the deadline; at least the shortest wait. */
    private long beforeDeadline(double now, long waitMs) {
        return Math.max(MIN_WAIT_MS, (long) Math.min(waitMs, nextCallDeadlineMs() - now));
    }

    /** A random value between half the wait and the whole of it. */
    private long upperHalf(long waitMs) {
        return waitMs / 2 + random.nextInt((int) waitMs / 2 + 1);
    }

    /** A random value between half and one and a half times the mean. */
    private long randomized(double meanMs) {
        return (long) (meanMs * (0.5 + random.nextDouble()));
    }
}
