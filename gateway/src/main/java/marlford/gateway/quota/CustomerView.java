package marlford.gateway.quota;

/**
 * One customer as seen by a gateway that requests its units: the last report on its bucket, and the leases held for it. Not
 * thread-safe.
 */
final class CustomerView {
    // Fraction of the bucket's fill time for which spent units are missing from it, on average.
    private static final double MEAN_ABSENCE_FACTOR = 0.5;
    private static final double NEGLIGIBLE_UNITS = 0.01;

    final QuotaMessage.CustomerKey key;
    final QuotaTerms terms;
    final LedgerPlacement placement;
    LeaseHolder quotaLease;
    LeaseHolder ceilingLease;
    int lastLender = -1; // The gateway that last granted units of the ceiling, or -1.
    double level;
    double demand;
    double reportedAt = Double.NEGATIVE_INFINITY;
    double lastUsedAt;
    double refusedLocally; // Units refused here without a query.
    // Units admitted here without the consent of a replica and not reported yet; they decay as the bucket refills.
    double degradedUnits;
    double degradedUnitsAt;
    double unreportedUnits; // Units admitted or refused here without the consent of a replica and not reported yet.
    double unreportedSince;

    CustomerView(QuotaMessage.CustomerKey key, QuotaTerms terms, LedgerPlacement placement) {
        this.key = key;
        this.terms = terms;
        this.placement = placement;
        level = terms.burst();
        dropLeases();
    }

    /** Drops all leases without notifying their owners. */
    void dropLeases() {
        quotaLease = new LeaseHolder(QuotaMessage.UnitScope.QUOTA);
        ceilingLease = new LeaseHolder(QuotaMessage.UnitScope.CEILING);
    }

    /** Whether nothing is lost with this view: it holds no lease and no demand for one, and owes the replicas no report. */
    boolean isExpendable(double now) {
        boolean unleased = quotaLease.isIdle(now) && ceilingLease.isIdle(now) && !quotaLease.hasDemand(now) && !ceilingLease.hasDemand(now);
        boolean idle = now - lastUsedAt >= TableEviction.MIN_IDLE_MS;
        return idle && unleased && unreportedUnits <= 0 && (degradedUnits <= 0 || decayedDegradedUnits(now) < NEGLIGIBLE_UNITS);
    }

    boolean hasCeiling() {
        return terms.ceilingRate() > 0;
    }

    /** Returns the age of the last report, 0 if there was none. */
    double reportAgeMs(double now) {
        return reportedAt == Double.NEGATIVE_INFINITY ? 0 : now - reportedAt;
    }

    /** Records units admitted without the consent of a replica. Without a quota no consent is needed. */
    void recordDegraded(double now, double units) {
        if (terms.rate() > 0) {
            degradedUnits = decayedDegradedUnits(now) + units;
            degradedUnitsAt = now;
        }
    }

    /** Returns the unreported units that are still missing from the bucket. */
    double decayedDegradedUnits(double now) {
        double fillMs = 1000 * terms.burst() / terms.rate();
        return degradedUnits * Math.exp((degradedUnitsAt - now) / (MEAN_ABSENCE_FACTOR * fillMs));
    }

    /** Stores what a replica reported: the level of the bucket in units and the demand in units per second. */
    void recordReport(double now, double reportedLevel, double reportedDemand) {
        level = reportedLevel;
        demand = reportedDemand;
        reportedAt = now;
    }
}
