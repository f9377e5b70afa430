package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import marlford.gateway.gossip.UsageMessage;
import org.junit.jupiter.api.Test;

/** Quotas by usage messages, without admission queries: fourteen gateways, a lossy link and a limit of messages per second. */
class LargeTierTest {
    private static final int GATEWAYS = 14;
    private static final int SET_SIZE = 10; // gateways of a customer's set
    private static final int STEP_MS = 10;
    private static final double LOSS_SHARE = 0.08;
    private static final int MESSAGES_PER_SECOND = 60; // that a gateway accepts, as in the settings
    private static final double RATE = FakeGateway.SMALL.rate();
    private static final double BURST = FakeGateway.SMALL.burst();

    private final List<FakeGateway> gateways = new ArrayList<>();
    private final List<ArrayDeque<Double>> receivedAt = new ArrayList<>();
    private final Map<String, Double> units = new HashMap<>();
    private final Map<Long, Double> admitted = new HashMap<>(); // units, under key 0
    private final Set<String> answered = new HashSet<>();
    private final Random random = new Random(11);
    private double ceiling = FakeGateway.CAPPED.ceilingBurst();
    private double ceilingAt = 1000;
    private double lowestCeiling = ceiling;
    private int requestCount;
    private int droppedMessages;
    private int received;

