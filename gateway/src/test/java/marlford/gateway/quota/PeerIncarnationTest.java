package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Incarnations with a correct number are accepted at once, and any other incarnation soon. */
class PeerIncarnationTest {
    private static final double NOW = 1e8;
    private static final int FIRST_INCARNATION = (int) NOW - 50_000;
    private static final double STEP_MS = 300;

    private static PeerIncarnation knownIncarnation() {
        PeerIncarnation incarnation = new PeerIncarnation();
        assertTrue(incarnation.accept(NOW, FIRST_INCARNATION));
        return incarnation;
    }

    @Test
    void laterIncarnationBeginsAtOnceAndEndsTheFormer() {
        PeerIncarnation incarnation = knownIncarnation();
        assertTrue(incarnation.accept(NOW + 1, FIRST_INCARNATION + 2000));
        assertFalse(incarnation.accept(NOW + 2, FIRST_INCARNATION)); // overtaken on the way
        assertFalse(incarnation.accept(NOW + 5000, FIRST_INCARNATION));
        assertEquals(FIRST_INCARNATION + 2000, incarnation.number());
    }

    /** Covers numbers earlier than the present one, and one that is an hour in the future. */
    @ParameterizedTest
    @ValueSource(ints = {-3_600_000, -3000, 3_600_000 + 50_000})
    void incarnationWithWrongNumberIsAcceptedAfterASecond(int offsetMs) {
        PeerIncarnation incarnation = knownIncarnation();
        double at = NOW;
        while (!incarnation.accept(at, FIRST_INCARNATION + offsetMs)) {
            assertTrue(at < NOW + PeerIncarnation.CONFIRM_MS + STEP_MS, "the incarnation was not accepted in time");
            at += STEP_MS;
        }
        assertTrue(at >= NOW + PeerIncarnation.CONFIRM_MS);
        assertFalse(incarnation.accept(at, FIRST_INCARNATION));
    }

    @Test
    void strayMessageBeginsNoIncarnationWhileThePresentOneSends() {
        PeerIncarnation incarnation = knownIncarnation();
        for (double at = NOW; at < NOW + 20 * PeerIncarnation.CONFIRM_MS; at += STEP_MS) {
            assertFalse(incarnation.accept(at, FIRST_INCARNATION - 1000));
            assertTrue(incarnation.accept(at + 1, FIRST_INCARNATION));
        }
    }

    @Test
    void numbersWrapAround() {
        PeerIncarnation incarnation = new PeerIncarnation();
        double late = Integer.MAX_VALUE - 10.0;
        assertTrue(incarnation.accept(late, Integer.MAX_VALUE - 1000));
        assertTrue(incarnation.accept(late + 5000, Integer.MIN_VALUE + 100));
    }
}
