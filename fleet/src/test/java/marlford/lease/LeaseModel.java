package marlford.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import marlford.Interleavings;

/**
 * Two clients, an agreed log with three voters who may lead, one lease and a resource, on a clock of the test's own.
 * Whoever drives it chooses what happens next: any message is lost, late or doubled, any client stops, the lead moves.
 */
final class LeaseModel implements Interleavings.Model {
    /** What may be planted: each is a fault that the invariants have to find. */
    enum Fault {
        NONE,
        COUNTED_FROM_REPLY,
        NO_MARGIN,
        TOKEN_NOT_CHECKED,
        ENDED_EARLY,
        RENEWED_WHILE_ENDING,
        RENEWED_TWICE,
        LEADS_BEFORE_READING,
        OPENING_CONFIRMS
    }

    static final int CHOICES = 14 + 3 * 2;
    private static final double STEP = 100; // of time
    private static final double DRIFT_PPM = 20_000; // each clock may run 2% wrong
    private static final double STALL = 150;
    private static final double[] RATES = {0.98, 1.0, 1.02};
    private static final int BAG_MAX = 2; // messages under way

    /** A message under way: a renewal to a voter, or its answer. */
    private record Mail(Client client, LeaseValidity of, long session, double sentAt, int voter, boolean answer) {}

    /** A client's process. */
    private final class Client {
        final String name;
        final double rate;
        LeaseValidity validity;
        long session;
        long token;
        long nonce;
        boolean stopped;
        long writes = -1; // the token of an act that was begun and has yet to be written

        Client(String name, double rate) {
            this.name = name;
            this.rate = rate;
        }

        double now() {
            return time * rate;
        }

        boolean mayAct() {
            return token != 0 && validity != null && validity.leftMs(now()) > 0;
        }

        @Override
        public String toString() {
            return name
                    + session
                    + ','
                    + token
                    + ','
                    + stopped
                    + ','
                    + writes
                    + ','
                    + (validity == null ? "" : validity.leftMs(now()));
        }
    }

    private final Fault fault;
    private final long ttl;
    private final List<Client> clients = List.of(new Client("a", 0.98), new Client("b", 1.02));
    private final FailureDetector[] voters = new FailureDetector[RATES.length];
    private final Deque<Command> proposed = new ArrayDeque<>(); // by a leader, not yet agreed
    private final List<Mail> bag = new ArrayList<>();
    private final LeaseStateMachine machine = new LeaseStateMachine(0);
    private long index;
    private int leader;
    private double time;
    private long seen; // the greatest token that the resource saw
    private String broken;
    private int acts;
    private int late;

    LeaseModel(Fault fault, long ttl) {
        this.fault = fault;
        this.ttl = ttl;
        for (int v = 0; v < voters.length; v++) {
            voters[v] = new FailureDetector(STALL);
        }
        voters[0].lead(0);
    }

    /** What was broken; null for nothing. */
    @Override
    public String broken() {
        return broken;
    }

    /** Acts that the resource took. */
    int acts() {
        return acts;
    }

    /** Acts that it turned away: their client had been stopped between its look and its write. */
    int lateActs() {
        return late;
    }

    /** Lets one thing happen, of {@value #CHOICES}; some change nothing as things stand. */
    @Override
    public void step(int choice) {
        if (choice == 0) {
            pass();
        } else if (choice == 1) {
            elect();
        } else if (choice < 14) {
            act(clients.get(choice % 2), choice / 2 - 1);
        } else {
            mail((choice - 14) % BAG_MAX, (choice - 14) / BAG_MAX);
        }
        if (clients.stream().allMatch(Client::mayAct)) {
            broken = "two may act at " + time;
        }
    }

    private void pass() {
        time += STEP;
        clients.stream().filter(c -> !c.stopped && c.validity != null).forEach(c -> c.validity.look(c.now()));
        agreeAll();
        List<LeaseStateMachine.Session> living = machine.sessions();
        if (fault == Fault.ENDED_EARLY) {
            living = living.stream()
                    .map(b -> new LeaseStateMachine.Session(b.id(), b.member(), b.nonce(), b.ttlMs() / 4, 0))
                    .toList();
        }
        voters[leader].due(time * RATES[leader], living).forEach(id -> proposed.add(new Command.Close(id)));
    }

