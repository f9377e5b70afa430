package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Counters of clients that disconnected before they were answered. */
class ClientDepartureCountersTest {
    @Test
    void countsAttemptsSentLaterThanTheGraceTimeAfterTheDisconnect() {
        ClientDepartureCounters counters = new ClientDepartureCounters();
        counters.recordDisconnect(false);
        counters.recordDisconnect(false);
        counters.recordDisconnect(true);
        counters.recordSend(Double.NEGATIVE_INFINITY); // the client is still connected
        counters.recordSend(ClientDepartureCounters.SEND_GRACE_MS);
        assertEquals(" left_waiting=2 left_served=1", counters.takeCounts());
        counters.recordSend(ClientDepartureCounters.SEND_GRACE_MS + 1);
        assertEquals(" sent_for_left=1", counters.takeCounts());
        assertEquals("", counters.takeCounts());
    }
}
