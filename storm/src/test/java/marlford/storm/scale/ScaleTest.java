package marlford.storm.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The short form of a scale run: how counts grow between a few sizes, never how long anything takes. */
class ScaleTest {
    private static final LinkProfile LINK = new LinkProfile(0.05, 1.2, 8.5, 40);
    private static final double WARM_UP_S = 3;
    private static final double SECONDS = 6;
    private static final double BUSY = 181;

    private static VirtualRun run(
            int gateways, double tries, int spread, boolean ceilings, FaultPlan faults, long seed) {
        Workload workload = new Workload(Workload.Shape.FIXED_CUSTOMERS, tries, 29, spread, ceilings);
        return new VirtualRun(gateways, workload, LINK, faults, WARM_UP_S, SECONDS, seed);
    }

    private static FleetFigures play(int gateways, double tries, int spread, boolean ceilings) {
        return VirtualFleet.play(run(gateways, tries, spread, ceilings, FaultPlan.NONE, 1));
    }

    private static void assertGrowsAtMost(double factor, double smaller, double larger, String what) {
        assertTrue(larger <= factor * smaller, what + " grew from " + smaller + " to " + larger);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theSameSeedGivesTheSameCounts(boolean ceilings) {
        VirtualRun run = run(40, BUSY, 3, ceilings, FaultPlan.ZONE_LOST, 7);
        assertEquals(VirtualFleet.play(run), VirtualFleet.play(run));
        assertNotEquals(VirtualFleet.play(run), VirtualFleet.play(run(40, BUSY, 3, ceilings, FaultPlan.ZONE_LOST, 8)));
    }

    /** The clock around each part is read and takes no part in what is decided. */
    @Test
    void timingChangesNoCount() {
        VirtualRun run = run(40, BUSY, 3, true, FaultPlan.NONE, 7);
        assertEquals(VirtualFleet.play(run), VirtualFleet.play(run, new PartTimer(System::nanoTime)));
    }

    /** What a gateway sends, takes in and holds follows its own requests and not the size of the fleet. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aGatewaysCostDoesNotGrowWithTheFleet(boolean ceilings) {
        FleetFigures small = play(50, BUSY, 3, ceilings);
        FleetFigures large = play(200, BUSY, 3, ceilings);
        assertGrowsAtMost(1.15, small.messagesPerGatewaySecond(), large.messagesPerGatewaySecond(), "messages");
        assertGrowsAtMost(1.15, small.bytesPerGatewaySecond(), large.bytesPerGatewaySecond(), "bytes");
        assertGrowsAtMost(1.15, small.customersPerGateway(), large.customersPerGateway(), "customers");
        assertGrowsAtMost(1.25, small.peersPerGateway(), large.peersPerGateway(), "peers");
    }

    /** No message is sent for what is not asked: messages grow no faster than requests. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void messagesGrowNoFasterThanRequests(boolean ceilings) {
        FleetFigures quiet = play(50, 20, 3, ceilings);
        FleetFigures busy = play(50, 60, 3, ceilings);
        double growth = busy.triesPerGatewaySecond() / quiet.triesPerGatewaySecond();
        assertGrowsAtMost(growth, quiet.messagesPerGatewaySecond(), busy.messagesPerGatewaySecond(), "messages");
        assertGrowsAtMost(growth, quiet.bytesPerGatewaySecond(), busy.bytesPerGatewaySecond(), "bytes");
    }

    /**
     * A customer that comes through ten times as many gateways is held by at most ten times as many, and messages grow
     * by less than the root of that.
     */
    @Test
    void entriesGrowWithTheSpreadAndNoFaster() {
        FleetFigures narrow = play(60, BUSY, 3, false);
        FleetFigures wide = play(60, BUSY, 30, false);
        assertGrowsAtMost(10, narrow.customersPerGateway(), wide.customersPerGateway(), "customers");
        assertGrowsAtMost(
                Math.sqrt(10), narrow.messagesPerGatewaySecond(), wide.messagesPerGatewaySecond(), "messages");
    }

    @ParameterizedTest
    @ValueSource(strings = {"NONE", "RESTARTS", "ZONE_LOST", "REGION_CUT"})
    void noCeilingIsPassedWhateverBreaks(FaultPlan faults) {
        FleetFigures figures = VirtualFleet.play(run(40, BUSY, 3, true, faults, 3));
        assertTrue(figures.lowestCeiling() >= 0, "a ceiling's true store was at " + figures.lowestCeiling());
        assertTrue(figures.tries() > 0.9 * 40 * BUSY * SECONDS, "only " + figures.tries() + " requests");
    }
}