    private void agreeAll() {
        while (!proposed.isEmpty()) {
            agree(proposed.poll());
        }
    }

    /** The next voter leads. What the last one proposed is agreed before that is so. */
    private void elect() {
        if (fault != Fault.LEADS_BEFORE_READING) {
            agreeAll();
        }
        voters[leader].rest();
        leader = (leader + 1) % voters.length;
        voters[leader].lead(time * RATES[leader]);
    }

    private CommandResult agree(Command c) {
        return machine.apply(++index, c);
    }

    private void act(Client c, int what) {
        if (what == 0) {
            c.stopped = !c.stopped;
        } else if (c.stopped) {
            return;
        } else if (what == 1 && c.session != 0) {
            renew(c);
        } else if (what == 2) {
            take(c);
        } else if (what == 5 && c.session == 0) {
            agree(new Command.Open(c.name, c.nonce, ttl)); // its answer is lost
        } else if (what == 3 && c.token != 0 && c.writes < 0 && c.validity.mayAct(c.now(), 0, 0)) {
            c.writes = c.token;
        } else if (what == 4 && c.writes >= 0) {
            write(c);
        }
    }

    private void renew(Client c) {
        if (bag.size() < BAG_MAX) {
            bag.add(new Mail(c, c.validity, c.session, c.now(), leader, false));
        }
    }

    private void take(Client c) {
        if (c.session == 0) {
            CommandResult opened = agree(new Command.Open(c.name, c.nonce, ttl));
            if (opened.kind() != CommandResult.Kind.GRANTED) {
                return;
            }
            c.session = opened.value();
            boolean careless = fault == Fault.NO_MARGIN;
            c.validity = new LeaseValidity(ttl, careless ? 0 : DRIFT_PPM, 0, STALL);
            renew(c);
            if (fault == Fault.OPENING_CONFIRMS) {
                c.validity.confirmed(c.now());
            }
        }
        CommandResult a = agree(new Command.Acquire(c.session, "the", 1));
        if (a.kind() == CommandResult.Kind.GONE) {
            c.validity.ended();
            c.session = 0;
            c.token = 0;
            c.nonce++;
        } else if (a.kind() == CommandResult.Kind.GRANTED) {
            c.token = a.value();
        }
    }

    private void write(Client c) {
        if (c.writes >= seen) {
            seen = c.writes;
            acts++;
        } else if (fault == Fault.TOKEN_NOT_CHECKED) {
            broken = "the resource took " + c.writes + " after " + seen;
        } else {
            late++;
        }
        c.writes = -1;
    }

    private void mail(int at, int how) {
        if (at >= bag.size()) {
            return;
        }
        Mail m = how == 1 ? bag.get(at) : bag.remove(at); // 1: it arrives, and will once more
        if (how == 2) {
            return; // lost
        }
        if (!m.answer()) {
            boolean there = m.voter() == leader && machine.session(m.session()) != null;
            boolean heard = there && voters[leader].heard(m.session(), time * RATES[leader]);
            if (there && (heard || fault == Fault.RENEWED_WHILE_ENDING) && bag.size() < BAG_MAX) {
                bag.add(new Mail(m.client(), m.of(), m.session(), m.sentAt(), m.voter(), true));
            }
        } else if (!m.client().stopped && m.of() == m.client().validity) {
            Client c = m.client();
            double more = fault == Fault.RENEWED_TWICE ? c.validity.leftMs(c.now()) : 0;
            c.validity.confirmed(fault == Fault.COUNTED_FROM_REPLY ? c.now() : m.sentAt() + more);
        }
    }

    /** All that decides what may still happen. */
    @Override
    public String state() {
        StringBuilder s = new StringBuilder()
                .append(clients)
                .append(leader)
                .append(voters[leader])
                .append(time)
                .append(proposed)
                .append(machine.snapshot())
                .append(seen);
        bag.forEach(m -> s.append(m.client().name)
                .append(m.session())
                .append('@')
                .append(m.sentAt())
                .append(m.answer())
                .append(m.voter()));
        return s.toString();
    }
}
