package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Which gateways of a customer's set keep its book, and which hold a share of its ceiling.
 *
 * <p><b>The book.</b> The first by a hash of customer and gateway, so that every gateway finds the same by itself, then
 * two that stand in for it: of a few places at fixed distances in the row, those that leave all three farthest apart, so
 * that what takes neighbours together leaves one of them. The distances are few, so that a keeper has few gateways to tell
 * its books to, whatever the number of its customers.
 *
 * <p><b>The ceiling.</b> Even shares, as many as have room for requests each: of a small set every gateway has one, of a
 * large one so many, spread evenly round it from the first keeper on.
 *
 * <p>Pure. The arrays are not to be changed.
 *
 * @param books at least one, at most {@link #MOST}, all different, the first in charge
 * @param shares those with a share of the ceiling, all different; none where there is no ceiling
 */
record LedgerPlacement(int[] books, int[] shares) {
    /** Gateways that may keep a book, the first in charge and its stand-ins. */
    static final int MOST = 3;
    private static final int[] APART = {3, 4, 6}; // parts of the tier from a keeper to its stand-ins, on either side

    /**
     * @param gateways of the tier, at least as many as the set has
     * @param leastHold units that each share of the ceiling has room for, above 0
     */
    static LedgerPlacement of(QuotaMessage.Named named, int gateways, QuotaTerms terms, double leastHold) {
        int first = 0; // place in the set
        long best = 0;
        for (int i = 0; i < named.spread(); i++) {
            long hash = mixed(named.customer() * 31 + mixed(Math.floorMod(named.first() + i, gateways)));
            if (i == 0 || hash > best) {
                first = i;
                best = hash;
            }
        }
        List<Integer> books = new ArrayList<>(MOST);
        books.add(Math.floorMod(named.first() + first, gateways));
        standIns(named, gateways, books);
        int count = terms.ceilingRate() > 0
                ? (int) Math.max(1, Math.min(named.spread(), terms.ceilingBurst() / leastHold)) : 0;
        int from = first;
        return new LedgerPlacement(books.stream().mapToInt(Integer::intValue).toArray(), IntStream.range(0, count)
                .map(i -> (from + i * named.spread() / count) % named.spread())
                .map(i -> Math.floorMod(named.first() + i, gateways)).toArray());
    }

    private static void standIns(QuotaMessage.Named named, int gateways, List<Integer> books) {
        int first = books.get(0);
        int[] near = IntStream.rangeClosed(1, MOST).flatMap(d -> IntStream.of(first + d, first - d))
                .map(g -> Math.floorMod(g, gateways)).toArray(); // of a set too small for the distances
        int[] places = IntStream.concat(IntStream.of(neighbours(first, gateways)), IntStream.of(near))
                .filter(g -> g != first && named.holds(g, gateways)).distinct().toArray();
        int bestSpan = -1;
        int[] best = places.length == 1 ? places : new int[0];
        for (int a = 0; a < places.length; a++) {
            for (int b = a + 1; b < places.length; b++) {
                int span = span(gateways, first, places[a], places[b]);
                if (span > bestSpan) {
                    bestSpan = span;
                    best = new int[] {places[a], places[b]};
                }
            }
        }
        IntStream.of(best).forEach(books::add);
    }

    /** Length of the shortest row of gateways that has all three. */
    private static int span(int gateways, int a, int b, int c) {
        int[] sorted = IntStream.of(a, b, c).sorted().toArray();
        int around = gateways - sorted[2] + sorted[0];
        return gateways - Math.max(around, Math.max(sorted[1] - sorted[0], sorted[2] - sorted[1]));
    }

    /** Gateways that may stand in for this one for some customer of a large set, or it for them. */
    static int[] neighbours(int me, int gateways) {
        return IntStream.of(APART).map(divisor -> Math.max(1, gateways / divisor))
                .flatMap(far -> IntStream.of(me + far, me - far)).map(g -> Math.floorMod(g, gateways))
                .filter(g -> g != me).distinct().toArray();
    }

    /** The place of a gateway among those that keep the book; -1 where it has none. */
    int place(int gateway) {
        for (int i = 0; i < books.length; i++) {
            if (books[i] == gateway) {
                return i;
            }
        }
        return -1;
    }

    /** Whether that gateway has a share of the ceiling. */
    boolean shares(int gateway) {
        return IntStream.of(shares).anyMatch(g -> g == gateway);
    }

    private static long mixed(long x) {
        long h = (x ^ x >>> 32) * 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 29) * 0xBF58476D1CE4E5B9L;
        return h ^ h >>> 32;
    }
}
