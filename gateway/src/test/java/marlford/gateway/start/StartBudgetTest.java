package marlford.gateway.start;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import marlford.gateway.start.StartBudget.Step;
import org.junit.jupiter.api.Test;

/** Simulates whole starts on a virtual clock. */
class StartBudgetTest {
    /** Processing time before each step, in milliseconds, of a start on a third of a core. */
    private static final Map<Step, Long> WORK_MS = new EnumMap<>(Map.of(Step.PREDECESSOR_REPLY, 700L, Step.WARM_UP, 100L,
            Step.WARM_UP_ALONE, 800L,
            Step.LEDGERS_RELEASED, 20L, Step.FIRST_DISCOVERY_ANSWER, 60L, Step.LISTENER_RELEASED, 20L));
    /** Steps of a start beside the running process. */
    private static final Set<Step> BESIDE_STEPS = EnumSet.complementOf(EnumSet.of(Step.WARM_UP_ALONE));
    /** Steps of a start without another process. */
    private static final Set<Step> ALONE_STEPS = EnumSet.of(Step.WARM_UP_ALONE, Step.FIRST_DISCOVERY_ANSWER);

    private long now;

    /** When the start is over, if the late steps use their whole limit and the others take no time. */
    private long ready(double slower, Set<Step> late) {
        return ready(slower, late, BESIDE_STEPS);
    }

    private long ready(double slower, Set<Step> late, Set<Step> steps) {
        now = 0;
        StartBudget budget = new StartBudget(() -> now);
        for (Step step : steps) {
            now += (long) (WORK_MS.get(step) * slower);
            long limit = budget.limitMs(step);
            assertTrue(limit >= 0, step + " " + limit);
            now += late.contains(step) ? limit : 0;
        }
        return now;
    }

    private static long work(double slower) {
        return BESIDE_STEPS.stream().mapToLong(step -> (long) (WORK_MS.get(step) * slower)).sum();
    }

    @Test
    void endlessWarmUpLeavesHalfOfThePlatformsTime() {
        Set<Step> endless = EnumSet.of(Step.WARM_UP);
        assertTrue(ready(1, endless) <= StartBudget.READY_MS, "assumed speed: " + now);
        assertTrue(ready(2, endless) <= StartBudget.READY_MS, "half as fast: " + now);
        endless.add(Step.FIRST_DISCOVERY_ANSWER); // discovery is unreachable
        assertTrue(ready(1, endless) <= StartBudget.READY_MS + StartBudget.LATE_STEP_MS, "assumed speed: " + now);
        assertTrue(ready(2, endless) <= StartBudget.READY_MS + StartBudget.LATE_STEP_MS, "half as fast: " + now);
        assertTrue(ready(3, endless) <= StartBudget.PLATFORM_MS - StartBudget.HEALTH_CHECK_RESERVE_MS, "a third: " + now);
    }

    @Test
    void firstStartMayWarmUpForLonger() {
        Set<Step> endless = EnumSet.of(Step.WARM_UP_ALONE);
        assertTrue(ready(1, endless, ALONE_STEPS) > StartBudget.PLATFORM_MS, "assumed speed: " + now);
        assertTrue(ready(2, endless, ALONE_STEPS) <= StartBudget.ALONE_READY_MS, "half as fast: " + now);
    }

    @Test
    void startEndsWithinThePlatformsTimeWhicheverStepsAreLate() {
        for (double slower = 1; slower <= 5; slower += 0.25) {
            for (Step late : BESIDE_STEPS) {
                assertTrue(ready(slower, EnumSet.of(late)) <= StartBudget.PLATFORM_MS, slower + " " + late + ": " + now);
            }
            assertTrue(ready(slower, BESIDE_STEPS) <= StartBudget.PLATFORM_MS, slower + ": " + now);
        }
    }

    @Test
    void optionalStepsAreSkippedAtATenthOfTheSpeed() {
        assertEquals(work(10), ready(10, EnumSet.of(Step.WARM_UP)));
        long lastSteps = 3 * StartBudget.LATE_STEP_MS; // the three steps that can't be skipped
        assertEquals(work(10) + lastSteps,
                ready(10, EnumSet.of(Step.LEDGERS_RELEASED, Step.FIRST_DISCOVERY_ANSWER, Step.LISTENER_RELEASED)));
        assertEquals(work(10) + StartBudget.LATE_STEP_MS + lastSteps, ready(10, BESIDE_STEPS));
    }

