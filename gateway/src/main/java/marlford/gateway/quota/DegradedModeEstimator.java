package marlford.gateway.quota;

/**
 * Admission in degraded mode: what a gateway admits from its last knowledge of a customer while it cannot reach a ledger
 * replica. The bucket level is extrapolated from the last known demand and rate. While the bucket has room, every request
 * is admitted; after that, each one is admitted with the probability at which all gateways together, each deciding by
 * itself, admit as much as the bucket fills by. Stateless.
 */
final class DegradedModeEstimator {
    private DegradedModeEstimator() { }

    /**
     * Returns the probability with which to admit a request, 0 to 1.
     *
     * @param level units in the bucket by the last report, which is {@code ageMs} old
     * @param demand units per second requested at all gateways, by that report
     */
    static double admissionProbability(QuotaTerms terms, double level, double demand, double ageMs, double units) {
        if (terms.rate() <= 0) {
            return 1;
        }
        double drift = (terms.rate() - demand) * ageMs / 1000;
        if (Math.min(terms.burst(), level + drift) >= units) {
            return 1;
        }
        return Math.min(1, terms.rate() / Math.max(demand, terms.rate()));
    }
}
