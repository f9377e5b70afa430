package marlford.gateway;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Quotas shared by a small tier: admission by shares, messages between gateways, and transfers of ceiling units. */
class QuotaSharingTest {
    private final List<FakeGateway> tier = new ArrayList<>();
    private int serial;
    private final Set<String> ended = new HashSet<>();
    private double admittedUnits;
    private boolean dropsMessages; // every fourth message is lost
    private boolean partitioned; // all messages are lost
    private boolean duplicatesMessages; // each message arrives twice
    private int unreachable = -1; // number of a gateway that exchanges no messages; -1 for none

    private void gateways(int count) {
        for (int i = 0; i < count; i++) {
            tier.add(new FakeGateway(1000, FakeGateway.settings(i, count)).withHosts("a1", "a2", "a3"));
        }
    }

    /** Advances all gateways, delivers their messages with 10 ms delay and answers their attempts. */
    private void pass(double ms) {
        for (double end = tier.get(0).now + ms; tier.get(0).now < end;) {
            for (FakeGateway g : tier) {
                g.advance(10);
            }
            for (int from = 0; from < tier.size(); from++) {
                List<FakeGateway.PeerMessage> messages = List.copyOf(tier.get(from).peerMessages);
                tier.get(from).peerMessages.clear();
                for (FakeGateway.PeerMessage t : messages) {
                    serial++;
                    boolean lost = from == unreachable || t.peer() == unreachable;
                    if (partitioned || lost || dropsMessages && serial % 4 == 0) {
                        continue;
                    }
                    for (int copy = 0; copy < (duplicatesMessages ? 2 : 1); copy++) {
                        tier.get(t.peer()).engine.onPeerMessage(tier.get(t.peer()).now, from, t.data());
                    }
                }
            }
            tier.forEach(this::answerSent);
        }
    }

    /** Returns to the state without gateways. */
    private void reset() {
        tier.clear();
        ended.clear();
        admittedUnits = 0;
    }

    private void answerSent(FakeGateway g) {
        for (FakeGateway.SentAttempt s : List.copyOf(g.sent)) {
            if (ended.add(s.id())) {
                admittedUnits += Double.parseDouble(s.id().substring(s.id().indexOf(':') + 1));
                g.endAttempt(s.id(), 0, EngineApi.Outcome.OK, 5);
            }
        }
    }

    private void request(int gateway, String plan, double units) {
        tier.get(gateway).request("q" + serial++ + ":" + units, "read", plan, 42, units, tier.size());
    }

    /** Units admitted in that time, with requests for 20 units a second at each given gateway: five times the small quota. */
    private double overload(int seconds, int... at) {
        return overload("small", 1, seconds, at);
    }

    /** Units admitted in that time, with requests for twice the ceiling at each given gateway. */
    private double overloadCeiling(int seconds, int... at) {
        return overload("capped", 2, seconds, at);
    }

    private double overload(String plan, int requests, int seconds, int... at) {
        double before = admittedUnits;
        for (int i = 0; i < seconds * 10; i++) {
            for (int g : at) {
                for (int r = 0; r < requests; r++) {
                    request(g, plan, 2);
                }
            }
            pass(100);
        }
        return admittedUnits - before;
    }

    private static int[] allOf(int count) {
        return IntStream.range(0, count).toArray();
    }

    @Test
    void gatewayWithAllDemandGetsTheWholeQuota() {
        gateways(3);
        pass(500);
        double units = overload(10, 1);
        assertTrue(units >= 0.9 * (12 + 40) && units <= 12 + 40, "units admitted: " + units);
    }

    @Test
    void sharesSumToOneUnderEvenDemand() {
        gateways(3);
        pass(500);
        double units = overload(10, 0, 1, 2);
        assertTrue(units >= 0.85 * (12 + 40) && units <= 1.15 * (12 + 40), "units admitted: " + units);
    }

    @Test
    void lostAndDuplicatedMessagesDoNoHarm() {
        dropsMessages = true;
        duplicatesMessages = true;
        gateways(3);
        pass(500);
        double units = overload(10, 0, 1, 2);
        assertTrue(units >= 0.8 * (12 + 40) && units <= 1.2 * (12 + 40), "units admitted: " + units);
    }

    @Test
    void requestsBeyondTheOwnShareOfTheBurstAreGranted() {
        gateways(4);
        pass(500);
        request(0, "small", 4);
        request(0, "small", 4); // eight units: an even share of the burst is three
        pass(300);
        assertEquals(8, admittedUnits);
    }

