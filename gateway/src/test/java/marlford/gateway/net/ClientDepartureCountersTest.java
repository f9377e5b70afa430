package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ClientDepartureCountersTest {
    @Test
    void onlyWhatIsSentOnLongAfterItsClientLeftIsCountedAsSuch() {
        ClientDepartureCounters l = new ClientDepartureCounters();
        l.left(false);
        l.left(false);
        l.left(true);
        l.sent(Double.NEGATIVE_INFINITY); // its client is there
        l.sent(ClientDepartureCounters.SOON_MS);
        assertEquals(" left_waiting=2 left_served=1", l.take());
        l.sent(ClientDepartureCounters.SOON_MS + 1);
        assertEquals(" sent_for_left=1", l.take());
        assertEquals("", l.take());
    }
}
