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

/** How often a gateway calls discovery, alone and where discovery turns a whole tier away. */
class PollingBackoffTest {
    private static final double MEAN_LOW = 0.5; // of the pace: the shortest wait
    private static final double GRACE_MS = 4000; // of a drain, so long that it bounds no wait
    private static final double LINE_MS = 2000; // that discovery's line lasts
    private static final double ANSWERED_MS = 100; // by an agent on the own machine, and a loop that is late

    @Test
    void whereNobodyIsTurnedAwayCallsFollowAtOnce() {
        PollingBackoff pace = new PollingBackoff(new Random(1), GRACE_MS, true);
        assertEquals(0, pace.answered(0));
        assertEquals(4000, pace.holdMs(pace.watchMs(0)));
        assertEquals(4450, pace.watchMs(0));
        assertEquals(1000, pace.patienceMs());
        long first = pace.broke(0);
        assertTrue(first >= 25 && first <= 50, "after a first broken call: " + first);
        long last = 0;
        for (int i = 0; i < 70; i++) {
            last = pace.broke(0);
        }
        assertTrue(last >= 400 && last <= 800, "after many: " + last);
    }

    @Test
    void refusalsSlowItDownAndAnswersBringItBack() {
        PollingBackoff pace = new PollingBackoff(new Random(1), GRACE_MS, false);
        for (int i = 0; i < 20; i++) {
            long wait = pace.turnedAway(0);
            assertTrue(wait <= 1.5 * PollingBackoff.MOST_MS, "never beyond the bound: " + wait);
        }
        assertTrue(pace.turnedAway(0) >= MEAN_LOW * PollingBackoff.MOST_MS);
        long watchPatience = pace.watchMs(0) - pace.holdMs(pace.watchMs(0));
        assertTrue(watchPatience > 1000 && pace.patienceMs() > LINE_MS, "its calls wait in a line");
        int answers = 0;
        while (pace.crowded()) {
            pace.answered(0);
            answers++;
        }
        assertTrue(answers <= 10, "answers until it calls at once: " + answers);
        pace.turnedAway(0);
        pace.moved();
        assertFalse(pace.crowded(), "another agent has turned nobody away");
    }

    /** To read an answer that can't be used is work for nothing; one that is too long was read twenty times a second. */
    @Property
    void answersThatCantBeUsedAreReadEverMoreRarely(@ForAll @DoubleRange(max = 10_000) double grace,
            @ForAll boolean pushed, @ForAll long seed) {
        PollingBackoff pace = new PollingBackoff(new Random(seed), grace, pushed);
        long tooLong = pace.tooLong(0);
        assertTrue(tooLong >= 2000 && tooLong <= PollingBackoff.DUE_MS, "too long: " + tooLong);
        long wait = pace.unusable(0);
        assertTrue(wait <= 50, "after the first: " + wait);
        for (int i = 0; i < 30; i++) {
            wait = pace.unusable(0);
        }
        assertTrue(wait >= 2000 && wait <= PollingBackoff.DUE_MS, "after many: " + wait);
        pace.answered(0);
        assertTrue(pace.unusable(0) <= 50, "an answer that was taken ends it");
    }

    /** What becomes of a call while discovery is away, and of one that was made just before it returns. */
    enum Fate { REFUSED, NEVER_UP, SILENT, RESET, TURNED_AWAY, UNREADABLE, TOO_LONG, SILENT_WATCH, ANSWERED_THEN_CLOSED }

    /**
     * A gateway that calls an agent, in virtual time. Each call begins with a connection; what it comes to is drawn. The next
     * one begins after the wait that the pace gives, and after as long a wait for the gateway's turn as it allows.
     */
    private static final class Caller {
        final PollingBackoff pace;
        final Random random;
        double now;

        Caller(PollingBackoff pace, Random random) {
            this.pace = pace;
            this.random = random;
        }

        /** Makes a call that comes to this, and goes on to the moment at which the next one begins. */
        void call(Fate fate, boolean inTurn) {
            pace.called(now);
            now += wait(fate);
            if (inTurn) {
                now += pace.turnMs(now);
            }
        }

        private long wait(Fate fate) {
            switch (fate) {
                case REFUSED:
                    return pace.broke(now);
                case NEVER_UP:
                    now += pace.connectMs();
                    return pace.broke(now);
                case SILENT:
                    now += random.nextInt((int) pace.connectMs()) + pace.patienceMs();
                    return pace.broke(now);
                case RESET:
                    now += random.nextInt((int) (pace.connectMs() + pace.patienceMs()));
                    return pace.broke(now);
                case TURNED_AWAY: // at once, or it could be reached before
                    return pace.turnedAway(now);
                case UNREADABLE:
                    now += random.nextInt((int) (pace.connectMs() + pace.patienceMs()));
                    return pace.unusable(now);
                case TOO_LONG:
                    now += random.nextInt((int) (pace.connectMs() + pace.patienceMs()));
                    return pace.tooLong(now);
                case SILENT_WATCH:
                    now += random.nextInt((int) pace.connectMs());
                    now += pace.watchMs(now);
                    return pace.fellSilent();
                default: // the connection ends in the pause after an answer
                    now += random.nextInt((int) (pace.connectMs() + pace.patienceMs()));
                    now += random.nextInt((int) pace.answered(now) + 1);
                    return pace.broke(now);
            }
        }
    }

