package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tiers of a hundred gateways and more in virtual time, through losses, restarts and partitions. */
class QuotaCoordinatorTest {
    private static final long SEED = 35;
    private static final double MESSAGE_LOSS = 0.05;
    private static final double NOW = 1_000_000;

    /** Returns a tier in which most customers request 0.4 times their quota's rate, some all of it, some three times as much. */
    private static SimulatedTier busyTier(int gateways, double loss) {
        SimulatedTier tier = new SimulatedTier(gateways, loss, SEED);
        Random random = new Random(SEED);
        for (int i = 0; i < 5 * gateways; i++) {
            double factor = random.nextInt(10) < 7 ? 0.4 : random.nextInt(3) < 2 ? 1 : 3;
            int spread = gateways / 2 + random.nextInt(gateways / 2);
            boolean capped = i % 12 == 0;
            spread = capped ? 5 : spread;
            tier.addCustomer(capped ? SimulatedTier.CAPPED : SimulatedTier.BASIC, spread, factor * (capped ? 15 : 2));
        }
        return tier;
    }

    private static void report(String label, SimulatedTier tier) {
        System.out.println("[tier] " + label + ", seed " + SEED + ": " + tier);
    }

    @ParameterizedTest
    @ValueSource(ints = {40, 100, 200, 500})
    void quietTierRefusesAlmostNoRequestWithRoom(int gateways) {
        SimulatedTier tier = busyTier(gateways, MESSAGE_LOSS);
        tier.advance(2000);
        tier.resetCounts();
        tier.advance(8000);
        report("quiet, " + gateways, tier);
        assertTrue(tier.refusedWithRoomShare() <= 0.03, tier.toString());
        assertTrue(tier.unitsBeyondQuota <= 0.03 * tier.sent, tier.toString());
        assertTrue(tier.decisionTimeMs(0.99) < 200, tier.toString());
        assertTrue(tier.lowestCeiling() >= -SimulatedTier.MAX_REQUEST_UNITS, tier.toString());
    }

    @Test
    void heavyMessageLossCostsTimeButNoCeiling() {
        SimulatedTier tier = busyTier(100, 0.3);
        tier.advance(2000);
        tier.resetCounts();
        tier.advance(8000);
        report("three in ten messages lost", tier);
        assertTrue(tier.refusedWithRoomShare() <= 0.12, tier.toString());
        assertTrue(tier.lowestCeiling() >= -SimulatedTier.MAX_REQUEST_UNITS, tier.toString());
    }

