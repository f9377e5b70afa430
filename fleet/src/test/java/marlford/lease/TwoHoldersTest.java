package marlford.lease;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import marlford.Interleavings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Two holders never act at once: every course of a small world up to a length, and many long ones at random. */
class TwoHoldersTest {
    private static final int DEPTH = Integer.getInteger("marlford.depth", 8);
    private static final int SCHEDULES = Integer.getInteger("marlford.schedules", 100_000);
    private static final int STEPS = 80;
    private static final long SHORT_TTL = 200; // so that a short course sees the end of a session
    private static final long TTL = 400;
    private static final Interleavings COURSES = new Interleavings(LeaseModel.CHOICES);
    private static final int[] OFTEN = {0, 0, 14, 14, 14, 4, 5, 8, 9}; // time passes, mail arrives, clients look

    @Test
    void noCourseUpToThisLengthHasTwoHolders() {
        Interleavings.Found all = COURSES.all(() -> new LeaseModel(LeaseModel.Fault.NONE, SHORT_TTL), DEPTH);
        assertNull(all.broken());
        System.out.println("two holders: all courses of up to " + DEPTH + " steps, " + all.states() + " states");
        String found = COURSES.all(() -> new LeaseModel(LeaseModel.Fault.ENDED_EARLY, SHORT_TTL), DEPTH)
                .broken();
        assertNotNull(found, "a session that is ended early must show within this length");
        System.out.println("two holders: ended early, " + found);
    }

    private static LeaseModel random(LeaseModel.Fault fault, long seed) {
        return COURSES.random(() -> new LeaseModel(fault, TTL), seed, STEPS, OFTEN, 1);
    }

    @Test
    void noCourseAtRandomHasTwoHolders() {
        long acts = 0;
        long late = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            LeaseModel w = random(LeaseModel.Fault.NONE, seed);
            long at = seed;
            assertNull(w.broken(), () -> "seed " + at);
            acts += w.acts();
            late += w.lateActs();
        }
        System.out.println("two holders: seeds 1 to " + SCHEDULES + ", " + acts + " acts, " + late
                + " turned away by their token after a stop between look and write");
        assertTrue(acts > 0 && late > 0);
    }

    /** A test of the tests: what is planted is found. */
    @ParameterizedTest
    @EnumSource(value = LeaseModel.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFound(LeaseModel.Fault fault) {
        String found = Interleavings.firstBroken(seed -> random(fault, seed), SCHEDULES);
        assertNotNull(found, fault + " was not found by " + SCHEDULES + " seeds");
        System.out.println("two holders: " + fault + " is found by " + found);
    }
}
