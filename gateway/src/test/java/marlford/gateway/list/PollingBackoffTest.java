package marlford.gateway.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** When a gateway calls discovery, alone and while discovery rejects calls of a whole tier. */
class PollingBackoffTest {
    private static final double MIN_WAIT_SHARE = 0.5; // of the mean wait
    private static final double LONG_DRAIN_GRACE_MS = 4000; // limits no wait
    private static final double DISCOVERY_QUEUE_MS = 2000; // time that a call may spend in discovery's queue
    private static final double LOCAL_ANSWER_MS = 100; // answer of an agent on this machine, with a late event loop

    @Test
    void withoutRejectionsCallsFollowImmediately() {
        PollingBackoff backoff = new PollingBackoff(new Random(1), LONG_DRAIN_GRACE_MS, true);
        assertEquals(0, backoff.waitAfterAnswer(0));
        assertEquals(4000, backoff.holdMs(backoff.longPollTimeoutMs(0)));
        assertEquals(4450, backoff.longPollTimeoutMs(0));
        assertEquals(1000, backoff.answerTimeoutMs());
        long first = backoff.waitAfterFailure(0);
        assertTrue(first >= 25 && first <= 50, "wait after a first failed call: " + first);
        long last = 0;
        for (int i = 0; i < 70; i++) {
            last = backoff.waitAfterFailure(0);
        }
        assertTrue(last >= 400 && last <= 800, "wait after many failed calls: " + last);
    }

    @Test
    void rejectionsThrottleAndAnswersEndTheThrottling() {
        PollingBackoff backoff = new PollingBackoff(new Random(1), LONG_DRAIN_GRACE_MS, false);
        for (int i = 0; i < 20; i++) {
            long wait = backoff.waitAfterRejection(0);
            assertTrue(wait <= 1.5 * PollingBackoff.MAX_MEAN_WAIT_MS, "wait after a rejection: " + wait);
        }
        assertTrue(backoff.waitAfterRejection(0) >= MIN_WAIT_SHARE * PollingBackoff.MAX_MEAN_WAIT_MS);
        long longPollMargin = backoff.longPollTimeoutMs(0) - backoff.holdMs(backoff.longPollTimeoutMs(0));
        assertTrue(longPollMargin > 1000 && backoff.answerTimeoutMs() > DISCOVERY_QUEUE_MS, "timeouts have to cover discovery's queue");
        int answers = 0;
        while (backoff.isThrottled()) {
            backoff.waitAfterAnswer(0);
            answers++;
        }
        assertTrue(answers <= 10, "answers until the throttling ends: " + answers);
        backoff.waitAfterRejection(0);
        backoff.agentChanged();
        assertFalse(backoff.isThrottled(), "another agent has not rejected a call");
    }

    /** Reading an answer that can't be used is useless work; a list that was too long used to be read twenty times a second. */
    @Property
    void waitsGrowAfterUnusableAnswers(@ForAll @DoubleRange(max = 10_000) double grace,
            @ForAll boolean pushed, @ForAll long seed) {
        PollingBackoff backoff = new PollingBackoff(new Random(seed), grace, pushed);
        long tooLong = backoff.waitAfterTooLongList(0);
        assertTrue(tooLong >= 2000 && tooLong <= PollingBackoff.MAX_CALL_GAP_MS, "wait after a list that is too long: " + tooLong);
        long wait = backoff.waitAfterUnusableAnswer(0);
        assertTrue(wait <= 50, "wait after the first unusable answer: " + wait);
        for (int i = 0; i < 30; i++) {
            wait = backoff.waitAfterUnusableAnswer(0);
        }
        assertTrue(wait >= 2000 && wait <= PollingBackoff.MAX_CALL_GAP_MS, "wait after many unusable answers: " + wait);
        backoff.waitAfterAnswer(0);
        assertTrue(backoff.waitAfterUnusableAnswer(0) <= 50, "an accepted answer has to reset the wait");
    }

