package marlford.gateway;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import marlford.gateway.EngineApi.*;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The quota state of customers: no claimed plan, no restart of a peer and no message may fill a token bucket that is spent. */
class CustomerStateTest {
    /** Guards against a client that spends its plan's bucket, names another plan, and gets full buckets each time. */
    @Test
    void anotherPlanForACustomerGetsNoNewBuckets() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        int requests = 0;
        while (g.refused.isEmpty() && requests < 1000) {
            g.request("s" + requests++, "read", "small", 1, 1, 1);
        }
        assertFalse(g.refused.isEmpty());
        int before = g.refused.size();
        for (int i = 0; i < 5; i++) {
            g.request("f" + i, "read", i % 2 == 0 ? "capped" : "small", 1, 1, 1);
        }
        assertEquals(before + 5, g.refused.size());
    }

    /** A request that never reached a host is answered well before half of the client's time is over. */
    @Test
    void requestThatReachesNoHostIsRefusedEarly() {
        FakeGateway g = FakeGateway.alone();
        g.request("r", "pay");
        g.advance(1400);
        assertEquals(List.of("r"), g.refused);
        FakeGateway h = FakeGateway.alone().withHosts("a1");
        h.request("r", "read");
        h.advance(1400);
        h.endAttempt("r", 0, Outcome.CONNECT_FAILED, 1400);
        assertEquals(List.of("r"), h.refused);
    }

    /** Guards against a message with an incarnation from the future, after which the peer's own messages seem late for weeks. */
    @Test
    void incarnationFromTheFutureBlocksNoPeer() {
        FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(0, 2)).withHosts("a1");
        LedgerMessage.Entry entry = new LedgerMessage.Entry(false, true, false, false, false, 5, 0, 0, 2, 1, 0, 1, 1, 0, 0);
        g.engine.onPeerMessage(g.now, 1, new LedgerMessage(1_900_000_000, 0, 1, 0, List.of(entry)).encode());
        g.advance(1000);
        assertEquals(0, g.peerMessages.size());
        g.engine.onPeerMessage(g.now, 1, new LedgerMessage(1_000_000, 0, 1, 0, List.of(entry)).encode());
        g.advance(1000);
        assertEquals(1, g.peerMessages.size());
    }

    /**
     * A process starts while its wall clock is wrong. Guards against reports of use that peers ignore for as long as the clock was
     * off by.
     */
    @ParameterizedTest
    @ValueSource(ints = {3_600_000, 3000, -3000, -3_600_000})
    void useReportedByAPeerWithAWrongClockIsCounted(int errorMs) {
        int decidedHere = 0;
        for (long customer = 1; customer < 20; customer++) {
            FakeGateway g = new FakeGateway(1e8, FakeGateway.settings(0, 2)).withHosts("a1");
            g.advance(5000);
            reportUse(g, (int) 1e8, customer, 1, 0);
            g.request("before", "read", "small", customer, 1, 2);
            for (int serial = 1; serial < 8; serial++) { // its next incarnation uses the whole bucket
                g.advance(300);
                reportUse(g, (int) 1e8 + errorMs, customer, serial, serial < 6 ? 0 : 1000);
            }
            g.request("after", "read", "small", customer, 1, 2);
            assertEquals(0, g.attempts("after"), "customer " + customer);
            decidedHere += (int) g.attempts("before");
        }
        assertTrue(decidedHere > 0);
    }

    /** A peer that has evicted a customer counts its use from zero again. That returns no units to the bucket. */
    @Test
    void totalThatRestartsAtZeroFillsNoBucket() {
        for (long customer = 1; customer < 20; customer++) {
            FakeGateway g = new FakeGateway(1_000_000, FakeGateway.settings(0, 2)).withHosts("a1");
            g.advance(5000);
            reportUse(g, customer, 1, 0);
            reportUse(g, customer, 2, 1000); // the whole bucket is used at the other gateway
            g.request("before", "read", "small", customer, 1, 2);
            reportUse(g, customer, 3, 0);
            g.request("after", "read", "small", customer, 1, 2);
            g.advance(100);
            assertEquals(0, g.attempts("before"), "customer " + customer);
            assertEquals(0, g.attempts("after"), "customer " + customer);
        }
    }

    private static void reportUse(FakeGateway g, long customer, int serial, double used) {
        reportUse(g, 1_000_000, customer, serial, used);
    }

    private static void reportUse(FakeGateway g, int incarnation, long customer, int serial, double used) {
        LedgerMessage.Entry entry = new LedgerMessage.Entry(false, false, false, false, false, customer, 0, 0, 2, used, 0, 1, 0, 0, 0);
        g.engine.onPeerMessage(g.now, 1, new LedgerMessage(incarnation, 0, serial, 0, List.of(entry)).encode());
    }
}
