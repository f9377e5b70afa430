package marlford.work;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An order runs once and has one end: every course of a small tier up to a length, and many long ones at random. */
class OnceTest {
    private static final int DEPTH = Integer.getInteger("marlford.work.depth", 6);
    private static final int SCHEDULES = Integer.getInteger("marlford.work.schedules", 100_000);
    private static final int STEPS = 100;
    private static final int[] OFTEN = {0, 0, 2, 3, 2, 3, 4, 4, 5, 8, 9, 10, 11, 12, 13}; // lines go, arrive, attempts run

    private static Tier play(Tier.Fault fault, int[] course) {
        Tier t = new Tier(fault);
        for (int choice : course) {
            t.step(choice);
            if (t.broken() != null) {
                break;
            }
        }
        return t;
    }

    private static Tier random(Tier.Fault fault, long seed) {
        Random random = new Random(seed);
        int[] course = new int[STEPS];
        for (int i = 0; i < STEPS; i++) {
            int choice = random.nextInt(Tier.CHOICES + OFTEN.length * 2);
            course[i] = choice < Tier.CHOICES ? choice : OFTEN[(choice - Tier.CHOICES) % OFTEN.length];
        }
        return play(fault, course);
    }

    @Test
    void noCourseUpToThisLengthRunsAnOrderTwice() {
        Set<UUID> seen = ConcurrentHashMap.newKeySet();
        List<int[]> edge = List.of(new int[0]);
        AtomicReference<String> broken = new AtomicReference<>();
        for (int depth = 0; depth < DEPTH && broken.get() == null; depth++) {
            edge = edge.parallelStream().flatMap(course -> IntStream.range(0, Tier.CHOICES).mapToObj(choice -> {
                int[] next = Arrays.copyOf(course, course.length + 1);
                next[course.length] = choice;
                Tier t = play(Tier.Fault.NONE, next);
                if (t.broken() != null) {
                    broken.compareAndSet(null, t.broken() + " by " + Arrays.toString(next));
                }
                return seen.add(UUID.nameUUIDFromBytes(t.state().getBytes(StandardCharsets.UTF_8))) ? next : null;
            })).filter(Objects::nonNull).toList();
        }
        assertNull(broken.get());
        System.out.println("work: all courses of up to " + DEPTH + " steps, " + seen.size() + " states");
    }

    @Test
    void noCourseAtRandomRunsAnOrderTwice() {
        long runs = 0;
        long takes = 0;
        long ends = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            Tier t = random(Tier.Fault.NONE, seed);
            long at = seed;
            assertNull(t.broken(), () -> "seed " + at);
            runs += t.runs();
            takes += t.takes();
            ends += t.ends();
        }
        System.out.println("work: seeds 1 to " + SCHEDULES + ", " + runs + " runs, " + takes + " takings over, " + ends + " ends");
        assertTrue(runs > 0 && takes > 0 && ends > 0);
    }

    /** A test of the tests: what is planted is found. */
    @ParameterizedTest
    @EnumSource(value = Tier.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFound(Tier.Fault fault) {
        String found = null;
        long seed = 0;
        while (found == null && seed < SCHEDULES) {
            found = random(fault, ++seed).broken();
        }
        assertNotNull(found, fault + " was not found by " + SCHEDULES + " seeds");
        System.out.println("work: " + fault + " is found by seed " + seed + ": " + found);
    }
}
