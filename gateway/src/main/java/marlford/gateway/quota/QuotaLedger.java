package marlford.gateway.quota;

/**
 * One customer's stores as its keeper has them. The quota's store may be a little below nothing where a word of another
 * keeper says so; a grant never takes it there.
 */
final class QuotaLedger {
    /** Part of the burst that may be leased at a time. */
    static final double LEASED_MOST = 0.7;
    /**
     * Part of the burst that may be granted beyond what is here while as much is leased and not spent: a holder's idle units
     * then refuse nobody. It is the most by which leases overrun a quota.
     */
    static final double OVERCOMMIT = 0.25;
    private static final double DEMAND_MS = 2000; // averaging of demand: longer than gaps between requests

    final QuotaMessage.Named named;
    final LedgerPlacement keepers;
    final QuotaTerms terms;
    private final LeaseLedger leases = new LeaseLedger();
    private final CeilingShare ceiling; // null where the plan has none, or none of it is here
    /** Whether it is known what was used before this gateway had the book, or it was there from the first. */
    boolean informed;
    double usedAt;
    double toldAt = Double.NEGATIVE_INFINITY;
    private double toldOfAt = Double.NEGATIVE_INFINITY; // by another keeper
    private double level;
    private double demand;
    private double at;

    QuotaLedger(QuotaMessage.Named named, LedgerPlacement keepers, QuotaTerms terms, CeilingShare ceiling, double now) {
        this.named = named;
        this.keepers = keepers;
        this.terms = terms;
        this.ceiling = ceiling;
        this.level = terms.burst();
        this.at = now;
        this.usedAt = now;
    }

    void touch(double now, CeilingShare.Fill fill) {
        double ms = now - at;
        if (ms <= 0) {
            return;
        }
        if (fill.on()) {
            level = Math.min(terms.burst() - leases.outstanding(now), level + ms / 1000 * terms.rate());
        }
        demand *= Math.exp(-ms / DEMAND_MS);
        at = now;
    }

    /**
     * Decides on a request of so many units, and takes them where there are any.
     *
     * @param more units that the asker refused by itself
     * @param spent units that another keeper of the book may have granted unheard
     */
    QuotaMessage.Verdict judge(double now, double units, double more, QuotaMessage.Of of, double spent, CeilingShare.Fill fill) {
        touch(now, fill);
        usedAt = now;
        if (of != QuotaMessage.Of.CEILING) {
            demand += (units + more) / DEMAND_MS * 1000;
            if (terms.rate() > 0 && level + unspentLeases(now) - spent < units) {
                return QuotaMessage.Verdict.STORE;
            }
            level -= terms.rate() > 0 ? units : 0;
        }
        if (of == QuotaMessage.Of.STORE || terms.ceilingRate() <= 0) {
            return QuotaMessage.Verdict.GRANTED;
        }
        if (ceiling == null || ceiling.at(now, fill) < units) {
            return QuotaMessage.Verdict.CEILING;
        }
        ceiling.give(now, units);
        return QuotaMessage.Verdict.GRANTED;
    }

    /**
     * Settles a request for a lease and grants what there is room for. What is leased leaves the store at once, and the store
     * fills up to its burst less what is leased.
     *
     * @param life of the holder
     * @param inCharge whether this gateway may lease the quota's units
     * @return units granted beside those held
     */
    double lease(double now, int peer, int life, QuotaMessage.LeaseRequest request, boolean inCharge, CeilingShare.Fill fill) {
        touch(now, fill);
        usedAt = now;
        if (request.of() == QuotaMessage.Of.CEILING) {
            return ceiling == null ? 0 : ceiling.lease(now, peer, life, request, fill);
        }
        LeaseLedger.Settled settled = leases.settle(now, peer, life, request);
        if (settled.repeat()) {
            return settled.granted();
        }
        demand += settled.spent() / DEMAND_MS * 1000;
        level += settled.returned();
        if (!inCharge || !fill.on() || terms.rate() <= 0) {
            return 0;
        }
        double units = leases.grant(now, peer, life, request, level, LEASED_MOST * terms.burst());
        level -= units;
        return units;
    }

    private double unspentLeases(double now) {
        return Math.min(leases.outstanding(now), OVERCOMMIT * terms.burst());
    }

    /** As {@link #fullness}, with what a question may be granted beyond the store. */
    double grantable(double now) {
        return terms.burst() > 0 ? (level + unspentLeases(now)) / terms.burst() : 1;
    }

    /** Units of the ceiling that can be given here and now. */
    double ceiling(double now, CeilingShare.Fill fill) {
        return ceiling == null ? 0 : ceiling.at(now, fill);
    }

    /** Units of the quota's store that were granted and never used. */
    void back(double units) {
        level = Math.min(terms.burst(), level + (terms.rate() > 0 ? units : 0));
    }

    /**
     * Units that were let in without being asked for; what went beyond the quota took nothing from the store.
     *
     * @param tried units let in or refused
     */
    void used(double now, double units, double tried, CeilingShare.Fill fill) {
        touch(now, fill);
        usedAt = now;
        demand += tried / DEMAND_MS * 1000;
        level = Math.max(Math.min(level, 0), level - (terms.rate() > 0 ? units : 0));
    }

    /** Another keeper's word: it stands in place of what is here, or counts where it says less. */
    void told(double now, QuotaMessage.Sync sync, boolean inPlace, CeilingShare.Fill fill) {
        touch(now, fill);
        double said = sync.fullness() * terms.burst();
        level = inPlace ? said : Math.min(level, said);
        demand = inPlace ? sync.demand() : Math.max(demand, sync.demand());
        informed = true;
        toldOfAt = now;
    }

    /** What another keeper has likely granted since it last told of this book: all that is asked for, as far as it fills. */
    double spentElsewhere(double now) {
        return toldOfAt == Double.NEGATIVE_INFINITY ? 0 : Math.min(demand, terms.rate()) * (now - toldOfAt) / 1000;
    }

    double fullness() {
        return terms.burst() > 0 ? level / terms.burst() : 1;
    }

    double level() {
        return level;
    }

    double demand() {
        return demand;
    }
}
