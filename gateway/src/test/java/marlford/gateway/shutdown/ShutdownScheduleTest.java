package marlford.gateway.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** The phases of an end, over the whole range of deadlines that settings may name. */
class ShutdownScheduleTest {
    private static final double RESERVE_MS = 80; // of the least: four beats of 20 ms that a loop may be late

    /** Every phase once began 3 s after SIGTERM, whatever the deadlines: with those of 1 s SIGKILL came 1.3 s before. */
    @Property
    void everyPhaseComesInItsOrderAndAheadOfSigkill(@ForAll @DoubleRange(min = 0, max = 600_000) double longest) {
        ShutdownSchedule s = ShutdownSchedule.of(longest);
        assertEquals(Math.min(3000, longest) + 700, s.killedMs(), 1e-9);
        assertTrue(s.staysMs() >= 0 && s.staysMs() <= s.endsMs(), "clients leave before all is given up: " + s);
        assertTrue(s.acceptsMs() >= 400, "new connections come for 400 ms: " + s);
        assertTrue(s.acceptsMs() <= s.endsMs() && s.endsMs() < s.saysMs() && s.saysMs() < s.exitsMs(), "order: " + s);
        assertTrue(s.exitsMs() <= s.killedMs() - RESERVE_MS, "a late loop has no time left: " + s);
    }

    /** What was taken up to SIGTERM has all its time, and so has what comes while clients may stay. */
    @Property
    void whatWasTakenBeforeHasItsWholeTime(@ForAll @DoubleRange(min = 0, max = 3000) double longest) {
        assertTrue(ShutdownSchedule.of(longest).endsMs() >= longest);
    }

    @Test
    void theLongestDeadlinesGiveThePhasesThatTheyHadBefore() {
        assertEquals(new ShutdownSchedule(2000, 500, 3000, 3200, 3400, 3700), ShutdownSchedule.of(12_000));
    }
}
