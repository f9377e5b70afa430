package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The operators' term on quotas: on a quiet day what passes beyond them, all gateways together, costs at most a tenth more
 * than under a policy that sees the true state late. Tiers that keep exact books, in virtual time, with a loss of 8% of
 * messages; smaller ones ask keepers by other words (QuietTierTest).
 */
class QuietDayTest {
    private static final double LOSS = 0.08;
    private static final double MORE = 0.1;
    private static final double SLACK = Math.max(Tier.MOST_UNITS, 0.1 * Tier.CAPPED.ceilingBurst());
    private static final int ROLL_MS = 300; // between the ends of two gateways
    private static final int AWAY_MS = 2000; // of each

    /** What the figures of a customer's use are drawn as: most stay under their quota, some ask for several times it. */
    private static Tier tier(int gateways, int customers, long seed) {
        Tier t = new Tier(gateways, LOSS, seed);
        for (int i = 0; i < customers; i++) {
            boolean capped = i % 4 == 0;
            double share = i % 10 == 0 ? 3 : i % 5 == 0 ? 0.95 : 0.45; // of its quota
            QuotaTerms terms = capped ? Tier.CAPPED : Tier.BASIC;
            t.customer(terms, Math.min(gateways, 4), share * terms.rate());
        }
        return t;
    }

    private static void hold(String what, Tier t) {
        double[] costs = t.costs();
        System.out.println("[quiet] " + what + ": beyond " + costs[0] + ", late-seeing " + costs[1] + "; " + t);
        // The late policy's own cost is not credited: nobody's is below nothing, so this is the term or stricter.
        assertTrue(costs[0] <= MORE, what + ": beyond quotas " + costs[0] + ", late-seeing " + costs[1]);
        assertTrue(t.lowestCeiling() >= -SLACK, what + ": a ceiling was passed: " + t.lowestCeiling());
    }

    @ParameterizedTest
    @CsvSource({"40,1", "100,1", "100,2"})
    void whatPassesBeyondQuotasOnAQuietDayCostsLittle(int gateways, long seed) {
        Tier t = tier(gateways, 4 * gateways, seed);
        t.pass(5000);
        t.mark();
        t.pass(20_000);
        hold(gateways + " gateways, seed " + seed, t);
    }

    /** A part of the accounts turn to the gateways beside theirs at one stroke, back and forth. */
    @ParameterizedTest
    @CsvSource({"40,3", "100,3"})
    void soItIsWhereAccountsShift(int gateways, long seed) {
        Tier t = tier(gateways, 4 * gateways, seed);
        t.pass(5000);
        t.mark();
        for (int i = 0; i < 4; i++) {
            boolean even = i % 2 == 0;
            t.through(c -> c.named.customer() % 2 == 0 ? even ? 0 : c.named.spread() - 1 : -1);
            t.pass(4000);
        }
        hold(gateways + " gateways, shifting, seed " + seed, t);
    }

    /** One gateway after the other hands its books over and comes back; the next one ends while it is away. */
    @ParameterizedTest
    @CsvSource({"40,4", "100,4"})
    void soItIsWhileGatewaysAreRestartedOneByOne(int gateways, long seed) {
        Tier t = tier(gateways, 4 * gateways, seed);
        t.pass(5000);
        t.mark();
        for (int g = 0; g < Math.min(gateways, 30); g++) {
            t.leave(g);
            t.pass(ROLL_MS);
            t.kill(g, AWAY_MS);
            t.pass(ROLL_MS);
        }
        t.pass(3000);
        hold(gateways + " gateways, restarted one by one, seed " + seed, t);
    }
}
