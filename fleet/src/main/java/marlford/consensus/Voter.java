package marlford.consensus;

import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import marlford.board.Board;
import marlford.board.BoardChanges;
import marlford.lease.Command;
import marlford.lease.CommandResult;
import marlford.lease.FailureDetector;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Reply;
import marlford.lease.Request;
import marlford.membership.Bootstrap;
import marlford.membership.Hello;
import marlford.membership.ProtocolVersions;
import marlford.membership.VoterReplacement;

/**
 * One of the processes that the fleet agrees through: the engine, its store, the state machine on the agreed log, and the answers to
 * what members ask. All of it runs on one thread of its own, so that a disk that hangs stops this vote and nothing else.
 *
 * <p>Bounds: {@value #CALLS_MAX} calls and {@value #WATCHES_MAX} watches at once, beyond which the reply is
 * {@link Reply.Status#BUSY}; a watch is answered after {@value #WATCH_MS} ms whether something changed or not.
 */
public final class Voter implements Transport, StateMachine {
    private static final String GROUP = "marlford";
    private static final int CALLS_MAX = 4096;
    private static final int WATCHES_MAX = 4096;
    private static final double WATCH_MS = 5000;
    private static final long TICK_MS = 25; // sessions are looked at
    private static final long LOOK_MS = 300; // for operators, whom a disk that hangs keeps no longer
    private static final long HELLO_MS = 200;
    private static final double GONE_MS = 3000; // a voter that says nothing for this long may be replaced
    private static final double STALL_MS = 400; // a pause of this thread that is longer gives all sessions its time
    private static final double CHANGE_AGAIN_MS = 300;
    private static final int ELECTION_MS = 1500; // of the engine's milliseconds, EngineExecutor.FACTOR of ours
    private static final int HEARTBEAT_S = 1; // likewise: 200 ms
    private static final int SILENT_S = 5; // likewise: a leader that is silent for 1 s is no more
    private static final double DEAF_MS = 3000; // three times that: the engine should have noticed long before
    private static final int SNAPSHOT_LINES = 5000;
    private static final int PENDING_MAX = 5000;
    private static final int REPORT_S = 3600;
    private static final int FLOOR_SHIFT = 18; // tokens a millisecond of the fleet's founding

    /** What a voter is told. */
    public record Settings(String fleet, String name, Map<String, InetSocketAddress> voters, Path folder) {}

    private record Watch(Request.Watch ask, double until, Consumer<Reply> to) {}

    private final Settings settings;
    private final MonotonicClock time;
    private final EngineExecutor engine;
    private final EventLoopGroup network;
    private final Consumer<String> log;
    private final Map<String, ReconnectingChannel> links = new LinkedHashMap<>();
    private final FailureDetector failureDetector = new FailureDetector(STALL_MS);
    private final ProtocolVersions levels = new ProtocolVersions();
    private final VoterReplacement replacement = new VoterReplacement(GONE_MS);
    private final Board board = new Board();
    private final List<Watch> watches = new ArrayList<>();
    private final SecureRandom random = new SecureRandom();
    private SegmentStore store;
    private VoterId self;
    private Bootstrap bootstrap;
    private RaftNode node;
    private Channel listener;
    private LeaseStateMachine leases = new LeaseStateMachine(0);
    private int ledTerm;
    private int calls;
    private boolean changing;
    private double changeAt; // no change of members is tried before
    private boolean flooring;
    private RaftEndpoint followed; // the leader that the engine goes by
    private double followedAt; // when it was last heard, but for stalls of this thread
    private double tickedAt;
    private volatile String out; // why it takes no part
    private volatile boolean closed;

    public Voter(Settings settings, MonotonicClock time, EventLoopGroup network, Consumer<String> log) {
        this.settings = settings;
        this.time = time;
        this.network = network;
        this.log = log;
        this.engine = new EngineExecutor("marlford-voter", time);
    }

