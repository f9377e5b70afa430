package marlford.storm.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import marlford.gateway.quota.QuotaTerms;

/**
 * Compares the units that came to the hosts with what the customers' quotas and ceilings allow.
 *
 * <p>Times are those at the hosts, so two requests may be closer together there than where they were let in; for that, as for
 * the platform's rule on ceilings over sockets, what the rate gives in {@value #SLACK_MS} ms is left out of account.
 */
final class UnitsAudit {
    /** What a store's rate gives in this time may come beyond it. */
    static final double SLACK_MS = 150;

    private static final String CEILINGS_PASSED = "ceilings_passed";
    private static final String QUOTAS_PASSED = "quotas_passed";

    /** Figures that are above 0 only where a bound was passed. */
    static final List<String> PASSED = List.of(CEILINGS_PASSED, QUOTAS_PASSED);

    // What may be let in beyond a quota, in bursts: the formula of docs/design/quota-leases.md.
    private static final double OVERDRAWN = 0.25; // while a keeper lives
    private static final double LEASED = 0.7; // at a keeper's death, and once more at its return
    private static final double UNTOLD_S = 0.5; // of the demand, at most a burst: what its stand-in was not told

    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_S = 1e9;
    private static final double ROUNDING = 1e-6;

    private final LoadedCustomer customer;
    private final TrueStore quota;
    private final TrueStore ceiling;
    private final int keeperDeaths;
    private double arrived;

    /** @param keeperDeaths how often this customer's keeper was killed and came back */
    private UnitsAudit(LoadedCustomer customer, int keeperDeaths) {
        this.customer = customer;
        this.keeperDeaths = keeperDeaths;
        QuotaTerms terms = customer.terms();
        quota = new TrueStore(terms.rate(), terms.burst(), 0);
        ceiling = new TrueStore(terms.ceilingRate(), terms.ceilingBurst(), 0);
    }

    /**
     * Figures of each customer and of all.
     *
     * @param keeperDeaths by customer
     * @param seconds from the load's begin, at {@code begunNanos}, until now
     */
    static Map<String, Double> figures(
            List<LoadedCustomer> customers,
            int[] keeperDeaths,
            List<CountingHosts.Arrival> arrivals,
            long begunNanos,
            double seconds) {
        UnitsAudit[] audits = new UnitsAudit[customers.size()];
        for (int i = 0; i < audits.length; i++) {
            audits[i] = new UnitsAudit(customers.get(i), keeperDeaths[i]);
        }
        for (CountingHosts.Arrival arrival : arrivals) {
            ClientFront.Asked asked = ClientFront.Asked.of(arrival.id());
            audits[asked.customer()].take((arrival.nanos() - begunNanos) / NANOS_PER_S, asked.units());
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        double ceilingsPassed = 0;
        double quotasPassed = 0;
        for (UnitsAudit audit : audits) {
            ceilingsPassed += audit.ceilingPassed() ? 1 : 0;
            quotasPassed += audit.quotaPassed() ? 1 : 0;
        }
        figures.put(CEILINGS_PASSED, ceilingsPassed);
        figures.put(QUOTAS_PASSED, quotasPassed);
        for (int i = 0; i < audits.length; i++) {
            audits[i].describe("customer_" + i + "_", seconds, figures);
        }
        return figures;
    }

    private void take(double now, double units) {
        arrived += units;
        quota.take(now, units);
        ceiling.take(now, units);
    }

    /** The most that may come beyond the quota in any stretch of time, without the slack. */
    private double quotaBound() {
        double burst = customer.terms().burst();
        double change = LEASED * burst + Math.min(burst, UNTOLD_S * customer.unitsPerSecond());
        return OVERDRAWN * burst + 2 * keeperDeaths * change;
    }

    private static double slack(double rate) {
        return rate * SLACK_MS / MS_PER_S + ROUNDING;
    }

    private boolean ceilingPassed() {
        return customer.hasCeiling()
                && ceiling.lowest() < -slack(customer.terms().ceilingRate());
    }

    private boolean quotaPassed() {
        return customer.hasQuota()
                && quota.lowest() < -quotaBound() - slack(customer.terms().rate());
    }

    private void describe(String prefix, double seconds, Map<String, Double> figures) {
        QuotaTerms terms = customer.terms();
        figures.put(prefix + "asks_per_s", customer.unitsPerSecond());
        figures.put(prefix + "arrived", arrived);
        if (customer.hasQuota()) {
            figures.put(prefix + "quota_allows", terms.burst() + terms.rate() * seconds);
            figures.put(prefix + "quota_beyond", Math.max(0, -quota.lowest()));
            figures.put(prefix + "quota_lowest_at_s", quota.lowestAt());
            figures.put(prefix + "keeper_deaths", (double) keeperDeaths);
            figures.put(prefix + "quota_beyond_bound", quotaBound());
        }
        if (customer.hasCeiling()) {
            figures.put(prefix + "ceiling_allows", terms.ceilingBurst() + terms.ceilingRate() * seconds);
            figures.put(prefix + "ceiling_lowest", ceiling.lowest());
        }
    }
}
