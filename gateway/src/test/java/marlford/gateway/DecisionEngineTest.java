package marlford.gateway;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import marlford.gateway.EngineApi.*;
import marlford.gateway.EngineState.ClassState;
import org.junit.jupiter.api.Test;

/** Release of queued requests, class weights, host choice and health, determinism, and readability of the engine's source. */
class DecisionEngineTest {
    private static final int MAX_METHOD_LINES = 40; // non-blank, from the declaration to the closing brace
    private static final int MAX_LINE_LENGTH = 110;

    private static ClassState classState(RequestClass spec, double weight, double delay, double slope) {
        ClassState c = new ClassState(spec);
        c.weight = weight;
        c.averageDelayMs = delay;
        c.delaySlope = slope;
        return c;
    }

    private static void requestThatWaited(FakeGateway g, String id, double waited, int spread, long customer) {
        g.engine.onRequest(g.now, new Request(id, g.now + 3000 - waited, g.now - waited, false, "read", customer, "small",
                1, 0, spread));
    }

    /** A request whose time a stall of the gateway has used up is refused before half of its time is over, and not sent. */
    @Test
    void requestReadTooLateIsRefusedAtOnceAndAYoungerOneIsServed() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        requestThatWaited(g, "old", 1300, 1, 1);
        requestThatWaited(g, "young", 300, 1, 1);
        assertEquals(List.of("old"), g.refused);
        assertEquals(1, g.attempts("young"));
        assertEquals(0, g.attempts("old"));
    }

    /** Guards against stalls of the gateway that count as latency of the hosts: requests that were hardly late were refused then. */
    @Test
    void ownStallIsNotLearntAsHostLatency() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2");
        for (int i = 0; i < 20; i++) {
            g.request("s" + i, "read");
            g.now += 900; // no tick runs, so the answer is read late
            g.endAttempt("s" + i, 0, EngineApi.Outcome.OK, 900);
            g.advance(40);
        }
        g.engine.onRequest(g.now, new EngineApi.Request("late", g.now + 2850, g.now - 150, false, "read", 1, "free", 1, 0, 1));
        assertEquals(1, g.attempts("late"));
        g.endAttempt("late", 0, EngineApi.Outcome.OK, 900); // with all ticks it is the host's own latency
        for (int i = 0; i < 20; i++) {
            g.request("t" + i, "read");
            g.advance(900);
            g.endAttempt("t" + i, 0, EngineApi.Outcome.OK, 900);
        }
        g.engine.onRequest(g.now, new EngineApi.Request("slow", g.now + 2850, g.now - 150, false, "read", 1, "free", 1, 0, 1));
        assertEquals(List.of("slow"), g.refused);
    }

    /**
     * Guards against a stall of the event loop that marks both ledger replicas as unresponsive: requests were refused then
     * although the gateway's own share of the quota had room.
     */
    @Test
    void lateEventLoopQueriesNoReplicaAndBlamesNone() {
        long remoteCustomer = 1;
        FakeGateway g = new FakeGateway(1000, FakeGateway.settings(0, 2)).withHosts("a1");
        while (EngineState.rendezvousRanked(remoteCustomer, 0, 2, 2, 1)[0] == 0) {
            remoteCustomer++;
        }
        g.advance(100); // timers run, and the minimum gap between messages has passed
        requestThatWaited(g, "queries", 0, 2, remoteCustomer);
        assertEquals(0, g.attempts("queries"));
        requestThatWaited(g, "late", 200, 2, remoteCustomer);
        assertEquals(1, g.attempts("late"));
        g.now += 400; // a stall: the reply may be waiting unread
        g.engine.onTimer(g.now, "beat");
        assertEquals(0, g.attempts("queries") + g.finalAnswers("queries"));
        g.advance(500); // the loop is on time again, and no reply arrives
        assertEquals(1, g.attempts("queries") + g.finalAnswers("queries"));
    }

    /** Guards against orders that failed while a host could repeat them, as repeats were chosen at hosts in doubt and not sent. */
    @Test
    void attemptsThatWereNotSentLeaveTheRequestItsOthers() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2", "a3", "a4", "a5");
        g.request("r", "read");
        g.endAttempt("r", 0, EngineApi.Outcome.RESET, 1);
        for (int number = 1; number <= 3; number++) {
            g.endAttempt("r", number, EngineApi.Outcome.UNSENT, 1);
        }
        assertEquals(5, g.attempts("r"));
        assertEquals(0, g.finalAnswers("r"));
    }

    @Test
    void aRequestThatCanNeverBeSentIsNotTriedForEver() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        g.request("r", "read");
        int ended = 0;
        while (ended < g.attempts("r") && ended < 100) {
            g.endAttempt("r", ended++, EngineApi.Outcome.UNSENT, 1);
        }
        assertEquals(2 * FakeGateway.settings(0, 1).limits().maxAttempts(), ended);
        assertEquals(1, g.finalAnswers("r"));
    }

    @Test
    void donationKeepsTheSumAndFavoursTheWorstClass() {
        ClassState slow = classState(FakeGateway.READ, 0.3, 1500, 2000);
        ClassState easy = classState(FakeGateway.PAY, 0.4, 100, 2000);
        ClassState idle = classState(FakeGateway.ORDER, 0.3, 300, 2000);
        assertTrue(DecisionEngine.donateWeight(List.of(slow, easy, idle)));
        assertEquals(1, slow.weight + easy.weight + idle.weight, 1e-9);
        assertTrue(slow.weight > 0.3 && easy.weight < 0.4 && idle.weight < 0.3);
        assertTrue(0.4 - easy.weight > 0.3 - idle.weight, "donations should be proportional to the surplus");
    }

    @Test
    void donationLeavesTheDonorContent() {
        ClassState slow = classState(FakeGateway.READ, 0.5, 60_000, 100);
        ClassState donor = classState(FakeGateway.PAY, 0.5, 500, 1000);
        DecisionEngine.donateWeight(List.of(slow, donor));
        double clamp = (0.9 * DecisionEngine.delayGoal(donor) - 500) / 1000;
        assertTrue(donor.weight >= 0.5 - clamp && donor.weight < 0.5 && donor.weight > 0);
    }

    @Test
    void weightsStayPositiveAndStayUnchangedWhenAllClassesExceedTheirGoal() {
        ClassState a = classState(FakeGateway.READ, 0.03, 10, 0.0001);
        ClassState b = classState(FakeGateway.PAY, 0.97, 9000, 10);
        DecisionEngine.donateWeight(List.of(a, b));
        assertTrue(a.weight > 0);
        ClassState c = classState(FakeGateway.READ, 0.5, 5000, 10);
        ClassState d = classState(FakeGateway.PAY, 0.5, 9000, 10);
        assertFalse(DecisionEngine.donateWeight(List.of(c, d)));
        assertEquals(0.5, c.weight);
    }

    @Test
    void slopeOfTheWrongSignKeepsTheLastGoodOne() {
        ClassState c = classState(FakeGateway.READ, 0.5, 800, 1234);
        c.slopeStartWeight = 0.4;
        c.slopeStartDelayMs = 700; // more weight and more delay: the wrong sign
        DecisionEngine.measureSlope(c);
        assertEquals(1234, c.delaySlope);
        c.weight = 0.6;
        c.averageDelayMs = 500;
        DecisionEngine.measureSlope(c);
        assertEquals(3000, c.delaySlope, 1e-6);
    }

    /** Without a limit of attempts in flight, hosts are overloaded within seconds and stay slow. */
    @Test
    void attemptsInFlightAreLimitedAndOtherRequestsAreQueuedOrRefused() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2");
        for (int i = 0; i < 200; i++) {
            g.request("r" + i, "read");
        }
        assertTrue(g.sent.size() >= 4 && g.sent.size() <= 40, "attempts sent: " + g.sent.size());
        g.advance(1000);
        assertTrue(g.refused.size() >= 150);
    }

    @Test
    void freedSlotGoesToAQueuedRequest() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        for (int i = 0; i < 30; i++) {
            g.request("r" + i, "read");
        }
        int before = g.sent.size();
        g.advance(10);
        g.endAttempt("r0", 0, Outcome.OK, 10);
        assertEquals(before + 1, g.sent.size());
    }

    /** Guards against a host that attracts requests since it fails them faster than others serve them. */
    @Test
    void hostThatFailsFastDoesNotLookIdle() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2", "a3");
        for (int i = 0; i < 60; i++) {
            String id = "r" + i;
            g.request(id, "read");
            boolean bad = g.hostOf(id).equals("a1");
            g.advance(bad ? 1 : 30);
            g.endAttempt(id, 0, bad ? Outcome.ERROR : Outcome.OK, bad ? 1 : 30);
            if (bad && g.attempts(id) > 1) {
                g.endAttempt(id, 1, Outcome.OK, 30);
            }
        }
        assertTrue(g.sent.stream().filter(s -> s.host().equals("a1")).count() < 10);
    }

    @Test
    void overdueAttemptIsCancelledWhereTheRequestMayRunElsewhere() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "b1", "b2");
        for (int i = 0; i < 60; i++) {
            g.request("w" + i, "read");
            g.advance(20);
            g.endAttempt("w" + i, 0, Outcome.OK, 20);
        }
        g.request("r", "read");
        g.request("p", "pay");
        String stuck = g.hostOf("r");
        g.advance(700);
        assertEquals(List.of("r"), g.cancelled); // a request that must not run twice is not cancelled
        g.endAttempt("r", 0, Outcome.CANCELLED, 700);
        assertNotEquals(stuck, g.hostOf("r"));
        assertEquals(1, g.attempts("p"));
    }

    /** Each of many gateways knows little about the hosts, so the best host by own counts would be the same one for all. */
    @Test
    void manyGatewaysSpreadOverTheHosts() {
        String[] hosts = IntStream.range(0, 60).mapToObj(i -> "abc".charAt(i % 3) + "" + i).toArray(String[]::new);
        Map<String, Integer> got = new TreeMap<>();
        for (int me = 0; me < 300; me++) {
            FakeGateway g = new FakeGateway(1000, FakeGateway.settings(me, 300, me)).withHosts(hosts);
            for (int i = 0; i < 3; i++) {
                g.request("r" + i, "read");
            }
            g.sent.forEach(s -> got.merge(s.host(), 1, Integer::sum));
        }
        int total = got.values().stream().mapToInt(n -> n).sum();
        assertTrue(total >= 600, "attempts sent: " + total);
        assertTrue(got.values().stream().allMatch(n -> n < 3 * total / 60) && got.size() > 55, got.toString());
    }

    /** One attempt of each gateway would be hundreds at once at a host that has just started (rule 4). */
    @Test
    void hundredsOfGatewaysDoNotOverloadAHostThatHasJustStarted() {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            hosts.add(new Host("a" + i, "a", "std", 0, HostState.RUNNING, 1, i == 7 ? 1000 : 0));
        }
        int cold = 0;
        int total = 0;
        for (int me = 0; me < 300; me++) {
            FakeGateway g = new FakeGateway(1000, FakeGateway.settings(me, 300, me));
            g.engine.onHosts(g.now, ListKind.FULL, hosts);
            for (int i = 0; i < 3; i++) {
                g.request("r" + i, "read");
            }
            total += g.sent.size();
            cold += (int) g.sent.stream().filter(s -> s.host().equals("a7")).count();
        }
        // upper limit: a fifth of the requests of a warm host, times the settings' multiple of two
        assertTrue(cold < 0.4 * total / 60, cold + " attempts at the cold host, of " + total);
    }

    /** Guards against failures of one class that make a host slow for all classes while it still gets the failing class. */
    @Test
    void hostThatFailsOneClassStillServesTheOthers() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2", "a3");
        int orders = 0;
        int reads = 0;
        for (int i = 0; i < 120; i++) {
            String cls = i % 2 == 0 ? "pay" : "read";
            String id = cls + i;
            g.request(id, cls);
            boolean bad = g.hostOf(id).equals("a1") && i % 2 == 0;
            orders += bad && i >= 30 ? 1 : 0;
            reads += g.hostOf(id).equals("a1") && i % 2 == 1 ? 1 : 0;
            g.advance(20);
            g.endAttempt(id, 0, bad ? Outcome.ERROR : Outcome.OK, 20);
        }
        assertTrue(orders < 5, "attempts of the failing class: " + orders);
        assertTrue(reads > 15, "attempts of the other class: " + reads);
    }

    /** If every gateway used every host, the hosts' connection tables would fill with idle connections and refuse new ones. */
    @Test
    void hundredsOfGatewaysSpreadEvenlyOverTheHosts() {
        String[] hosts = IntStream.range(0, 65).mapToObj(i -> "abc".charAt(i % 3) + "" + i).toArray(String[]::new);
        Map<String, Integer> met = new TreeMap<>();
        for (int me = 0; me < 379; me++) {
            FakeGateway g = new FakeGateway(1000, FakeGateway.settings(me, 379, me)).withHosts(hosts);
            for (int i = 0; i < 200; i++) {
                g.request("r" + i, "read");
                g.advance(20);
                g.endAttempt("r" + i, 0, Outcome.OK, 20);
            }
            g.sent.stream().map(FakeGateway.SentAttempt::host).distinct().forEach(h -> met.merge(h, 1, Integer::sum));
        }
        assertTrue(met.size() == 65 && met.values().stream().allMatch(n -> n <= 50), met.toString());
    }

    /** Guards against repeated attempts at hosts whose connection table is full. */
    @Test
    void hostThatRefusesConnectionsIsAvoidedAtOnce() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2", "a3");
        g.request("r", "read");
        String full = g.hostOf("r");
        g.endAttempt("r", 0, Outcome.CONNECT_FAILED, 1);
        for (int i = 0; i < 9; i++) {
            g.request("x" + i, "read");
        }
        assertEquals(1, g.sent.stream().filter(s -> s.host().equals(full)).count());
    }

    @Test
    void requestsAreStillSentWhenAllHostsLookBad() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "b1");
        for (int i = 0; i < 12; i++) {
            g.request("r" + i, "read");
            for (int n = 0; n < g.attempts("r" + i); n++) {
                g.endAttempt("r" + i, n, Outcome.CONNECT_FAILED, 1);
            }
        }
        g.advance(20);
        int before = g.sent.size();
        g.request("x", "read");
        assertTrue(g.sent.size() > before);
    }

    @Test
    void equalEventsGiveEqualActions() {
        assertEquals(recordedActions(3), recordedActions(3));
        assertFalse(recordedActions(3).isEmpty());
    }

    private static List<String> recordedActions(long seed) {
        FakeGateway g = new FakeGateway(1000, FakeGateway.settings(0, 3)).withHosts("a1", "a2", "b1", "c1");
        Random random = new Random(seed);
        List<String> open = new ArrayList<>();
        String[] classes = {"read", "pay", "order"};
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            g.request(id, classes[random.nextInt(3)], random.nextBoolean() ? "small" : "free",
                    random.nextInt(20), 1 + random.nextInt(4), 3);
            if (g.attempts(id) > 0) {
                open.add(id);
            }
            g.advance(random.nextInt(30));
            if (!open.isEmpty() && random.nextInt(3) > 0) {
                String done = open.remove(random.nextInt(open.size()));
                g.endAttempt(done, 0, Outcome.values()[random.nextInt(6)], 20);
            }
        }
        return g.actions;
    }

    /** The number of requests that a single host gets at once before the next one is queued or refused. */
    private static int fillSlots(FakeGateway g) {
        int sent = 0;
        for (int i = 0; g.sent.size() == i; i++) {
            sent = i;
            g.request("f" + i, "read");
        }
        return sent;
    }

    /**
     * A host has done its work when a long response begins. Guards against responses that hold a slot while clients read them
     * slowly: nearly half of the requests were refused then.
     */
    @Test
    void responseInTransferHoldsNoSlot() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        int slots = fillSlots(g);
        assertTrue(slots > 0);
        for (int i = 0; i < slots; i++) {
            g.engine.onStreamStarted(g.now, "f" + i, 0);
            g.engine.onStreamStarted(g.now, "f" + i, 0); // a repeated event frees no second slot
        }
        int before = g.sent.size();
        for (int i = 0; i < 3 * slots; i++) {
            g.request("more" + i, "read");
        }
        assertEquals(slots, g.sent.size() - before, 1);
        int now = g.sent.size();
        g.endAttempt("f0", 0, Outcome.OK, 20); // its slot was freed when its response began
        g.request("after", "read");
        assertEquals(now, g.sent.size());
    }

    /** A host does not work on a request before its last byte has arrived. */
    @Test
    void requestBodyInTransferHoldsNoSlot() {
        FakeGateway g = FakeGateway.alone().withHosts("a1");
        for (int i = 0; i < 50; i++) {
            g.engine.onRequest(g.now, new EngineApi.Request("b" + i, g.now + 9000, g.now, false, "order", 1, "free", 1, 0, 1,
                    5000));
        }
        assertEquals(50, g.sent.size());
        g.request("plain", "read");
        assertEquals(51, g.sent.size());
        g.advance(8000);
        assertEquals(List.of("plain"), g.cancelled); // the requests with bodies are not overdue, that one is
    }

    /** A draining host rejects requests at once and looks idle. Without this rule it was chosen until five attempts had failed. */
    @Test
    void hostThatRejectsARequestWithNoOthersInFlightIsAvoided() {
        FakeGateway g = FakeGateway.alone().withHosts("a1", "a2");
        g.request("rejected", "read");
        String draining = g.hostOf("rejected");
        g.endAttempt("rejected", 0, EngineApi.Outcome.FULL, 2);
        for (int i = 0; i < 4; i++) {
            g.request("next" + i, "read");
            assertNotEquals(draining, g.hostOf("next" + i));
        }
    }

    /** The engine's source stays readable: short methods, short lines, and a head comment that names its interface. */
    @Test
    void engineSourceStaysReadable() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/marlford/gateway/DecisionEngine.java"));
        Map<String, Integer> methods = methodLines(lines);
        assertTrue(methods.size() > 50, "methods found in the source: " + methods.size());
        assertEquals(List.of(), methods.entrySet().stream().filter(m -> m.getValue() > MAX_METHOD_LINES).toList());
        assertEquals(List.of(), lines.stream().filter(l -> l.length() > MAX_LINE_LENGTH).toList());
        assertTrue(lines.stream().limit(40).anyMatch(l -> l.contains("EngineApi.java")));
    }

    /**
     * The non-blank lines of each method and nested type in a class, by the first line of its declaration. Members are indented
     * by four spaces, and whatever is inside a member by more.
     */
    private static Map<String, Integer> methodLines(List<String> source) {
        Map<String, Integer> found = new TreeMap<>();
        int start = 0;
        int count = 0;
        for (int i = 0; i < source.size(); i++) {
            String line = source.get(i);
            if (line.matches(" {4}[^ /}].*")) {
                start = i;
                count = 0;
            }
            count += line.isBlank() ? 0 : 1;
            if (line.startsWith("    }")) {
                found.put("line " + (start + 1) + ": " + source.get(start).strip(), count);
            }
        }
        return found;
    }
}
