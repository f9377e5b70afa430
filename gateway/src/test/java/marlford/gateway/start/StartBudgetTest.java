package marlford.gateway.start;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import marlford.gateway.start.StartBudget.Step;
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

    /** How a start goes. */
    private enum Start {
        /** The first of its tier, or a return whose peers say nothing: it warms up whole. */
        PEERS_SILENT(ALONE),
        /** A return to a tier that serves: the warm-up ends after few answers. */
        PEERS_HEARD(ALONE),
        /** Beside the running process. */
        BESIDE(ALL);

        private final Set<Step> steps;

        Start(Set<Step> steps) {
            this.steps = steps;
        }
    }

    private enum Word { AT_ONCE, TURNED_AWAY, SILENT, HUGE_LIST }

    private static final long READY_WITHIN_MS = 10_000; // the operators' term for nine in ten restarted processes
    private static final long FEW_ANSWERS_MS = 300; // what a return warms up for, as measured
    private static final long HUGE_LIST_MS = 500; // of the processor, for 4 MiB of it on code that is not compiled yet
    private static final double SLOW_CLOCK = 0.95; // of the platform's pace

    /** Returns when a start is over by the platform's clock, each step that is late taking all the time that it has. */
    private long ready(Start start, Word word, double slower, double pace) {
        now = 0;
        StartBudget budget = new StartBudget(() -> (long) (now * pace));
        for (Step step : start.steps) {
            now += (long) (WORK.get(step) * slower);
            long limit = (long) (budget.limitMs(step) / pace);
            now += switch (step) {
                case WORD -> switch (word) {
                    case AT_ONCE, TURNED_AWAY -> 0;
                    case SILENT -> limit;
                    case HUGE_LIST -> limit + (long) (HUGE_LIST_MS * slower); // read just before, it keeps the loop that long
                };
                case WARM_UP_ALONE -> start == Start.PEERS_SILENT ? limit : Math.min(limit, (long) (FEW_ANSWERS_MS * slower));
                default -> limit;
            };
        }
        return now;
    }

    /** Every combination of a kind of start, what discovery does, a machine's speed and a clock's pace. */
    @Test
    void everyStartIsOverWithinTenSeconds() {
        for (Start start : Start.values()) {
            for (Word word : Word.values()) {
                for (double slower = 1; slower <= 4; slower += 0.25) { // a twelfth of a core
                    for (double pace : new double[] {1, SLOW_CLOCK}) {
                        assertTrue(ready(start, word, slower, pace) <= READY_WITHIN_MS,
                                start + " " + word + " " + slower + " times slower, clock " + pace + ": " + now);
                    }
                }
            }
        }
    }

    /** On a day that ends sooner a return has six seconds. */
    @Test
    void aReturnToATierThatServesIsOverWithinSixSeconds() {
        for (Word word : Word.values()) {
            for (double slower = 1; slower <= 3; slower += 0.25) { // a ninth of a core
                assertTrue(ready(Start.PEERS_HEARD, word, slower, SLOW_CLOCK) <= StartBudget.PLATFORM_MS,
                        word + " " + slower + ": " + now);
            }
        }
    }

    @Test
    void theAgeIsReadFromTheSystemsOwnCount() {
        String rest = " S 1 2 2 0 -1 4194304 9 0 0 0 1 2 0 0 20 0 1 0 ";
        assertEquals(1250, ProcessStartTime.age("77 (a) b)" + rest + "1000 8", "11.25 20.00\n"));
        assertEquals(0, ProcessStartTime.age("77 (sh)" + rest + "1000 8", "9.99 20.00\n"));
        assertTrue(ProcessStartTime.ofThisProcess().ageMs() >= 0);
    }
}
