package marlford.lease;

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

/** Two holders never act at once: every course of a small world up to a length, and many long ones at random. */
class TwoHoldersTest {
    private static final int DEPTH = Integer.getInteger("marlford.depth", 8);
    private static final int SCHEDULES = Integer.getInteger("marlford.schedules", 100_000);
    private static final int STEPS = 80;
    private static final long SHORT_TTL = 200; // so that a short course sees the end of a session
    private static final long TTL = 400;
    private static final int[] OFTEN = {0, 0, 14, 14, 14, 4, 5, 8, 9}; // time passes, mail arrives, clients look

    private static World play(World.Fault fault, long ttl, int[] course) {
        World w = new World(fault, ttl);
        for (int choice : course) {
            w.step(choice);
            if (w.broken() != null) {
                break;
            }
        }
        return w;
    }

    /** Goes through all courses up to the length, each state once; returns what the first broken one broke. */
    private static String search(World.Fault fault, Set<UUID> seen) {
        List<int[]> edge = List.of(new int[0]);
        AtomicReference<String> broken = new AtomicReference<>();
        for (int depth = 0; depth < DEPTH && broken.get() == null; depth++) {
            edge = edge.parallelStream().flatMap(course -> IntStream.range(0, World.CHOICES).mapToObj(choice -> {
                int[] next = Arrays.copyOf(course, course.length + 1);
                next[course.length] = choice;
                World w = play(fault, SHORT_TTL, next);
                if (w.broken() != null) {
                    broken.compareAndSet(null, w.broken() + " by " + Arrays.toString(next));
                }
                return seen.add(UUID.nameUUIDFromBytes(w.state().getBytes(StandardCharsets.UTF_8))) ? next : null;
            })).filter(Objects::nonNull).toList();
        }
        return broken.get();
    }

    @Test
    void noCourseUpToThisLengthHasTwoHolders() {
        Set<UUID> seen = ConcurrentHashMap.newKeySet();
        assertNull(search(World.Fault.NONE, seen));
        System.out.println("two holders: all courses of up to " + DEPTH + " steps, " + seen.size() + " states");
        String found = search(World.Fault.ENDED_EARLY, ConcurrentHashMap.newKeySet());
        assertNotNull(found, "a session that is ended early must show within this length");
        System.out.println("two holders: ended early, " + found);
    }

    private static World random(World.Fault fault, long seed) {
        Random random = new Random(seed);
        int[] course = new int[STEPS];
        for (int i = 0; i < STEPS; i++) {
            int choice = random.nextInt(World.CHOICES + OFTEN.length);
            course[i] = choice < World.CHOICES ? choice : OFTEN[choice - World.CHOICES];
        }
        return play(fault, TTL, course);
    }

    @Test
    void noCourseAtRandomHasTwoHolders() {
        long acts = 0;
        long late = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            World w = random(World.Fault.NONE, seed);
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
    @EnumSource(value = World.Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFound(World.Fault fault) {
        String found = null;
        long seed = 0;
        while (found == null && seed < SCHEDULES) {
            found = random(fault, ++seed).broken();
        }
        assertNotNull(found, fault + " was not found by " + SCHEDULES + " seeds");
        System.out.println("two holders: " + fault + " is found by seed " + seed + ": " + found);
    }
}
