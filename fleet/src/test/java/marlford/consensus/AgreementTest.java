package marlford.consensus;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import marlford.lease.Command;
import marlford.lease.LeaseStateMachine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The engine on our store and our codec, in virtual time and on one thread: voters are killed between any two of their
 * steps and lose what was not synced, messages are lost, late and doubled. All voters see the same book at each index.
 */
class AgreementTest {
    private static final int SEEDS = Integer.getInteger("marlford.agreement.seeds", 40);
    private static final int PLANTED_SEEDS = 400;
    private static final int VOTERS = 3;
    private static final long END_MS = 60_000; // of the engine's
    private static final String GROUP = "g";

    @TempDir
    private Path dir;

    private final class Sim {
        final Random random;
        final boolean forgetsVotes;
        final Path folder;
        final PriorityQueue<Event> events = new PriorityQueue<>();
        final Map<Long, LeaseStateMachine.Snapshot> agreed = new HashMap<>();
        final List<Voting> voters = new ArrayList<>();
        final List<VoterId> points = new ArrayList<>();
        long now;
        long order;
        int lines;
        int kills;
        String broken;

        Sim(long seed, boolean forgetsVotes) throws IOException {
            this.random = new Random(seed);
            this.forgetsVotes = forgetsVotes;
            this.folder = Files.createDirectories(dir.resolve(forgetsVotes + "-" + seed));
            for (int i = 0; i < VOTERS; i++) {
                points.add(VoterId.of("v" + i, i));
            }
            for (int i = 0; i < VOTERS; i++) {
                voters.add(new Voting(this, i));
                voters.get(i).start();
            }
        }

        void at(long when, Runnable what) {
            events.add(new Event(when, order++, what));
        }

        void play() {
            at(1000, this::ask);
            at(1500, this::strike);
            while (!events.isEmpty() && now < END_MS && broken == null) {
                Event e = events.poll();
                now = e.at();
                e.what().run();
            }
        }

        private void ask() {
            at(now + 20 + random.nextInt(200), this::ask);
            for (Voting v : voters) {
                if (v.node != null) {
                    v.node.replicate(new Command.Open("m" + lines++, lines, 1000));
                }
            }
        }

