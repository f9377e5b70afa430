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

/** Fourteen gateways over a lossy link that takes in only so many messages a second: quotas without questions. */
class LargeTierTest {
    private static final int GATEWAYS = 14;
    private static final int WIDE = 10; // gateways of a customer's set
    private static final int STEP_MS = 10;
    private static final double LOSS = 0.08;
    private static final int INTAKE = 60; // a second, as in the settings
    private static final double RATE = FakeGateway.SMALL.rate();
    private static final double BURST = FakeGateway.SMALL.burst();

    private final List<FakeGateway> all = new ArrayList<>();
    private final List<ArrayDeque<Double>> taken = new ArrayList<>();
    private final Map<String, Double> units = new HashMap<>();
    private final Map<Long, Double> letIn = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final Random random = new Random(11);
    private double ceiling = FakeGateway.CAPPED.ceilingBurst();
    private double ceilingAt = 1000;
    private double lowest = ceiling;
    private int asked;
    private int dropped;
    private int heard;

    LargeTierTest() {
        for (int i = 0; i < GATEWAYS; i++) {
            all.add(new FakeGateway(1000, FakeGateway.settings(i, GATEWAYS, random.nextLong())).withHosts("a1", "a2", "a3"));
            taken.add(new ArrayDeque<>());
        }
    }

    private double now() {
        return all.get(0).now;
    }

    private void restart(int gateway) {
        all.set(gateway, new FakeGateway(now(), FakeGateway.settings(gateway, GATEWAYS, random.nextLong()))
                .withHosts("a1", "a2", "a3"));
    }

    private void ask(long customer, int first, double amount) {
        askAt((first + random.nextInt(WIDE)) % GATEWAYS, "small", customer, first, amount);
    }

    private void askAt(int gateway, String plan, long customer, int first, double amount) {
        String id = "r" + asked++;
        units.put(id, amount);
        FakeGateway g = all.get(gateway);
        g.engine.onRequest(g.now, new EngineApi.Request(id, g.now + 3000, g.now, false, "read", customer, plan, amount,
                first, WIDE));
    }

    /** One step of every gateway, with what they told each other in the one before. */
    private void step() {
        all.forEach(g -> g.pass(STEP_MS));
        for (int from = 0; from < GATEWAYS; from++) {
            List<FakeGateway.Told> told = List.copyOf(all.get(from).told);
            all.get(from).told.clear();
            for (FakeGateway.Told t : told) {
                for (int to = 0; to < GATEWAYS; to++) {
                    if (to != from && (t.peer() < 0 || t.peer() == to)) {
                        deliver(from, to, t.data());
                    }
                }
            }
        }
        for (FakeGateway g : all) {
            for (FakeGateway.Sent s : List.copyOf(g.sent)) {
                if (answered.add(s.id())) {
                    letIn.merge(0L, units.get(s.id()), Double::sum);
                    passed(s.at(), units.get(s.id()));
                    g.end(s.id(), 0, EngineApi.Outcome.OK, 5);
                }
            }
        }
    }

    private void deliver(int from, int to, byte[] data) {
        ArrayDeque<Double> recent = taken.get(to);
        while (!recent.isEmpty() && recent.peek() < now() - 1000) {
            recent.poll();
        }
        if (recent.size() >= INTAKE) {
            dropped++;
        } else if (random.nextDouble() >= LOSS) {
            heard++;
            recent.add(now());
            all.get(to).engine.onPeerMessage(now(), from, data);
        }
    }

    /** Asks for each of so many customers at the given share of the quota, one unit each time. */
    private void load(int customers, double share, int seconds) {
        double perStep = customers * share * RATE * STEP_MS / 1000;
        for (int i = 0; i < seconds * 1000 / STEP_MS; i++) {
            int count = (int) perStep + (random.nextDouble() < perStep % 1 ? 1 : 0);
            for (int r = 0; r < count; r++) {
                int customer = random.nextInt(customers);
                ask(customer + 1, customer % GATEWAYS, 1);
            }
            step();
        }
    }

    /** The true store of the one customer under a ceiling. */
    private void passed(double at, double amount) {
        ceiling = Math.min(FakeGateway.CAPPED.ceilingBurst(),
                ceiling + FakeGateway.CAPPED.ceilingRate() * (at - ceilingAt) / 1000) - amount;
        ceilingAt = at;
        lowest = Math.min(lowest, ceiling);
    }

    /** Asks for two units at a time under a ceiling, so many units a second, at gateways that the caller draws. */
    private void loadCapped(double perSecond, int seconds, IntSupplier gateway) {
        double perStep = perSecond / 2 * STEP_MS / 1000;
        for (int i = 0; i < seconds * 1000 / STEP_MS; i++) {
            for (double due = perStep + random.nextDouble(); due >= 1; due--) {
                askAt(gateway.getAsInt(), "capped", 42, 0, 2);
            }
            step();
        }
    }

    /** Its own share, 42 units in that time, is a tenth: what the others have no use for comes to where it is asked for. */
    @Test
    void unitsOfACeilingComeToWhereTheyAreAskedFor() {
        load(1, 0.1, 5); // stores fill
        letIn.clear();
        loadCapped(7, 20, () -> 3);
        double got = letIn.get(0L);
        assertTrue(got >= 2 * 42, "let in " + got);
    }

