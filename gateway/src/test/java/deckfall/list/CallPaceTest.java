package deckfall.list;

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
import org.junit.jupiter.api.Test;

/** How often a gateway calls discovery, alone and where discovery turns a whole tier away. */
class CallPaceTest {
    private static final double MEAN_LOW = 0.5; // of the pace: the shortest wait
    private static final double GRACE_MS = 4000; // of a drain, so long that it bounds no wait
    private static final double TOLD_MS = 6000; // what a silent watch misses counts as told so long after it fell silent
    private static final double ANSWERED_MS = 100; // by an agent on the own machine, and a loop that is late

    @Test
    void whereNobodyIsTurnedAwayCallsFollowAtOnce() {
        CallPace pace = new CallPace(new Random(1), GRACE_MS, true);
        assertEquals(0, pace.answered());
        assertEquals(5000, pace.holdMs());
        assertEquals(1000, pace.patienceMs(true));
        assertEquals(1000, pace.patienceMs(false));
        long first = pace.broke();
        assertTrue(first >= 25 && first <= 50, "after a first broken call: " + first);
        long last = 0;
        for (int i = 0; i < 70; i++) {
            last = pace.broke();
        }
        assertTrue(last >= 400 && last <= 800, "after many: " + last);
    }

    @Test
    void refusalsSlowItDownAndAnswersBringItBack() {
        CallPace pace = new CallPace(new Random(1), GRACE_MS, false);
        for (int i = 0; i < 20; i++) {
            long wait = pace.turnedAway();
            assertTrue(wait <= 1.5 * CallPace.MOST_MS, "never beyond the bound: " + wait);
        }
        assertTrue(pace.turnedAway() >= MEAN_LOW * CallPace.MOST_MS);
        assertTrue(pace.holdMs() > 5000 && pace.patienceMs(false) > 4000, "its calls wait in a line");
        int answers = 0;
        while (pace.crowded()) {
            pace.answered();
            answers++;
        }
        assertTrue(answers <= 10, "answers until it calls at once: " + answers);
        pace.turnedAway();
        pace.moved();
        assertFalse(pace.crowded(), "another agent has turned nobody away");
    }

    /**
     * A watch that falls silent as soon as it is called, for each pace and grace: given up, called anew, connected and
     * answered before a host that drains meanwhile may get nothing more. Crowded it once took 26 s and a pace of up to
     * 6 s more, where 24 s are allowed with the usual grace, and 22.5 s with one of half a second.
     */
    @Property
    void aSilentWatchIsOpenedAnewBeforeItsNewsMayCostADrain(@ForAll @DoubleRange(min = 400, max = 10_000) double grace,
            @ForAll boolean pushed, @ForAll @IntRange(max = 8) int refusals, @ForAll long seed) {
        CallPace pace = new CallPace(new Random(seed), grace, pushed);
        for (int i = 0; i < refusals; i++) {
            pace.turnedAway();
        }
        double told = Math.max(TOLD_MS, pace.holdMs() + CallPace.SILENT_MS);
        double known = pace.holdMs() + pace.patienceMs(true) + pace.fellSilent() + pace.connectMs() + ANSWERED_MS;
        assertTrue(known <= told + grace, "known after " + known + " ms, to be known after " + (told + grace));
    }

    /** An agent that was away and is back knows at once what drains: a call comes while the drain's grace lasts. */
    @Property
    void anAgentThatIsBackIsCalledWithinTheGrace(@ForAll @DoubleRange(min = 400, max = 10_000) double grace,
            @ForAll @IntRange(min = 1, max = 40) int failures, @ForAll long seed) {
        CallPace pace = new CallPace(new Random(seed), grace, true);
        long wait = 0;
        for (int i = 0; i < failures; i++) {
            wait = pace.broke();
        }
        double silent = Math.max(pace.patienceMs(false), pace.connectMs()); // of the last call ahead of its return
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
            List<CallPace> tier = new ArrayList<>();
            PriorityQueue<long[]> due = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
            for (int i = 0; i < gateways; i++) {
                tier.add(new CallPace(new Random(random.nextLong()), GRACE_MS, false));
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
                CallPace pace = tier.get((int) next[1]);
                long wait = served ? Math.max(250, pace.answered()) : pace.turnedAway();
                due.add(new long[] {next[0] + wait, next[1]});
            }
            for (int second = 10; second < 40; second++) {
                most = Math.max(most, perSecond[second]);
            }
            assertTrue(most <= 0.6 * gateways + 8, most + " calls in a second of " + gateways + ", " + calls + " in all");
        }
    }
}
