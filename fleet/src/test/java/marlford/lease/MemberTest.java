package marlford.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import marlford.task.Act;
import marlford.task.Duties;
import marlford.task.Duty;
import org.junit.jupiter.api.Test;

/** Members and the voters they ask, in virtual time: asks and replies are lost, late and doubled, processes stand still. */
class MemberTest {
    private static final int SEEDS = 300;
    private static final double STEP = 10; // ms
    private static final long TTL = 1000;
    private static final int VOTERS = 3;

    /** A fleet on a clock of the test's own. */
    private static final class Sim {
        final Random random;
        final double loss;
        final Book book = new Book(1);
        final Silence[] silence = new Silence[VOTERS];
        final List<Peer> peers = new ArrayList<>();
        final PriorityQueue<Mail> mail = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        final List<Watching> watches = new ArrayList<>();
        int leader;
        double now;
        long index;
        long asks;

        private record Mail(double at, Runnable what) { }

        private record Watching(Peer to, long id, Ask.Watch ask) { }

        Sim(long seed, double loss) {
            this.random = new Random(seed);
            this.loss = loss;
            for (int v = 0; v < VOTERS; v++) {
                silence[v] = new Silence(300);
            }
            silence[0].lead(0);
        }

        Peer add(String name) {
            Peer p = new Peer(name, random.nextLong() >>> 1);
            peers.add(p);
            return p;
        }

        void post(Runnable what) {
            for (int copy = random.nextInt(20) == 0 ? 2 : 1; copy > 0; copy--) {
                if (random.nextDouble() >= loss) {
                    mail.add(new Mail(now + random.nextInt(30), what));
                }
            }
        }

        void step() {
            now += STEP;
            while (!mail.isEmpty() && mail.peek().at() <= now) {
                mail.poll().what().run();
            }
            for (long id : silence[leader].due(now, book.sessions())) {
                book.apply(++index, new Command.Close(id));
            }
            tellWatches();
            for (Peer p : peers) {
                if (now >= p.standsUntil) {
                    for (Member.Outgoing o : p.member.due(now)) {
                        asks++;
                        post(() -> ask(p, o));
                    }
                }
            }
        }

        private void ask(Peer p, Member.Outgoing o) {
            if (o.ask() instanceof Ask.Watch w) {
                watches.add(new Watching(p, o.id(), w));
                return;
            }
            Reply r;
            if (!o.voter().equals("v" + leader)) {
                r = Reply.no(Reply.Status.NOT_LEADER, "v" + leader);
            } else if (o.ask() instanceof Ask.Renew renew) {
                if (book.session(renew.session()) == null) {
                    r = ok(Answer.GONE);
                } else {
                    r = silence[leader].heard(renew.session(), now) ? ok(Answer.DONE)
                            : Reply.no(Reply.Status.NOT_LEADER, "");
                }
            } else {
                r = ok(book.apply(++index, ((Ask.Submit) o.ask()).line()));
            }
            post(() -> p.hears(o.id(), r));
        }

        private Reply ok(Answer a) {
            return new Reply(Reply.Status.OK, "v" + leader, a, index, null);
        }

        private void tellWatches() {
            watches.removeIf(w -> {
                Book.Session s = book.session(w.ask().session());
                boolean tells = s != null && s.changed() > w.ask().since();
                if (tells) {
                    Reply r = new Reply(Reply.Status.OK, "v" + leader, null, index, book.holdings(s.id()));
                    post(() -> w.to().hears(w.id(), r));
                }
                return tells || s == null;
            });
        }

        void elect() {
            silence[leader].rest();
            leader = (leader + 1) % VOTERS;
            silence[leader].lead(now);
        }

        final class Peer {
            final Member member;
            final List<Duty> duties = new ArrayList<>();
            final Map<Act, Double> running = new HashMap<>();
            double standsUntil;

            Peer(String name, long nonce) {
                member = new Member(name, nonce, TTL, List.of("v0", "v1", "v2"), 0, 20, 300);
            }

            void hears(long id, Reply r) {
                if (now < standsUntil) {
                    mail.add(new Mail(standsUntil, () -> hears(id, r))); // it lies in the socket
                } else {
                    member.heard(id, r, now);
                }
            }