    /** Restarts a tenth of the gateways every two seconds; each announces its shutdown before. */
    @Test
    void rollingRestartKeepsLedgers() {
        SimulatedTier tier = busyTier(100, MESSAGE_LOSS);
        tier.advance(3000);
        tier.resetCounts();
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int i = 0; i < 10; i++) {
                tier.leave(tenth * 10 + i);
            }
            tier.advance(500);
            for (int i = 0; i < 10; i++) {
                tier.kill(tenth * 10 + i, 1200);
            }
            tier.advance(1500);
        }
        report("a tenth restarted every two seconds", tier);
        assertTrue(tier.refusedWithRoomShare() <= 0.06, tier.toString());
        assertTrue(tier.unitsBeyondQuota <= 0.06 * tier.sent, tier.toString());
        assertTrue(tier.lowestCeiling() >= -SimulatedTier.MAX_REQUEST_UNITS, tier.toString());
    }

    @Test
    void survivesSevenInTenGatewaysKilledAtOnce() {
        SimulatedTier tier = busyTier(100, MESSAGE_LOSS);
        tier.advance(3000);
        tier.resetCounts();
        for (int i = 0; i < 100; i++) {
            if (i % 10 < 7) {
                tier.kill(i, 2500);
            }
        }
        tier.advance(8000);
        report("seven in ten killed", tier);
        assertTrue(tier.refusedWithRoomShare() <= 0.15, tier.toString());
        assertTrue(tier.lowestCeiling() >= -SimulatedTier.MAX_REQUEST_UNITS, tier.toString());
    }

    /** No gateway receives any message for six seconds; two seconds after that everything is as before. */
    @Test
    void partitionedTierDecidesByLastReport() {
        SimulatedTier tier = busyTier(100, MESSAGE_LOSS);
        tier.advance(12_000);
        tier.resetCounts();
        tier.partition((a, b) -> true);
        tier.advance(6000);
        report("six seconds without messages", tier);
        assertTrue(tier.refusedWithRoomShare() <= 0.2, tier.toString());
        assertTrue(tier.unitsBeyondQuota <= 0.25 * tier.sent, tier.toString());
        tier.partition((a, b) -> false);
        tier.advance(2000);
        tier.resetCounts();
        tier.advance(4000);
        report("after the partition", tier);
        assertTrue(tier.refusedWithRoomShare() <= 0.03, tier.toString());
        assertTrue(tier.lowestCeiling() >= -SimulatedTier.MAX_REQUEST_UNITS, tier.toString());
    }

    /** Demand far beyond the ceiling, through partitions, kills and loss, for several seeds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void ceilingIsNeverExceeded(long seed) {
        SimulatedTier tier = new SimulatedTier(40, 0.15, seed);
        Random random = new Random(seed);
        SimulatedTier.Customer customer = tier.addCustomer(SimulatedTier.ONLY_CAPPED, 30, 0);
        for (int round = 0; round < 10; round++) {
            customer.unitsPerSecond = random.nextBoolean() ? 300 : 10;
            tier.advance(1000);
            int side = random.nextInt(40);
            tier.partition(random.nextBoolean() ? (a, b) -> a < side != b < side : (a, b) -> false);
            for (int gateway = 0; gateway < 40; gateway++) {
                if (random.nextInt(4) == 0) {
                    tier.kill(gateway, 900 + random.nextInt(2000));
                }
            }
            tier.advance(random.nextInt(2000));
        }
        System.out.println("[tier] ceiling, seed " + seed + ": lowest " + customer.lowestCeiling + ", sent " + customer.sent);
        assertTrue(customer.lowestCeiling >= 0, "ceiling exceeded by " + -customer.lowestCeiling);
        assertTrue(customer.lowestCeiling < 30, "the ceiling was never used up, lowest level " + customer.lowestCeiling);
    }

    private static QuotaCoordinator singleCoordinator(int self, int gateways, List<QuotaMessage> sent,
            List<QuotaCoordinator.Decision> decided) {
        QuotaCoordinator.Config config = new QuotaCoordinator.Config(
                self, gateways, 40, SimulatedTier.MAX_REQUEST_UNITS, 1000, List.of(SimulatedTier.BASIC, SimulatedTier.CAPPED));
        return new QuotaCoordinator(NOW, config, (int) NOW, new Random(SEED), new QuotaCoordinator.Callbacks() {
            @Override
            public void sendToPeer(int peer, byte[] data) {
                sent.add(QuotaMessage.decode(data));
            }

            @Override
            public void onDecision(double now, String id, QuotaCoordinator.Decision decision) {
                decided.add(decision);
            }
        });
    }

    private static QuotaMessage from(int incarnation, int count, QuotaMessage.Item... items) {
        return new QuotaMessage(incarnation, (int) NOW & QuotaMessage.UINT16_MASK, count, List.of(items));
    }

    /** Returns a customer whose primary replica is that gateway of a hundred. */
    private static QuotaMessage.CustomerKey customerWithPrimary(int gateway) {
        for (int customer = 1;; customer++) {
            QuotaMessage.CustomerKey key = new QuotaMessage.CustomerKey(customer, 0, 0, 100);
            if (LedgerPlacement.of(key, 100, SimulatedTier.BASIC, 8).replicas()[0] == gateway) {
                return key;
            }
        }
    }

    /**
     * Replayed messages, an older incarnation, a future incarnation and an impossible set: no ledger changes and no verdict
     * is reached twice.
     */
    @Test
    void replayedOrImpossibleMessageTakesNothing() {
        List<QuotaMessage> sent = new ArrayList<>();
        QuotaCoordinator coordinator = singleCoordinator(5, 100, sent, new ArrayList<>());
        QuotaMessage.CustomerKey key = customerWithPrimary(5);
        QuotaMessage query = from(500, 1, new QuotaMessage.Query(9, key, 3, 0, QuotaMessage.UnitScope.BOTH));
        coordinator.onMessage(NOW, 7, query);
        coordinator.onMessage(NOW, 7, query);
        coordinator.onMessage(NOW, 7, from(499, 2, new QuotaMessage.Query(10, key, 3, 0, QuotaMessage.UnitScope.BOTH)));
        coordinator.onMessage(NOW, 7, from((int) NOW + 100_000, 3, new QuotaMessage.Query(11, key, 3, 0, QuotaMessage.UnitScope.BOTH)));
        coordinator.onMessage(NOW, 7, from(500, 4,
                new QuotaMessage.Query(12, new QuotaMessage.CustomerKey(3, 0, 90, 5), 3, 0, QuotaMessage.UnitScope.BOTH)));
        coordinator.onMessage(NOW, 7, from(500, 5,
                new QuotaMessage.Query(13, new QuotaMessage.CustomerKey(4, 99, 0, 100), 3, 0, QuotaMessage.UnitScope.BOTH)));
        List<QuotaMessage.Reply> answers = sent.stream()
                .flatMap(message -> message.items().stream()).map(i -> (QuotaMessage.Reply) i).toList();
        assertEquals(List.of(9, 9, 12, 13), answers.stream().map(QuotaMessage.Reply::serial).toList());
        assertEquals(4 / 7.0, answers.get(1).fullness(), 0.006, "three of seven units were taken once");
        assertEquals(QuotaMessage.Verdict.CANNOT_DECIDE, answers.get(2).verdict());
        assertEquals(QuotaMessage.Verdict.CANNOT_DECIDE, answers.get(3).verdict());
    }

    /** An answer that arrives after its query was abandoned has its units returned. */
    @Test
    void grantForAbandonedRequestIsReturned() {
        List<QuotaMessage> sent = new ArrayList<>();
        List<QuotaCoordinator.Decision> decided = new ArrayList<>();
        QuotaCoordinator coordinator = singleCoordinator(5, 100, sent, decided);
        coordinator.requestAdmission(NOW, "r", customerWithPrimary(9), 2, NOW + 900);
        QuotaMessage.Query ask = (QuotaMessage.Query) sent.get(0).items().get(0);
        coordinator.abandonRequest("r");
        coordinator.onMessage(NOW + 5, 9, from(500, 1, new QuotaMessage.Reply(ask.serial(), QuotaMessage.Verdict.GRANTED, 0.5, 1, false)));
        assertEquals(new QuotaMessage.UnitsReturned(ask.serial()), sent.get(1).items().get(0));
        assertEquals(List.of(), decided);
    }

    /** The primary replica restarts: its standby replica has sent it what was spent before it decides on the next request. */
    @Test
    void restartedPrimaryReceivesItsLedgers() {
        SimulatedTier tier = new SimulatedTier(100, 0, SEED);
        SimulatedTier.Customer customer = tier.addCustomer(SimulatedTier.BASIC, 100, 8);
        tier.advance(4000);
        tier.resetCounts();
        int primary = LedgerPlacement.of(customer.key, 100, SimulatedTier.BASIC, 8).replicas()[0];
        tier.kill(primary, 1500);
        tier.advance(4000);
        double maxSent = customer.allowed + 8 * 0.5; // docs/design/hundreds.md: what the standby replica was not sent yet
        assertTrue(customer.sent <= maxSent, customer.sent + " sent on, " + customer.allowed + " allowed");
        assertTrue(customer.sent >= 0.6 * customer.allowed, customer.sent + " sent on, " + customer.allowed + " allowed");
    }

    /** All of a customer's traffic moves to gateways that never saw it: the ledger stays where it was. */
    @Test
    void movedTrafficMeetsTheSameLedger() {
        SimulatedTier tier = new SimulatedTier(100, MESSAGE_LOSS, SEED);
        SimulatedTier.Customer customer = tier.addCustomer(SimulatedTier.BASIC, 100, 0);
        for (int i = 0; i < 400; i++) {
            tier.requestAt(i < 200 ? 10 : 90, customer, 1);
            tier.advance(40);
        }
        assertTrue(customer.sent <= customer.allowed + 2, customer.sent + " sent on, " + customer.allowed + " allowed");
        assertTrue(customer.sent >= 0.85 * customer.allowed, customer.sent + " sent on, " + customer.allowed + " allowed");
    }

    /** Beyond its bound a gateway keeps no ledger and sends no query: it refuses, and evicts no known customer. */
    @Test
    void customersBeyondTheBoundAreRefused() {
        List<QuotaMessage> sent = new ArrayList<>();
        List<QuotaCoordinator.Decision> decided = new ArrayList<>();
        QuotaCoordinator coordinator = singleCoordinator(5, 100, sent, decided);
        for (int customer = 1; customer <= 100_000; customer++) {
            coordinator.requestAdmission(NOW, "r" + customer, new QuotaMessage.CustomerKey(customer, 0, 0, 100), 1, NOW + 900);
        }
        assertTrue(decided.stream().filter(d -> !d.admitted()).count() >= 99_000, decided.size() + " decided");
        assertTrue(sent.size() <= 16, sent.size() + " messages sent");
    }

    /** Next to older versions, which split ceilings differently, a share is at most their even part. */
    @Test
    void shareNextToOlderVersionIsAtMostItsEvenPart() {
        List<QuotaCoordinator.Decision> decided = new ArrayList<>();
        QuotaCoordinator coordinator = singleCoordinator(0, 100, new ArrayList<>(), decided);
        coordinator.onMessage(NOW, 3, null);
        QuotaMessage.CustomerKey setOfFive = new QuotaMessage.CustomerKey(1, 1, 0, 5);
        double admittedUnits = 0;
        // no peer answers for a minute, so the degraded-mode estimate decides and the gateway's own share bounds it
        for (int i = 0; i < 20; i++) {
            double now = NOW + 10_000 + 20 * i;
            int decidedBefore = decided.size();
            coordinator.requestAdmission(now, "r" + i, setOfFive, 1, now + 10);
            admittedUnits += decided.get(decidedBefore).admitted() ? 1 : 0;
        }
        assertTrue(admittedUnits <= 57 * 0.5 / 5 + 35 * 0.5 / 5 * 0.4 && admittedUnits >= 4, admittedUnits + " units admitted");
    }
}