    /** The end of a call while discovery is unreachable, or of one that begins just before it is reachable again. */
    enum CallEnd {
        CONNECTION_REFUSED, CONNECT_TIMEOUT, ANSWER_TIMEOUT, RESET, REJECTED, UNREADABLE, TOO_LONG, LONG_POLL_TIMEOUT,
        ANSWERED_THEN_CLOSED
    }

    /**
     * A gateway that calls an agent, in virtual time. Each call begins with a connection; its end is drawn at random. The next
     * call begins after the wait that the backoff returns, and optionally after the longest wait for a shared fetch.
     */
    private static final class Caller {
        final PollingBackoff backoff;
        final Random random;
        double now;

        Caller(PollingBackoff backoff, Random random) {
            this.backoff = backoff;
            this.random = random;
        }

        /** Makes a call with this end, and advances the time to the start of the next one. */
        void call(CallEnd end, boolean awaitsSharedFetch) {
            backoff.callStarted(now);
            now += wait(end);
            if (awaitsSharedFetch) {
                now += backoff.sharedFetchWaitMs(now);
            }
        }

        private long wait(CallEnd end) {
            switch (end) {
                case CONNECTION_REFUSED:
                    return backoff.waitAfterFailure(now);
                case CONNECT_TIMEOUT:
                    now += backoff.connectTimeoutMs();
                    return backoff.waitAfterFailure(now);
                case ANSWER_TIMEOUT:
                    now += random.nextInt((int) backoff.connectTimeoutMs()) + backoff.answerTimeoutMs();
                    return backoff.waitAfterFailure(now);
                case RESET:
                    now += random.nextInt((int) (backoff.connectTimeoutMs() + backoff.answerTimeoutMs()));
                    return backoff.waitAfterFailure(now);
                case REJECTED: // immediately; otherwise discovery was reachable before
                    return backoff.waitAfterRejection(now);
                case UNREADABLE:
                    now += random.nextInt((int) (backoff.connectTimeoutMs() + backoff.answerTimeoutMs()));
                    return backoff.waitAfterUnusableAnswer(now);
                case TOO_LONG:
                    now += random.nextInt((int) (backoff.connectTimeoutMs() + backoff.answerTimeoutMs()));
                    return backoff.waitAfterTooLongList(now);
                case LONG_POLL_TIMEOUT:
                    now += random.nextInt((int) backoff.connectTimeoutMs());
                    now += backoff.longPollTimeoutMs(now);
                    return backoff.waitAfterLongPollTimeout();
                default: // the connection is closed in the wait after an answer
                    now += random.nextInt((int) (backoff.connectTimeoutMs() + backoff.answerTimeoutMs()));
                    now += random.nextInt((int) backoff.waitAfterAnswer(now) + 1);
                    return backoff.waitAfterFailure(now);
            }
        }
    }

    /**
     * However earlier calls ended, a change is known {@link PollingBackoff#CHANGE_KNOWN_MS} after discovery had it and was
     * reachable. That can be at any time after the start of the last failed call, so the next call has to begin within that time
     * less the duration of a call. Previously a throttled call timed out after 6 s and was followed by a wait of up to 6 s, the
     * wait after a refused connection was 6 s, and the wait for a shared fetch 12 s.
     */
    @Property
    void nextCallBeginsBeforeTheDeadlineHoweverEarlierCallsEnded(@ForAll @DoubleRange(max = 10_000) double grace,
            @ForAll boolean pushed, @ForAll @Size(min = 1, max = 30) List<CallEnd> ends,
            @ForAll boolean awaitsSharedFetch,
            @ForAll long seed) {
        Random random = new Random(seed);
        Caller caller = new Caller(new PollingBackoff(random, grace, pushed), random);
        for (CallEnd end : ends) {
            double began = caller.now;
            caller.call(end, awaitsSharedFetch);
            double upToDate = end == CallEnd.ANSWERED_THEN_CLOSED
                    ? began + caller.backoff.connectTimeoutMs() + caller.backoff.answerTimeoutMs() : began;
            assertTrue(caller.now <= upToDate + PollingBackoff.MAX_CALL_GAP_MS + PollingBackoff.MIN_WAIT_MS,
                    "after " + end + " the next call began " + (caller.now - began) + " ms after the last one");
        }
    }

