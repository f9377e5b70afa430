package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the proofs in {@link LeaseLedger} and {@link CeilingShare} by simulation: random courses of messages, losses and
 * restarts.
 */
class LeaseSafetySimulationTest {
    private static final int CEILING_COURSES = Integer.getInteger("lease.courses", 100_000); // 1,000,000 in manual runs
    private static final int QUOTA_COURSES = 30_000;
    private static final int FAULT_COURSES = 100_000;
    private static final double ROUNDING_TOLERANCE = 1e-3;
    /** Leased units refill within the term of a lease, so that a counting error shows. */
    private static final QuotaTerms TERMS = new QuotaTerms(15, 26, 20, 30);

    private static LeaseSimulation runCourse(long seed, boolean quota, LeaseSimulation.Fault fault) {
        LeaseSimulation course = new LeaseSimulation(seed, TERMS, quota, fault);
        course.run();
        return course;
    }

    @Test
    void ceilingIsNeverExceededInAnyCourse() {
        double[] totals = LongStream.range(0, CEILING_COURSES).parallel().mapToObj(seed -> {
            LeaseSimulation course = runCourse(seed, false, LeaseSimulation.Fault.NONE);
            assertTrue(course.lowestLevel >= -ROUNDING_TOLERANCE,
                    "seed " + seed + ": lowest level of the true bucket " + course.lowestLevel);
            return new double[] {course.leasedUnitsSpent, course.lowestLevel < 1 ? 1 : 0};
        }).reduce(new double[2], (a, b) -> new double[] {a[0] + b[0], a[1] + b[1]});
        System.out.println("[lease] ceiling: " + CEILING_COURSES + " courses, " + totals[0] + " units spent from leases, "
                + totals[1] + " courses in which less than a unit was left");
        assertTrue(totals[0] > CEILING_COURSES, "too few units were leased for the check to mean anything");
    }

    /**
     * The bound is what is granted beyond the bucket while the replica runs; each crash of the replica adds what was
     * leased and what the standby replica had not been sent.
     */
    @Test
    void quotaIsOverrunByAtMostTheFormula() {
        long overrun = LongStream.range(0, QUOTA_COURSES).parallel().filter(seed -> {
            LeaseSimulation course = runCourse(seed, true, LeaseSimulation.Fault.NONE);
            double maxOverrun = course.allowedOverrun;
            assertTrue(course.lowestLevel >= -maxOverrun - ROUNDING_TOLERANCE,
                    "seed " + seed + ": lowest level " + course.lowestLevel + ", overrun by the formula " + maxOverrun);
            return course.lowestLevel < 0;
        }).count();
        System.out.println("[lease] quota: " + QUOTA_COURSES + " courses, overrun in " + overrun);
    }

    /** Guards against a simulation that detects nothing: a course must reveal an injected fault. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void injectedFaultIsDetected(LeaseSimulation.Fault fault) {
        long detected = LongStream.range(0, FAULT_COURSES).parallel()
                .filter(seed -> runCourse(seed, false, fault).lowestLevel < -ROUNDING_TOLERANCE).count();
        System.out.println("[lease] " + fault + ": detected by " + detected + " of " + FAULT_COURSES + " courses");
        assertTrue(detected > 0, fault + " was not detected");
    }

    @Test
    void courseIsReproducibleForASeed() {
        assertEquals(runCourse(5, false, LeaseSimulation.Fault.NONE).lowestLevel,
                runCourse(5, false, LeaseSimulation.Fault.NONE).lowestLevel);
    }
}
