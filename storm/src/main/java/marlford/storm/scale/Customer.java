package marlford.storm.scale;

import marlford.gateway.quota.QuotaMessage;
import marlford.gateway.quota.QuotaTerms;

/** One customer and its stores as they truly are, which no gateway sees. */
final class Customer {
    private static final double HALF = 0.5;
    private static final double MS_PER_S = 1000;

    final int index;
    final QuotaMessage.CustomerKey named;
    final QuotaTerms terms;
    private double unitsPerSecond;
    private double quota;
    private double ceiling;
    private double refilledAt;
    private double lowestCeiling;

    Customer(int index, QuotaMessage.CustomerKey named, QuotaTerms terms, double unitsPerSecond) {
        this.index = index;
        this.named = named;
        this.terms = terms;
        this.unitsPerSecond = unitsPerSecond;
        quota = terms.burst();
        ceiling = lowestCeiling = terms.ceilingBurst();
    }

    void scaleDemand(double factor) {
        unitsPerSecond *= factor;
    }

    double unitsPerSecond() {
        return unitsPerSecond;
    }

    boolean hasQuota() {
        return terms.rate() > 0;
    }

    boolean hasCeiling() {
        return terms.ceilingRate() > 0;
    }

    private void refill(double now) {
        double seconds = Math.max(0, now - refilledAt) / MS_PER_S;
        quota = Math.min(terms.burst(), quota + seconds * terms.rate());
        ceiling = Math.min(terms.ceilingBurst(), ceiling + seconds * terms.ceilingRate());
        refilledAt = Math.max(refilledAt, now);
    }

    /** Whether each store that the plan has is at half or more. */
    boolean hasRoom(double now) {
        refill(now);
        boolean quotaRoom = !hasQuota() || quota >= HALF * terms.burst();
        boolean ceilingRoom = !hasCeiling() || ceiling >= HALF * terms.ceilingBurst();
        return quotaRoom && ceilingRoom;
    }

    /**
     * A request is sent on.
     *
     * @return whether its units went beyond the quota, whose store is left as it is then
     */
    boolean charge(double now, double units) {
        refill(now);
        ceiling -= units;
        if (hasCeiling()) {
            lowestCeiling = Math.min(lowestCeiling, ceiling);
        }
        if (!hasQuota()) {
            return false;
        }
        if (quota < units) {
            return true;
        }
        quota -= units;
        return false;
    }

    /** The least that the ceiling's store ever held; below 0 by what went beyond it. */
    double lowestCeiling() {
        return lowestCeiling;
    }
}
