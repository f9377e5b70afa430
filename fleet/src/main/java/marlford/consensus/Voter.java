package marlford.consensus;

import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import marlford.board.Board;
import marlford.lease.Command;
import marlford.lease.FailureDetector;
import marlford.lease.LeaseStateMachine;
import marlford.membership.Bootstrap;
import marlford.membership.Hello;
import marlford.membership.ProtocolVersions;
import marlford.membership.VoterReplacement;

/**
 * A voter of the fleet: the Raft engine, its store, the replicated state machine, and the replies to members'
 * requests. All of it runs on one thread of its own, so a disk that hangs stops this voter and nothing else.
 *
 * <p>A voter whose store fails, or whose log holds a command of a newer version, stops for good and logs the reason.
 */
public final class Voter {
    private static final String GROUP = "marlford";
    private static final long TICK_MS = 25; // between checks of sessions
    private static final long STATUS_TIMEOUT_MS = 300; // for the operators' page
    private static final long HELLO_MS = 200;
    private static final double GONE_MS = 3000; // a voter that says nothing for this long may be replaced
    private static final double STALL_MS = 400; // a pause of this thread that is longer gives all sessions its time
    private static final double LEADER_SILENCE_MS =
            3000; // three times EngineConfig's: the engine should long have noticed
    private static final int FLOOR_SHIFT = 18; // 2^18 tokens for each millisecond since the epoch

    /** The settings of a voter; its store lies in the folder. */
    public record Settings(String fleet, String name, Map<String, InetSocketAddress> voters, Path folder) {}

    private final Settings settings;
    private final MonotonicClock time;
    private final EngineExecutor engine;
    private final Consumer<String> log;
    private final VoterConnections connections;
    private final FailureDetector failureDetector = new FailureDetector(STALL_MS);
    private final ProtocolVersions versions = new ProtocolVersions();
    private final VoterReplacement replacement = new VoterReplacement(GONE_MS);
    private final Board board = new Board();
    private final LeaderWatchdog watchdog = new LeaderWatchdog(LEADER_SILENCE_MS, STALL_MS);
    private final ReplicatedState state;
    private final RequestHandler requests;
    private final MembershipChanges membershipChanges;
    private final SecureRandom random = new SecureRandom();
    private SegmentStore store;
    private VoterId self;
    private Bootstrap bootstrap;
    private RaftNode node;
    private int leadingTerm;
    private boolean floorProposed; // the command that sets the token floor is proposed
    private volatile String stopped; // why this voter takes no part; null while it does
    private volatile boolean closed;

    public Voter(Settings settings, MonotonicClock time, EventLoopGroup network, Consumer<String> log) {
        this.settings = settings;
        this.time = time;
        this.log = log;
        this.engine = new EngineExecutor("marlford-voter", time);
        this.connections = new VoterConnections(network, this::frame, () -> stopped == null, log);
        this.state = new ReplicatedState(this::stateChanged, this::heartbeat);
        this.requests = new RequestHandler(
                this::activeNode, state::machine, failureDetector, versions, board, time::ms, engine.thread());
        this.membershipChanges = new MembershipChanges(replacement, time::ms, engine.thread(), log);
    }

