package marlford.gateway.quota;

/**
 * The buckets of one customer as its ledger replica keeps them. The quota bucket can fall slightly below zero through a
 * report of another replica; a grant never takes it below zero.
 */
final class QuotaLedger {
    /** Share of the burst that may be leased at a time. */
    static final double MAX_LEASED_SHARE = 0.7;
    /**
     * Share of the burst that may be granted beyond the bucket's level while at least as much is leased and unspent, so
     * that units that lie idle at a lease holder cause no refusals. It bounds the amount by which leases can overrun a
     * quota.
     */
    static final double OVERCOMMIT_SHARE = 0.25;
    private static final double DEMAND_AVERAGING_MS = 2000; // longer than the gaps between requests

    final QuotaMessage.CustomerKey key;
    final LedgerPlacement placement;
    final QuotaTerms terms;
    private final LeaseLedger leases = new LeaseLedger();
    private final CeilingShare ceilingShare; // Null if the plan has no ceiling or this gateway has no share of it.
    /** Whether this gateway knows what was spent before it held the ledger, or held it from the beginning. */
    boolean informed;
    double lastUsedAt;
    double syncSentAt = Double.NEGATIVE_INFINITY;
    private double syncReceivedAt = Double.NEGATIVE_INFINITY; // When another replica last sent the state of this ledger.
    private double level;
    private double demand;
    private double updatedAt;

    QuotaLedger(QuotaMessage.CustomerKey key, LedgerPlacement placement, QuotaTerms terms, CeilingShare ceilingShare, double now) {
        this.key = key;
        this.placement = placement;
        this.terms = terms;
        this.ceilingShare = ceilingShare;
        this.level = terms.burst();
        this.updatedAt = now;
        this.lastUsedAt = now;
    }

    /** Refills the quota bucket and decays the demand up to the given time. */
    void advanceTo(double now, CeilingShare.FillMode fill) {
        double elapsedMs = now - updatedAt;
        if (elapsedMs <= 0) {
            return;
        }
        if (fill.active()) {
            level = Math.min(terms.burst() - leases.outstanding(now), level + elapsedMs / 1000 * terms.rate());
        }
        demand *= Math.exp(-elapsedMs / DEMAND_AVERAGING_MS);
        updatedAt = now;
    }

    /**
     * Decides on a request and takes the units that it grants.
     *
     * @param units of the request
     * @param refusedLocally units that the querying gateway has refused without a query
     * @param spentElsewhere units that another replica may have granted and not yet reported
     */
    QuotaMessage.Verdict decide(double now, double units, double refusedLocally, QuotaMessage.UnitScope scope, double spentElsewhere,
            CeilingShare.FillMode fill) {
        advanceTo(now, fill);
        lastUsedAt = now;
        if (scope != QuotaMessage.UnitScope.CEILING) {
            demand += (units + refusedLocally) / DEMAND_AVERAGING_MS * 1000;
            if (terms.rate() > 0 && level + unspentLeases(now) - spentElsewhere < units) {
                return QuotaMessage.Verdict.QUOTA_EXHAUSTED;
            }
            level -= terms.rate() > 0 ? units : 0;
        }
        if (scope == QuotaMessage.UnitScope.QUOTA || terms.ceilingRate() <= 0) {
            return QuotaMessage.Verdict.GRANTED;
        }
        if (ceilingShare == null || ceilingShare.available(now, fill) < units) {
            return QuotaMessage.Verdict.CEILING_EXHAUSTED;
        }
        ceilingShare.grant(now, units);
        return QuotaMessage.Verdict.GRANTED;
    }

    /**
     * Settles a lease request and grants what there is room for. Leased units leave the bucket at once, and the bucket
     * fills up to its burst less the leased units.
     *
     * @param incarnation of the lease holder
     * @param inCharge whether this gateway may lease units of the quota
     * @return units granted in addition to those held
     */
    double lease(double now, int peer, int incarnation, QuotaMessage.LeaseRequest request, boolean inCharge, CeilingShare.FillMode fill) {
        advanceTo(now, fill);
        lastUsedAt = now;
        if (request.scope() == QuotaMessage.UnitScope.CEILING) {
            return ceilingShare == null ? 0 : ceilingShare.lease(now, peer, incarnation, request, fill);
        }
        LeaseLedger.Settlement settled = leases.settle(now, peer, incarnation, request);
        if (settled.repeat()) {
            return settled.granted();
        }
        demand += settled.spent() / DEMAND_AVERAGING_MS * 1000;
        level += settled.returned();
        if (!inCharge || !fill.active() || terms.rate() <= 0) {
            return 0;
        }
        double units = leases.grant(now, peer, incarnation, request, level, MAX_LEASED_SHARE * terms.burst());
        level -= units;
        return units;
    }

    private double unspentLeases(double now) {
        return Math.min(leases.outstanding(now), OVERCOMMIT_SHARE * terms.burst());
    }

    /** Returns the fullness as in {@link #fullness}, plus what a query may be granted beyond the bucket's level. */
    double grantable(double now) {
        return terms.burst() > 0 ? (level + unspentLeases(now)) / terms.burst() : 1;
    }

    /** Returns the ceiling units that this gateway can grant now. */
    double ceilingUnits(double now, CeilingShare.FillMode fill) {
        return ceilingShare == null ? 0 : ceilingShare.available(now, fill);
    }

    /** Whether a new ledger of the customer would be the same: its buckets are full, and nothing of them is leased. */
    boolean isExpendable(double now, CeilingShare.FillMode fill) {
        advanceTo(now, fill);
        boolean idle = now - lastUsedAt >= TableEviction.MIN_IDLE_MS;
        return idle && level >= terms.burst() && (ceilingShare == null || ceilingShare.isFull(now, fill));
    }

    /** Takes back quota units that were granted and never spent. */
    void returnUnits(double units) {
        level = Math.min(terms.burst(), level + (terms.rate() > 0 ? units : 0));
    }

    /**
     * Records units that were admitted without a query. Units beyond the quota took nothing from the bucket.
     *
     * @param attempted units admitted or refused
     */
    void recordSpent(double now, double units, double attempted, CeilingShare.FillMode fill) {
        advanceTo(now, fill);
        lastUsedAt = now;
        demand += attempted / DEMAND_AVERAGING_MS * 1000;
        level = Math.max(Math.min(level, 0), level - (terms.rate() > 0 ? units : 0));
    }

    /**
     * Applies the state that another replica sent: it replaces the local state or, if {@code replaces} is false, lowers the
     * level and raises the demand to the values sent.
     */
    void applySync(double now, QuotaMessage.LedgerSync sync, boolean replaces, CeilingShare.FillMode fill) {
        advanceTo(now, fill);
        double sentLevel = sync.fullness() * terms.burst();
        level = replaces ? sentLevel : Math.min(level, sentLevel);
        demand = replaces ? sync.demand() : Math.max(demand, sync.demand());
        informed = true;
        syncReceivedAt = now;
    }

    /**
     * Estimates what another replica has granted since it last sent this ledger: all that is requested, up to the bucket's
     * rate.
     */
    double spentElsewhere(double now) {
        return syncReceivedAt == Double.NEGATIVE_INFINITY ? 0 : Math.min(demand, terms.rate()) * (now - syncReceivedAt) / 1000;
    }

    /** Returns the level as a share of the burst; below zero it is a debt. */
    double fullness() {
        return terms.burst() > 0 ? level / terms.burst() : 1;
    }

    /** Returns the level of the quota bucket in units. */
    double level() {
        return level;
    }

    /** Returns the averaged demand in units per second. */
    double demand() {
        return demand;
    }
}
