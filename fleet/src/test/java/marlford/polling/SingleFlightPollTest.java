package marlford.polling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import marlford.lease.MemberSimulation;
import org.junit.jupiter.api.Test;

/** Many gateways whose agent goes away and comes back, in virtual time. */
class SingleFlightPollTest {
    private static final double AGAIN_MS = 200; // a failed call is made again after so long
    private static final double CALL_MS = 20;

    private static final class Gateway {
        final MemberSimulation.Peer peer;
        final SingleFlightPoll turns = new SingleFlightPoll();
        double dueAt = Double.NaN;
        double answerAt = Double.NaN;
        boolean has; // the list of after the return
        boolean cut; // does not reach the agent

        Gateway(MemberSimulation.Peer peer) {
            this.peer = peer;
        }
    }

    private final List<Gateway> gateways = new ArrayList<>();
    private MemberSimulation sim;
    private boolean away = true;
    private boolean numbersGoOn; // the agent tells what has changed, and no whole list
    private int calls;
    private int wholes;
    private int callsWhileAway;

    private void fleet(int count, double loss) {
        sim = new MemberSimulation(5, loss);
        for (int i = 0; i < count; i++) {
            gateways.add(new Gateway(sim.add("g" + i)));
        }
        while (gateways.stream().anyMatch(g -> g.peer.member.leftMs(sim.now) <= 0)) {
            sim.step();
        }
        gateways.forEach(g -> g.dueAt = sim.now + sim.random.nextInt(200));
    }

    private void step() {
        sim.step();
        for (Gateway g : gateways) {
            if (sim.now < g.peer.standsUntil) {
                continue;
            }
            if (sim.now >= g.answerAt) {
                boolean answers = !away && !g.cut;
                g.answerAt = Double.NaN;
                g.has |= answers;
                wholes += answers && !numbersGoOn ? 1 : 0;
                g.turns.called(g.peer.member, answers, answers && !numbersGoOn ? "the list" : null, sim.now - CALL_MS);
                g.dueAt = answers ? Double.NaN : sim.now + AGAIN_MS;
            }
            if (sim.now >= g.dueAt) {
                g.dueAt = Double.NaN;
                g.turns.due(g.peer.member, "a", sim.now);
            }
            SingleFlightPoll.Decision d = g.turns.decide(g.peer.member, sim.now, 0);
            if (d.step() == SingleFlightPoll.Step.CALL) {
                calls++;
                callsWhileAway += away ? 1 : 0;
                g.answerAt = sim.now + CALL_MS;
            } else if (d.step() == SingleFlightPoll.Step.TAKE) {
                assertEquals("the list", d.list().value());
                g.has = true;
            }
        }
    }

    private void pass(double ms) {
        for (double end = sim.now + ms; sim.now < end; ) {
            step();
        }
    }

    private double untilAllHave() {
        double from = sim.now;
        while (gateways.stream().anyMatch(g -> !g.has)) {
            step();
            assertTrue(
                    sim.now < from + 3 * SingleFlightPoll.LONGEST_MS,
                    "somebody is left without a list: "
                            + gateways.stream()
                                    .filter(g -> !g.has)
                                    .map(g -> g.peer.member + " " + g.turns.text() + " due " + g.dueAt + " answer "
                                            + g.answerAt)
                                    .toList()
                            + " at " + sim.now + " " + sim.text());
        }
        return sim.now - from;
    }

    @Test
    void oneCallsForAllWhenTheAgentIsBack() {
        fleet(40, 0);
        pass(1500);
        away = false;
        double took = untilAllHave();
        System.out.println(
                "lists: 40 gateways have the list " + took + " ms after the agent's return, whole lists told: " + wholes
                        + ", calls while it was away 1.5 s: " + callsWhileAway);
        assertTrue(wholes <= 3, wholes + " whole lists");
        assertTrue(callsWhileAway <= 40, callsWhileAway + " calls while it was away"); // one after another
    }

    @Test
    void onlyTheOneThatReachesTheAgentTellsTheOthers() {
        fleet(10, 0.02);
        gateways.forEach(g -> g.cut = true);
        gateways.get(7).cut = false;
        away = false;
        untilAllHave();
        assertTrue(wholes >= 1 && wholes <= 3, wholes + " whole lists");
    }

    @Test
    void anAgentThatTellsWhatHasChangedIsAskedByEach() {
        numbersGoOn = true;
        fleet(10, 0);
        pass(500);
        away = false;
        untilAllHave();
        assertEquals(0, wholes);
    }

    /** Without a fleet, or with one that stands still, each calls by itself within its patience. */
    @Test
    void nobodyWaitsForAFleetThatIsNotThere() {
        fleet(5, 0);
        away = false;
        Gateway alone = gateways.get(0);
        alone.peer.member.leave();
        alone.turns.due(alone.peer.member, "a", sim.now);
        assertEquals(
                SingleFlightPoll.Step.CALL,
                alone.turns.decide(alone.peer.member, sim.now, 0).step());
        Gateway holder = gateways.get(1);
        gateways.forEach(g -> g.dueAt = Double.NaN);
        holder.dueAt = sim.now;
        while (Double.isNaN(holder.answerAt)) {
            step();
        }
        holder.peer.standsUntil = sim.now + 60_000; // stopped with the turn
        gateways.stream().skip(2).forEach(g -> g.dueAt = sim.now);
        holder.has = true;
        alone.has = true;
        assertTrue(untilAllHave() < SingleFlightPoll.PATIENCE_MS + 1000);
    }

    /** Others that say the agent is away are believed for a while, and not for good. */
    @Test
    void whoWaitsLongCallsByItself() {
        fleet(3, 0);
        gateways.get(1).cut = true;
        gateways.get(2).cut = true;
        Gateway able = gateways.get(0);
        able.dueAt = Double.NaN;
        away = false;
        pass(300);
        able.peer.member.board(); // reads what the others say
        able.turns.due(able.peer.member, "a", sim.now);
        double from = sim.now;
        while (Double.isNaN(able.answerAt)) {
            step();
        }
        assertTrue(sim.now - from <= SingleFlightPoll.LONGEST_MS + MemberSimulation.STEP);
    }
}
