package marlford.gateway.quota;

import java.util.ArrayDeque;

/**
 * One keeper's share of a customer's ceiling, which it alone gives out.
 *
 * <p><b>Why rule 5 holds.</b> Let S be the units that the true store would let pass, K what is here and L what was given
 * out and may not have been sent on yet, both summed over all keepers. K + L never passes S: it begins at most as high;
 * what is given moves from K to L, and what is sent on leaves L and S alike; S fills at the ceiling's rate while it is
 * below its burst, K at shares of that rate that sum to one. At its burst S fills no more, so each share is kept to its
 * part of the burst <em>less</em> what it has lent. What was given must be sent on within {@link #USE_MS} of its asking and
 * counts here for {@link #LENT_MS} from the giving, which is later; what is not used is lost, never returned.
 *
 * <p><b>Leases</b> ({@link LeaseLedger}) are given from the same share and count in L. At most {@link #LEASED_MOST} of a share
 * is leased. A later life of this gateway does not know what the former leased: it begins with nothing, and until the last
 * of those leases has ended it keeps its store to what the former could not have leased and leases nothing itself, so that
 * never more than one former life's leases are out. While another process has what fills, nothing is leased, so that no lease
 * outlasts that time.
 *
 * <p>Bound: {@value #LOANS_MAX} loans are told apart; beyond it they are counted together, until the last of them ends.
 */
final class CeilingShare {
    /** Within this time of its asking what was given has to be sent on, in milliseconds. */
    static final double USE_MS = 400;
    /** So long it counts as lent, from its giving: what is sent late may take its time to connect, in milliseconds. */
    static final double LENT_MS = 750;
    /** Part of a share that may be leased at a time. */
    static final double LEASED_MOST = 0.5;
    private static final int LOANS_MAX = 64;

    private record Loan(double till, double units) { }

    private final double rate;
    private final double hold;
    private final ArrayDeque<Loan> loans = new ArrayDeque<>();
    private final LeaseLedger leases = new LeaseLedger();
    private final double formerTill; // leases of an earlier life
    private double lent;
    private double store;
    private double filledAt;

    /**
     * @param share of the ceiling, 0 to 1
     * @param since no earlier life of this gateway gave anything out since then
     */
    CeilingShare(QuotaTerms terms, double share, double since) {
        rate = terms.ceilingRate() * share;
        hold = terms.ceilingBurst() * share;
        filledAt = since + LENT_MS; // what the earlier life gave may be on its way until then
        formerTill = since + LeaseLedger.LENT_MS;
    }

    /**
     * What fills here at present.
     *
     * @param on false while another process of this gateway has what fills
     * @param part of this gateway's share of a ceiling, above 0 to 1; below 1 beside gateways that split it otherwise
     */
    record Fill(boolean on, double part) { }

    /** Units that may be given now. */
    double at(double now, Fill fill) {
        while (!loans.isEmpty() && loans.peekFirst().till() <= now) {
            lent -= loans.pollFirst().units();
        }
        if (loans.isEmpty()) {
            lent = 0; // no rest of rounding
        }
        double filled = Math.max(0, now - filledAt) / 1000 * rate * fill.part();
        filledAt = Math.max(filledAt, now);
        // What another process fills its store by leaves this one, or both would have what one may hold.
        double left = fill.on() ? store + filled : Math.min(store, Math.max(0, store - filled));
        double most = now < formerTill ? (1 - LEASED_MOST) * hold : hold;
        store = Math.min(left, most * fill.part() - lent - leases.outstanding(now));
        return store;
    }

    /** Gives so many units out; never more than {@link #at}. */
    void give(double now, double units) {
        store -= units;
        lent += units;
        double sum = units;
        if (loans.size() >= LOANS_MAX) {
            sum += loans.pollLast().units();
        }
        loans.addLast(new Loan(now + LENT_MS, sum));
    }

    /**
     * Settles a request for a lease and grants what there is room for.
     *
     * @param life of the holder
     * @return units granted beside those held
     */
    double lease(double now, int peer, int life, QuotaMessage.LeaseRequest request, Fill fill) {
        LeaseLedger.Settled settled = leases.settle(now, peer, life, request);
        if (settled.repeat()) {
            return settled.granted();
        }
        store += settled.returned();
        double available = at(now, fill);
        if (!fill.on() || now < formerTill) {
            return 0;
        }
        double units = leases.grant(now, peer, life, request, available, LEASED_MOST * hold * fill.part());
        store -= units;
        return units;
    }
}
