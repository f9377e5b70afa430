package marlford.gateway.quota;

import java.util.ArrayDeque;

/**
 * The holder's side of one lease: units of one customer's bucket that this gateway may spend without a query. The size of
 * the lease follows this gateway's own demand for the customer. {@link LeaseLedger} has the owner's side and the safety
 * proof.
 *
 * <p>One request is open at a time. The lease is renewed before its units run out and before its term ends. Each request
 * states what is still held, so that the owner needs no other report. No I/O and no clock; not thread-safe.
 */
final class LeaseHolder {
    /** Requests per second from which on units are leased in advance. */
    static final double MIN_ATTEMPTS_PER_S_TO_LEASE = 1;
    /**
     * Requests per second below which a lease is returned. The gap to the former value keeps random variation from starting
     * and ending leases.
     */
    static final double MIN_ATTEMPTS_PER_S_TO_KEEP = 0.4;
    private static final double DEMAND_AVERAGING_MS = 3000;
    private static final double COVERED_DEMAND_S = 1.5; // demand that one lease is to cover
    private static final double URGENT_BELOW_DEMAND_S = 0.5; // a renewal is urgent when the units left cover less than this much demand
    private static final double DUE_SOON_TARGET_SHARE = 0.8; // share of the target size below which a lease joins the renewal of others
    private static final double RENEWAL_LEAD_MS = LeaseLedger.HOLDER_TERM_MS / 4; // a lease is renewed this long before its end
    private static final double LARGEST_REQUEST_DECAY = 0.97; // decay of the largest recent request at each renewal
    private static final double RETRANSMIT_AFTER_MS = 150; // time after which an unanswered request is retransmitted
    private static final int MAX_SENDS = 3;
    private static final double PAUSE_AFTER_NO_GRANT_MS = 1000; // pause after a grant of zero units, or after no answer
    private static final double MIN_UNITS = 0.25; // resolution of amounts in messages

    private record SpentUnits(double at, double units) { }

    private final QuotaMessage.UnitScope scope;
    private final double termMs;
    private final ArrayDeque<SpentUnits> spent = new ArrayDeque<>(0); // Ceiling units that may not have reached a host yet.
    private int owner = -1;
    private int ownerIncarnation;
    private double units;
    private double spentSinceRequest; // Units spent since the last request was written; the owner still counts them as held.
    private double validUntil = Double.NEGATIVE_INFINITY;
    private double demand; // units per second
    private double attemptsPerS;
    private double largestRequest; // of recent attempts, in units
    private double demandAt;
    private QuotaMessage.LeaseRequest openRequest;
    private int openRequestTarget;
    private double openedAt;
    private double sentAt;
    private int sendCount;
    private double pausedUntil = Double.NEGATIVE_INFINITY;

    LeaseHolder(QuotaMessage.UnitScope scope) {
        this(scope, LeaseLedger.HOLDER_TERM_MS);
    }

    /** @param termMs time from the first sending of a request for which its lease may be spent; settable for tests */
    LeaseHolder(QuotaMessage.UnitScope scope, double termMs) {
        this.scope = scope;
        this.termMs = termMs;
    }

    /** Records that a request of this many units was attempted here. */
    void recordAttempt(double now, double requested) {
        decay(now);
        demand += requested * 1000 / DEMAND_AVERAGING_MS;
        attemptsPerS += 1000 / DEMAND_AVERAGING_MS;
        largestRequest = Math.max(largestRequest, requested);
    }

    private void decay(double now) {
        double retained = Math.exp((demandAt - now) / DEMAND_AVERAGING_MS);
        demand *= retained;
        attemptsPerS *= retained;
        demandAt = now;
    }

    /** Spends units of the lease. Returns false, and spends nothing, if the lease lacks them. */
    boolean spend(double now, double requested) {
        if (units < requested || now >= validUntil) {
            return false;
        }
        units -= requested;
        spentSinceRequest += requested;
        if (scope == QuotaMessage.UnitScope.CEILING) {
            spent.addLast(new SpentUnits(now, requested));
        }
        return true;
    }

    /** Takes back units that were spent but never sent on. Units that a later request no longer listed as held are lost. */
    void returnUnits(double unused) {
        double returnable = Math.min(unused, spentSinceRequest);
        spentSinceRequest -= returnable;
        units += returnable;
    }

    /** Returns whether there is a lease whose term has not ended. */
    boolean isHeld(double now) {
        return now < validUntil;
    }

    /** Returns the time by which units spent now must have been sent on. */
    double sendBy() {
        return validUntil;
    }

    /** Returns whether there is enough demand to lease for, or to keep the present lease. */
    boolean hasDemand(double now) {
        decay(now);
        return attemptsPerS >= (now < validUntil || openRequest != null ? MIN_ATTEMPTS_PER_S_TO_KEEP : MIN_ATTEMPTS_PER_S_TO_LEASE);
    }