    /**
     * Whatever came of the calls before, a change is known {@link PollingBackoff#TOLD_MS} after discovery had it and could be
     * reached. That moment lies anywhere after the start of the last call that failed, so the next call has to begin within
     * that time less a call's own. Before, a call in a crowd was silent for 6 s and the wait after it lasted up to 6 s, a
     * refused one waited for 6 s, and a turn for 12 s.
     */
    @Property
    void aCallBeginsInTimeWhateverBecameOfTheOnesBefore(@ForAll @DoubleRange(max = 10_000) double grace,
            @ForAll boolean pushed, @ForAll @Size(min = 1, max = 30) List<Fate> fates, @ForAll boolean inTurn,
            @ForAll long seed) {
        Random random = new Random(seed);
        Caller caller = new Caller(new PollingBackoff(random, grace, pushed), random);
        for (Fate fate : fates) {
            double began = caller.now;
            caller.call(fate, inTurn);
            double upTo = fate == Fate.ANSWERED_THEN_CLOSED ? began + caller.pace.connectMs() + caller.pace.patienceMs() : began;
            assertTrue(caller.now <= upTo + PollingBackoff.DUE_MS + PollingBackoff.LATEST_MS,
                    "after " + fate + " the next call came " + (caller.now - began) + " ms after the last");
        }
    }

    /** A watch that is opened on the connection of the last answer, after any pause: the same deadline, from that answer on. */
    @Property
    void aSilentWatchIsOpenedAnewInTime(@ForAll @DoubleRange(max = 10_000) double grace, @ForAll boolean pushed,
            @ForAll @IntRange(max = 8) int refusals, @ForAll @IntRange(max = 8) int answers, @ForAll long seed) {
        PollingBackoff pace = new PollingBackoff(new Random(seed), grace, pushed);
        for (int i = 0; i < refusals; i++) {
            pace.turnedAway(0);
        }
        long pause = 0;
        for (int i = 0; i <= answers; i++) {
            pause = pace.answered(0);
        }
        long watch = pace.watchMs(pause);
        assertTrue(pace.holdMs(watch) <= watch);
        double again = pause + watch + pace.fellSilent();
        assertTrue(again <= PollingBackoff.DUE_MS, "opened anew after " + again + " ms");
    }

    /** An agent that was away and is back knows at once what drains: a call comes while the drain's grace lasts. */
    @Property
    void anAgentThatIsBackIsCalledWithinTheGrace(@ForAll @DoubleRange(min = 400, max = 10_000) double grace,
            @ForAll @IntRange(min = 1, max = 40) int failures, @ForAll long seed) {
        PollingBackoff pace = new PollingBackoff(new Random(seed), grace, true);
        long wait = 0;
        for (int i = 0; i < failures; i++) {
            wait = pace.broke(0);
        }
        double silent = Math.max(pace.patienceMs(), pace.connectMs()); // of the last call ahead of its return
        assertTrue(silent + wait + ANSWERED_MS <= grace, "called after " + silent + " and " + wait + " ms");
    }

    /**
     * A tier of 14 and one of 100 that lost their lists in one moment, before a discovery that answers four calls a second.
     * Before, each called again within 0.4 to 0.8 s: 23 calls a second of 14, and 160 of 100.
     */
    @Test
    void aHerdDoesNotCallInStepNorFasterThanItIsServed() {
        for (int gateways : new int[] {14, 100}) {
            Random random = new Random(gateways);
            List<PollingBackoff> tier = new ArrayList<>();
            PriorityQueue<long[]> due = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
            for (int i = 0; i < gateways; i++) {
                tier.add(new PollingBackoff(new Random(random.nextLong()), GRACE_MS, false));
                due.add(new long[] {random.nextInt(200), i});
            }
            int calls = 0;
            int most = 0;
            int[] perSecond = new int[40];
            double room = 4;
            double servedAt = 0;
            while (due.peek()[0] < 40_000) {
                long[] next = due.poll();
                calls++;
                int second = (int) (next[0] / 1000);
                perSecond[second]++;
                room = Math.min(4, room + (next[0] - servedAt) / 250);
                servedAt = next[0];
                boolean served = room >= 1;
                room -= served ? 1 : 0;
                PollingBackoff pace = tier.get((int) next[1]);
                long wait = served ? Math.max(250, pace.answered(next[0])) : pace.turnedAway(next[0]);
                due.add(new long[] {next[0] + wait, next[1]});
            }
            for (int second = 10; second < 40; second++) {
                most = Math.max(most, perSecond[second]);
            }
            assertTrue(most <= 0.6 * gateways + 8, most + " calls in a second of " + gateways + ", " + calls + " in all");
        }
    }
}
