package marlford.register;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import marlford.Interleavings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An order runs once and has one end: every course of a small tier up to a length, and many long ones at random. */
class OnceTest {
    private static final int DEPTH = Integer.getInteger("marlford.register.depth", 7);
    private static final int SCHEDULES = Integer.getInteger("marlford.register.schedules", 100_000);
    private static final int STEPS = 100;
    private static final int[] OFTEN = {0, 0, 2, 3, 2, 3, 4, 4, 5, 8, 9, 10, 11, 12, 13
    }; // lines go, arrive, attempts run
    private static final Interleavings COURSES = new Interleavings(TierModel.CHOICES);

    private static TierModel random(TierModel.Fault fault, long seed) {
        return COURSES.random(() -> new TierModel(fault), seed, STEPS, OFTEN, 2);
    }

    @Test
    void noCourseUpToThisLengthRunsAnOrderTwice() {
        Interleavings.Found found = COURSES.all(() -> new TierModel(TierModel.Fault.NONE), DEPTH);
        assertNull(found.broken());
        System.out.println("work: all courses of up to " + DEPTH + " steps, " + found.states() + " states");
    }

    @Test
    void noCourseAtRandomRunsAnOrderTwice() {
        long runs = 0;
        long takes = 0;
        long ends = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            TierModel t = random(TierModel.Fault.NONE, seed);
            long at = seed;
            assertNull(t.broken(), () -> "seed " + at);
            runs += t.runs();
            takes += t.takes();
            ends += t.ends();
        }
        System.out.println(
                "work: seeds 1 to " + SCHEDULES + ", " + runs + " runs, " + takes + " takings over, " + ends + " ends");
        assertTrue(runs > 0 && takes > 0 && ends > 0);
    }

    /** A test of the tests: what is planted is found. */
    @ParameterizedTest
    @EnumSource(value = TierModel.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFound(TierModel.Fault fault) {
        String found = Interleavings.firstBroken(seed -> random(fault, seed), SCHEDULES);
        assertNotNull(found, fault + " was not found by " + SCHEDULES + " seeds");
        System.out.println("work: " + fault + " is found by " + found);
    }
}
