package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The operators' term on quotas for tiers of few gateways, which ask keepers (2, 5) or tell all (14): on a quiet day what
 * passes beyond quotas, all together, costs at most a tenth more than under a policy that sees the true state late. Whole
 * decision modules in virtual time; 8% of messages are lost, and each gateway takes in no more than the settings say.
 */
class QuietTierTest {
    private static final double LOSS = 0.08;
    private static final double MORE = 0.1;
    private static final int SHIFT_MS = 4000;
    private static final int ROLL_MS = 300; // from an end's farewell to the end
    private static final int AWAY_MS = 2000; // of a gateway that is restarted
    private static final double CEILING_SLACK = Math.max(4, 0.1 * FakeGateway.CAPPED.ceilingBurst());

    private static void hold(SmallTier t, String what) {
        String figures = what + ": beyond quotas " + t.cost() + ", late-seeing " + t.lateCost() + ", lowest ceiling "
                + t.lowestCeiling();
        System.out.println("[quiet] " + figures);
        assertTrue(t.cost() <= MORE, figures); // the late policy's own cost is not credited
        assertTrue(t.lowestCeiling() >= -CEILING_SLACK, figures);
    }

    @ParameterizedTest
    @CsvSource({"2,1", "5,1", "5,2", "14,1"})
    void whatPassesBeyondQuotasOnAQuietDayCostsLittle(int gateways, long seed) {
        SmallTier t = SmallTier.tier(gateways, LOSS, seed);
        t.pass(20_000);
        hold(t, gateways + " gateways, seed " + seed);
    }

    /** Half of the accounts turn to one gateway and then to the one beside it, at one stroke. */
    @ParameterizedTest
    @CsvSource({"2,3", "5,3", "14,3"})
    void soItIsWhereAccountsShift(int gateways, long seed) {
        SmallTier t = SmallTier.tier(gateways, LOSS, seed);
        for (int i = 0; i < 4; i++) {
            t.shift(i % 2);
            t.pass(SHIFT_MS);
        }
        hold(t, gateways + " gateways, shifting, seed " + seed);
    }

    /** One gateway after the other says farewell, ends and comes back knowing nothing. */
    @ParameterizedTest
    @CsvSource({"5,4", "14,4"})
    void soItIsWhileGatewaysAreRestartedOneByOne(int gateways, long seed) {
        SmallTier t = SmallTier.tier(gateways, LOSS, seed);
        for (int g = 0; g < gateways; g++) {
            t.restart(g, ROLL_MS, AWAY_MS);
        }
        t.pass(3000);
        hold(t, gateways + " gateways, restarted one by one, seed " + seed);
    }

    /** That the figure tells: gateways that come back one after another and hear nobody let far more pass. */
    @Test
    void aTierThatHearsNobodyIsFoundOut() {
        SmallTier t = SmallTier.tier(5, 1, 4);
        for (int i = 0; i < 20; i++) {
            t.restart(i % 5, ROLL_MS, AWAY_MS);
        }
        System.out.println("[quiet] deaf: " + t.cost());
        assertTrue(t.cost() > MORE, "beyond quotas " + t.cost());
    }
}
