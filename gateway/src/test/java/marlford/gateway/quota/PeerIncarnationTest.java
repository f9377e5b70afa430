package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lives whose numbers are right are told at once, and no other life is unheard for long. */
class PeerIncarnationTest {
    private static final double NOW = 1e8;
    private static final int FIRST = (int) NOW - 50_000;
    private static final double STEP_MS = 300;

    private static PeerIncarnation known() {
        PeerIncarnation life = new PeerIncarnation();
        assertTrue(life.hears(NOW, FIRST));
        return life;
    }

    @Test
    void aLaterLifeBeginsAtOnceAndTheFormerIsOver() {
        PeerIncarnation life = known();
        assertTrue(life.hears(NOW + 1, FIRST + 2000));
        assertFalse(life.hears(NOW + 2, FIRST)); // overtaken on the way
        assertFalse(life.hears(NOW + 5000, FIRST));
        assertEquals(FIRST + 2000, life.number());
    }

    /** An earlier number, and one that is an hour in the future. */
    @ParameterizedTest
    @ValueSource(ints = {-3_600_000, -3000, 3_600_000 + 50_000})
    void aLifeWithAWrongNumberIsHeardAfterASecond(int apart) {
        PeerIncarnation life = known();
        double at = NOW;
        while (!life.hears(at, FIRST + apart)) {
            assertTrue(at < NOW + PeerIncarnation.CONFIRM_MS + STEP_MS, "unheard");
            at += STEP_MS;
        }
        assertTrue(at >= NOW + PeerIncarnation.CONFIRM_MS);
        assertFalse(life.hears(at, FIRST));
    }

    @Test
    void aStrayMessageBeginsNoLifeWhileThePresentOneSpeaks() {
        PeerIncarnation life = known();
        for (double at = NOW; at < NOW + 20 * PeerIncarnation.CONFIRM_MS; at += STEP_MS) {
            assertFalse(life.hears(at, FIRST - 1000));
            assertTrue(life.hears(at + 1, FIRST));
        }
    }

    @Test
    void numbersRunOver() {
        PeerIncarnation life = new PeerIncarnation();
        double late = Integer.MAX_VALUE - 10.0;
        assertTrue(life.hears(late, Integer.MAX_VALUE - 1000));
        assertTrue(life.hears(late + 5000, Integer.MIN_VALUE + 100));
    }
}
