package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The operators' term on cold hosts: in no window of the settings' length does one get more than N + 2 root N + 2 requests from
 * all gateways together, N being what the settings allow it at the window's begin. Each gateway decides by itself, and all of
 * them were told of the start. Clients ask for half as much again from then on, and the seeds are fixed: one verdict.
 */
class ColdTierTest {
    private static final int[] EVEN = {3};
    private static final int[] MIXED = {2, 8};
    private static final double USUAL = 0.7; // of what the hosts can do when warm
    private static final double BURST = 1.5 * USUAL;
    private static final double LEARNS_MS = 4000;
    private static final double AWAY_MS = 2000;
    private static final double WATCHED_MS = 5000;
    private static final double RESTART_AFTER_MS = 300; // into the slow start

    /** Hosts of several sizes in every second play; nothing in the list tells a gateway which is which. */
    private static int[] cores(long seed) {
        return seed % 2 == 0 ? MIXED : EVEN;
    }

    private static void hold(ColdTier t, String what) {
        String figures = "%s: at most %.2f of what a cold host bears, %d sent to cold hosts, served %.3f"
                .formatted(what, t.worst(), t.toCold(), t.servedShare());
        System.out.println("[cold] " + figures);
        assertTrue(t.worst() <= 1, figures);
        assertTrue(t.toCold() > 0, figures);
    }

    /** New hosts beside warm ones; they have to get work as well. */
    @ParameterizedTest
    @CsvSource({"5,10,1,20", "5,10,4,60", "30,20,1,20", "30,20,8,20", "30,20,8,60", "30,8,4,20", "100,60,2,20", "100,60,20,20",
        "100,60,20,60"})
    void newHostsBearWhatTheyAreSent(int gateways, int hosts, int young, double workMs) {
        for (long seed = 1; seed <= 2; seed++) {
            ColdTier t = new ColdTier(gateways, hosts, cores(seed), workMs, seed);
            t.pass(LEARNS_MS, USUAL, hosts);
            t.join(young);
            t.pass(WATCHED_MS, BURST, hosts);
            hold(t, "%d gateways, %d of %d new, %.0f ms, seed %d".formatted(gateways, young, hosts + young, workMs, seed));
        }
    }

    /** Hosts that were lost come back cold, a third, two thirds and all of them. */
    @ParameterizedTest
    @CsvSource({"5,9,3,20", "5,9,6,20", "5,9,9,20", "5,9,9,60", "30,18,6,20", "30,18,12,20", "30,18,12,60", "30,18,18,20",
        "30,18,18,60", "30,6,4,20", "30,6,6,20", "100,60,20,20", "100,60,40,20", "100,60,60,20", "100,60,60,60"})
    void hostsThatComeBackBearWhatTheyAreSent(int gateways, int hosts, int lost, double workMs) {
        for (long seed = 1; seed <= 2; seed++) {
            ColdTier t = new ColdTier(gateways, hosts, cores(seed), workMs, seed);
            t.pass(LEARNS_MS, USUAL, hosts);
            t.lose(lost);
            t.pass(AWAY_MS, USUAL, hosts);
            t.comeBack(lost);
            t.pass(WATCHED_MS, BURST, hosts);
            hold(t, "%d gateways, %d of %d back, %.0f ms, seed %d".formatted(gateways, lost, hosts, workMs, seed));
        }
    }

    /**
     * One process in three has a wall clock that was wrong when it started. Hosts come back while all run; then just these
     * processes are started anew, in the midst of it, as by an upgrade. All goes as with right clocks.
     */
    @ParameterizedTest
    @CsvSource({"-3600000", "-3000", "3000", "3600000"})
    void aWrongWallClockChangesWhatColdHostsGet(double errorMs) {
        for (long seed = 1; seed <= 4; seed++) {
            ColdTier right = withWrongClocks(seed, 0);
            ColdTier wrong = withWrongClocks(seed, errorMs);
            hold(wrong, "30 gateways, one in three off by %.0f ms, seed %d".formatted(errorMs, seed));
            assertEquals(right.toCold(), wrong.toCold());
            assertEquals(right.worst(), wrong.worst());
            assertEquals(right.servedShare(), wrong.servedShare());
        }
    }

    private static ColdTier withWrongClocks(long seed, double errorMs) {
        ColdTier t = new ColdTier(30, 18, cores(seed), 20, seed, errorMs);
        t.pass(LEARNS_MS, USUAL, 18);
        t.lose(6);
        t.pass(AWAY_MS, USUAL, 18);
        t.comeBack(6);
        if (seed % 2 == 0) {
            t.pass(RESTART_AFTER_MS, BURST, 18);
            t.restartWrongOnes();
        }
        t.pass(WATCHED_MS, BURST, 18);
        return t;
    }
}
