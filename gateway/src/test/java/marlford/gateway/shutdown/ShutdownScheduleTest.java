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
        assertEquals(Math.min(3000, longest) + 700, s.killMs(), 1e-9);
        assertTrue(s.keepClientsUntilMs() >= 0 && s.keepClientsUntilMs() <= s.abandonMs(),
                "client connections are closed before requests are abandoned: " + s);
        assertTrue(s.acceptUntilMs() >= 400, "new connections arrive for 400 ms: " + s);
        assertTrue(s.acceptUntilMs() <= s.abandonMs() && s.abandonMs() < s.peerFarewellMs() && s.peerFarewellMs() < s.exitMs(),
                "phases out of order: " + s);
        assertTrue(s.exitMs() <= s.killMs() - LATE_LOOP_RESERVE_MS, "no time is left for a late event loop: " + s);
    }

    /** Requests accepted before SIGTERM keep their whole deadline, and so do those accepted while clients may stay. */
    @Property
    void acceptedRequestsKeepTheirWholeDeadline(@ForAll @DoubleRange(min = 0, max = 3000) double longest) {
        assertTrue(ShutdownSchedule.of(longest).abandonMs() >= longest);
    }

    @Test
    void longestDeadlinesGiveTheDocumentedPhases() {
        assertEquals(new ShutdownSchedule(2000, 500, 3000, 3200, 3400, 3700), ShutdownSchedule.of(12_000));
    }
}