    LargeTierTest() {
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new FakeGateway(1000, FakeGateway.settings(i, GATEWAYS, random.nextLong())).withHosts("a1", "a2", "a3"));
            receivedAt.add(new ArrayDeque<>());
        }
    }

    private double now() {
        return gateways.get(0).now;
    }

    private void restart(int gateway) {
        gateways.set(gateway, new FakeGateway(now(), FakeGateway.settings(gateway, GATEWAYS, random.nextLong()))
                .withHosts("a1", "a2", "a3"));
    }

    /** Sends a request to a random gateway of the customer's set. */
    private void request(long customer, int first, double amount) {
        requestAt((first + random.nextInt(SET_SIZE)) % GATEWAYS, "small", customer, first, amount);
    }

    private void requestAt(int gateway, String plan, long customer, int first, double amount) {
        String id = "r" + requestCount++;
        units.put(id, amount);
        FakeGateway g = gateways.get(gateway);
        g.engine.onRequest(g.now, new EngineApi.Request(id, g.now + 3000, g.now, false, "read", customer, plan, amount,
                first, SET_SIZE));
    }

    /** One step of every gateway; then delivers messages and serves admitted requests. */
    private void step() {
        gateways.forEach(g -> g.advance(STEP_MS));
        for (int from = 0; from < GATEWAYS; from++) {
            List<FakeGateway.PeerMessage> messages = List.copyOf(gateways.get(from).peerMessages);
            gateways.get(from).peerMessages.clear();
            for (FakeGateway.PeerMessage t : messages) {
                for (int to = 0; to < GATEWAYS; to++) {
                    if (to != from && (t.peer() < 0 || t.peer() == to)) {
                        deliver(from, to, t.data());
                    }
                }
            }
        }
        for (FakeGateway g : gateways) {
            for (FakeGateway.SentAttempt s : List.copyOf(g.sent)) {
                if (answered.add(s.id())) {
                    admitted.merge(0L, units.get(s.id()), Double::sum);
                    chargeCeiling(s.at(), units.get(s.id()));
                    g.endAttempt(s.id(), 0, EngineApi.Outcome.OK, 5);
                }
            }
        }
    }

    private void deliver(int from, int to, byte[] data) {
        ArrayDeque<Double> recent = receivedAt.get(to);
        while (!recent.isEmpty() && recent.peek() < now() - 1000) {
            recent.poll();
        }
        if (recent.size() >= MESSAGES_PER_SECOND) {
            droppedMessages++;
        } else if (random.nextDouble() >= LOSS_SHARE) {
            received++;
            recent.add(now());
            gateways.get(to).engine.onPeerMessage(now(), from, data);
        }
    }

    /** Requests of one unit each, for this many customers, at this share of their quotas. */
    private void load(int customers, double quotaShare, int seconds) {
        double perStep = customers * quotaShare * RATE * STEP_MS / 1000;
        for (int i = 0; i < seconds * 1000 / STEP_MS; i++) {
            int count = (int) perStep + (random.nextDouble() < perStep % 1 ? 1 : 0);
            for (int r = 0; r < count; r++) {
                int customer = random.nextInt(customers);
                request(customer + 1, customer % GATEWAYS, 1);
            }
            step();
        }
    }

    /** Charges the true token bucket of the only customer with a ceiling. */
    private void chargeCeiling(double at, double amount) {
        ceiling = Math.min(FakeGateway.CAPPED.ceilingBurst(),
                ceiling + FakeGateway.CAPPED.ceilingRate() * (at - ceilingAt) / 1000) - amount;
        ceilingAt = at;
        lowestCeiling = Math.min(lowestCeiling, ceiling);
    }

    /** Requests of two units under a ceiling, {@code perSecond} units a second, at gateways that the caller chooses. */
    private void loadCapped(double perSecond, int seconds, IntSupplier gateway) {
        double perStep = perSecond / 2 * STEP_MS / 1000;
        for (int i = 0; i < seconds * 1000 / STEP_MS; i++) {
            for (double due = perStep + random.nextDouble(); due >= 1; due--) {
                requestAt(gateway.getAsInt(), "capped", 42, 0, 2);
            }
            step();
        }
    }

    /** A gateway's own share, a tenth, is 42 units in that time; it gets more, since the others transfer what they don't need. */
    @Test
    void ceilingUnitsAreTransferredToTheGatewayThatNeedsThem() {
        load(1, 0.1, 5); // token buckets fill
        admitted.clear();
        loadCapped(7, 20, () -> 3);
        double got = admitted.get(0L);
        assertTrue(got >= 2 * 42, "units admitted: " + got);
    }

    /** Lost messages, restarts, and requests at all gateways far above the ceiling. */
    @Test
    void ceilingIsNeverExceededWhileItsUnitsAreTransferred() {
        for (int round = 0; round < 12; round++) {
            loadCapped(6, 3, () -> 3); // units are in transit to one gateway while token buckets are full
            int quiet = random.nextInt(SET_SIZE);
            loadCapped(80, 2, () -> random.nextInt(SET_SIZE));
            loadCapped(60, 1, () -> random.nextInt(2) * quiet);
            restart(random.nextInt(GATEWAYS));
            loadCapped(1, 3, () -> 5);
        }
        double slack = -FakeGateway.CAPPED.ceilingSlack();
        assertTrue(lowestCeiling >= slack, "the true token bucket fell to " + lowestCeiling);
        assertTrue(lowestCeiling <= 30, "the ceiling has to be used for the test to prove anything: " + lowestCeiling);
    }

    private static byte[] usageMessage(int incarnation, int count, UsageMessage.Entry entry) {
        return new UsageMessage(incarnation, count, List.of(entry), List.of(), List.of()).encode();
    }

    private long refused() {
        return gateways.stream().mapToLong(g -> g.refused.size()).sum();
    }

    /** With admission queries, a third of all requests was refused with half of the quota unused, since queries were queued. */
    @Test
    void customersBelowTheirQuotaAreServed() {
        load(150, 0.45, 10);
        assertTrue(refused() <= 0.01 * requestCount, refused() + " of " + requestCount + " requests refused");
        assertEquals(0, droppedMessages, "messages above the limit per second, beside " + received);
    }

    @Test
    void customerFarAboveItsQuotaGetsItsQuotaAndLittleMore() {
        int seconds = 20;
        load(1, 4, seconds);
        double quota = BURST + RATE * seconds;
        double got = admitted.get(0L);
        assertTrue(got >= 0.8 * quota && got <= 1.25 * quota, got + " of " + quota);
    }

    /** A restarted gateway adopts the fill levels that its peers report, and does not grant the burst again. */
    @Test
    void restartOfMostGatewaysDoesNotGrantTheBurstsAgain() {
        load(5, 3, 10);
        for (int i = 0; i < GATEWAYS - 2; i++) {
            restart(i);
        }
        for (int i = 0; i < 500 / STEP_MS; i++) {
            step(); // the start phase of a gateway, in which it learns from its peers
        }
        admitted.clear();
        int seconds = 10;
        load(5, 3, seconds);
        double quota = 5 * RATE * (seconds + 0.5);
        double got = admitted.get(0L);
        assertTrue(got >= 0.7 * quota && got <= 1.25 * quota, got + " of " + quota);
    }

    /**
     * A restarted gateway that first learned of a customer late used to charge the customer with everything that a peer had
     * admitted in its whole incarnation.
     */
    @Test
    void restartedGatewayDoesNotChargeEarlierUse() {
        FakeGateway g = gateways.get(0);
        g.advance(3000);
        UsageMessage.Entry use = new UsageMessage.Entry(7, 0, UsageMessage.encodeUsed(400), 1, 0.75);
        g.engine.onPeerMessage(g.now, 3, usageMessage(500, 9, use)); // an incarnation that began before this gateway's
        UsageMessage.Entry young = new UsageMessage.Entry(7, 0, UsageMessage.encodeUsed(5), 1, 1);
        g.engine.onPeerMessage(g.now, 4, usageMessage(2500, 1, young)); // and one that began after it
        for (int i = 0; i < 12; i++) { // 12 units of burst, a quarter used before the first report, then five more
            g.request("q" + i, "read", "small", 7, 1, SET_SIZE);
        }
        assertTrue(g.sent.size() >= 3 && g.sent.size() <= 4, g.sent.size() + " requests admitted");
    }

    /** Damaged, replayed, foreign and malformed messages change no ledger and do not add customers without a limit. */
    @Test
    void invalidMessagesAreIgnored() {
        FakeGateway g = gateways.get(0);
        byte[] good = usageMessage(1500, 1, new UsageMessage.Entry(7, 0, UsageMessage.encodeUsed(9), 1, 1));
        byte[] otherPlan = usageMessage(1500, 2, new UsageMessage.Entry(7, 99, UsageMessage.encodeUsed(9), 1, 0));
        g.advance(2000); // the learning phase is over
        g.engine.onPeerMessage(g.now, 3, good);
        g.engine.onPeerMessage(g.now, 3, good); // replayed
        g.engine.onPeerMessage(g.now, 3, Arrays.copyOf(good, good.length - 1));
        g.engine.onPeerMessage(g.now, 3, Arrays.copyOf(good, 300));
        g.engine.onPeerMessage(g.now, 3, new byte[0]);
        g.engine.onPeerMessage(g.now, 3, otherPlan);
        g.engine.onPeerMessage(g.now, 0, good); // from itself
        g.engine.onPeerMessage(g.now, 77, good); // from an unknown peer
        byte[] damaged = good.clone();
        damaged[damaged.length - 1]++;
        g.engine.onPeerMessage(g.now, 4, damaged);
        for (int i = 0; i < 12; i++) { // 12 units of burst less the 9 that a peer admitted
            g.request("q" + i, "read", "small", 7, 1, SET_SIZE);
        }
        assertTrue(g.sent.size() == 2 || g.sent.size() == 3, g.sent.size() + " requests admitted");
    }
}
