package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import marlford.gateway.EngineApi.Outcome;
import org.junit.jupiter.api.Test;

/** Each event is counted by its reason and, in a traced process, written as a line with the request id. */
class EventLogTest {
    @Test
    void countsByReasonAndResetsTheCounts() {
        EventLog log = new EventLog(ManualClock.stopped(), null);
        log.closed(1, CloseReason.IDLE, null);
        log.closed(2, CloseReason.IDLE, null);
        log.closed(3, CloseReason.STALLED_REQUEST, null);
        log.refused("a", EventLog.Refusal.ENDING);
        log.attemptStarted("a", 0, "h0");
        log.attemptStarted("a", 1, "h1");
        assertEquals(" closed_idle=2 closed_stalled_request=1 refused_ending=1 retried=1", log.takeCounts());
        assertEquals("", log.takeCounts());
    }

    @Test
    void tracedProcessWritesEachEventWithItsRequestId() {
        List<String> lines = new ArrayList<>();
        EventLog log = new EventLog(ManualClock.stopped(), lines::add);
        log.requestReceived(7, "a", 1500);
        log.attemptEnded("a", 1, Outcome.RESET);
        log.closed(7, CloseReason.BY_CLIENT, "a");
        assertEquals(3, lines.size());
        assertTrue(lines.get(0).endsWith(" taken request=a client=7 remaining_ms=1500"), lines.get(0));
        assertTrue(lines.get(1).endsWith(" attempt-ended request=a number=1 outcome=reset"), lines.get(1));
        assertTrue(lines.get(2).endsWith(" closed client=7 reason=by_client request=a"), lines.get(2));
    }
}