    /** Begins; a store that can't be trusted leaves it without a vote, and says so. */
    public void start() throws IOException, InterruptedException {
        Path orders = settings.folder().resolve("fault");
        boolean faults = Boolean.getBoolean("marlford.faults");
        try {
            store = new SegmentStore(settings.folder(), d -> faults ? new FaultyDisk(d, orders) : d, log);
            store.begin(random.nextLong());
            self = VoterId.of(settings.name(), store.identity().disk());
            bootstrap = new Bootstrap(hello(), settings.voters().keySet());
        } catch (IOException e) {
            goOut("its store can't be used: " + e.getMessage());
        }
        settings.voters().forEach((name, address) -> {
            if (!name.equals(settings.name())) {
                links.put(name, new ReconnectingChannel(network, address, this::frame));
            }
        });
        listener = FrameTransport.listen(network, settings.voters().get(settings.name()), this::frame);
        engine.thread().scheduleWithFixedDelay(guarded(this::tick), 0, TICK_MS, TimeUnit.MILLISECONDS);
        engine.thread().scheduleWithFixedDelay(guarded(this::greet), 0, HELLO_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends it at once. */
    public void close() {
        closed = true;
        links.values().forEach(ReconnectingChannel::close);
        if (listener != null) {
            listener.close();
        }
        engine.thread().shutdownNow();
    }

    /** What operators see of the fleet from here; from any thread. A thread that hangs says that it does. */
    public String text() {
        CompletableFuture<String> text = new CompletableFuture<>();
        engine.execute(guarded(() -> text.complete(look())));
        try {
            return text.get(LOOK_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        } catch (ExecutionException | TimeoutException e) {
            return "voter=" + settings.name() + " state=hangs, as its disk may\n";
        }
    }

    private Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                log.accept("fleet: defect: " + e);
                e.printStackTrace();
            }
        };
    }

    private void goOut(String why) {
        if (out == null) {
            out = why;
            log.accept("fleet: this voter takes no part any more: " + why);
            failureDetector.rest();
            if (node != null) {
                node.terminate();
            }
        }
    }

    // ---- the other voters

    private Hello hello() {
        return new Hello(settings.fleet(), self.id(), store.life(), store.initial(), replacement.lives());
    }

