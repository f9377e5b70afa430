package marlford.gateway.quota;

import java.util.Locale;
import java.util.Random;

/**
 * Prints messages and admissions of a tier with many attempts per second, in virtual time. Arguments:
 * {@code [gateways] [seconds] [seed]}. Each customer requests 0.6 to 0.8 of its quota's rate, in requests of one to three units; 5% of the
 * messages are lost.
 */
public final class LeaseCostReport {
    static final double MESSAGE_LOSS = 0.05;
    static final int DATAGRAM_HEADER_BYTES = 28;
    private static final double WARM_UP_MS = 6000;
    private static final double UNITS_PER_ATTEMPT = 2;
    private static final int[] ATTEMPTS_PER_S = {8, 20, 60, 181};
    private static final int[] SPREADS = {3, 30};

    private LeaseCostReport() { }

    /** Returns a tier under steady load below the quotas, in which each gateway has about this many attempts per second. */
    static SimulatedTier steadyTier(int gateways, int spread, QuotaTerms terms, double attemptsPerSecond, long seed) {
        SimulatedTier tier = new SimulatedTier(gateways, MESSAGE_LOSS, seed);
        Random random = new Random(seed);
        double targetUnitsPerSecond = gateways * attemptsPerSecond * UNITS_PER_ATTEMPT;
        for (double unitsPerSecondSum = 0; unitsPerSecondSum < targetUnitsPerSecond;) {
            double unitsPerSecond = (0.6 + 0.2 * random.nextDouble()) * terms.rate();
            tier.addCustomer(terms, spread, unitsPerSecond);
            unitsPerSecondSum += unitsPerSecond;
        }
        return tier;
    }

    /** Returns one row of the table for a tier that has run for the given time since its counts were reset. */
    static String reportRow(SimulatedTier tier, double seconds) {
        double gatewaySeconds = tier.gateways() * seconds;
        double bytes = tier.bytesSent + (double) DATAGRAM_HEADER_BYTES * tier.messagesSent;
        return String.format(Locale.ROOT, "%.0f | %.1f | %.0f | %.2f%% | %.2f%% | %.0f, %.0f | %.0f%%: %.0f, %.0f | %.1f | %s",
                tier.attempts / gatewaySeconds, tier.messagesSent / gatewaySeconds, bytes / gatewaySeconds,
                100 * tier.unitsBeyondQuota / Math.max(1, tier.sent), 100 * tier.refusedWithRoomShare(),
                tier.decisionTimeMs(0.5), tier.decisionTimeMs(0.99),
                100.0 * tier.leasedDecisionTimesMs.size() / Math.max(1, tier.decisionTimesMs.size()), tier.leasedDecisionTimeMs(0.5),
                tier.leasedDecisionTimeMs(0.99), tier.lowestCeiling(), tier.refusalsByReason);
    }

    /** @param args gateways, seconds, seed */
    public static void main(String[] args) {
        int gateways = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        double seconds = args.length > 1 ? Double.parseDouble(args[1]) : 10;
        long seed = args.length > 2 ? Long.parseLong(args[2]) : 35;
        System.out.println("set, ceiling | attempts/s | messages/s | bytes/s | beyond | refused with room | p50, p99 ms |"
                + " in a lease: p50, p99 | lowest ceiling | refused");
        for (int spread : SPREADS) {
            for (QuotaTerms terms : new QuotaTerms[] {SimulatedTier.LARGE, SimulatedTier.CAPPED}) {
                for (int attemptsPerS : ATTEMPTS_PER_S) {
                    SimulatedTier tier = steadyTier(gateways, spread, terms, attemptsPerS, seed);
                    tier.advance(WARM_UP_MS);
                    tier.resetCounts();
                    tier.advance(1000 * seconds);
                    System.out.println(spread + (terms.ceilingRate() > 0 ? ", with | " : ", without | ") + reportRow(tier, seconds));
                }
            }
        }
    }
}
