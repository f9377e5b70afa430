package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each of the two sides of one lease by itself. */
class LeaseTest {
    private static final QuotaMessage.CustomerKey KEY = new QuotaMessage.CustomerKey(1, 0, 0, 3);
    private static final CeilingShare.FillMode FILLING = new CeilingShare.FillMode(true, 1);
    private static final int PEER = 4;
    private static final int INCARNATION = 77;
    private static final double NOW = 100_000;

    private static QuotaLedger newLedger() {
        return new QuotaLedger(KEY, new LedgerPlacement(new int[] {0}, new int[0]), SimulatedTier.LARGE, null, NOW);
    }

    private static double lease(QuotaLedger ledger, double now, int serial, double units, double held, double returned) {
        QuotaMessage.LeaseRequest request = new QuotaMessage.LeaseRequest(serial, KEY, QuotaMessage.UnitScope.QUOTA, units, held, returned);
        return ledger.lease(now, PEER, INCARNATION, request, true, FILLING);
    }

    private static LeaseHolder holderWithDemand(QuotaMessage.UnitScope scope) {
        LeaseHolder holder = new LeaseHolder(scope);
        for (int i = 0; i < 10; i++) {
            holder.recordAttempt(NOW, 2);
        }
        return holder;
    }

    /** Leased units leave the bucket at once, and their room stays taken until they are spent or the term ends. */
    @Test
    void bucketFillsUpToBurstLessLeasedUnits() {
        QuotaLedger ledger = newLedger();
        assertEquals(10, lease(ledger, NOW, 1, 10, 0, 0));
        assertEquals(16, ledger.level());
        ledger.advanceTo(NOW + 1000, FILLING);
        assertEquals(16, ledger.level(), "the bucket is full, less the leased units");
        assertEquals(0, lease(ledger, NOW + 1000, 2, 0.5, 4, 0), "too few units to grant; six units were spent");
        ledger.advanceTo(NOW + 2000, FILLING);
        assertEquals(22, ledger.level(), 1e-9);
        ledger.advanceTo(NOW + 2000 + LeaseLedger.OWNER_TERM_MS, FILLING);
        assertEquals(26, ledger.level(), 1e-9, "the term ended without another message of the holder");
    }

    @Test
    void leaseRequestIsSettledOnce() {
        QuotaLedger ledger = newLedger();
        assertEquals(10, lease(ledger, NOW, 1, 10, 0, 0));
        assertEquals(10, lease(ledger, NOW, 1, 10, 0, 0), "a retransmission receives the first answer");
        assertEquals(16, ledger.level());
        assertEquals(0, lease(ledger, NOW, 2, 0, 0, 10));
        assertEquals(26, ledger.level(), "all leased units were returned");
        assertEquals(0, lease(ledger, NOW, 2, 0, 0, 10));
        assertEquals(0, lease(ledger, NOW, 1, 10, 0, 0), "a request older than the last one grants nothing");
        assertEquals(26, ledger.level());
    }

    /** No request receives more than half of what is available, and all together no more than a share of the burst. */
    @Test
    void leaseIsLimitedToFairShare() {
        QuotaLedger ledger = newLedger();
        assertEquals(13, lease(ledger, NOW, 1, 60, 0, 0));
        assertEquals(Math.floor(4 * (QuotaLedger.MAX_LEASED_SHARE * 26 - 13)) / 4, lease(ledger, NOW + 500, 2, 60, 13, 0));
        assertEquals(0, lease(ledger, NOW + 600, 3, 60, 18, 0));
    }

    @Test
    void replicaNotInChargeGrantsNothing() {
        QuotaLedger ledger = newLedger();
        QuotaMessage.LeaseRequest request = new QuotaMessage.LeaseRequest(1, KEY, QuotaMessage.UnitScope.QUOTA, 5, 0, 0);
        assertEquals(0, ledger.lease(NOW, PEER, INCARNATION, request, false, FILLING));
        assertEquals(0, ledger.lease(NOW, PEER, INCARNATION, request, true, new CeilingShare.FillMode(false, 1)),
                "another process holds the right to fill");
        assertEquals(26, ledger.level());
    }

    /** The holder's term runs from its request, however late the grant arrives; the owner's runs from its grant and is longer. */
    @Test
    void holderTermStartsWithTheRequest() {
        LeaseHolder holder = holderWithDemand(QuotaMessage.UnitScope.QUOTA);
        holder.nextRequest(NOW, 1, PEER, KEY);
        holder.onGrant(NOW + 1500, PEER, INCARNATION, 1, 8);
        assertTrue(holder.spend(NOW + 1999, 2));
        assertFalse(holder.spend(NOW + LeaseLedger.HOLDER_TERM_MS, 2));
        holder.nextRequest(NOW + 3000, 2, PEER, KEY);
        holder.onGrant(NOW + 3000 + LeaseLedger.HOLDER_TERM_MS, PEER, INCARNATION, 2, 8);
        assertFalse(holder.spend(NOW + 3000 + LeaseLedger.HOLDER_TERM_MS, 2), "the grant arrived after the end of its term");
        assertTrue(LeaseLedger.OWNER_TERM_MS > LeaseLedger.HOLDER_TERM_MS);
    }

