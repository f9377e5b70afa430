package deckfall.start;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.start.StartBudget.Step;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Whole starts on a clock of the test's own. */
class StartBudgetTest {
    /** Work of a start on a third of a core, as measured, ahead of each step: the rest is done by then. */
    private static final Map<Step, Long> WORK = new EnumMap<>(Map.of(Step.HELLO, 700L, Step.WARM_UP, 100L,
            Step.WARM_UP_ALONE, 800L,
            Step.TAKEN, 20L, Step.WORD, 60L, Step.LEFT, 20L));
    /** Of a start beside the running process; and of one alone. */
    private static final Set<Step> ALL = EnumSet.complementOf(EnumSet.of(Step.WARM_UP_ALONE));
    private static final Set<Step> ALONE = EnumSet.of(Step.WARM_UP_ALONE, Step.WORD);

    private long now;

    /** Returns when the start is over, where the named steps take all their time and the others none. */
    private long ready(double slower, Set<Step> late) {
        return ready(slower, late, ALL);
    }

    private long ready(double slower, Set<Step> late, Set<Step> steps) {
        now = 0;
        StartBudget budget = new StartBudget(() -> now);
        for (Step step : steps) {
            now += (long) (WORK.get(step) * slower);
            long limit = budget.limitMs(step);
            assertTrue(limit >= 0, step + " " + limit);
            now += late.contains(step) ? limit : 0;
        }
        return now;
    }

    private static long work(double slower) {
        return ALL.stream().mapToLong(step -> (long) (WORK.get(step) * slower)).sum();
    }

    @Test
    void aWarmUpWithoutEndLeavesHalfOfThePlatformsTime() {
        Set<Step> endless = EnumSet.of(Step.WARM_UP);
        assertTrue(ready(1, endless) <= StartBudget.READY_MS, "as measured: " + now);
        assertTrue(ready(2, endless) <= StartBudget.READY_MS, "half as fast: " + now);
        endless.add(Step.WORD); // discovery is away
        assertTrue(ready(1, endless) <= StartBudget.READY_MS + StartBudget.LAST_MS, "as measured: " + now);
        assertTrue(ready(2, endless) <= StartBudget.READY_MS + StartBudget.LAST_MS, "half as fast: " + now);
        assertTrue(ready(3, endless) <= StartBudget.PLATFORM_MS - StartBudget.HEARD_MS, "a third: " + now);
    }

    @Test
    void aFirstStartMayWarmUpForLonger() {
        Set<Step> endless = EnumSet.of(Step.WARM_UP_ALONE);
        assertTrue(ready(1, endless, ALONE) > StartBudget.PLATFORM_MS, "as measured: " + now);
        assertTrue(ready(2, endless, ALONE) <= StartBudget.ALONE_MS, "half as fast: " + now);
    }

    @Test
    void whateverIsSilentTheStartIsOverWithinThePlatformsTime() {
        for (double slower = 1; slower <= 5; slower += 0.25) {
            for (Step late : ALL) {
                assertTrue(ready(slower, EnumSet.of(late)) <= StartBudget.PLATFORM_MS, slower + " " + late + ": " + now);
            }
            assertTrue(ready(slower, ALL) <= StartBudget.PLATFORM_MS, slower + ": " + now);
        }
    }

    @Test
    void atATenthOfTheSpeedNothingIsWaitedForThatCanBeLeftOut() {
        assertEquals(work(10), ready(10, EnumSet.of(Step.WARM_UP)));
        long lastSteps = 3 * StartBudget.LAST_MS; // taken, word and left
        assertEquals(work(10) + lastSteps, ready(10, EnumSet.of(Step.TAKEN, Step.WORD, Step.LEFT)));
        assertEquals(work(10) + StartBudget.LAST_MS + lastSteps, ready(10, ALL));
    }

    @Test
    void aLateStepStretchesNoOther() {
        now = 0;
        StartBudget budget = new StartBudget(() -> now);
        assertEquals(StartBudget.PLATFORM_MS - StartBudget.HEARD_MS, budget.limitMs(Step.LEFT));
        now = StartBudget.PLATFORM_MS - StartBudget.HEARD_MS - 1000;
        assertEquals(1000, budget.limitMs(Step.LEFT));
        now += 1000;
        assertEquals(StartBudget.LAST_MS, budget.limitMs(Step.LEFT));
        now += 60_000;
        assertEquals(StartBudget.LAST_MS, budget.limitMs(Step.LEFT));
        assertEquals(0, budget.limitMs(Step.WARM_UP));
        assertEquals(StartBudget.LAST_MS, budget.limitMs(Step.WORD));
    }

    @Test
    void theAgeIsReadFromTheSystemsOwnCount() {
        String rest = " S 1 2 2 0 -1 4194304 9 0 0 0 1 2 0 0 20 0 1 0 ";
        assertEquals(1250, Birth.age("77 (a) b)" + rest + "1000 8", "11.25 20.00\n"));
        assertEquals(0, Birth.age("77 (sh)" + rest + "1000 8", "9.99 20.00\n"));
        assertTrue(Birth.ofThisProcess().ageMs() >= 0);
    }
}
