package marlford.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import marlford.task.FleetTask;
import marlford.task.FleetTasks;
import marlford.task.TaskRun;
import org.junit.jupiter.api.Test;

/** Members and the voters they ask, in virtual time: asks and replies are lost, late and doubled, processes stand still. */
class MemberTest {
    private static final int SEEDS = 300;
    private static final double STEP = MemberSimulation.STEP;
    private static final long TTL = MemberSimulation.TTL;

    /** No two act at once as the single holder or on one shard, no more than two of two; a tick runs once. */
    @Test
    void nobodyActsBesideAnotherWhateverIsLost() {
        int acts = 0;
        int moves = 0;
        int ticks = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            MemberSimulation sim = new MemberSimulation(seed, 0.1);
            Random random = sim.random;
            for (int i = 0; i < 4; i++) {
                sim.add("m" + i)
                        .with(new FleetTasks.Single("one", 1, 50, 40))
                        .with(new FleetTasks.Single("two", 2, 50, 40))
                        .with(new FleetTasks.Sharded("pool", 6, 50, 40))
                        .with(new FleetTasks.Periodic("tick", 500, 40));
            }
            Map<String, Long> lastToken = new HashMap<>();
            Map<Long, String> ticked = new HashMap<>();
            for (int step = 0; step < 1500; step++) {
                sim.step();
                MemberSimulation.Peer p = sim.peers.get(random.nextInt(4));
                switch (random.nextInt(200)) {
                    case 0 -> p.standsUntil = sim.now + random.nextInt(2500);
                    case 1 -> sim.elect();
                    case 2 -> p.member.release("one");
                    case 3 -> p.member.want("one", 1);
                    default -> {}
                }
                Map<String, Integer> running = new HashMap<>();
                for (MemberSimulation.Peer q : sim.peers) {
                    if (sim.now < q.standsUntil) {
                        // Stopped in its act, as nobody can prevent: what comes of that is the resource's to turn away.
                        q.running.keySet().forEach(a -> q.duties.forEach(d -> d.ended(q.member, a)));
                        q.running.clear();
                        continue;
                    }
                    q.running.entrySet().removeIf(e -> {
                        boolean over = e.getValue() <= sim.now;
                        if (over) {
                            q.duties.forEach(d -> d.ended(q.member, e.getKey()));
                        }
                        return over;
                    });
                    for (FleetTask d : q.duties) {
                        for (TaskRun a : d.due(q.member, sim.now, 0, (long) sim.now)) {
                            acts++;
                            q.running.put(a, sim.now + a.takesMs());
                            if (a.tick() >= 0) {
                                ticks++;
                                assertEquals(null, ticked.put(a.tick(), "by one"), "seed " + seed);
                                continue; // a tick may be acted on after the next one, which has a greater token
                            }
                            Long before = lastToken.put(a.task() + a.shard(), a.token());
                            if (before != null && before != a.token()) {
                                moves++;
                                assertTrue(a.task().equals("two") || a.token() > before, "seed " + seed + " " + a);
                            }
                        }
                    }
                    q.running.keySet().stream()
                            .filter(a -> a.tick() < 0)
                            .forEach(a -> running.merge(a.task() + a.shard(), 1, Integer::sum));
                }
                long at = seed;
                running.forEach(
                        (piece, n) -> assertTrue(n <= (piece.startsWith("two") ? 2 : 1), "seed " + at + " " + piece));
            }
        }
        System.out.println(
                "members: " + SEEDS + " seeds, " + acts + " acts, " + moves + " hand-overs, " + ticks + " ticks");
        assertTrue(acts > 0 && moves > 0 && ticks > 0);
    }

    /** What was given up and is asked for again is another grant: the former token is worth nothing from that moment. */
    @Test
    void whatIsGivenUpIsHadNoMore() {
        MemberSimulation sim = new MemberSimulation(1, 0);
        MemberSimulation.Peer a = sim.add("a");
        MemberSimulation.Peer b = sim.add("b");
        a.member.want("x", 1);
        while (a.member.token("x") == 0) {
            sim.step();
        }
        long first = a.member.token("x");
        b.member.want("x", 1);
        a.member.release("x");
        a.member.want("x", 1);
        assertEquals(0, a.member.token("x"));
        while (b.member.token("x") == 0) {
            sim.step();
            assertEquals(0, a.member.token("x"));
        }
        b.member.release("x");
        while (a.member.token("x") == 0) {
            sim.step();
        }
        assertTrue(a.member.token("x") > first);
    }

    /** A voter that is cut off is silent and closes nothing: what was watched there is watched elsewhere as soon as renewals are. */
    @Test
    void aWatchDoesNotStayWithAVoterThatIsNoLongerAsked() {
        Member m = new Member("m", 0, TTL, List.of("v0", "v1", "v2"), 0, 0, 300);
        Member.Outgoing open = m.due(0).get(0);
        m.heard(open.id(), new Reply(Reply.Status.OK, "v0", CommandResult.granted(7), 1, null), 1);
        Map<String, Double> watched = new HashMap<>();
        for (double now = 1; now < TTL; now += STEP) {
            for (Member.Outgoing o : m.due(now)) {
                if (o.ask() instanceof Request.Watch) {
                    watched.putIfAbsent(o.voter(), now);
                }
            }
        }
        assertEquals(1, watched.get("v0"));
        assertTrue(watched.containsKey("v1"), watched.toString());
    }

    /** A grant whose watch was lost is known with the next renewal. */
    @Test
    void aLostWatchIsAskedAgain() {
        Member m = new Member("m", 0, TTL, List.of("v0", "v1", "v2"), 0, 0, 300);
        m.heard(m.due(0).get(0).id(), new Reply(Reply.Status.OK, "v0", CommandResult.granted(7), 1, null), 1);
        List<Member.Outgoing> first = m.due(2);
        Member.Outgoing renew = first.stream()
                .filter(o -> o.ask() instanceof Request.Renew)
                .findFirst()
                .get();
        assertTrue(first.stream().anyMatch(o -> o.ask() instanceof Request.Watch));
        m.heard(
                renew.id(),
                new Reply(Reply.Status.OK, "v0", new CommandResult(CommandResult.Kind.DONE, 0), 5, null),
                3);
        assertTrue(m.due(4).isEmpty());
        List<Member.Outgoing> next = m.due(TTL / 4 + 5);
        m.heard(
                next.get(0).id(),
                new Reply(Reply.Status.OK, "v0", new CommandResult(CommandResult.Kind.DONE, 6), 6, null),
                TTL / 4 + 6);
        assertTrue(m.due(TTL / 4 + 7).stream().anyMatch(o -> o.ask() instanceof Request.Watch));
    }

    /** 500 members with 20 leases each: what a member costs by itself, and when one of them goes. */
    @Test
    void manyMembersAskFourTimesInTheTimeOfASession() {
        MemberSimulation sim = new MemberSimulation(7, 0);
        for (int i = 0; i < 500; i++) {
            MemberSimulation.Peer p = sim.add("m" + i);
            for (int l = 0; l < 20; l++) {
                p.member.want("l" + (i * 20 + l), 1);
            }
        }
        while (sim.machine.snapshot().leases().size() < 10_000) {
            sim.step();
        }
        for (double end = sim.now + 1000; sim.now < end; ) {
            sim.step();
        }
        long before = sim.asks;
        long lines = sim.index;
        double seconds = 10;
        for (double end = sim.now + seconds * 1000; sim.now < end; ) {
            sim.step();
        }
        double each = (sim.asks - before) / seconds / 500;
        System.out.println("members: 500 with 10,000 leases send " + each + " asks a second each and "
                + (sim.index - lines) + " lines to the log in " + seconds + " s");
        assertTrue(each < 5, "" + each);
        assertEquals(lines, sim.index);
    }
}
