package marlford.gateway.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Transfers of one customer's ceiling units between gateways, each of which has an even share of the ceiling. A gateway
 * that has none left (the borrower) sends a request to one that has units to spare (the lender), which deducts them first
 * and grants them once.
 *
 * <p><b>Why it is safe.</b> Units that were deducted and have not arrived are in no gateway's bucket, while the true bucket
 * may have overflowed meanwhile: added late, they would exceed what there is. So the lender keeps its own bucket that much
 * below its share for {@value #REQUEST_TERM_MS} ms from the grant, and the borrower accepts no grant for a request that is older
 * than that. The request was sent before the grant, so no grant is accepted after the lender's term has ended, and at each
 * moment the buckets and the units in transit together stay within the shares. The clocks need not agree; they may drift
 * apart in that time by the difference of the two terms, while real clocks differ by a few parts in a million. A lost grant
 * loses its units, and a repeated one finds its request already answered.
 *
 * <p>Pure: the caller passes the time, in milliseconds, to every call. Memory: one request for each gateway of the
 * customer's set. Not thread-safe: used on one event loop only.
 */
public final class QuotaTransfers {
    /** How long a request may be answered, in milliseconds: two gossip intervals of a tier of thirty, and the transit. */
    public static final double REQUEST_TERM_MS = 1500;
    private static final double LENDER_TERM_MARGIN_MS = 50; // the lender's term is longer, for late timers and clock drift
    private static final int MAX_LENDER_DRAWS = 8; // draws of a lender before no request is sent this time

    /** A request that was not answered yet, with the number of the message that carried it. */
    private record Request(int messageCount, double sentMs) { }

    private final Map<Integer, Request> requestsByLender = new HashMap<>();
    private double lentUnits;
    private double lentUntilMs = Double.NEGATIVE_INFINITY;

    /** Units that were granted to others and may not have arrived yet. */
    public double lentUnits(double now) {
        if (now >= lentUntilMs) {
            lentUnits = 0;
        }
        return lentUnits;
    }

    /** Records that units were deducted here for another gateway. All lent units count until the last grant's term ends. */
    public void unitsGranted(double now, double units) {
        lentUnits = lentUnits(now) + units;
        lentUntilMs = now + REQUEST_TERM_MS + LENDER_TERM_MARGIN_MS;
    }

    /**
     * Draws a gateway of the customer's set to send a request to, at random so that borrowers do not all choose the same one.
     *
     * @param first number of the first gateway of the set
     * @param spread size of the set
     * @param gateways size of the tier
     * @param usable whether that gateway has been heard from recently and is likely to have units to spare
     * @return the lender's number, or -1 if none was found
     */
    public int chooseLender(double now, int first, int spread, int gateways, Random random, IntPredicate usable) {
        for (int i = 0; i < MAX_LENDER_DRAWS; i++) {
            int lender = (first + random.nextInt(spread)) % gateways;
            Request open = requestsByLender.get(lender);
            if (usable.test(lender) && (open == null || now - open.sentMs() >= REQUEST_TERM_MS)) {
                return lender;
            }
        }
        return -1;
    }

    /** Records that a request was sent to the lender in the message with this count. */
    public void requestSent(double now, int lender, int messageCount) {
        requestsByLender.put(lender, new Request(messageCount, now));
    }

    /** Whether a grant of the lender for the request in the message with this count may be accepted; true only once. */
    public boolean acceptsGrant(double now, int lender, int messageCount) {
        Request open = requestsByLender.get(lender);
        boolean valid = open != null && open.messageCount() == messageCount && now - open.sentMs() < REQUEST_TERM_MS;
        if (valid) {
            requestsByLender.remove(lender);
        }
        return valid;
    }
}
