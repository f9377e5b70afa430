package marlford.storm;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The search finds an order where there is one, and none where there is none. */
class LinearTest {
    private static final long NEVER = Long.MAX_VALUE;

    private static Linear.Op grant(long token, long call, long back) {
        return new Linear.Op(true, token, call, back);
    }

    private static Linear.Op back(long token, long call) {
        return new Linear.Op(false, token, call, NEVER);
    }

    @Test
    void twoHoldersAreFound() {
        assertTrue(Linear.holds(List.of(grant(1, 0, 10), back(1, 20), grant(2, 5, 30))));
        assertFalse(Linear.holds(List.of(grant(1, 0, 10), back(1, 20), grant(2, 5, 15))));
        assertFalse(Linear.holds(List.of(grant(1, 0, 10), grant(2, 5, 15)))); // nobody gave it back
    }

    @Test
    void aTokenThatGoesBackIsFound() {
        assertFalse(Linear.holds(List.of(grant(2, 0, 10), back(2, 20), grant(1, 25, 30))));
        assertTrue(
                Linear.holds(List.of(grant(2, 0, 10), back(2, 20), grant(1, 25, NEVER)))); // it may not have happened
    }

    /** Any history that was made one step after the other has an order, and none with two grants at one moment has. */
    @Test
    void whatHappenedInOrderIsFoundToHave() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            List<Linear.Op> ops = new ArrayList<>();
            long now = 1000;
            for (long token = 1; token <= 100; token++) {
                long granted = now + random.nextInt(20);
                long gave = granted + random.nextInt(20);
                ops.add(grant(token, granted - random.nextInt(200), granted + random.nextInt(3)));
                ops.add(back(token, gave));
                now = gave + 3;
            }
            assertTrue(Linear.holds(ops), "seed " + seed);
            int at = 2 * random.nextInt(99);
            Linear.Op release = ops.get(at + 1);
            ops.set(at + 1, back(release.token(), ops.get(at + 2).back() + 1)); // given back after the next had it
            assertFalse(Linear.holds(ops), "seed " + seed);
        }
    }
}