    /** Rule 5 with losses, restarts and askings from everywhere, far beyond what the ceiling allows. */
    @Test
    void aCeilingIsNeverPassedHoweverItsUnitsMove() {
        for (int round = 0; round < 12; round++) {
            loadCapped(6, 3, () -> 3); // units are on their way to one gateway while stores are full
            int quiet = random.nextInt(WIDE);
            loadCapped(80, 2, () -> random.nextInt(WIDE));
            loadCapped(60, 1, () -> random.nextInt(2) * quiet);
            restart(random.nextInt(GATEWAYS));
            loadCapped(1, 3, () -> 5);
        }
        double slack = -FakeGateway.CAPPED.ceilingSlack();
        assertTrue(lowest >= slack, "true store fell to " + lowest);
        assertTrue(lowest <= 30, "and was used at all: " + lowest);
    }

    private static byte[] used(int life, int count, UsageMessage.Entry entry) {
        return new UsageMessage(life, count, List.of(entry), List.of(), List.of()).bytes();
    }

    private long refused() {
        return all.stream().mapToLong(g -> g.refused.size()).sum();
    }

    /** Once a third of all tries was refused with half of the quota unused: questions waited for their turn. */
    @Test
    void customersWithRoomAreServedWithoutAQuestion() {
        load(150, 0.45, 10);
        assertTrue(refused() <= 0.01 * asked, refused() + " of " + asked + " refused");
        assertEquals(0, dropped, "messages beyond the intake, beside " + heard);
    }

    @Test
    void aCustomerThatAsksFarTooMuchGetsItsQuotaAndLittleMore() {
        int seconds = 20;
        load(1, 4, seconds);
        double quota = BURST + RATE * seconds;
        double got = letIn.get(0L);
        assertTrue(got >= 0.8 * quota && got <= 1.25 * quota, got + " of " + quota);
    }

    /** A returned gateway takes over what its peers see of a store, and doesn't grant the burst anew. */
    @Test
    void aHerdThatReturnsDoesNotGrantTheBurstsAgain() {
        load(5, 3, 10);
        for (int i = 0; i < GATEWAYS - 2; i++) {
            restart(i);
        }
        for (int i = 0; i < 500 / STEP_MS; i++) {
            step(); // the start of a gateway, in which it hears its peers
        }
        letIn.clear();
        int seconds = 10;
        load(5, 3, seconds);
        double quota = 5 * RATE * (seconds + 0.5);
        double got = letIn.get(0L);
        assertTrue(got >= 0.7 * quota && got <= 1.25 * quota, got + " of " + quota);
    }

    /**
     * Once a returned gateway charged a customer with all that a peer had let in over its whole life, where it first
     * heard of the customer late.
     */
    @Test
    void aReturnDoesNotChargeWhatWasUsedBeforeIt() {
        FakeGateway g = all.get(0);
        g.pass(3000);
        UsageMessage.Entry use = new UsageMessage.Entry(7, 0, UsageMessage.usedField(400), 1, 0.75);
        g.engine.onPeerMessage(g.now, 3, used(500, 9, use)); // a life that began before this one
        UsageMessage.Entry young = new UsageMessage.Entry(7, 0, UsageMessage.usedField(5), 1, 1);
        g.engine.onPeerMessage(g.now, 4, used(2500, 1, young)); // and one after it
        for (int i = 0; i < 12; i++) { // 12 units of burst, a quarter gone when first heard of, then five more
            g.ask("q" + i, "read", "small", 7, 1, WIDE);
        }
        assertTrue(g.sent.size() >= 3 && g.sent.size() <= 4, g.sent.size() + " let in");
    }

    /** Damaged, replayed, foreign and absurd messages change no book and add no customer without bound. */
    @Test
    void whatIsNoMessageOfAPeerIsIgnored() {
        FakeGateway g = all.get(0);
        byte[] good = used(1500, 1, new UsageMessage.Entry(7, 0, UsageMessage.usedField(9), 1, 1));
        byte[] otherPlan = used(1500, 2, new UsageMessage.Entry(7, 99, UsageMessage.usedField(9), 1, 0));
        g.pass(2000); // it learns no more
        g.engine.onPeerMessage(g.now, 3, good);
        g.engine.onPeerMessage(g.now, 3, good); // replayed
        g.engine.onPeerMessage(g.now, 3, Arrays.copyOf(good, good.length - 1));
        g.engine.onPeerMessage(g.now, 3, Arrays.copyOf(good, 300));
        g.engine.onPeerMessage(g.now, 3, new byte[0]);
        g.engine.onPeerMessage(g.now, 3, otherPlan);
        g.engine.onPeerMessage(g.now, 0, good); // from itself
        g.engine.onPeerMessage(g.now, 77, good); // from a stranger
        byte[] damaged = good.clone();
        damaged[damaged.length - 1]++;
        g.engine.onPeerMessage(g.now, 4, damaged);
        for (int i = 0; i < 12; i++) { // 12 units of burst less the 9 that a peer let in
            g.ask("q" + i, "read", "small", 7, 1, WIDE);
        }
        assertTrue(g.sent.size() == 2 || g.sent.size() == 3, g.sent.size() + " let in");
    }
}
