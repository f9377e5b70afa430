package marlford.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import marlford.lease.CommandResult.Kind;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What the book says of sessions, leases, shards and ticks. */
class BookTest {
    private static final long TTL = 1000;
    private final LeaseStateMachine machine = new LeaseStateMachine(0);
    private long index;

    private CommandResult say(Command c) {
        return machine.apply(++index, c);
    }

    private long member(String name) {
        return say(new Command.Open(name, 1, TTL)).value();
    }

    private CommandResult acquire(long session, String lease) {
        return say(new Command.Acquire(session, lease, 1));
    }

    @Test
    void whoWaitsLongestComesNextAndEachGrantHasAGreaterToken() {
        long a = member("a");
        long b = member("b");
        long c = member("c");
        long first = acquire(a, "x").value();
        assertEquals(new CommandResult(Kind.WAITING, 0), acquire(b, "x"));
        assertEquals(new CommandResult(Kind.WAITING, 1), acquire(c, "x"));
        say(new Command.Close(a));
        long second = acquire(b, "x").value();
        assertTrue(second > first);
        say(new Command.Release(b, "x", first)); // a late word on somebody else's grant
        assertEquals(CommandResult.granted(second), acquire(b, "x"));
        say(new Command.Release(b, "x", second));
        assertTrue(acquire(c, "x").value() > second);
    }

    /** A grant whose answer was lost is asked for again: one token and not two. */
    @Test
    void whatIsAskedAgainIsAnsweredAsBefore() {
        CommandResult opened = say(new Command.Open("a", 7, TTL));
        assertEquals(opened, say(new Command.Open("a", 7, TTL)));
        CommandResult got = acquire(opened.value(), "x");
        assertEquals(got, acquire(opened.value(), "x"));
        say(new Command.Close(opened.value()));
        assertEquals(CommandResult.DONE, say(new Command.Close(opened.value())));
        assertEquals(CommandResult.GONE, acquire(opened.value(), "x"));
    }

    @Test
    void twoProcessesOfOneNameAreNotOneSession() {
        long a = member("a");
        assertEquals(Kind.TAKEN, say(new Command.Open("a", 2, TTL)).kind());
        say(new Command.Close(a));
        assertEquals(Kind.GRANTED, say(new Command.Open("a", 2, TTL)).kind());
    }

    @Test
    void atMostAsManyHoldAsTheLimitSaysAndNobodyChangesIt() {
        for (int i = 0; i < 5; i++) {
            CommandResult a = say(new Command.Acquire(member("m" + i), "two", 2));
            assertEquals(i < 2 ? Kind.GRANTED : Kind.WAITING, a.kind());
        }
        assertEquals(
                Kind.DIFFERS,
                say(new Command.Acquire(member("other"), "two", 3)).kind());
    }

    @Test
    void aTickRunsAtMostOnce() {
        long a = member("a");
        long b = member("b");
        assertEquals(Kind.GRANTED, say(new Command.Tick(a, "t", 5)).kind());
        assertEquals(Kind.OVER, say(new Command.Tick(b, "t", 5)).kind());
        assertEquals(Kind.OVER, say(new Command.Tick(b, "t", 4)).kind());
        assertEquals(Kind.GRANTED, say(new Command.Tick(b, "t", 6)).kind());
    }

    private Map<Long, List<Integer>> owners(String pool) {
        Map<Long, List<Integer>> owners = new HashMap<>();
        for (LeaseStateMachine.Session s : machine.sessions()) {
            machine.holdings(s.id()).stream()
                    .filter(h -> h.name().equals(pool))
                    .forEach(h -> owners.computeIfAbsent(s.id(), id -> new ArrayList<>())
                            .add(h.shard()));
        }
        return owners;
    }

    private int giveUpWanted() {
        int moved = 0;
        for (LeaseStateMachine.Session s : machine.sessions()) {
            for (LeaseStateMachine.Holding h : machine.holdings(s.id())) {
                if (h.wanted()) {
                    say(new Command.GiveUp(s.id(), h.name(), h.shard(), h.token()));
                    moved++;
                }
            }
        }
        return moved;
    }

