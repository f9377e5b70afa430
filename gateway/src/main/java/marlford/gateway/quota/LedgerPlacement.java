package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Which gateways of a customer's set are replicas of its ledger, and which of them hold a share of its ceiling.
 *
 * <p><b>Ledger.</b> The primary replica is chosen by a hash of customer and gateway, so that every gateway computes the
 * same one by itself. Two standby replicas follow. They are taken from a few positions at fixed distances in the order of
 * gateways: the pair that spreads all three replicas farthest apart, so that a failure of neighbouring gateways leaves one
 * of the three. The distances are few, so that a replica sends its ledgers to few gateways, whatever the number of its
 * customers.
 *
 * <p><b>Ceiling.</b> The ceiling is split evenly into as many shares as have room for requests: in a small set every
 * gateway has one; in a large set the shares are spread evenly around it, starting with the primary replica.
 *
 * <p>Immutable by convention: callers must not change the arrays.
 *
 * @param replicas at least one, at most {@link #MAX_REPLICAS}, all different, the primary first
 * @param shareHolders gateways with a share of the ceiling, all different; empty if there is no ceiling
 */
record LedgerPlacement(int[] replicas, int[] shareHolders) {
    /** Largest number of replicas of a ledger: the primary and its standbys. */
    static final int MAX_REPLICAS = 3;
    // Distances from the primary to its standbys, as fractions of the tier, in both directions.
    private static final int[] STANDBY_DISTANCE_DIVISORS = {3, 4, 6};

    /**
     * Computes the placement for a customer.
     *
     * @param gateways number of gateways in the tier, at least as many as in the customer's set
     * @param minShareUnits units that each share of the ceiling must have room for, above 0
     */
    static LedgerPlacement of(QuotaMessage.CustomerKey key, int gateways, QuotaTerms terms, double minShareUnits) {
        int first = 0; // index within the customer's set
        long best = 0;
        for (int i = 0; i < key.spread(); i++) {
            long hash = mixBits(key.customer() * 31 + mixBits(Math.floorMod(key.first() + i, gateways)));
            if (i == 0 || hash > best) {
                first = i;
                best = hash;
            }
        }
        List<Integer> replicas = new ArrayList<>(MAX_REPLICAS);
        replicas.add(Math.floorMod(key.first() + first, gateways));
        addStandbys(key, gateways, replicas);
        int count = terms.ceilingRate() > 0
                ? (int) Math.max(1, Math.min(key.spread(), terms.ceilingBurst() / minShareUnits)) : 0;
        int from = first;
        return new LedgerPlacement(replicas.stream().mapToInt(Integer::intValue).toArray(), IntStream.range(0, count)
                .map(i -> (from + i * key.spread() / count) % key.spread())
                .map(i -> Math.floorMod(key.first() + i, gateways)).toArray());
    }

    /** Adds the two standby replicas that lie farthest apart, or one if the set has only two gateways. */
    private static void addStandbys(QuotaMessage.CustomerKey key, int gateways, List<Integer> replicas) {
        int first = replicas.get(0);
        int[] near = IntStream.rangeClosed(1, MAX_REPLICAS).flatMap(d -> IntStream.of(first + d, first - d))
                .map(g -> Math.floorMod(g, gateways)).toArray(); // fallback for a set too small for the distances
        int[] candidates = IntStream.concat(IntStream.of(potentialStandbys(first, gateways)), IntStream.of(near))
                .filter(g -> g != first && key.holds(g, gateways)).distinct().toArray();
        int bestSpan = -1;
        int[] best = candidates.length == 1 ? candidates : new int[0];
        for (int a = 0; a < candidates.length; a++) {
            for (int b = a + 1; b < candidates.length; b++) {
                int span = span(gateways, first, candidates[a], candidates[b]);
                if (span > bestSpan) {
                    bestSpan = span;
                    best = new int[] {candidates[a], candidates[b]};
                }
            }
        }
        IntStream.of(best).forEach(replicas::add);
    }

    /** Returns the length of the shortest run of consecutive gateways that contains all three. */
    private static int span(int gateways, int a, int b, int c) {
        int[] sorted = IntStream.of(a, b, c).sorted().toArray();
        int around = gateways - sorted[2] + sorted[0];
        return gateways - Math.max(around, Math.max(sorted[1] - sorted[0], sorted[2] - sorted[1]));
    }

    /** Returns the gateways that may be standby replicas for this one for some customer of a large set, or it for them. */
    static int[] potentialStandbys(int self, int gateways) {
        return IntStream.of(STANDBY_DISTANCE_DIVISORS).map(divisor -> Math.max(1, gateways / divisor))
                .flatMap(distance -> IntStream.of(self + distance, self - distance)).map(g -> Math.floorMod(g, gateways))
                .filter(g -> g != self).distinct().toArray();
    }

    /** Returns the position of a gateway among the replicas, 0 for the primary, or -1 if it is not a replica. */
    int replicaIndex(int gateway) {
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i] == gateway) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether the gateway has a share of the ceiling. */
    boolean holdsShare(int gateway) {
        return IntStream.of(shareHolders).anyMatch(g -> g == gateway);
    }

    private static long mixBits(long x) {
        long h = (x ^ x >>> 32) * 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 29) * 0xBF58476D1CE4E5B9L;
        return h ^ h >>> 32;
    }
}
