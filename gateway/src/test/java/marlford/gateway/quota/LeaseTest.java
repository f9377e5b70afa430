package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The two sides of one lease, each by itself. */
class LeaseTest {
    private static final QuotaMessage.Named NAMED = new QuotaMessage.Named(1, 0, 0, 3);
    private static final CeilingShare.Fill FILL = new CeilingShare.Fill(true, 1);
    private static final int PEER = 4;
    private static final int LIFE = 77;
    private static final double NOW = 100_000;

    private static QuotaLedger book() {
        return new QuotaLedger(NAMED, new LedgerPlacement(new int[] {0}, new int[0]), Tier.LARGE, null, NOW);
    }

    private static double lease(QuotaLedger b, double now, int serial, double units, double held, double returned) {
        QuotaMessage.LeaseRequest request = new QuotaMessage.LeaseRequest(serial, NAMED, QuotaMessage.Of.STORE, units, held, returned);
        return b.lease(now, PEER, LIFE, request, true, FILL);
    }

    private static LeaseHolder busy(QuotaMessage.Of of) {
        LeaseHolder h = new LeaseHolder(of);
        for (int i = 0; i < 10; i++) {
            h.tried(NOW, 2);
        }
        return h;
    }

    /** What is leased leaves the store at once, and its room stays taken until it is spent or the term ends. */
    @Test
    void aStoreFillsUpToItsBurstLessWhatIsLeased() {
        QuotaLedger b = book();
        assertEquals(10, lease(b, NOW, 1, 10, 0, 0));
        assertEquals(16, b.level());
        b.touch(NOW + 1000, FILL);
        assertEquals(16, b.level(), "full, less the lease");
        assertEquals(0, lease(b, NOW + 1000, 2, 0.5, 4, 0), "too little to grant; six were spent");
        b.touch(NOW + 2000, FILL);
        assertEquals(22, b.level(), 1e-9);
        b.touch(NOW + 2000 + LeaseLedger.LENT_MS, FILL);
        assertEquals(26, b.level(), 1e-9, "the holder was never heard again");
    }

    @Test
    void aRequestIsSettledOnce() {
        QuotaLedger b = book();
        assertEquals(10, lease(b, NOW, 1, 10, 0, 0));
        assertEquals(10, lease(b, NOW, 1, 10, 0, 0), "a repeat has the first answer");
        assertEquals(16, b.level());
        assertEquals(0, lease(b, NOW, 2, 0, 0, 10));
        assertEquals(26, b.level(), "all of it came back");
        assertEquals(0, lease(b, NOW, 2, 0, 0, 10));
        assertEquals(0, lease(b, NOW, 1, 10, 0, 0), "older than the last");
        assertEquals(26, b.level());
    }

    /** No request gets more than half of what is there, and all together no more than a part of the burst. */
    @Test
    void aLeaseIsAFairPart() {
        QuotaLedger b = book();
        assertEquals(13, lease(b, NOW, 1, 60, 0, 0));
        assertEquals(Math.floor(4 * (QuotaLedger.LEASED_MOST * 26 - 13)) / 4, lease(b, NOW + 500, 2, 60, 13, 0));
        assertEquals(0, lease(b, NOW + 600, 3, 60, 18, 0));
    }

    @Test
    void whoIsNotInChargeGrantsNothing() {
        QuotaLedger b = book();
        QuotaMessage.LeaseRequest request = new QuotaMessage.LeaseRequest(1, NAMED, QuotaMessage.Of.STORE, 5, 0, 0);
        assertEquals(0, b.lease(NOW, PEER, LIFE, request, false, FILL));
        assertEquals(0, b.lease(NOW, PEER, LIFE, request, true, new CeilingShare.Fill(false, 1)), "another process fills it");
        assertEquals(26, b.level());
    }

    /** The holder's term runs from its asking, however late the grant comes; the owner's from its giving, and is longer. */
    @Test
    void theTermIsCountedFromTheAsking() {
        LeaseHolder h = busy(QuotaMessage.Of.STORE);
        h.request(NOW, 1, PEER, NAMED);
        h.granted(NOW + 1500, PEER, LIFE, 1, 8);
        assertTrue(h.take(NOW + 1999, 2));
        assertFalse(h.take(NOW + LeaseLedger.USE_MS, 2));
        h.request(NOW + 3000, 2, PEER, NAMED);
        h.granted(NOW + 3000 + LeaseLedger.USE_MS, PEER, LIFE, 2, 8);
        assertFalse(h.take(NOW + 3000 + LeaseLedger.USE_MS, 2), "too late to be of use");
        assertTrue(LeaseLedger.LENT_MS > LeaseLedger.USE_MS);
    }

