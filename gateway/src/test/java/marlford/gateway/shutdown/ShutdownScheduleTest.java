package marlford.gateway.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** The phases of a shutdown, over the whole range of deadlines that settings may contain. */
class ShutdownScheduleTest {
    private static final double LATE_LOOP_RESERVE_MS = 80; // the event loop may be late by four ticks of 20 ms

    /** Phases fixed at 3 s after SIGTERM began 1.3 s after SIGKILL with deadlines of 1 s. */
    @Property
    void phasesAreInOrderAndBeforeSigkill(@ForAll @DoubleRange(min = 0, max = 600_000) double longest) {
        ShutdownSchedule s = ShutdownSchedule.of(longest);
        assertEquals(Math.min(3000, longest) + 700, s.killedMs(), 1e-9);
        assertTrue(s.staysMs() >= 0 && s.staysMs() <= s.endsMs(), "client connections are closed before requests are abandoned: " + s);
        assertTrue(s.acceptsMs() >= 400, "new connections arrive for 400 ms: " + s);
        assertTrue(s.acceptsMs() <= s.endsMs() && s.endsMs() < s.saysMs() && s.saysMs() < s.exitsMs(), "phases out of order: " + s);
        assertTrue(s.exitsMs() <= s.killedMs() - LATE_LOOP_RESERVE_MS, "no time is left for a late event loop: " + s);
    }

    /** Requests accepted before SIGTERM keep their whole deadline, and so do those accepted while clients may stay. */
    @Property
    void acceptedRequestsKeepTheirWholeDeadline(@ForAll @DoubleRange(min = 0, max = 3000) double longest) {
        assertTrue(ShutdownSchedule.of(longest).endsMs() >= longest);
    }

    @Test
    void longestDeadlinesGiveTheDocumentedPhases() {
        assertEquals(new ShutdownSchedule(2000, 500, 3000, 3200, 3400, 3700), ShutdownSchedule.of(12_000));
    }
}
