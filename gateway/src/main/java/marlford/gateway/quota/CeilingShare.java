package marlford.gateway.quota;

import java.util.ArrayDeque;

/**
 * One gateway's share of a customer's ceiling. Only this gateway grants units of the share.
 *
 * <p><b>Why the ceiling is never exceeded (rule 5).</b> Let S be the units that the true bucket would let pass, K the units
 * in the local buckets, and L the units that were granted and may not have been sent on yet, K and L summed over all share
 * holders. K + L never exceeds S:
 * <ul>
 * <li>At the start K + L is at most S.
 * <li>A grant moves units from K to L; a unit that is sent on leaves L and S alike.
 * <li>S fills at the ceiling's rate while it is below its burst; K fills at shares of that rate that sum to one.
 * <li>At its burst S fills no more, so each share is kept to its part of the burst <em>less</em> what it has outstanding.
 * </ul>
 * Granted units must be sent on within {@link #SEND_WITHIN_MS} of their query and are counted here for
 * {@link #OUTSTANDING_MS} from the grant, which is later. Units that are not used are lost, never returned.
 *
 * <p><b>Leases</b> ({@link LeaseLedger}) are granted from the same share and count in L. At most {@link #MAX_LEASED_SHARE}
 * of a share is leased. A later incarnation of this gateway does not know what the former one leased: it starts with an
 * empty bucket, and until the last of those leases has ended it keeps its bucket to what the former incarnation could not
 * have leased and leases nothing itself. Thus the leases of at most one former incarnation are outstanding. While another
 * process holds the right to fill, nothing is leased, so that no lease outlasts that time.
 *
 * <p>Bound: {@value #MAX_GRANTS} grants are tracked one by one; beyond that, a new grant is merged with
 * the latest one, and both expire with the new one.
 */
final class CeilingShare {
    /** Time from its query within which a granted unit has to be sent on, in milliseconds. */
    static final double SEND_WITHIN_MS = 400;
    /**
     * Time from the grant for which a unit counts as outstanding, in milliseconds. A request that is sent on at the last
     * moment may still have to connect.
     */
    static final double OUTSTANDING_MS = 750;
    /** Part of a share that may be leased at a time. */
    static final double MAX_LEASED_SHARE = 0.5;
    private static final int MAX_GRANTS = 64;

    private record Grant(double expiresAt, double units) { }

    private final double rate;
    private final double capacity;
    private final ArrayDeque<Grant> grants = new ArrayDeque<>();
    private final LeaseLedger leases = new LeaseLedger();
    private final double formerLeasesEndAt; // End of the last lease that a former incarnation may have granted.
    private double granted;
    private double level;
    private double filledAt;

    /**
     * Creates the share.
     *
     * @param share of the ceiling, 0 to 1
     * @param since time since which no earlier incarnation of this gateway has granted anything
     */
    CeilingShare(QuotaTerms terms, double share, double since) {
        rate = terms.ceilingRate() * share;
        capacity = terms.ceilingBurst() * share;
        filledAt = since + OUTSTANDING_MS; // units granted by the former incarnation may be on their way until then
        formerLeasesEndAt = since + LeaseLedger.OWNER_TERM_MS;
    }

    /**
     * How the bucket fills at present.
     *
     * @param active false while another process of this gateway holds the right to fill
     * @param fraction of this gateway's share of a ceiling, above 0 to 1; below 1 next to gateways that split it
     *     differently
     */
    record FillMode(boolean active, double fraction) { }

    /** Returns the units that can be granted now. */
    double available(double now, FillMode fill) {
        while (!grants.isEmpty() && grants.peekFirst().expiresAt() <= now) {
            granted -= grants.pollFirst().units();
        }
        if (grants.isEmpty()) {
            granted = 0; // discards rounding residue
        }
        double filled = Math.max(0, now - filledAt) / 1000 * rate * fill.fraction();
        filledAt = Math.max(filledAt, now);
        // What another process adds to its bucket is subtracted here, or both together would hold more than one may.
        double remaining = fill.active() ? level + filled : Math.min(level, Math.max(0, level - filled));
        double limit = now < formerLeasesEndAt ? (1 - MAX_LEASED_SHARE) * capacity : capacity;
        level = Math.min(remaining, limit * fill.fraction() - granted - leases.outstanding(now));
        return level;
    }

    /** Whether the share holds all that it can, and no unit of it is on its way or leased. */
    boolean isFull(double now, FillMode fill) {
        return available(now, fill) >= capacity * fill.fraction() && now >= formerLeasesEndAt;
    }

    /** Grants units, at most as many as {@link #available} returned. */
    void grant(double now, double units) {
        level -= units;
        granted += units;
        double expiringUnits = units;
        if (grants.size() >= MAX_GRANTS) {
            expiringUnits += grants.pollLast().units();
        }
        grants.addLast(new Grant(now + OUTSTANDING_MS, expiringUnits));
    }

    /**
     * Settles a lease request and grants what there is room for.
     *
     * @param incarnation of the lease holder
     * @return units granted in addition to those held
     */
    double lease(double now, int peer, int incarnation, QuotaMessage.LeaseRequest request, FillMode fill) {
        LeaseLedger.Settlement settled = leases.settle(now, peer, incarnation, request);
        if (settled.repeat()) {
            return settled.granted();
        }
        level += settled.returned();
        double available = available(now, fill);
        if (!fill.active() || now < formerLeasesEndAt) {
            return 0;
        }
        double units = leases.grant(now, peer, incarnation, request, available, MAX_LEASED_SHARE * capacity * fill.fraction());
        level -= units;
        return units;
    }
}