    /** Returns whether nothing is held and no request is open. */
    boolean isIdle(double now) {
        return openRequest == null && now >= validUntil;
    }

    /** Returns whether this lease needs a message of its own now. */
    boolean isUrgent(double now) {
        if (openRequest != null) {
            return now - sentAt >= RETRANSMIT_AFTER_MS;
        }
        boolean endsSoon = now < validUntil && validUntil - now < RENEWAL_LEAD_MS;
        return now >= pausedUntil && (now >= validUntil || endsSoon || units < demand * URGENT_BELOW_DEMAND_S + largestRequest);
    }

    /** Returns whether this lease will need renewal soon and may join a message. */
    boolean isDueSoon(double now) {
        return openRequest == null ? now >= pausedUntil && unitsLeft(now) < DUE_SOON_TARGET_SHARE * targetUnits()
                : now - sentAt >= RETRANSMIT_AFTER_MS;
    }

    /** Returns the size that the lease should have by the present demand. */
    private double targetUnits() {
        return Math.min(LeaseLedger.MAX_LEASE_UNITS, demand * COVERED_DEMAND_S + largestRequest);
    }

    private double unitsLeft(double now) {
        return now < validUntil ? units : 0;
    }

    /** Returns the owner that the open request was sent to, or -1 if none is open. */
    int openRequestOwner() {
        return openRequest == null ? -1 : openRequestTarget;
    }

    /**
     * Returns the request to send now: the open one again if it has not been answered, or null if it has been sent often
     * enough.
     *
     * @param serial for a new request
     */
    QuotaMessage.LeaseRequest nextRequest(double now, int serial, int newOwner, QuotaMessage.CustomerKey key) {
        if (openRequest != null && sendCount >= MAX_SENDS) {
            openRequest = null;
            pausedUntil = now + PAUSE_AFTER_NO_GRANT_MS;
            return null;
        }
        if (openRequest == null || openRequestTarget != newOwner) {
            boolean sameOwner = owner == newOwner;
            double requested = Math.max(MIN_UNITS, targetUnits() - (sameOwner ? unitsLeft(now) : 0));
            openRequest = new QuotaMessage.LeaseRequest(serial, key, scope, requested, heldUnits(now, sameOwner), 0);
            openRequestTarget = newOwner;
            openedAt = now;
            sendCount = 0;
            spentSinceRequest = 0;
            largestRequest *= LARGEST_REQUEST_DECAY;
        }
        sendCount++;
        sentAt = now;
        return openRequest;
    }

    /**
     * Returns the units of that owner's lease that may still be spent, plus the ceiling units that may not have reached a
     * host, whichever owner granted them.
     */
    private double heldUnits(double now, boolean sameOwner) {
        while (!spent.isEmpty() && now - spent.peekFirst().at() >= CeilingShare.OUTSTANDING_MS) {
            spent.pollFirst();
        }
        return (sameOwner ? unitsLeft(now) : 0) + spent.stream().mapToDouble(SpentUnits::units).sum();
    }

    /** Ends the lease. Returns the request that reports this to the owner, or null if there was no lease. */
    QuotaMessage.LeaseRequest end(double now, int serial, QuotaMessage.CustomerKey key) {
        double unspent = unitsLeft(now);
        units = 0;
        spentSinceRequest = 0;
        openRequest = null;
        boolean hadLease = now < validUntil;
        validUntil = Double.NEGATIVE_INFINITY;
        return hadLease ? new QuotaMessage.LeaseRequest(serial, key, scope, 0, heldUnits(now, false), unspent) : null;
    }

    /** Returns the gateway that granted the last lease, or -1. */
    int owner() {
        return owner;
    }

    /**
     * Handles a grant. It is accepted if it answers the open request in time. Units held from another owner, or from
     * another incarnation of this owner, which does not count them, are given up.
     */
    void onGrant(double now, int from, int incarnation, int serial, double grantedUnits) {
        if (openRequest == null || openRequest.serial() != serial || openRequestTarget != from) {
            return;
        }
        double end = openedAt + termMs;
        openRequest = null;
        if (grantedUnits < MIN_UNITS) {
            pausedUntil = now + PAUSE_AFTER_NO_GRANT_MS;
        }
        boolean sameIncarnation = owner == from && ownerIncarnation == incarnation;
        double retained = sameIncarnation ? unitsLeft(now) : 0;
        if (now < end && retained + grantedUnits > 0) {
            owner = from;
            ownerIncarnation = incarnation;
            units = retained + grantedUnits;
            validUntil = end;
        }
    }
}