    @Test
    void onlyGrantForOpenRequestIsAccepted() {
        LeaseHolder holder = holderWithDemand(QuotaMessage.UnitScope.QUOTA);
        holder.nextRequest(NOW, 1, PEER, KEY);
        holder.onGrant(NOW, PEER + 1, INCARNATION, 1, 8);
        holder.onGrant(NOW, PEER, INCARNATION, 2, 8);
        assertFalse(holder.spend(NOW, 1));
        holder.onGrant(NOW, PEER, INCARNATION, 1, 8);
        holder.onGrant(NOW, PEER, INCARNATION, 1, 8);
        assertTrue(holder.spend(NOW, 8));
        assertFalse(holder.spend(NOW, 1), "a repeated grant is not added again");
    }

    /**
     * The next incarnation of the owner does not count what the former one granted: the holder gives it up instead of
     * extending it.
     */
    @Test
    void grantOfFormerIncarnationIsNotExtended() {
        LeaseHolder holder = holderWithDemand(QuotaMessage.UnitScope.QUOTA);
        holder.nextRequest(NOW, 1, PEER, KEY);
        holder.onGrant(NOW, PEER, INCARNATION, 1, 8);
        holder.nextRequest(NOW + 1000, 2, PEER, KEY);
        holder.onGrant(NOW + 1000, PEER, INCARNATION + 1, 2, 3);
        assertFalse(holder.spend(NOW + 1000, 4));
        assertTrue(holder.spend(NOW + 1000, 3));
    }

    /** Ceiling units count as held until they must have reached a host, even if another owner granted them. */
    @Test
    void unitsOnTheirWayToAHostCountAsHeld() {
        LeaseHolder holder = holderWithDemand(QuotaMessage.UnitScope.CEILING);
        holder.nextRequest(NOW, 1, PEER, KEY);
        holder.onGrant(NOW, PEER, INCARNATION, 1, 8);
        assertTrue(holder.spend(NOW + 100, 3));
        assertEquals(8, holder.nextRequest(NOW + 200, 2, PEER, KEY).held());
        holder.onGrant(NOW + 200, PEER, INCARNATION, 2, 0);
        assertEquals(3, holder.nextRequest(NOW + 300, 3, PEER + 1, KEY).held());
        holder.onGrant(NOW + 300, PEER + 1, INCARNATION, 3, 2);
        assertEquals(2, holder.nextRequest(NOW + 100 + CeilingShare.OUTSTANDING_MS, 4, PEER + 1, KEY).held());
    }

    /** Without demand a lease ends, and its remaining units are returned. */
    @Test
    void idleLeaseIsReturned() {
        LeaseHolder holder = holderWithDemand(QuotaMessage.UnitScope.QUOTA);
        assertTrue(holder.hasDemand(NOW));
        holder.nextRequest(NOW, 1, PEER, KEY);
        holder.onGrant(NOW, PEER, INCARNATION, 1, 8);
        holder.spend(NOW, 2);
        holder.nextRequest(NOW + 1900, 2, PEER, KEY);
        holder.onGrant(NOW + 1900, PEER, INCARNATION, 2, 0);
        assertTrue(holder.hasDemand(NOW + 3000));
        for (int i = 3; i <= 6; i++) {
            holder.nextRequest(NOW + 1000 * i, i, PEER, KEY);
            holder.onGrant(NOW + 1000 * i, PEER, INCARNATION, i, 0);
        }
        assertFalse(holder.hasDemand(NOW + 7500));
        QuotaMessage.LeaseRequest end = holder.end(NOW + 7500, 9, KEY);
        assertEquals(new QuotaMessage.LeaseRequest(9, KEY, QuotaMessage.UnitScope.QUOTA, 0, 0, 6), end);
        assertNull(holder.end(NOW + 7500, 10, KEY));
        assertFalse(holder.spend(NOW + 7500, 1));
    }

    /** Units of a request that was never sent on return to the lease, except those that a later request no longer lists as held. */
    @Test
    void unsentUnitsReturnWhileOwnerCountsThemAsHeld() {
        LeaseHolder holder = holderWithDemand(QuotaMessage.UnitScope.QUOTA);
        holder.nextRequest(NOW, 1, PEER, KEY);
        holder.onGrant(NOW, PEER, INCARNATION, 1, 8);
        holder.spend(NOW, 8);
        holder.returnUnits(2);
        assertTrue(holder.spend(NOW, 2));
        holder.nextRequest(NOW + 500, 2, PEER, KEY);
        holder.returnUnits(2);
        assertFalse(holder.spend(NOW + 500, 1));
    }
}