    private void greet() {
        if (out != null) {
            return;
        }
        try {
            byte[] bytes = Codec.bytes(hello());
            links.values().forEach(l -> l.send(FrameTransport.HELLO, bytes));
        } catch (IOException e) {
            log.accept("fleet: defect: " + e);
        }
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
                    .setConfig(RaftConfig.newBuilder()
                            .setLeaderElectionTimeoutMillis(ELECTION_MS)
                            .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                            .setLeaderHeartbeatTimeoutSecs(SILENT_S)
                            .setCommitCountToTakeSnapshot(SNAPSHOT_LINES)
                            .setMaxPendingLogEntryCount(PENDING_MAX)
                            .setRaftNodeReportPublishPeriodSecs(REPORT_S)
                            .build())
                    .setExecutor(engine)
                    .setTransport(this)
                    .setStateMachine(this)
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
            goOut("it can't begin: " + e);
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
                    engine.execute(guarded(() -> heard(h)));
                }
                case FrameTransport.ENGINE_MESSAGE -> {
                    RaftMessage m = Codec.raftMessage(Codec.agreed(body, Codec.EngineMessage.class), GROUP);
                    engine.execute(guarded(() -> {
                        if (node != null && out == null && !replacement.isOlderCopy(((VoterId) m.getSender()).id())) {
                            followedAt = m.getSender().equals(followed) ? time.ms() : followedAt;
                            node.handle(m);
                        }
                    }));
                }
                case FrameTransport.CALL -> {
                    RequestFrame c = Codec.read(body, RequestFrame.class);
                    engine.execute(guarded(() -> answer(c.ask(), r -> reply(from, c.id(), r))));
                }
                default -> from.close();
            }
        } catch (UnrecognizedPropertyException | InvalidTypeIdException e) {
            from.close();
            if (kind
                    == FrameTransport
                            .ENGINE_MESSAGE) { // passed over, this voter would have another state, which would not be
                // the others' any more
                engine.execute(
                        guarded(() -> goOut("the log has what only a newer version knows: " + e.getOriginalMessage())));
            }
        } catch (IOException | RuntimeException e) {
            from.close(); // noise
        }
    }

    private void heard(Hello h) {
        if (out != null || !h.fleet().equals(settings.fleet())) {
            return;
        }
        if (h.point().equals(self.id())) {
            goOut("another process runs on a copy of its disk");
            return;
        }
        if (h.seen().getOrDefault(self.id(), 0L) > store.life()) {
            goOut("its disk is an older copy: life " + store.life() + ", while " + h.point() + " has seen life "
                    + h.seen().get(self.id()));
            return;
        }
        bootstrap.heard(h);
        replacement.heard(h, time.ms());
        levels.heard(h);
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        ReconnectingChannel link = links.get(((VoterId) to).name());
        if (link == null || out != null) {
            return;
        }
        try {
            link.send(FrameTransport.ENGINE_MESSAGE, Codec.bytes(Codec.engineMessage(message)));
        } catch (IOException e) {
            log.accept("fleet: defect: " + e);
        }
    }

    @Override
    public boolean isReachable(RaftEndpoint to) {
        ReconnectingChannel link = links.get(((VoterId) to).name());
        return link != null && link.isOpen();
    }

    // ---- the state machine

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof Command c) {
            CommandResult a = leases.apply(index, c);
            tellWatches();
            return a;
        }
        if (operation instanceof Request.Renew r) {
            LeaseStateMachine.Session s = leases.session(r.session());
            if (s == null) {
                return new CommandResult(CommandResult.Kind.GONE, 0);
            }
            follow();
            return failureDetector.heard(r.session(), time.ms()) ? CommandResult.renewed(s) : null;
        }
        if (operation instanceof Request.Lookup l) {
            return leases.look(l.key(), l.digest());
        }
        return null; // a term begins
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> to) {
        to.accept(leases.snapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> pieces) {
        leases = LeaseStateMachine.of((LeaseStateMachine.Snapshot) pieces.get(0));
        tellWatches();
    }

    @Override
    public Object getNewTermOperation() {
        return Codec.TermBegins.HERE;
    }

    /** The lead as the engine has it now. */
    private void follow() {
        boolean leads = out == null
                && node != null
                && !RaftNodeStatus.isTerminal(node.getStatus())
                && self.equals(node.getTerm().getLeaderEndpoint());
        if (!leads) {
            failureDetector.rest();
        } else if (node.getTerm().getTerm() != ledTerm || !failureDetector.leads()) {
            ledTerm = node.getTerm().getTerm();
            failureDetector.lead(time.ms());
            board.begin(random.nextLong() >>> 1);
            changing = false;
            flooring = false;
            log.accept("fleet: " + self.id() + " leads, term " + ledTerm);
        }
    }

    private void tick() {
        if (out == null && store.failed() != null) {
            goOut(store.failed());
        }
        double now = time.ms();
        expireWatches(now);
        if (node == null || out != null) {
            return;
        }
        if (RaftNodeStatus.isTerminal(node.getStatus())) {
            goOut("the engine ended");
            return;
        }
        wake(now);
        if (node == null || out != null) {
            return;
        }
        follow();
        if (!failureDetector.leads()) {
            return;
        }
        if (!leases.isBegun()) {
            floor();
            return;
        }
        for (long session : failureDetector.due(now, leases.sessions())) {
            log.accept("fleet: session " + session + " is silent, its end is proposed");
            node.replicate(new Command.Close(session));
        }
        replace(now);
    }

    /**
     * Begins the engine anew, from its store as at a start, where it goes by a leader that has long been silent. An engine that asked
     * for votes of its own just before a leader of the same term was first heard keeps that question open for good, and asks
     * no other; where a majority needs this voter's log, nobody is elected from then on.
     */
    private void wake(double now) {
        double gap = now - tickedAt;
        tickedAt = now;
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        if (!Objects.equals(leader, followed)) {
            followed = leader;
            followedAt = now;
        } else if (gap > STALL_MS) {
            followedAt += gap; // what it said meanwhile stands unread
        }
        if (leader != null && !self.equals(leader) && now - followedAt > DEAF_MS) {
            log.accept("fleet: the engine does not notice that " + leader.getId() + " is silent, and begins anew");
            node.terminate();
            node = null;
            leases = new LeaseStateMachine(0);
            followed = null;
            begin(bootstrap.decide());
        }
    }

    /** A fleet that is founded anew after all disks were lost must not give out tokens that an older one did. */
    private void floor() {
        if (!flooring) {
            flooring = true;
            node.replicate(new Command.Floor(System.currentTimeMillis() << FLOOR_SHIFT));
        }
    }

    private void replace(double now) {
        RaftGroupMembers members = node.getCommittedMembers();
        if (changing || now < changeAt) {
            return;
        }
        VoterReplacement.Step step = replacement.next(
                Codec.ids(members.getVotingMembers()), Codec.ids(members.getMembers()), self.id(), now);
        if (step == null) {
            return;
        }
        changing = true;
        MembershipChangeMode mode = switch (step.kind()) {
            case REMOVE -> MembershipChangeMode.REMOVE_MEMBER;
            case LISTEN -> MembershipChangeMode.ADD_LEARNER;
            case VOTE -> MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
        };
        log.accept("fleet: " + step.kind() + ' ' + step.point());
        node.changeMembership(new VoterId(step.point()), mode, members.getLogIndex())
                .whenCompleteAsync(
                        (done, e) -> {
                            changing = false;
                            if (e != null) { // as before a line of this term is agreed
                                changeAt = time.ms() + CHANGE_AGAIN_MS;
                                log.accept("fleet: " + step.kind() + ' ' + step.point() + " did not come about: " + e);
                            }
                        },
                        engine.thread());
    }

    // ---- the members' calls

    private void reply(Channel to, long id, Reply r) {
        try {
            FrameTransport.send(to, FrameTransport.REPLY, Codec.bytes(new ReplyFrame(id, r)));
        } catch (IOException e) {
            log.accept("fleet: defect: " + e);
        }
    }

    private String leader() {
        RaftEndpoint l = node == null || out != null ? null : node.getTerm().getLeaderEndpoint();
        return l == null ? "" : ((VoterId) l).name();
    }

    /** Answers an ask, now or later, once; on this voter's thread. */
    private void answer(Request ask, Consumer<Reply> to) {
        if (out != null || node == null || calls >= CALLS_MAX || watches.size() >= WATCHES_MAX) {
            to.accept(Reply.no(Reply.Status.BUSY, leader()));
        } else if (ask instanceof Request.Watch w) {
            watches.add(new Watch(w, time.ms() + WATCH_MS, to));
            tellWatches();
        } else if (ask instanceof Request.Renew r) {
            BoardChanges news = r.telling() == null || !failureDetector.leads()
                    ? null
                    : board.hear(r.session(), r.telling(), token -> leases.holds(r.session(), token), time.ms());
            comes(
                    node.query(r, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()),
                    reply -> to.accept(reply.with(news)));
        } else if (ask instanceof Request.Lookup l) {
            comes(node.query(l, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()), to);
        } else if (!leases.isBegun()) {
            to.accept(Reply.no(Reply.Status.BUSY, leader()));
        } else {
            submit(((Request.Submit) ask).line(), to);
        }
    }

    private void submit(Command line, Consumer<Reply> to) {
        boolean known = line.level()
                <= levels.lowestCommon(Codec.ids(node.getCommittedMembers().getVotingMembers()), self.id());
        if (failureDetector.leads() && !known) {
            to.accept(new Reply(
                    Reply.Status.OK, leader(), new CommandResult(CommandResult.Kind.NOT_YET, 0), leases.index(), null));
        } else {
            comes(node.replicate(line), to);
        }
    }

    private <T> void comes(CompletableFuture<Ordered<T>> future, Consumer<Reply> to) {
        calls++;
        future.whenCompleteAsync(
                (done, e) -> {
                    calls--;
                    if (e == null && done.getResult() instanceof CommandResult a) {
                        to.accept(new Reply(Reply.Status.OK, leader(), a, done.getCommitIndex(), null));
                        return;
                    }
                    Throwable cause = e instanceof CompletionException ? e.getCause() : e;
                    Reply.Status why = cause == null || cause instanceof NotLeaderException
                            ? Reply.Status.NOT_LEADER
                            : cause instanceof CannotReplicateException ? Reply.Status.BUSY : Reply.Status.UNSURE;
                    to.accept(Reply.no(why, leader()));
                },
                engine.thread());
    }

    private void tellWatches() {
        for (Iterator<Watch> i = watches.iterator(); i.hasNext(); ) {
            Watch w = i.next();
            LeaseStateMachine.Session s = leases.session(w.ask().session());
            if (s != null && s.changed() > w.ask().since()) {
                i.remove();
                w.to().accept(seen(w.ask()));
            }
        }
    }

    private void expireWatches(double now) {
        for (Iterator<Watch> i = watches.iterator(); i.hasNext(); ) {
            Watch w = i.next();
            if (now > w.until() || out != null) {
                i.remove();
                w.to().accept(seen(w.ask()));
            }
        }
    }

    private Reply seen(Request.Watch w) {
        boolean there = out == null && leases.session(w.session()) != null;
        return new Reply(Reply.Status.OK, leader(), null, leases.index(), there ? leases.holdings(w.session()) : null);
    }

    // ---- what operators see

    private String look() {
        StringBuilder s = new StringBuilder();
        s.append("voter=")
                .append(self == null ? settings.name() : self.id())
                .append(" state=")
                .append(out != null ? "out (" + out + ')' : node == null ? "waiting for the other voters" : "votes")
                .append('\n');
        if (node != null && out == null) {
            Collection<String> voting = Codec.ids(node.getCommittedMembers().getVotingMembers());
            s.append("leader=")
                    .append(leader())
                    .append(" term=")
                    .append(node.getTerm().getTerm())
                    .append(" index=")
                    .append(leases.index())
                    .append('\n');
            double now = time.ms();
            voting.forEach(p -> s.append("member=")
                    .append(p)
                    .append(" heard=")
                    .append(p.equals(self.id()) || replacement.isThere(p, now))
                    .append('\n'));
            Codec.ids(node.getCommittedMembers().getMembers()).stream()
                    .filter(p -> !voting.contains(p))
                    .forEach(p -> s.append("listener=").append(p).append('\n'));
        }
        LeaseStateMachine.Snapshot snapshot = leases.snapshot();
        snapshot.sessions()
                .forEach(m -> s.append("session=")
                        .append(m.id())
                        .append(" member=")
                        .append(m.member())
                        .append(" ttl_ms=")
                        .append(m.ttlMs())
                        .append('\n'));
        for (LeaseStateMachine.Lease l : snapshot.leases()) {
            l.holders()
                    .forEach((session, token) -> s.append("lease=")
                            .append(l.name())
                            .append(" holder=")
                            .append(leases.session(session).member())
                            .append(" token=")
                            .append(token)
                            .append(" waiting=")
                            .append(l.queue().size())
                            .append('\n'));
        }
        for (LeaseStateMachine.Pool p : snapshot.pools()) {
            s.append("pool=")
                    .append(p.name())
                    .append(" shards=")
                    .append(p.owners().size())
                    .append(" members=")
                    .append(p.members().size())
                    .append(" moving=")
                    .append(p.next().stream().filter(n -> n != 0).count())
                    .append('\n');
        }
        if (failureDetector.leads()) {
            s.append(board.text()).append('\n');
        }
        s.append(leases.workText());
        snapshot.ticks()
                .forEach((task, tick) -> s.append("task=")
                        .append(task)
                        .append(" tick=")
                        .append(tick)
                        .append('\n'));
        return s.toString();
    }
}