    @Test
    void lateStepDoesNotExtendOthers() {
        now = 0;
        StartBudget budget = new StartBudget(() -> now);
        assertEquals(StartBudget.PLATFORM_MS - StartBudget.HEALTH_CHECK_RESERVE_MS, budget.limitMs(Step.LISTENER_RELEASED));
        now = StartBudget.PLATFORM_MS - StartBudget.HEALTH_CHECK_RESERVE_MS - 1000;
        assertEquals(1000, budget.limitMs(Step.LISTENER_RELEASED));
        now += 1000;
        assertEquals(StartBudget.LATE_STEP_MS, budget.limitMs(Step.LISTENER_RELEASED));
        now += 60_000;
        assertEquals(StartBudget.LATE_STEP_MS, budget.limitMs(Step.LISTENER_RELEASED));
        assertEquals(0, budget.limitMs(Step.WARM_UP));
        assertEquals(StartBudget.LATE_STEP_MS, budget.limitMs(Step.FIRST_DISCOVERY_ANSWER));
    }

    /** A kind of start. */
    private enum Start {
        /** The first start of a tier, or a restart whose peers send nothing: the warm-up uses its whole limit. */
        PEERS_SILENT(ALONE_STEPS),
        /** A restart in a tier that serves: the warm-up ends after few answers. */
        PEERS_SERVE(ALONE_STEPS),
        /** A start beside the running process. */
        BESIDE(BESIDE_STEPS);

        private final Set<Step> steps;

        Start(Set<Step> steps) {
            this.steps = steps;
        }
    }

    /** Discovery's first answer. */
    private enum FirstAnswer { IMMEDIATE, REJECTED, NONE, HUGE_LIST }

    private static final long RESTART_LIMIT_MS = 10_000; // the operators' limit for nine in ten restarted processes
    private static final long FEW_ANSWERS_MS = 300; // warm-up of a restart in a tier that serves
    private static final long HUGE_LIST_MS = 500; // processor time for a list of 4 MiB, in code that is not compiled yet
    private static final double SLOW_CLOCK_RATE = 0.95; // relative to the platform's clock

    /** When a start is over by the platform's clock, if each late step uses its whole limit. */
    private long ready(Start start, FirstAnswer answer, double slower, double rate) {
        now = 0;
        StartBudget budget = new StartBudget(() -> (long) (now * rate));
        for (Step step : start.steps) {
            now += (long) (WORK_MS.get(step) * slower);
            long limit = (long) (budget.limitMs(step) / rate);
            now += switch (step) {
                case FIRST_DISCOVERY_ANSWER -> switch (answer) {
                    case IMMEDIATE, REJECTED -> 0;
                    case NONE -> limit;
                    case HUGE_LIST -> limit + (long) (HUGE_LIST_MS * slower); // reading it just before the limit occupies the event loop
                };
                case WARM_UP_ALONE -> start == Start.PEERS_SILENT ? limit : Math.min(limit, (long) (FEW_ANSWERS_MS * slower));
                default -> limit;
            };
        }
        return now;
    }

    /** Every combination of a kind of start, discovery's first answer, the machine's speed and the clock's rate. */
    @Test
    void everyStartEndsWithinTenSeconds() {
        for (Start start : Start.values()) {
            for (FirstAnswer answer : FirstAnswer.values()) {
                for (double slower = 1; slower <= 4; slower += 0.25) { // a twelfth of a core
                    for (double rate : new double[] {1, SLOW_CLOCK_RATE}) {
                        assertTrue(ready(start, answer, slower, rate) <= RESTART_LIMIT_MS,
                                start + " " + answer + " " + slower + " times slower, clock rate " + rate + ": " + now);
                    }
                }
            }
        }
    }

    /** A restart may also have only six seconds, on a day that ends sooner. */
    @Test
    void restartInATierThatServesEndsWithinSixSeconds() {
        for (FirstAnswer answer : FirstAnswer.values()) {
            for (double slower = 1; slower <= 3; slower += 0.25) { // a ninth of a core
                assertTrue(ready(Start.PEERS_SERVE, answer, slower, SLOW_CLOCK_RATE) <= StartBudget.PLATFORM_MS,
                        answer + " " + slower + ": " + now);
            }
        }
    }

    @Test
    void processAgeIsReadFromProcFiles() {
        String rest = " S 1 2 2 0 -1 4194304 9 0 0 0 1 2 0 0 20 0 1 0 ";
        assertEquals(1250, ProcessStartTime.age("77 (a) b)" + rest + "1000 8", "11.25 20.00\n"));
        assertEquals(0, ProcessStartTime.age("77 (sh)" + rest + "1000 8", "9.99 20.00\n"));
        assertTrue(ProcessStartTime.ofThisProcess().ageMs() >= 0);
    }
}
