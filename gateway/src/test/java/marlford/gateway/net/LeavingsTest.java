package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LeavingsTest {
    @Test
    void onlyWhatIsSentOnLongAfterItsClientLeftIsCountedAsSuch() {
        Leavings l = new Leavings();
        l.left(false);
        l.left(false);
        l.left(true);
        l.sent(Double.NEGATIVE_INFINITY); // its client is there
        l.sent(Leavings.SOON_MS);
        assertEquals(" left_waiting=2 left_served=1", l.take());
        l.sent(Leavings.SOON_MS + 1);
        assertEquals(" sent_for_left=1", l.take());
        assertEquals("", l.take());
    }
}