    /** Starts. With a store that can't be trusted the voter takes no part, and logs the reason. */
    public void start() throws IOException, InterruptedException {
        Path orders = settings.folder().resolve("fault");
        boolean faults = Boolean.getBoolean("marlford.faults");
        try {
            store = new SegmentStore(settings.folder(), d -> faults ? new FaultyDisk(d, orders) : d, log);
            store.begin(random.nextLong());
            self = VoterId.of(settings.name(), store.identity().disk());
            bootstrap = new Bootstrap(hello(), settings.voters().keySet());
        } catch (IOException e) {
            stop("its store can't be used: " + e.getMessage());
        }
        connections.open(settings.name(), settings.voters());
        engine.thread().scheduleWithFixedDelay(logFailures(this::tick), 0, TICK_MS, TimeUnit.MILLISECONDS);
        engine.thread().scheduleWithFixedDelay(logFailures(this::announce), 0, HELLO_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops at once. */
    public void close() {
        closed = true;
        connections.close();
        engine.thread().shutdownNow();
    }

    /** The operators' page of this voter; from any thread. Reports a hanging thread instead of waiting for it. */
    public String text() {
        CompletableFuture<String> text = new CompletableFuture<>();
        engine.execute(logFailures(() -> text.complete(status())));
        try {
            return text.get(STATUS_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        } catch (ExecutionException | TimeoutException e) {
            return "voter=" + settings.name() + " state=hangs, as its disk may\n";
        }
    }

    private Runnable logFailures(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                log.accept("fleet: defect: " + e);
                e.printStackTrace();
            }
        };
    }

    private void stop(String why) {
        if (stopped == null) {
            stopped = why;
            log.accept("fleet: this voter takes no part any more: " + why);
            failureDetector.rest();
            if (node != null) {
                node.terminate();
            }
        }
    }

    private Hello hello() {
        return new Hello(settings.fleet(), self.id(), store.life(), store.initial(), replacement.lives());
    }

    private void announce() {
        if (stopped != null) {
            return;
        }
        connections.broadcast(hello());
        if (node == null) {
            Bootstrap.Decision d = bootstrap.decide();
            if (store.initial() != null || d.step() != Bootstrap.Step.WAIT) {
                begin(d);
            }
        }
    }

    private void begin(Bootstrap.Decision d) {
        try {
            RestoredRaftState restored = store.restored();
            RaftNode.RaftNodeBuilder b = RaftNode.newBuilder()
                    .setGroupId(GROUP)
                    .setConfig(EngineConfig.create())
                    .setExecutor(engine)
                    .setTransport(connections)
                    .setStateMachine(state)
                    .setStore(store)
                    .setClock(engine)
                    .setRandom(new Random(random.nextLong()));
            if (restored != null) {
                b.setRestoredState(restored);
                log.accept("fleet: voter " + self.id() + " goes on, life " + store.life());
            } else {
                List<String> members = store.initial() != null ? store.initial() : d.members();
                b.setLocalEndpoint(self).setInitialGroupMembers(Codec.points(members));
                log.accept("fleet: voter " + self.id() + " begins with " + members);
            }
            node = b.build();
            node.start();
        } catch (IOException | RuntimeException e) {
            stop("it can't begin: " + e);
        }
    }

    private void frame(Channel from, byte kind, byte[] body) {
        if (closed) {
            return;
        }
        try {
            switch (kind) {
                case FrameTransport.HELLO -> {
                    Hello h = Codec.read(body, Hello.class);
                    engine.execute(logFailures(() -> heard(h)));
                }
                case FrameTransport.ENGINE_MESSAGE -> {
                    RaftMessage m = Codec.raftMessage(Codec.agreed(body, Codec.EngineMessage.class), GROUP);
                    engine.execute(logFailures(() -> {
                        if (node != null
                                && stopped == null
                                && !replacement.isOlderCopy(((VoterId) m.getSender()).id())) {
                            watchdog.heard(m.getSender(), time.ms());
                            node.handle(m);
                        }
                    }));
                }
                case FrameTransport.CALL -> {
                    RequestFrame c = Codec.read(body, RequestFrame.class);
                    engine.execute(logFailures(() ->
                            requests.handle(c.ask(), r -> connections.reply(from, new ReplyFrame(c.id(), r)))));
                }
                default -> from.close();
            }
        } catch (UnrecognizedPropertyException | InvalidTypeIdException e) {
            from.close();
            if (kind
                    == FrameTransport
                            .ENGINE_MESSAGE) { // ignored, it would leave this voter with another state than the others
                engine.execute(logFailures(
                        () -> stop("the log has what only a newer version knows: " + e.getOriginalMessage())));
            }
        } catch (IOException | RuntimeException e) {
            from.close(); // noise
        }
    }

    private void heard(Hello h) {
        if (stopped != null || !h.fleet().equals(settings.fleet())) {
            return;
        }
        if (h.point().equals(self.id())) {
            stop("another process runs on a copy of its disk");
            return;
        }
        if (h.seen().getOrDefault(self.id(), 0L) > store.life()) {
            stop("its disk is an older copy: life " + store.life() + ", while " + h.point() + " has seen life "
                    + h.seen().get(self.id()));
            return;
        }
        bootstrap.heard(h);
        replacement.heard(h, time.ms());
        versions.heard(h);
    }

    /** The engine while this voter takes part; null before and after. */
    private RaftNode activeNode() {
        return stopped == null ? node : null;
    }

    private void stateChanged() {
        requests.stateChanged();
    }

    /** A session was renewed; whether it goes on. */
    private boolean heartbeat(long session) {
        updateLeadership();
        return failureDetector.heard(session, time.ms());
    }

    /** Takes over whether this voter leads from the engine. */
    private void updateLeadership() {
        boolean leads = stopped == null
                && node != null
                && !RaftNodeStatus.isTerminal(node.getStatus())
                && self.equals(node.getTerm().getLeaderEndpoint());
        if (!leads) {
            failureDetector.rest();
        } else if (node.getTerm().getTerm() != leadingTerm || !failureDetector.leads()) {
            leadingTerm = node.getTerm().getTerm();
            failureDetector.lead(time.ms());
            board.begin(random.nextLong() >>> 1);
            membershipChanges.beginTerm();
            floorProposed = false;
            log.accept("fleet: " + self.id() + " leads, term " + leadingTerm);
        }
    }

    private void tick() {
        if (stopped == null && store.failed() != null) {
            stop(store.failed());
        }
        double now = time.ms();
        requests.tick(now, stopped != null);
        if (node == null || stopped != null) {
            return;
        }
        if (RaftNodeStatus.isTerminal(node.getStatus())) {
            stop("the engine ended");
            return;
        }
        if (watchdog.isStuck(node.getTerm().getLeaderEndpoint(), self, now)) {
            restartEngine();
        }
        if (activeNode() == null) {
            return;
        }
        updateLeadership();
        if (!failureDetector.leads()) {
            return;
        }
        if (!state.machine().isBegun()) {
            proposeTokenFloor();
            return;
        }
        for (long session : failureDetector.due(now, state.machine().sessions())) {
            log.accept("fleet: session " + session + " is silent, its end is proposed");
            node.replicate(new Command.Close(session));
        }
        membershipChanges.propose(node, self, now);
    }

    /** Restarts the engine from its store, as a restart of the process would ({@link LeaderWatchdog}). */
    private void restartEngine() {
        log.accept("fleet: the engine does not notice that "
                + node.getTerm().getLeaderEndpoint().getId() + " is silent, and begins anew");
        node.terminate();
        node = null;
        state.reset();
        watchdog.reset();
        begin(bootstrap.decide());
    }

    /** A fleet that is bootstrapped again after all disks were lost must not reuse tokens of the former one. */
    private void proposeTokenFloor() {
        if (!floorProposed) {
            floorProposed = true;
            node.replicate(new Command.Floor(System.currentTimeMillis() << FLOOR_SHIFT));
        }
    }

    /** The operators' page; on the voter's thread. */
    private String status() {
        VoterStatus page = new VoterStatus();
        page.addVoter(
                self == null ? settings.name() : self.id(),
                stopped != null ? "out (" + stopped + ')' : node == null ? "waiting for the other voters" : "votes");
        LeaseStateMachine machine = state.machine();
        if (activeNode() != null) {
            page.addGroup(node, requests.leader(), machine.index(), self.id(), replacement, time.ms());
        }
        LeaseStateMachine.Snapshot snapshot = machine.snapshot();
        page.addLeases(snapshot, machine);
        if (failureDetector.leads()) {
            page.addBoard(board);
        }
        page.addWork(snapshot, machine);
        return page.toString();
    }
}