    /** Guards against refusals of 45% of the requests while half of the quota is unused, and 20% of the use beyond quotas. */
    @Test
    void quotaOfALargeSetFollowsTheTraffic() {
        gateways(200);
        pass(100);
        double spread = overload(6, 3, 50, 51, 99, 140, 199);
        assertTrue(spread >= 0.85 * (12 + 24) && spread <= 1.1 * (12 + 24), "units admitted: " + spread);
        double moved = overload(6, 7, 120); // all traffic moves at once to two other gateways
        assertTrue(moved >= 0.85 * 24 && moved <= 1.1 * 24, "units admitted after the move: " + moved);
    }

    @Test
    void restartedPrimaryReplicaDoesNotGrantTheBurstAgain() {
        gateways(60);
        pass(100);
        overload(4, 5, 6, 7);
        int primary = EngineState.rendezvousRanked(42, 0, 60, 60, 2)[0];
        double now = tier.get(primary).now;
        tier.set(primary, new FakeGateway(now, FakeGateway.settings(primary, 60)).withHosts("a1", "a2", "a3"));
        double after = overload(4, 5, 6, 7);
        assertTrue(after >= 0.5 * 16 && after <= 16 + 6, "units admitted after the restart: " + after);
    }

    @Test
    void reportIsProcessedOnceAndOnlyForAPossibleGatewaySet() {
        gateways(3);
        int primary = EngineState.rendezvousRanked(42, 0, 3, 3, 2)[0];
        int member = primary == 0 ? 1 : 0;
        FakeGateway g = tier.get(primary);
        for (int[] set : new int[][] {{0, 0}, {0, 4}, {0, 65_535}, {65_535, 1}}) {
            LedgerMessage.Entry e = new LedgerMessage.Entry(false, true, false, false, false, 42, 0, set[0], set[1], 0, 4, 4, 0, 1, 0);
            g.engine.onPeerMessage(g.now, member, new LedgerMessage(500, 0, 1 + set[1], 0, List.of(e)).encode());
        }
        LedgerMessage.Entry plan = new LedgerMessage.Entry(false, true, false, false, false, 42, 200, 0, 3, 0, 4, 4, 0, 1, 0);
        g.engine.onPeerMessage(g.now, member, new LedgerMessage(600, 0, 1, 0, List.of(plan)).encode());
        g.advance(100);
        assertTrue(g.peerMessages.isEmpty());
        LedgerMessage.Entry good = new LedgerMessage.Entry(false, true, false, false, false, 42, 0, 0, 3, 0, 4, 4, 0, 1, 0);
        byte[] once = new LedgerMessage(700, 0, 1, 0, List.of(good)).encode();
        g.engine.onPeerMessage(g.now, member, once);
        g.engine.onPeerMessage(g.now, member, once);
        g.advance(100);
        LedgerMessage.Entry answer = g.peerMessages.stream().flatMap(t -> LedgerMessage.decode(t.data()).entries().stream())
                .filter(LedgerMessage.Entry::isReply).findFirst().orElseThrow();
        assertEquals(4, answer.requestedOrGrantedUnits());
        assertEquals(8.0 / 12, answer.fillLevel(), 0.05);
    }

    @Test
    void runningTotalsAndSerialsWrapAround() {
        double far = (1L << 31) / 16.0;
        assertEquals(3, LedgerMessage.unitsAhead(far + 1, far - 2));
        assertTrue(LedgerMessage.isLaterSerial(2, 65_534) && !LedgerMessage.isLaterSerial(65_534, 2));
    }

    @Test
    void gatewayCutOffFromTheReplicasHasAnEvenShare() {
        gateways(4);
        int[] replicas = EngineState.rendezvousRanked(42, 0, 4, 4, 2);
        int member = IntStream.range(0, 4).filter(g -> g != replicas[0] && g != replicas[1]).findFirst().orElseThrow();
        partitioned = true;
        pass(4000);
        double units = overload(20, member);
        assertTrue(units >= 0.7 * 20 && units <= 1.3 * (4 + 20), "units admitted: " + units);
        partitioned = false;
        pass(6000);
        double healed = overload(10, member);
        assertTrue(healed >= 0.85 * (12 + 40) && healed <= 1.1 * (12 + 40), "units admitted after the partition: " + healed);
    }