    /** For a long poll on the connection of the last answer, after any wait, the same deadline counts from that answer. */
    @Property
    void longPollTimesOutBeforeTheDeadline(@ForAll @DoubleRange(max = 10_000) double grace, @ForAll boolean pushed,
            @ForAll @IntRange(max = 8) int rejections, @ForAll @IntRange(max = 8) int answers, @ForAll long seed) {
        PollingBackoff backoff = new PollingBackoff(new Random(seed), grace, pushed);
        for (int i = 0; i < rejections; i++) {
            backoff.waitAfterRejection(0);
        }
        long pause = 0;
        for (int i = 0; i <= answers; i++) {
            pause = backoff.waitAfterAnswer(0);
        }
        long longPollMs = backoff.longPollTimeoutMs(pause);
        assertTrue(backoff.holdMs(longPollMs) <= longPollMs);
        double nextCallAt = pause + longPollMs + backoff.waitAfterLongPollTimeout();
        assertTrue(nextCallAt <= PollingBackoff.MAX_CALL_GAP_MS, "the next call began after " + nextCallAt + " ms");
    }

    /** An agent that is back after an outage knows the draining hosts immediately: it is called within the drain grace. */
    @Property
    void agentThatIsBackIsCalledWithinTheDrainGrace(@ForAll @DoubleRange(min = 400, max = 10_000) double grace,
            @ForAll @IntRange(min = 1, max = 40) int failures, @ForAll long seed) {
        PollingBackoff backoff = new PollingBackoff(new Random(seed), grace, true);
        long wait = 0;
        for (int i = 0; i < failures; i++) {
            wait = backoff.waitAfterFailure(0);
        }
        // Timeout of the last call before the agent is back.
        double timeout = Math.max(backoff.answerTimeoutMs(), backoff.connectTimeoutMs());
        assertTrue(timeout + wait + LOCAL_ANSWER_MS <= grace, "called after a timeout of " + timeout + " and a wait of " + wait + " ms");
    }

    /**
     * A tier of 14 gateways and one of 100 lose their lists at the same time, while discovery answers four calls a second.
     * Previously each gateway called again within 0.4 to 0.8 s, which made 23 calls a second with 14, and 160 with 100.
     */
    @Test
    void tierWithoutListsDoesNotOverloadDiscovery() {
        for (int gateways : new int[] {14, 100}) {
            Random random = new Random(gateways);
            List<PollingBackoff> tier = new ArrayList<>();
            PriorityQueue<long[]> due = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
            for (int i = 0; i < gateways; i++) {
                tier.add(new PollingBackoff(new Random(random.nextLong()), LONG_DRAIN_GRACE_MS, false));
                due.add(new long[] {random.nextInt(200), i});
            }
            int calls = 0;
            int maxPerSecond = 0;
            int[] perSecond = new int[40];
            double capacity = 4;
            double capacityAt = 0;
            while (due.peek()[0] < 40_000) {
                long[] next = due.poll();
                calls++;
                int second = (int) (next[0] / 1000);
                perSecond[second]++;
                capacity = Math.min(4, capacity + (next[0] - capacityAt) / 250);
                capacityAt = next[0];
                boolean served = capacity >= 1;
                capacity -= served ? 1 : 0;
                PollingBackoff backoff = tier.get((int) next[1]);
                long wait = served ? Math.max(250, backoff.waitAfterAnswer(next[0])) : backoff.waitAfterRejection(next[0]);
                due.add(new long[] {next[0] + wait, next[1]});
            }
            for (int second = 10; second < 40; second++) {
                maxPerSecond = Math.max(maxPerSecond, perSecond[second]);
            }
            assertTrue(maxPerSecond <= 0.6 * gateways + 8,
                    maxPerSecond + " calls in one second by " + gateways + " gateways, " + calls + " calls in all");
        }
    }
}
