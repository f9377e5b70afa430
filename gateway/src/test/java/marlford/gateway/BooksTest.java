package marlford.gateway;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import marlford.gateway.EngineApi.*;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The books of customers: no claim, no return and no message may fill a store, and none may be kept for good. */
class BooksTest {
    /** A liar once emptied the first plan's store, named another, and got both full again, time after time. */
    @Test
    void anotherPlanInACustomersNameOpensNoNewBooks() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        int asked = 0;
        while (g.refused.isEmpty() && asked < 1000) {
            g.ask("s" + asked++, "read", "small", 1, 1, 1);
        }
        assertFalse(g.refused.isEmpty());
        int before = g.refused.size();
        for (int i = 0; i < 5; i++) {
            g.ask("f" + i, "read", i % 2 == 0 ? "capped" : "small", 1, 1, 1);
        }
        assertEquals(before + 5, g.refused.size());
    }

    /** What never reached a host is decided well before half of the client's time is over. */
    @Test
    void aRequestThatFindsNoHostIsRefusedEarly() {
        FakeGateway g = FakeGateway.alone();
        g.ask("r", "pay");
        g.pass(1400);
        assertEquals(List.of("r"), g.refused);
        FakeGateway h = FakeGateway.alone().withHosts("a1");
        h.ask("r", "read");
        h.pass(1400);
        h.end("r", 0, Outcome.CONNECT_FAILED, 1400);
        assertEquals(List.of("r"), h.refused);
    }

    /** A message whose life has yet to begin would make its sender's own words seem late for weeks. */
    @Test
    void aLifeThatHasNotBegunSilencesNoPeer() {
        FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(0, 2)).withHosts("a1");
        LedgerMessage.Entry entry = new LedgerMessage.Entry(false, true, false, false, false, 5, 0, 0, 2, 1, 0, 1, 1, 0, 0);
        g.engine.onPeerMessage(g.now, 1, new LedgerMessage(1_900_000_000, 0, 1, 0, List.of(entry)).bytes());
        g.pass(1000);
        assertEquals(0, g.told.size());
        g.engine.onPeerMessage(g.now, 1, new LedgerMessage(1_000_000, 0, 1, 0, List.of(entry)).bytes());
        g.pass(1000);
        assertEquals(1, g.told.size());
    }

    /** A process started while its wall clock was wrong: for as long as the clock was off by, nobody heard what it let in. */
    @ParameterizedTest
    @ValueSource(ints = {3_600_000, 3000, -3000, -3_600_000})
    void theUseOfAPeerWithAWrongClockIsUncounted(int errorMs) {
        int keptHere = 0;
        for (long customer = 1; customer < 20; customer++) {
            FakeGateway g = new FakeGateway(1e8, FakeGateway.settings(0, 2)).withHosts("a1");
            g.pass(5000);
            tellUse(g, (int) 1e8, customer, 1, 0);
            g.ask("before", "read", "small", customer, 1, 2);
            for (int serial = 1; serial < 8; serial++) { // its next life uses all of the store
                g.pass(300);
                tellUse(g, (int) 1e8 + errorMs, customer, serial, serial < 6 ? 0 : 1000);
            }
            g.ask("after", "read", "small", customer, 1, 2);
            assertEquals(0, g.sends("after"), "customer " + customer);
            keptHere += (int) g.sends("before");
        }
        assertTrue(keptHere > 0);
    }

    /** A gateway that forgot a customer counts its use from nought again; that gives nothing back. */
    @Test
    void aCountThatBeginsAnewFillsNoStore() {
        for (long customer = 1; customer < 20; customer++) {
            FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(0, 2)).withHosts("a1");
            g.pass(5000);
            tellUse(g, customer, 1, 0);
            tellUse(g, customer, 2, 1000); // all of the store is used elsewhere
            g.ask("before", "read", "small", customer, 1, 2);
            tellUse(g, customer, 3, 0);
            g.ask("after", "read", "small", customer, 1, 2);
            g.pass(100);
            assertEquals(0, g.sends("before"), "customer " + customer);
            assertEquals(0, g.sends("after"), "customer " + customer);
        }
    }

    private static void tellUse(FakeGateway g, long customer, int serial, double used) {
        tellUse(g, 1_000_000, customer, serial, used);
    }

    private static void tellUse(FakeGateway g, int life, long customer, int serial, double used) {
        LedgerMessage.Entry entry = new LedgerMessage.Entry(false, false, false, false, false, customer, 0, 0, 2, used, 0, 1, 0, 0, 0);
        g.engine.onPeerMessage(g.now, 1, new LedgerMessage(life, 0, serial, 0, List.of(entry)).bytes());
    }
}
