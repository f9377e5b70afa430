package marlford.gateway.quota;

/**
 * What a gateway that hears of no keeper lets in by what it last knew of a customer. The store is taken to have gone on as
 * demand and rate would have it; while it has room all goes in, and from then on each request with the chance at which all
 * gateways together, each by itself, let in as much as the store fills by. Pure and stateless.
 */
final class DegradedModeEstimator {
    private DegradedModeEstimator() { }

    /**
     * @param level units in the store by the last word, which is {@code ageMs} old
     * @param demand units a second asked for everywhere, by that word
     * @return 0 to 1
     */
    static double chance(QuotaTerms terms, double level, double demand, double ageMs, double units) {
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
