package marlford;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Interleavings through a small world of a test: every one up to a length, each state once, or many at random.
 *
 * @param choices how many things may happen next
 */
public record Interleavings(int choices) {
    /** A world that is driven one choice at a time, the same way each time. */
    public interface Model {
        void step(int choice);

        /** What its invariants found; null for nothing. */
        String broken();

        /** All that decides how it goes on. */
        String state();
    }

    /** What the first broken course up to this length broke, or null, and how many states there are. */
    public record Found(String broken, int states) {}

    private static <W extends Model> W play(Supplier<W> begin, int[] course) {
        W w = begin.get();
        for (int i = 0; i < course.length && w.broken() == null; i++) {
            w.step(course[i]);
        }
        return w;
    }

    public Found all(Supplier<? extends Model> begin, int length) {
        Set<UUID> seen = ConcurrentHashMap.newKeySet();
        List<int[]> edge = List.of(new int[0]);
        AtomicReference<String> broken = new AtomicReference<>();
        for (int depth = 0; depth < length && broken.get() == null; depth++) {
            edge = edge.parallelStream()
                    .flatMap(course -> IntStream.range(0, choices).mapToObj(choice -> {
                        int[] next = Arrays.copyOf(course, course.length + 1);
                        next[course.length] = choice;
                        Model w = play(begin, next);
                        if (w.broken() != null) {
                            broken.compareAndSet(null, w.broken() + " by " + Arrays.toString(next));
                        }
                        return seen.add(UUID.nameUUIDFromBytes(w.state().getBytes(StandardCharsets.UTF_8)))
                                ? next
                                : null;
                    }))
                    .filter(Objects::nonNull)
                    .toList();
        }
        return new Found(broken.get(), seen.size());
    }

    /** A course at random, as this seed has it; what is in {@code often} comes {@code times} as often besides. */
    public <W extends Model> W random(Supplier<W> begin, long seed, int steps, int[] often, int times) {
        Random random = new Random(seed);
        int[] course = new int[steps];
        for (int i = 0; i < steps; i++) {
            int choice = random.nextInt(choices + often.length * times);
            course[i] = choice < choices ? choice : often[(choice - choices) % often.length];
        }
        return play(begin, course);
    }

    /** The first seed whose world is broken, with what broke; null where none of so many is. */
    public static String firstBroken(IntFunction<? extends Model> ofSeed, int seeds) {
        for (int seed = 1; seed <= seeds; seed++) {
            String broken = ofSeed.apply(seed).broken();
            if (broken != null) {
                return "seed " + seed + ": " + broken;
            }
        }
        return null;
    }
}