            Peer with(Duty d) {
                duties.add(d);
                d.begin(member);
                return this;
            }
        }
    }

    /** No two act at once as the single holder or on one shard, no more than two of two; a tick runs once. */
    @Test
    void nobodyActsBesideAnotherWhateverIsLost() {
        int acts = 0;
        int moves = 0;
        int ticks = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Sim sim = new Sim(seed, 0.1);
            Random random = sim.random;
            for (int i = 0; i < 4; i++) {
                sim.add("m" + i).with(new Duties.Single("one", 1, 50, 40)).with(new Duties.Single("two", 2, 50, 40))
                        .with(new Duties.Sharded("pool", 6, 50, 40)).with(new Duties.Ticking("tick", 500, 40));
            }
            Map<String, Long> lastToken = new HashMap<>();
            Map<Long, String> ticked = new HashMap<>();
            for (int step = 0; step < 1500; step++) {
                sim.step();
                Sim.Peer p = sim.peers.get(random.nextInt(4));
                switch (random.nextInt(200)) {
                    case 0 -> p.standsUntil = sim.now + random.nextInt(2500);
                    case 1 -> sim.elect();
                    case 2 -> p.member.release("one");
                    case 3 -> p.member.want("one", 1);
                    default -> { }
                }
                Map<String, Integer> running = new HashMap<>();
                for (Sim.Peer q : sim.peers) {
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
                    for (Duty d : q.duties) {
                        for (Act a : d.due(q.member, sim.now, 0, (long) sim.now)) {
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
                    q.running.keySet().stream().filter(a -> a.tick() < 0)
                            .forEach(a -> running.merge(a.task() + a.shard(), 1, Integer::sum));
                }
                long at = seed;
                running.forEach((piece, n) -> assertTrue(n <= (piece.startsWith("two") ? 2 : 1), "seed " + at + " " + piece));
            }
        }
        System.out.println("members: " + SEEDS + " seeds, " + acts + " acts, " + moves + " hand-overs, " + ticks + " ticks");
        assertTrue(acts > 0 && moves > 0 && ticks > 0);
    }

    /** What was given up and is asked for again is another grant: the former token is worth nothing from that moment. */
    @Test
    void whatIsGivenUpIsHadNoMore() {
        Sim sim = new Sim(1, 0);
        Sim.Peer a = sim.add("a");
        Sim.Peer b = sim.add("b");
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
        m.heard(open.id(), new Reply(Reply.Status.OK, "v0", Answer.granted(7), 1, null), 1);
        Map<String, Double> watched = new HashMap<>();
        for (double now = 1; now < TTL; now += STEP) {
            for (Member.Outgoing o : m.due(now)) {
                if (o.ask() instanceof Ask.Watch) {
                    watched.putIfAbsent(o.voter(), now);
                }
            }
        }
        assertEquals(1, watched.get("v0"));
        assertTrue(watched.containsKey("v1"), watched.toString());
    }

    /** 500 members with 20 leases each: what a member costs by itself, and when one of them goes. */
    @Test
    void manyMembersAskFourTimesInTheTimeOfASession() {
        Sim sim = new Sim(7, 0);
        for (int i = 0; i < 500; i++) {
            Sim.Peer p = sim.add("m" + i);
            for (int l = 0; l < 20; l++) {
                p.member.want("l" + (i * 20 + l), 1);
            }
        }
        while (sim.book.image().leases().size() < 10_000) {
            sim.step();
        }
        for (double end = sim.now + 1000; sim.now < end;) {
            sim.step();
        }
        long before = sim.asks;
        long lines = sim.index;
        double seconds = 10;
        for (double end = sim.now + seconds * 1000; sim.now < end;) {
            sim.step();
        }
        double each = (sim.asks - before) / seconds / 500;
        System.out.println("members: 500 with 10,000 leases send " + each + " asks a second each and "
                + (sim.index - lines) + " lines to the log in " + seconds + " s");
        assertTrue(each < 5, "" + each);
        assertEquals(lines, sim.index);
    }
}