        private void strike() {
            at(now + 200 + random.nextInt(2500), this::strike);
            Voting v = voters.get(random.nextInt(VOTERS));
            if (v.node == null) {
                return;
            }
            kills++;
            v.kill();
            at(now + 50 + random.nextInt(2000), () -> {
                try {
                    v.start();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }

        void see(long index, LeaseStateMachine.Snapshot snapshot, Voting by) {
            LeaseStateMachine.Snapshot before = agreed.putIfAbsent(index, snapshot);
            if (before != null && !before.equals(snapshot)) {
                broken = "at line " + index + " " + by.self + " has another book than was agreed";
            }
        }
    }

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** A voter on one disk, in one of its lives. */
    private static final class Voting implements Transport, StateMachine {
        private final Sim sim;
        private final int number;
        final VoterId self;
        RaftNode node;
        private LeaseStateMachine machine;
        private int life;

        Voting(Sim sim, int number) {
            this.sim = sim;
            this.number = number;
            this.self = sim.points.get(number);
        }

        void kill() {
            node = null;
            life++;
        }

        void start() throws IOException {
            int thisLife = life;
            SegmentStore store = new SegmentStore(sim.folder.resolve("v" + number), Unsynced::new, line -> {});
            store.begin(number);
            RestoredRaftState restored = store.restored();
            machine = new LeaseStateMachine(1);
            RaftNodeExecutor executor = new RaftNodeExecutor() {
                @Override
                public void execute(Runnable work) {
                    schedule(work, 0, TimeUnit.MILLISECONDS);
                }

                @Override
                public void submit(Runnable work) {
                    schedule(work, 0, TimeUnit.MILLISECONDS);
                }

                @Override
                public void schedule(Runnable work, long delay, TimeUnit unit) {
                    sim.at(sim.now + unit.toMillis(delay), () -> {
                        if (life == thisLife) {
                            work.run();
                        }
                    });
                }
            };
            RaftNode.RaftNodeBuilder b = RaftNode.newBuilder()
                    .setGroupId(GROUP)
                    .setExecutor(executor)
                    .setTransport(this)
                    .setStateMachine(this)
                    .setStore(sim.forgetsVotes ? forgetful(store) : store)
                    .setRandom(new Random(sim.random.nextLong()))
                    .setClock(clock())
                    .setConfig(RaftConfig.newBuilder()
                            .setLeaderElectionTimeoutMillis(1000)
                            .setLeaderHeartbeatPeriodSecs(1)
                            .setLeaderHeartbeatTimeoutSecs(2)
                            .setCommitCountToTakeSnapshot(40)
                            .build());
            node = (restored != null
                            ? b.setRestoredState(restored)
                            : b.setLocalEndpoint(self).setInitialGroupMembers(new ArrayList<>(sim.points)))
                    .build();
            node.start();
        }

        /** The planted fault: a store that keeps the first vote and term, and none after. */
        private static RaftStore forgetful(SegmentStore real) {
            boolean[] kept = {false};
            return (RaftStore) Proxy.newProxyInstance(
                    RaftStore.class.getClassLoader(), new Class<?>[] {RaftStore.class}, (proxy, method, args) -> {
                        boolean vote = args != null && args.length == 1 && args[0] instanceof RaftTermPersistentState;
                        if (vote && kept[0]) {
                            return null;
                        }
                        kept[0] |= vote;
                        try {
                            return method.invoke(real, args);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        private Clock clock() {
            return new Clock() {
                @Override
                public long millis() {
                    return sim.now;
                }

                @Override
                public Instant instant() {
                    return Instant.ofEpochMilli(sim.now);
                }

                @Override
                public ZoneId getZone() {
                    return ZoneOffset.UTC;
                }

                @Override
                public Clock withZone(ZoneId zone) {
                    return this;
                }
            };
        }

        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            try {
                byte[] bytes = Codec.bytes(Codec.engineMessage(message));
                Voting there = sim.voters.get(sim.points.indexOf(to));
                for (int copies = sim.random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                    if (sim.random.nextInt(10) > 0) {
                        sim.at(
                                sim.now + 1 + sim.random.nextInt(sim.random.nextInt(10) == 0 ? 800 : 20),
                                () -> there.hear(bytes));
                    }
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void hear(byte[] bytes) {
            try {
                if (node != null) {
                    node.handle(Codec.raftMessage(Codec.read(bytes, Codec.EngineMessage.class), GROUP));
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint to) {
            return true;
        }

        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof Command c) {
                machine.apply(index, c);
                sim.see(index, machine.snapshot(), this);
            }
            return null;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> to) {
            to.accept(machine.snapshot());
        }

        @Override
        public void installSnapshot(long index, List<Object> pieces) {
            machine = LeaseStateMachine.of((LeaseStateMachine.Snapshot) pieces.get(0));
            sim.see(machine.index(), machine.snapshot(), this);
        }

        @Override
        public Object getNewTermOperation() {
            return Codec.TermBegins.HERE;
        }
    }

    /** What was not synced is lost with the process, and with it the machine. */
    private static final class Unsynced implements Disk {
        private final Disk real;
        private final List<byte[]> waiting = new ArrayList<>();

        Unsynced(Disk real) {
            this.real = real;
        }

        @Override
        public void append(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            waiting.add(copy);
        }

        @Override
        public void force() throws IOException {
            for (byte[] w : waiting) {
                real.append(ByteBuffer.wrap(w));
            }
            waiting.clear();
        }

        @Override
        public void close() throws IOException {
            force();
            real.close();
        }
    }

    @Test
    void allVotersSeeTheSameBook() throws IOException {
        int lines = 0;
        int kills = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Sim sim = new Sim(seed, false);
            sim.play();
            assertNull(sim.broken, "seed " + seed);
            lines += sim.agreed.size();
            kills += sim.kills;
        }
        System.out.println("agreement: seeds 1 to " + SEEDS + ", " + lines + " lines agreed, " + kills + " kills");
        assertTrue(lines > SEEDS && kills > SEEDS);
    }

    @Test
    void aVoterThatForgetsItsVoteIsFound() throws IOException {
        String found = null;
        long seed = 0;
        while (found == null && seed < PLANTED_SEEDS) {
            Sim sim = new Sim(++seed, true);
            sim.play();
            found = sim.broken;
        }
        assertNotNull(found);
        System.out.println("agreement: a forgotten vote is found by seed " + seed + ": " + found);
    }
}
