package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The proofs above {@link LeaseLedger} and {@link CeilingShare} in numbers: random courses of all that befalls leases. */
class LeaseCoursesTest {
    private static final int CEILING_COURSES = Integer.getInteger("lease.courses", 100_000); // 1,000,000 by hand
    private static final int QUOTA_COURSES = 30_000;
    private static final int FAULT_COURSES = 100_000;
    private static final double ROUNDING = 1e-3;
    /** What is leased fills again within a lease's term, so that what is counted wrongly shows. */
    private static final QuotaTerms TERMS = new QuotaTerms(15, 26, 20, 30);

    private static LeaseCourse played(long seed, boolean quota, LeaseCourse.Fault fault) {
        LeaseCourse course = new LeaseCourse(seed, TERMS, quota, fault);
        course.run();
        return course;
    }

    @Test
    void aCeilingIsNeverPassedInAnyCourse() {
        double[] leased = LongStream.range(0, CEILING_COURSES).parallel().mapToObj(seed -> {
            LeaseCourse course = played(seed, false, LeaseCourse.Fault.NONE);
            assertTrue(course.lowest >= -ROUNDING, "seed " + seed + ": true store " + course.lowest);
            return new double[] {course.leased, course.lowest < 1 ? 1 : 0};
        }).reduce(new double[2], (a, b) -> new double[] {a[0] + b[0], a[1] + b[1]});
        System.out.println("[lease] ceiling: " + CEILING_COURSES + " courses, " + leased[0] + " units spent from leases, "
                + leased[1] + " courses in which less than a unit was left");
        assertTrue(leased[0] > CEILING_COURSES, "hardly anything was leased");
    }

    /** By what is granted beyond the store while its keeper lives; with each of its deaths by what was leased, and what the stand-in was not told. */
    @Test
    void aQuotaIsOverrunByNoMoreThanTheFormula() {
        long overrun = LongStream.range(0, QUOTA_COURSES).parallel().filter(seed -> {
            LeaseCourse course = played(seed, true, LeaseCourse.Fault.NONE);
            double most = course.allowedBelow;
            assertTrue(course.lowest >= -most - ROUNDING, "seed " + seed + ": " + course.lowest + ", formula " + most);
            return course.lowest < 0;
        }).count();
        System.out.println("[lease] quota: " + QUOTA_COURSES + " courses, overrun in " + overrun);
    }

    /** The test of the test: a course finds what is done wrong. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aFaultIsFound(LeaseCourse.Fault fault) {
        long found = LongStream.range(0, FAULT_COURSES).parallel()
                .filter(seed -> played(seed, false, fault).lowest < -ROUNDING).count();
        System.out.println("[lease] " + fault + ": found by " + found + " of " + FAULT_COURSES + " courses");
        assertTrue(found > 0, fault + " was not found");
    }

    @Test
    void aCourseIsTheSameForTheSameSeed() {
        assertEquals(played(5, false, LeaseCourse.Fault.NONE).lowest, played(5, false, LeaseCourse.Fault.NONE).lowest);
    }
}
