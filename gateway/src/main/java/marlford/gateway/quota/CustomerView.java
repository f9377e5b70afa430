package marlford.gateway.quota;

/**
 * A customer as a gateway that asks for its units sees it: the last word on its store, and what is leased of it. Not
 * thread-safe.
 */
final class CustomerView {
    private static final double MEAN = 0.5; // of the time in which a store fills: how long its units are missing

    final QuotaMessage.Named named;
    final QuotaTerms terms;
    final LedgerPlacement keepers;
    LeaseHolder quotaLease;
    LeaseHolder ceilingLease;
    int lender = -1; // that last granted units of the ceiling
    double level;
    double demand;
    double toldAt = Double.NEGATIVE_INFINITY;
    double usedAt;
    double more; // units refused here without a question
    double guessed; // units let in here without a keeper's word, and not told yet; fading as the store fills
    double guessedAt;
    double unreported; // units let in or refused here without a keeper's word, and not told yet
    double unreportedSince;

    CustomerView(QuotaMessage.Named named, QuotaTerms terms, LedgerPlacement keepers) {
        this.named = named;
        this.terms = terms;
        this.keepers = keepers;
        level = terms.burst();
        dropLeases();
    }

    /** Gives up what is leased, without a word. */
    void dropLeases() {
        quotaLease = new LeaseHolder(QuotaMessage.Of.STORE);
        ceilingLease = new LeaseHolder(QuotaMessage.Of.CEILING);
    }

    boolean capped() {
        return terms.ceilingRate() > 0;
    }

    double ageMs(double now) {
        return toldAt == Double.NEGATIVE_INFINITY ? 0 : now - toldAt;
    }

    /** Lets in without a keeper's word; none is needed where there is no quota. */
    void guess(double now, double units) {
        if (terms.rate() > 0) {
            guessed = guessed(now) + units;
            guessedAt = now;
        }
    }

    double guessed(double now) {
        double fillMs = 1000 * terms.burst() / terms.rate();
        return guessed * Math.exp((guessedAt - now) / (MEAN * fillMs));
    }

    void told(double now, double toldLevel, double toldDemand) {
        level = toldLevel;
        demand = toldDemand;
        toldAt = now;
    }
}
