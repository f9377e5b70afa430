package marlford.gateway.quota;

import java.util.Locale;
import java.util.Random;

/**
 * Prints what a tier of many tries a second costs and lets through, in virtual time: {@code LeaseTable [gateways] [seconds]
 * [seed]}. Each customer asks for 0.6 to 0.8 of its quota's rate, in requests of one to three units; 5% of the messages are lost.
 */
public final class LeaseTable {
    static final double LOSS = 0.05;
    static final int DATAGRAM_HEADER_BYTES = 28;
    private static final double WARM_MS = 6000;
    private static final double UNITS_PER_TRY = 2;
    private static final int[] TRIES_PER_S = {8, 20, 60, 181};
    private static final int[] SPREADS = {3, 30};

    private LeaseTable() { }

    /** A tier on a quiet day, in which each gateway has about so many tries a second. */
    static Tier quietDay(int gateways, int spread, QuotaTerms terms, double triesPerSecond, long seed) {
        Tier t = new Tier(gateways, LOSS, seed);
        Random random = new Random(seed);
        double wanted = gateways * triesPerSecond * UNITS_PER_TRY;
        for (double sum = 0; sum < wanted;) {
            double perSecond = (0.6 + 0.2 * random.nextDouble()) * terms.rate();
            t.customer(terms, spread, perSecond);
            sum += perSecond;
        }
        return t;
    }

    static String row(Tier t, double seconds) {
        double each = t.gateways() * seconds;
        double bytes = t.bytes + (double) DATAGRAM_HEADER_BYTES * t.told;
        return String.format(Locale.ROOT, "%.0f | %.1f | %.0f | %.2f%% | %.2f%% | %.0f, %.0f | %.0f%%: %.0f, %.0f | %.1f | %s",
                t.tries / each, t.told / each, bytes / each, 100 * t.beyond / Math.max(1, t.sent), 100 * t.share(),
                t.wait(0.5), t.wait(0.99), 100.0 * t.leasedWaits.size() / Math.max(1, t.waits.size()), t.leasedWait(0.5),
                t.leasedWait(0.99), t.lowestCeiling(), t.refusedFor);
    }

    /** @param args gateways, seconds, seed */
    public static void main(String[] args) {
        int gateways = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        double seconds = args.length > 1 ? Double.parseDouble(args[1]) : 10;
        long seed = args.length > 2 ? Long.parseLong(args[2]) : 35;
        System.out.println("set, ceiling | tries/s | messages/s | bytes/s | beyond | refused with room | p50, p99 ms |"
                + " in a lease: p50, p99 | lowest ceiling | refused");
        for (int spread : SPREADS) {
            for (QuotaTerms terms : new QuotaTerms[] {Tier.LARGE, Tier.CAPPED}) {
                for (int tries : TRIES_PER_S) {
                    Tier t = quietDay(gateways, spread, terms, tries, seed);
                    t.pass(WARM_MS);
                    t.mark();
                    t.pass(1000 * seconds);
                    System.out.println(spread + (terms.ceilingRate() > 0 ? ", with | " : ", without | ") + row(t, seconds));
                }
            }
        }
    }
}