    @Test
    void damagedMessagesAreDropped() {
        gateways(2);
        tier.get(0).request("a", "read", "small", 42, 4, 2);
        tier.get(1).request("b", "read", "small", 42, 4, 2);
        tier.get(0).advance(400);
        tier.get(1).advance(400);
        byte[] good = tier.stream().flatMap(g -> g.peerMessages.stream()).findFirst().orElseThrow().data();
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 0x10;
            assertNull(LedgerMessage.decode(bad), "byte " + i);
        }
        assertNull(LedgerMessage.decode(java.util.Arrays.copyOf(good, good.length - 1)));
        assertNull(LedgerMessage.decode(new byte[0]));
        assertNotNull(LedgerMessage.decode(good));
    }

    @Test
    void encodedMessageDecodesToItself() {
        long customer = 4569004829183723L % (1L << 33);
        LedgerMessage.Entry report = new LedgerMessage.Entry(false, true, true, false, true, customer, 255, 389, 390, 12.5, 3.25, 7.5,
                -0.5, 300, 0);
        LedgerMessage.Entry reply = new LedgerMessage.Entry(true, false, true, true, false, customer, 1, 0, 0, 12.5, 3.25, 7.5,
                0.25, 4, 70_000.5);
        LedgerMessage message = new LedgerMessage(-5, 9, 65_535, 0, List.of(report, reply));
        assertEquals(message, LedgerMessage.decode(message.encode()));
    }

    @Test
    void grantedCeilingUnitsAreNotDuplicated() {
        duplicatesMessages = true;
        gateways(4);
        pass(3000);
        for (int i = 0; i < 100; i++) {
            request(0, "capped", 2);
            request(0, "capped", 2);
            pass(100);
        }
        assertTrue(admittedUnits > 0.4 * 20 * 10, "no more than the even quarter was admitted: " + admittedUnits);
        assertTrue(admittedUnits <= 40 + 20 * 10, "units admitted beyond the ceiling: " + admittedUnits);
    }

    /** Guards against half of a ceiling that stays unused while its primary replica is down, although the quota has room. */
    @Test
    void backupReplicaTakesOverPartOfTheCeilingWhileThePrimaryIsUnreachable() {
        gateways(3);
        int[] replicas = EngineState.rendezvousRanked(42, 0, 3, 3, 2);
        overloadCeiling(3, replicas[0], replicas[1]);
        unreachable = replicas[0];
        double alone = overloadCeiling(10, replicas[1]);
        double even = 20 / 6.0; // units a second of the backup's permanent share
        assertTrue(alone >= even * 10 + 0.25 * 20 * 8, "units admitted by the backup: " + alone);
        unreachable = -1;
        overloadCeiling(3, replicas[0], replicas[1]); // the backup returns the leased part
        double both = overloadCeiling(10, replicas[0], replicas[1]);
        assertTrue(both >= 0.9 * 20 * 10 * 5 / 6, "units admitted with both reachable: " + both); // a sixth is the third gateway's share
    }

    /** Rule 5 while gateways become unreachable, one alone or all at once, and all three get requests all the time. */
    @Test
    void ceilingIsNotExceededWhileItsLeaseChangesHands() {
        for (long seed = 1; seed <= 12; seed++) {
            Random random = new Random(seed);
            reset();
            partitioned = false;
            unreachable = -1;
            gateways(3);
            double lowest = 0; // the lowest excess so far: where a window that ends now began
            for (int tenth = 0; tenth < 400; tenth++) {
                if (random.nextInt(25) == 0) {
                    partitioned = random.nextInt(3) == 0;
                    unreachable = random.nextInt(6) - 1;
                }
                for (int g : allOf(3)) {
                    if (random.nextInt(4) > 0) {
                        request(g, "capped", 1 + random.nextInt(4));
                    }
                }
                pass(100);
                double excess = admittedUnits - 20 * 0.1 * tenth;
                lowest = Math.min(lowest, excess);
                assertTrue(excess - lowest <= 40 + 4,
                        "seed " + seed + ": excess of " + (excess - lowest) + " units at second " + tenth / 10.0);
            }
            assertTrue(admittedUnits > 20 * 40 * 0.4, "seed " + seed + ": units admitted in total: " + admittedUnits);
        }
    }

    /** A replaced process spends what it has saved, the new one what fills: together no more than a single process. */
    @Test
    void replacedProcessSpendsNothingThatFillsInTheNewOne() {
        gateways(1);
        FakeGateway old = tier.get(0);
        pass(5000); // its bucket of the ceiling is full
        old.engine.onReplaced(old.now);
        double before = admittedUnits;
        overloadCeiling(3, 0);
        assertTrue(admittedUnits - before > 40 - 4 && admittedUnits - before <= 40,
                "units admitted of forty saved: " + (admittedUnits - before));
        double empty = admittedUnits;
        overloadCeiling(1, 0);
        assertEquals(empty, admittedUnits, "the replaced process has admitted units that filled after its replacement");
        pass(3000); // without requests
        old.engine.onRestored(old.now);
        overloadCeiling(1, 0);
        assertTrue(admittedUnits - empty <= 20, "units admitted since it was restored: " + (admittedUnits - empty));
        assertTrue(admittedUnits - empty >= 12, "units admitted since it was restored: " + (admittedUnits - empty));
    }

    /** A customer that is new to a replaced process gets no more there than had filled until the replacement. */
    @Test
    void replacedProcessGrantsANewCustomerOnlyWhatFilledBefore() {
        gateways(1);
        pass(500);
        tier.get(0).engine.onReplaced(tier.get(0).now);
        pass(5000);
        assertTrue(overloadCeiling(2, 0) <= 10, "more than half a second of the ceiling was admitted");
    }

    /** Rule 5 while gateways are replaced, restored and replaced again, and the old processes get requests as well. */
    @Test
    void ceilingIsNotExceededByUpgradesAndRollbacks() {
        for (long seed = 1; seed <= 12; seed++) {
            Random random = new Random(seed);
            reset();
            gateways(3);
            FakeGateway[] old = new FakeGateway[3];
            double lowest = 0; // excess so far
            for (int tenth = 0; tenth < 400; tenth++) {
                if (random.nextInt(15) == 0) {
                    int g = random.nextInt(3);
                    if (old[g] != null && random.nextBoolean()) { // the new process has failed
                        old[g].engine.onRestored(old[g].now);
                        tier.set(g, old[g]);
                        old[g] = null;
                    } else if (old[g] == null) {
                        old[g] = tier.get(g);
                        old[g].engine.onReplaced(old[g].now);
                        tier.set(g, new FakeGateway(old[g].now, FakeGateway.settings(g, 3))
                                .withHosts("a1", "a2", "a3"));
                    } else {
                        old[g] = null; // the old process has ended
                    }
                }
                for (int g : allOf(3)) {
                    if (random.nextInt(4) > 0) {
                        request(g, "capped", 1 + random.nextInt(4));
                    }
                    if (old[g] != null) {
                        old[g].advance(tier.get(g).now - old[g].now);
                        old[g].peerMessages.clear(); // a replaced process exchanges no messages with peers
                        int units = 1 + random.nextInt(4);
                        old[g].request("old" + serial++ + ":" + units, "read", "capped", 42, units, 3);
                        answerSent(old[g]);
                    }
                }
                pass(100);
                double excess = admittedUnits - 20 * 0.1 * tenth;
                lowest = Math.min(lowest, excess);
                assertTrue(excess - lowest <= 40 + 4,
                        "seed " + seed + ": excess of " + (excess - lowest) + " units at second " + tenth / 10.0);
            }
            assertTrue(admittedUnits > 20 * 40 * 0.3, "seed " + seed + ": units admitted in total: " + admittedUnits);
        }
    }

    /** A restarted process that knows when the last one ended has what filled since; without that knowledge it has nothing. */
    @Test
    void restartedProcessHasWhatFilledWhileItWasDown() {
        for (double away : new double[] {0, 1000, 60_000}) {
            reset();
            gateways(1);
            FakeGateway g = tier.get(0);
            g.engine.onNoOtherSpenderSince(g.now, g.now - away);
            double most = Math.min(40, 20 * away / 1000);
            for (int i = 0; i < 41; i++) {
                request(0, "capped", 1);
                answerSent(g);
            }
            assertEquals(most, admittedUnits, "units admitted after a downtime of " + away + " ms");
        }
    }

    /** Rule 5 while gateways are killed and restarted at random, each with the knowledge when its last process ended. */
    @Test
    void ceilingIsNotExceededByRestartsThatKnowTheirDowntime() {
        for (long seed = 1; seed <= 12; seed++) {
            Random random = new Random(seed);
            reset();
            gateways(3);
            double lowest = 0; // excess so far
            double diedAt = 0;
            unreachable = -1;
            for (int tenth = 0; tenth < 400; tenth++) {
                if (unreachable < 0 && random.nextInt(8) == 0) {
                    unreachable = random.nextInt(3);
                    diedAt = tier.get(unreachable).now;
                } else if (unreachable >= 0 && random.nextInt(12) == 0) {
                    double now = tier.get(unreachable).now;
                    FakeGateway next = new FakeGateway(now, FakeGateway.settings(unreachable, 3))
                            .withHosts("a1", "a2", "a3");
                    next.engine.onNoOtherSpenderSince(now, diedAt);
                    tier.set(unreachable, next);
                    unreachable = -1;
                }
                for (int g : allOf(3)) {
                    if (g != unreachable && random.nextInt(4) > 0) {
                        request(g, "capped", 1 + random.nextInt(4));
                        request(g, "capped", 1 + random.nextInt(4));
                    }
                }
                pass(100);
                double excess = admittedUnits - 20 * 0.1 * tenth;
                lowest = Math.min(lowest, excess);
                assertTrue(excess - lowest <= 40 + 4,
                        "seed " + seed + ": excess of " + (excess - lowest) + " units at second " + tenth / 10.0);
            }
            assertTrue(admittedUnits > 20 * 40 * 0.3, "seed " + seed + ": units admitted in total: " + admittedUnits);
        }
        unreachable = -1;
    }

    /** Units that the primary replica saved before it was cut off are not spent in addition to those of the backup. */
    @Test
    void savedUnitsDoNotOutliveTheLease() {
        gateways(3);
        int[] replicas = EngineState.rendezvousRanked(42, 0, 3, 3, 2);
        overloadCeiling(3, replicas);
        pass(8000); // all buckets are full again
        unreachable = replicas[0];
        request(replicas[1], "capped", 1);
        pass(6000);
        overloadCeiling(1, replicas[1]);
        unreachable = -1;
        pass(700); // the primary holds the leased part again, and had no requests meanwhile
        double before = admittedUnits;
        for (int i = 0; i < 10; i++) {
            request(replicas[0], "capped", 4);
        }
        pass(20);
        double own = 40 * (0.25 + 0.5 / 3); // its permanent share, all saved
        double leased = 0.25 * 20 * 0.7; // what has filled in the leased part since
        assertTrue(admittedUnits - before <= own + leased, "units admitted at once: " + (admittedUnits - before));
        assertTrue(admittedUnits - before >= own - 4, "less was admitted than the saved permanent share: " + (admittedUnits - before));
    }

    @Test
    void openRequestsAreLimited() {
        gateways(1);
        FakeGateway g = tier.get(0);
        for (int i = 0; i < 4; i++) {
            g.request("o" + i, "read", "open", 5, 1, 1);
        }
        assertEquals(2, g.sent.size());
        assertEquals(2, g.refused.size());
        g.endAttempt("o0", 0, EngineApi.Outcome.OK, 5);
        g.request("o9", "read", "open", 5, 1, 1);
        assertEquals(1, g.attempts("o9"));
    }

    @Test
    void requestsBeyondTheQuotaAreRefusedAtOnce() {
        gateways(1);
        FakeGateway g = tier.get(0);
        for (int i = 0; i < 5; i++) {
            g.request("o" + i, "read", "small", 5, 4, 1);
        }
        assertEquals(3, g.sent.size());
        assertEquals(List.of("o3", "o4"), g.refused);
    }

    /** An incarnation's number is 32 bits of Unix time and wraps around; a peer that starts after that still counts as the later one. */
    @Test
    void nextIncarnationOfAPeerIsAcceptedAfterItsNumberWraps() {
        FakeGateway g = new FakeGateway(Integer.MAX_VALUE, FakeGateway.settings(0, 2)).withHosts("a1");
        LedgerMessage.Entry e = new LedgerMessage.Entry(false, true, false, false, false, 42, 0, 0, 2, 0, 4, 4, 0, 1, 0);
        for (int incarnation : new int[] {Integer.MAX_VALUE - 5, Integer.MIN_VALUE + 5}) {
            int before = g.peerMessages.size();
            g.engine.onPeerMessage(g.now, 1, new LedgerMessage(incarnation, 0, 1, 0, List.of(e)).encode());
            g.advance(200);
            assertTrue(g.peerMessages.size() > before, "no reply to incarnation " + incarnation);
        }
    }
}
