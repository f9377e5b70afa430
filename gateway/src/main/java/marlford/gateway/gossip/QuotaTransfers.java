package marlford.gateway.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Units of one customer's ceiling that pass between gateways, each of which holds an even share of it: who has none left
 * asks one that has room, and that one deducts first and gives once.
 *
 * <p><b>Why it is safe.</b> What has been deducted and has not arrived is in nobody's store, while the true store may have
 * run over meanwhile: added late, it would be more than there is. So the giver keeps its own store that much below its
 * share for {@value #TERM_MS} ms from the giving, and the asker takes nothing that answers an asking older than the same
 * time. The asking left before the giving, so nothing arrives after the giver's term has ended, and at each moment the
 * stores and what is on its way are within the shares. The clocks need not agree; they may run apart in that time by
 * their difference, a few parts in a million. A loss loses units, and a repeat finds its asking answered.
 *
 * <p>Pure: every call brings its time, in milliseconds. Bound: one asking for each gateway of the customer's set. Not
 * thread-safe; it belongs to one event loop.
 */
public final class QuotaTransfers {
    /** How long an asking may be answered, in milliseconds: two rounds of a tier of thirty, and the way. */
    public static final double TERM_MS = 1500;
    private static final double APART_MS = 50; // the giver's term is longer by what timers and clocks may differ
    private static final int TRIES = 8; // draws of a giver before none is asked this time

    private record Asking(int count, double at) { }

    private final Map<Integer, Asking> askings = new HashMap<>();
    private double lent;
    private double lentTill = Double.NEGATIVE_INFINITY;

    /** What was given and may not have arrived yet. */
    public double lent(double now) {
        if (now >= lentTill) {
            lent = 0;
        }
        return lent;
    }

    /** So many units were deducted here for another; all that is lent counts until the last of it has arrived. */
    public void gave(double now, double units) {
        lent = lent(now) + units;
        lentTill = now + TERM_MS + APART_MS;
    }

    /**
     * Someone of the set to ask, drawn so that those in need do not all turn to the same one; -1 where nobody was found.
     *
     * @param usable whether that gateway is heard of and is likely to have units to spare
     */
    public int giver(double now, int first, int spread, int gateways, Random random, IntPredicate usable) {
        for (int i = 0; i < TRIES; i++) {
            int g = (first + random.nextInt(spread)) % gateways;
            Asking open = askings.get(g);
            if (usable.test(g) && (open == null || now - open.at() >= TERM_MS)) {
                return g;
            }
        }
        return -1;
    }

    /** That gateway was asked in the message of this count. */
    public void asked(double now, int giver, int count) {
        askings.put(giver, new Asking(count, now));
    }

    /** Whether what that gateway gives in answer to the message of this count may be taken; true once. */
    public boolean takes(double now, int giver, int count) {
        Asking open = askings.get(giver);
        boolean good = open != null && open.count() == count && now - open.at() < TERM_MS;
        if (good) {
            askings.remove(giver);
        }
        return good;
    }
}
