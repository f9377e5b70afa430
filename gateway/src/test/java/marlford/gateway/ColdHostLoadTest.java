package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The operators' limit for cold hosts: in no window of the settings' length does a cold host receive more than N + 2 root N + 2
 * requests from all gateways together, where N is what the settings allow it at the start of the window. Each gateway decides by
 * itself, and all of them know of the host's start, from which on clients send half as much again. The seeds are fixed, so the
 * result is deterministic.
 */
class ColdHostLoadTest {
    private static final int[] EQUAL_CORES = {3};
    private static final int[] MIXED_CORES = {2, 8};
    private static final double NORMAL_LOAD = 0.7; // relative to the capacity of the hosts when warm
    private static final double PEAK_LOAD = 1.5 * NORMAL_LOAD;
    private static final double LEARNING_MS = 4000;
    private static final double OUTAGE_MS = 2000;
    private static final double OBSERVED_MS = 5000;
    private static final double GATEWAY_RESTART_AFTER_MS = 300; // during the slow start

    /** Mixed host sizes with every second seed; the list does not tell a gateway the size of a host. */
    private static int[] cores(long seed) {
        return seed % 2 == 0 ? MIXED_CORES : EQUAL_CORES;
    }

    private static void assertWithinLimit(ColdHostSimulation t, String scenario) {
        String figures = "%s: at most %.2f of the load that a cold host can bear, %d attempts at cold hosts, %.3f of requests served"
                .formatted(scenario, t.worstLoad(), t.coldHostAttempts(), t.servedShare());
        System.out.println("[cold] " + figures);
        assertTrue(t.worstLoad() <= 1, figures);
        assertTrue(t.coldHostAttempts() > 0, figures);
    }

    /** New hosts beside warm ones must not be overloaded, but have to receive requests. */
    @ParameterizedTest
    @CsvSource({"5,10,1,20", "5,10,4,60", "30,20,1,20", "30,20,8,20", "30,20,8,60", "30,8,4,20", "100,60,2,20", "100,60,20,20",
        "100,60,20,60"})
    void newHostsAreNotOverloaded(int gateways, int hosts, int added, double workMs) {
        for (long seed = 1; seed <= 2; seed++) {
            ColdHostSimulation t = new ColdHostSimulation(gateways, hosts, cores(seed), workMs, seed);
            t.run(LEARNING_MS, NORMAL_LOAD, hosts);
            t.addHosts(added);
            t.run(OBSERVED_MS, PEAK_LOAD, hosts);
            assertWithinLimit(t,
                    "%d gateways, %d of %d hosts new, %.0f ms, seed %d".formatted(gateways, added, hosts + added, workMs, seed));
        }
    }

    /** A third, two thirds or all of the hosts fail and come back cold. */
    @ParameterizedTest
    @CsvSource({"5,9,3,20", "5,9,6,20", "5,9,9,20", "5,9,9,60", "30,18,6,20", "30,18,12,20", "30,18,12,60", "30,18,18,20",
        "30,18,18,60", "30,6,4,20", "30,6,6,20", "100,60,20,20", "100,60,40,20", "100,60,60,20", "100,60,60,60"})
    void restartedHostsAreNotOverloaded(int gateways, int hosts, int failed, double workMs) {
        for (long seed = 1; seed <= 2; seed++) {
            ColdHostSimulation t = new ColdHostSimulation(gateways, hosts, cores(seed), workMs, seed);
            t.run(LEARNING_MS, NORMAL_LOAD, hosts);
            t.failHosts(failed);
            t.run(OUTAGE_MS, NORMAL_LOAD, hosts);
            t.restartHosts(failed);
            t.run(OBSERVED_MS, PEAK_LOAD, hosts);
            assertWithinLimit(t,
                    "%d gateways, %d of %d hosts restarted, %.0f ms, seed %d".formatted(gateways, failed, hosts, workMs, seed));
        }
    }

    /**
     * One gateway in three has a wall clock that was wrong when it started. Hosts come back, and during their warm-up these
     * gateways are restarted, as by an upgrade. The results equal those with correct clocks.
     */
    @ParameterizedTest
    @CsvSource({"-3600000", "-3000", "3000", "3600000"})
    void wrongWallClockDoesNotChangeTheLoadOfColdHosts(double errorMs) {
        for (long seed = 1; seed <= 4; seed++) {
            ColdHostSimulation correct = runWithWrongClocks(seed, 0);
            ColdHostSimulation wrong = runWithWrongClocks(seed, errorMs);
            assertWithinLimit(wrong, "30 gateways, one clock in three wrong by %.0f ms, seed %d".formatted(errorMs, seed));
            assertEquals(correct.coldHostAttempts(), wrong.coldHostAttempts());
            assertEquals(correct.worstLoad(), wrong.worstLoad());
            assertEquals(correct.servedShare(), wrong.servedShare());
        }
    }

    private static ColdHostSimulation runWithWrongClocks(long seed, double errorMs) {
        ColdHostSimulation t = new ColdHostSimulation(30, 18, cores(seed), 20, seed, errorMs);
        t.run(LEARNING_MS, NORMAL_LOAD, 18);
        t.failHosts(6);
        t.run(OUTAGE_MS, NORMAL_LOAD, 18);
        t.restartHosts(6);
        if (seed % 2 == 0) {
            t.run(GATEWAY_RESTART_AFTER_MS, PEAK_LOAD, 18);
            t.restartGatewaysWithWrongClocks();
        }
        t.run(OBSERVED_MS, PEAK_LOAD, 18);
        return t;
    }
}
