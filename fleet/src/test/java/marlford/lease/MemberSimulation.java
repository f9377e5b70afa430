package marlford.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToIntFunction;
import marlford.board.Board;
import marlford.board.BoardChanges;
import marlford.task.FleetTask;
import marlford.task.TaskRun;

/** A fleet on a clock of the test's own. */
public final class MemberSimulation {
    /** Of a step, in milliseconds. */
    public static final double STEP = 10;
    /** Of a session, in milliseconds. */
    public static final long TTL = 1000;

    private static final int VOTERS = 3;

    public final Random random;
    final double loss;
    final LeaseStateMachine machine = new LeaseStateMachine(1);
    final FailureDetector[] silence = new FailureDetector[VOTERS];
    final Board board = new Board(); // of whoever leads
    final List<Peer> peers = new ArrayList<>();
    final PriorityQueue<Mail> mail = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    final List<Watching> watches = new ArrayList<>();
    int leader;
    public double now;
    long index;
    long asks;
    /** What asks and replies are measured by, and what they came to. */
    public ToIntFunction<Object> size = o -> 0;

    public long bytes;

    private record Mail(double at, Runnable what) {}

    private record Watching(Peer to, long id, Request.Watch ask) {}

    public MemberSimulation(long seed, double loss) {
        this.random = new Random(seed);
        this.loss = loss;
        for (int v = 0; v < VOTERS; v++) {
            silence[v] = new FailureDetector(300);
        }
        silence[0].lead(0);
        board.begin(1);
    }

    public Peer add(String name) {
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

    public void step() {
        now += STEP;
        while (!mail.isEmpty() && mail.peek().at() <= now) {
            mail.poll().what().run();
        }
        for (long id : silence[leader].due(now, machine.sessions())) {
            machine.apply(++index, new Command.Close(id));
        }
        tellWatches();
        for (Peer p : peers) {
            if (now >= p.standsUntil) {
                for (Member.Outgoing o : p.member.due(now)) {
                    asks++;
                    bytes += size.applyAsInt(o.ask());
                    post(() -> ask(p, o));
                }
            }
        }
    }

    private void ask(Peer p, Member.Outgoing o) {
        if (o.ask() instanceof Request.Watch w) {
            watches.add(new Watching(p, o.id(), w));
            return;
        }
        Reply r;
        if (!o.voter().equals("v" + leader)) {
            r = Reply.no(Reply.Status.NOT_LEADER, "v" + leader);
        } else if (o.ask() instanceof Request.Renew renew) {
            if (machine.session(renew.session()) == null) {
                r = ok(CommandResult.GONE);
            } else {
                BoardChanges news = renew.telling() == null
                        ? null
                        : board.hear(
                                renew.session(), renew.telling(), token -> machine.holds(renew.session(), token), now);
                r = silence[leader].heard(renew.session(), now)
                        ? ok(CommandResult.renewed(machine.session(renew.session())))
                                .with(news)
                        : Reply.no(Reply.Status.NOT_LEADER, "");
            }
        } else {
            r = ok(machine.apply(++index, ((Request.Submit) o.ask()).line()));
        }
        bytes += size.applyAsInt(r);
        post(() -> p.hears(o.id(), r));
    }

    private Reply ok(CommandResult a) {
        return new Reply(Reply.Status.OK, "v" + leader, a, index, null);
    }

    private void tellWatches() {
        watches.removeIf(w -> {
            LeaseStateMachine.Session s = machine.session(w.ask().session());
            boolean tells = s != null && s.changed() > w.ask().since();
            if (tells) {
                Reply r = new Reply(Reply.Status.OK, "v" + leader, null, index, machine.holdings(s.id()));
                bytes += size.applyAsInt(r);
                post(() -> w.to().hears(w.id(), r));
            }
            return tells || s == null;
        });
    }

    /** What stands, for a test that failed. */
    public String text() {
        return board.text() + " " + machine.snapshot();
    }

    public void elect() {
        silence[leader].rest();
        leader = (leader + 1) % VOTERS;
        silence[leader].lead(now);
        board.begin(random.nextLong() >>> 1);
    }

    public final class Peer {
        public final Member member;
        final List<FleetTask> duties = new ArrayList<>();
        final Map<TaskRun, Double> running = new HashMap<>();
        public double standsUntil;

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

        Peer with(FleetTask d) {
            duties.add(d);
            d.begin(member);
            return this;
        }
    }
}