    /** One that comes moves no more than its even share, one that goes moves its own pieces alone. */
    @Property(tries = 60, seed = "20261201")
    void shardsMoveNoMoreThanTheyMust(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseStateMachine fresh = new LeaseStateMachine(0);
        BookTest t = new BookTest();
        assertEquals(fresh.snapshot(), t.machine.snapshot());
        int shards = 1 + random.nextInt(100);
        List<Long> living = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Map<Long, List<Integer>> before = t.owners("p");
            if (living.isEmpty() || random.nextInt(3) > 0) {
                long m = t.member("m" + i);
                living.add(m);
                t.say(new Command.Join(m, "p", shards));
                int moved = t.giveUpWanted();
                assertTrue(living.size() == 1 || moved <= (shards + living.size() - 1) / living.size());
            } else {
                long gone = living.remove(random.nextInt(living.size()));
                t.say(new Command.Close(gone));
                Map<Long, List<Integer>> after = t.owners("p");
                before.forEach((m, has) -> assertTrue(m == gone || after.get(m).containsAll(has)));
                t.giveUpWanted();
            }
            Map<Long, List<Integer>> now = t.owners("p");
            if (!living.isEmpty()) {
                assertEquals(shards, now.values().stream().mapToInt(List::size).sum());
                assertTrue(now.values().stream()
                        .allMatch(has -> has.size() <= (shards + living.size() - 1) / living.size()));
            }
        }
    }

    /** Any lines in any order: limits hold, tokens grow, a line that comes twice changes nothing, an image is the book. */
    @Property(tries = 200, seed = "20261201")
    void theBookHoldsWhateverIsSaid(@ForAll long seed) {
        Random random = new Random(seed);
        BookTest t = new BookTest();
        LeaseStateMachine twin = new LeaseStateMachine(0);
        long greatest = 0;
        for (int i = 0; i < 300; i++) {
            long session = 1 + random.nextInt(40);
            String name = "n" + random.nextInt(3);
            Command c = switch (random.nextInt(9)) {
                case 0, 1 -> new Command.Open("m" + random.nextInt(8), random.nextInt(2), TTL);
                case 2 -> new Command.Close(session);
                case 3, 4 -> new Command.Acquire(session, name, 1 + random.nextInt(2));
                case 5 -> new Command.Release(session, name, random.nextInt(80));
                case 6 -> new Command.Join(session, name, 7);
                case 7 -> new Command.GiveUp(session, name, random.nextInt(8), random.nextInt(80));
                default -> random.nextBoolean() ? new Command.Leave(session, name) : new Command.Tick(session, name, i);
            };
            t.say(c);
            LeaseStateMachine.Snapshot snapshot = t.machine.snapshot();
            assertTrue(snapshot.minted() >= greatest);
            greatest = snapshot.minted();
            for (LeaseStateMachine.Lease l : snapshot.leases()) {
                assertTrue(l.holders().size() <= l.limit());
                assertTrue(l.queue().isEmpty() || l.holders().size() == l.limit());
                l.holders()
                        .keySet()
                        .forEach(s -> assertTrue(
                                t.machine.session(s) != null && !l.queue().contains(s)));
            }
            twin.apply(t.index, c);
            assertEquals(snapshot, twin.snapshot());
            twin = LeaseStateMachine.of(snapshot);
            if (!(c instanceof Command.Tick)) {
                twin.apply(t.index, c);
                assertEquals(snapshot.minted(), twin.snapshot().minted(), () -> "twice " + c);
            }
            twin = LeaseStateMachine.of(snapshot);
        }
    }

    @Test
    void whatIsBeyondABoundIsSaidAndChangesNothing() {
        for (int i = 0; i < LeaseStateMachine.SESSIONS_MAX; i++) {
            assertEquals(Kind.GRANTED, say(new Command.Open("m" + i, 1, TTL)).kind());
        }
        assertEquals(Kind.FULL, say(new Command.Open("more", 1, TTL)).kind());
        assertEquals(Kind.MALFORMED, say(new Command.Open("", 1, TTL)).kind());
        assertEquals(Kind.MALFORMED, say(new Command.Open("x", 1, 1)).kind());
        long a = machine.sessions().get(0).id();
        for (int i = 0; i < LeaseStateMachine.LEASES_MAX; i++) {
            acquire(a, "l" + i);
        }
        assertEquals(Kind.FULL, acquire(a, "more").kind());
        assertEquals(
                Kind.MALFORMED, acquire(a, "n".repeat(Command.NAME_MAX + 1)).kind());
        assertEquals(
                Kind.MALFORMED,
                say(new Command.Join(a, "p", LeaseStateMachine.SHARDS_MAX + 1)).kind());
        assertEquals(LeaseStateMachine.LEASES_MAX, machine.holdings(a).size());
    }

    /** 10,000 leases at 500 members: an end of one passes on what it had, and a large pool settles in no time to speak of. */
    @Test
    void aLargeFleetsBook() {
        for (int i = 0; i < 500; i++) {
            long m = member("m" + i);
            for (int l = 0; l < 20; l++) {
                acquire(m, "l" + (i * 20 + l));
                acquire(m, "l" + ((i + 1) % 500 * 20 + l));
            }
            say(new Command.Join(m, "p", LeaseStateMachine.SHARDS_MAX));
        }
        assertEquals(10_000, machine.snapshot().leases().size());
        long first = machine.sessions().get(0).id();
        long last = machine.sessions().get(499).id();
        assertEquals(
                0, machine.holdings(last).stream().filter(h -> h.shard() < 0).count());
        say(new Command.Close(first));
        assertEquals(
                20, machine.holdings(last).stream().filter(h -> h.shard() < 0).count());
    }

    @Test
    void aStallTakesTheRightToActUntilARenewalOfAfterItIsConfirmed() {
        LeaseValidity t = new LeaseValidity(1000, 0, 0, 100);
        t.look(0);
        t.confirmed(0);
        assertTrue(t.mayAct(50, 0, 900));
        assertTrue(!t.mayAct(60, 50, 900)); // the act, late, would end after the lease
        assertTrue(!t.mayAct(300, 0, 0));
        t.confirmed(290); // sent before the stall was over
        assertTrue(!t.mayAct(310, 0, 0));
        t.confirmed(305);
        assertTrue(t.mayAct(350, 0, 0));
        t.ended();
        t.confirmed(360);
        assertTrue(!t.mayAct(370, 0, 0));
    }

    @Test
    void aLeaderThatStoodStillCallsNobodyDead() {
        long a = member("a");
        FailureDetector s = new FailureDetector(300);
        s.lead(0);
        assertTrue(s.heard(a, 10));
        assertEquals(List.of(), s.due(100, machine.sessions()));
        assertEquals(List.of(), s.due(5000, machine.sessions())); // its own stall
        for (double now = 5200; now < 6000; now += 200) {
            assertEquals(List.of(), s.due(now, machine.sessions()));
        }
        assertEquals(List.of(a), s.due(6000, machine.sessions()));
        assertTrue(!s.heard(a, 6001)); // its end may be agreed at any moment
        s.lead(6100);
        assertTrue(s.heard(a, 6101));
    }

    /** A proposal that came to nothing once left its session neither renewed nor ended for the rest of the leader's term. */
    @Test
    void anEndThatIsNotAgreedIsProposedAgain() {
        long a = member("a");
        FailureDetector s = new FailureDetector(300);
        s.lead(0);
        assertTrue(s.heard(a, 10));
        List<Double> proposed = new ArrayList<>();
        for (double now = 100; now < 4000; now += 100) {
            if (!s.due(now, machine.sessions()).isEmpty()) {
                proposed.add(now);
            }
            assertTrue(proposed.isEmpty() || !s.heard(a, now));
        }
        assertEquals(3, proposed.size(), proposed.toString());
        machine.apply(100, new Command.Close(a));
        machine.apply(101, new Command.Close(a));
        assertEquals(List.of(), s.due(9000, machine.sessions()));
    }
}