    @Test
    void onlyTheOpenRequestsGrantIsTaken() {
        LeaseHolder h = busy(QuotaMessage.Of.STORE);
        h.request(NOW, 1, PEER, NAMED);
        h.granted(NOW, PEER + 1, LIFE, 1, 8);
        h.granted(NOW, PEER, LIFE, 2, 8);
        assertFalse(h.take(NOW, 1));
        h.granted(NOW, PEER, LIFE, 1, 8);
        h.granted(NOW, PEER, LIFE, 1, 8);
        assertTrue(h.take(NOW, 8));
        assertFalse(h.take(NOW, 1), "once");
    }

    /** Its keeper's next life does not count what the former granted: it is given up, not prolonged. */
    @Test
    void whatAFormerLifeGrantedIsNotProlonged() {
        LeaseHolder h = busy(QuotaMessage.Of.STORE);
        h.request(NOW, 1, PEER, NAMED);
        h.granted(NOW, PEER, LIFE, 1, 8);
        h.request(NOW + 1000, 2, PEER, NAMED);
        h.granted(NOW + 1000, PEER, LIFE + 1, 2, 3);
        assertFalse(h.take(NOW + 1000, 4));
        assertTrue(h.take(NOW + 1000, 3));
    }

    /** Ceiling units count as held until they must have reached a host, also where they were another owner's. */
    @Test
    void whatIsOnItsWayToAHostIsHeld() {
        LeaseHolder h = busy(QuotaMessage.Of.CEILING);
        h.request(NOW, 1, PEER, NAMED);
        h.granted(NOW, PEER, LIFE, 1, 8);
        assertTrue(h.take(NOW + 100, 3));
        assertEquals(8, h.request(NOW + 200, 2, PEER, NAMED).held());
        h.granted(NOW + 200, PEER, LIFE, 2, 0);
        assertEquals(3, h.request(NOW + 300, 3, PEER + 1, NAMED).held());
        h.granted(NOW + 300, PEER + 1, LIFE, 3, 2);
        assertEquals(2, h.request(NOW + 100 + CeilingShare.LENT_MS, 4, PEER + 1, NAMED).held());
    }

    /** Without demand a lease ends, and what is left of it goes back. */
    @Test
    void anIdleLeaseGoesBack() {
        LeaseHolder h = busy(QuotaMessage.Of.STORE);
        assertTrue(h.active(NOW));
        h.request(NOW, 1, PEER, NAMED);
        h.granted(NOW, PEER, LIFE, 1, 8);
        h.take(NOW, 2);
        h.request(NOW + 1900, 2, PEER, NAMED);
        h.granted(NOW + 1900, PEER, LIFE, 2, 0);
        assertTrue(h.active(NOW + 3000));
        for (int i = 3; i <= 6; i++) {
            h.request(NOW + 1000 * i, i, PEER, NAMED);
            h.granted(NOW + 1000 * i, PEER, LIFE, i, 0);
        }
        assertFalse(h.active(NOW + 7500));
        QuotaMessage.LeaseRequest end = h.end(NOW + 7500, 9, NAMED);
        assertEquals(new QuotaMessage.LeaseRequest(9, NAMED, QuotaMessage.Of.STORE, 0, 0, 6), end);
        assertNull(h.end(NOW + 7500, 10, NAMED));
        assertFalse(h.take(NOW + 7500, 1));
    }

    /** A request that was never sent on gives its units back to the lease, but not those the owner was told are spent. */
    @Test
    void unitsComeBackWhileTheOwnerCountsThem() {
        LeaseHolder h = busy(QuotaMessage.Of.STORE);
        h.request(NOW, 1, PEER, NAMED);
        h.granted(NOW, PEER, LIFE, 1, 8);
        h.take(NOW, 8);
        h.back(2);
        assertTrue(h.take(NOW, 2));
        h.request(NOW + 500, 2, PEER, NAMED);
        h.back(2);
        assertFalse(h.take(NOW + 500, 1));
    }
}
