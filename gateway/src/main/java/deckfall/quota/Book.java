package deckfall.quota;

/**
 * One customer's stores as its keeper has them. The quota's store may be a little below nothing where a word of another
 * keeper says so; a grant never takes it there.
 */
final class Book {
    private static final double DEMAND_MS = 2000; // averaging of demand: longer than gaps between requests

    final Talk.Named named;
    final Keepers keepers;
    final Terms terms;
    private final CeilingShare ceiling; // null where the plan has none, or none of it is here
    /** Whether it is known what was used before this gateway had the book, or it was there from the first. */
    boolean informed;
    double usedAt;
    double toldAt = Double.NEGATIVE_INFINITY;
    private double toldOfAt = Double.NEGATIVE_INFINITY; // by another keeper
    private double level;
    private double demand;
    private double at;

    Book(Talk.Named named, Keepers keepers, Terms terms, CeilingShare ceiling, double now) {
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
            level = Math.min(terms.burst(), level + ms / 1000 * terms.rate());
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
    Talk.Verdict judge(double now, double units, double more, Talk.Of of, double spent, CeilingShare.Fill fill) {
        touch(now, fill);
        usedAt = now;
        if (of != Talk.Of.CEILING) {
            demand += (units + more) / DEMAND_MS * 1000;
            if (terms.rate() > 0 && level - spent < units) {
                return Talk.Verdict.STORE;
            }
            level -= terms.rate() > 0 ? units : 0;
        }
        if (of == Talk.Of.STORE || terms.ceilingRate() <= 0) {
            return Talk.Verdict.GRANTED;
        }
        if (ceiling == null || ceiling.at(now, fill) < units) {
            return Talk.Verdict.CEILING;
        }
        ceiling.give(now, units);
        return Talk.Verdict.GRANTED;
    }

    /** Units of the ceiling that can be given here and now. */
    double ceiling(double now, CeilingShare.Fill fill) {
        return ceiling == null ? 0 : ceiling.at(now, fill);
    }

    /** Units of the quota's store that were granted and never used. */
    void back(double units) {
        level = Math.min(terms.burst(), level + (terms.rate() > 0 ? units : 0));
    }

    /** Units that were let in without being asked for; what went beyond the quota took nothing from the store. */
    void used(double now, double units, CeilingShare.Fill fill) {
        touch(now, fill);
        usedAt = now;
        level = Math.max(Math.min(level, 0), level - (terms.rate() > 0 ? units : 0));
    }

    /** Another keeper's word: it stands in place of what is here, or counts where it says less. */
    void told(double now, Talk.Sync sync, boolean inPlace, CeilingShare.Fill fill) {
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
