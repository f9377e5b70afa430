package marlford.consensus;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import marlford.board.Board;
import marlford.board.BoardChanges;
import marlford.lease.Command;
import marlford.lease.CommandResult;
import marlford.lease.FailureDetector;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Reply;
import marlford.lease.Request;
import marlford.membership.ProtocolVersions;

/**
 * Answers the requests of members, each exactly once, at once or later. On the voter's thread only.
 *
 * <p>Limits: {@value #CALLS_MAX} requests and {@value #WATCHES_MAX} watches at once, beyond which the reply is
 * {@link Reply.Status#BUSY}. A watch is answered after {@value #WATCH_MS} ms even if nothing has changed.
 */
final class RequestHandler {
    private static final int CALLS_MAX = 4096;
    private static final int WATCHES_MAX = 4096;
    private static final double WATCH_MS = 5000;

    private final Supplier<RaftNode> engine;
    private final Supplier<LeaseStateMachine> machine;
    private final FailureDetector failureDetector;
    private final ProtocolVersions versions;
    private final Board board;
    private final DoubleSupplier clock;
    private final Executor thread;
    private final Watches watches = new Watches(this::holdings);
    private int calls;

    /**
     * @param engine gives the engine; null while this voter takes no part
     * @param machine gives the state as applied so far
     * @param clock in milliseconds, monotonic
     * @param thread the voter's
     */
    RequestHandler(
            Supplier<RaftNode> engine,
            Supplier<LeaseStateMachine> machine,
            FailureDetector failureDetector,
            ProtocolVersions versions,
            Board board,
            DoubleSupplier clock,
            Executor thread) {
        this.engine = engine;
        this.machine = machine;
        this.failureDetector = failureDetector;
        this.versions = versions;
        this.board = board;
        this.clock = clock;
        this.thread = thread;
    }

    /** The name of the leader; empty if none is known. */
    String leader() {
        RaftNode node = engine.get();
        RaftEndpoint leader = node == null ? null : node.getTerm().getLeaderEndpoint();
        return leader == null ? "" : ((VoterId) leader).name();
    }

    /** The state has changed. */
    void stateChanged() {
        watches.answerChanged(machine.get());
    }

    /**
     * To be called regularly.
     *
     * @param stopped whether this voter takes no part any more
     */
    void tick(double now, boolean stopped) {
        watches.answerExpired(now, stopped);
    }

    /** Answers a request, now or later. */
    void handle(Request request, Consumer<Reply> to) {
        RaftNode node = engine.get();
        if (node == null || calls >= CALLS_MAX || watches.size() >= WATCHES_MAX) {
            to.accept(Reply.no(Reply.Status.BUSY, leader()));
        } else if (request instanceof Request.Watch watch) {
            watches.add(watch, clock.getAsDouble() + WATCH_MS, to);
            stateChanged();
        } else if (request instanceof Request.Renew renewal) {
            BoardChanges changes = update(renewal);
            query(node, renewal, reply -> to.accept(reply.with(changes)));
        } else if (request instanceof Request.Lookup lookup) {
            query(node, lookup, to);
        } else if (!machine.get().isBegun()) {
            to.accept(Reply.no(Reply.Status.BUSY, leader()));
        } else {
            propose(node, ((Request.Submit) request).line(), to);
        }
    }

    /** Takes what a renewal carries for the board; null if there is nothing or this voter keeps no board. */
    private BoardChanges update(Request.Renew renewal) {
        if (renewal.telling() == null || !failureDetector.leads()) {
            return null;
        }
        return board.hear(
                renewal.session(),
                renewal.telling(),
                token -> machine.get().holds(renewal.session(), token),
                clock.getAsDouble());
    }

    private void query(RaftNode node, Request request, Consumer<Reply> to) {
        answerWith(node.query(request, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()), to);
    }

    private void propose(RaftNode node, Command command, Consumer<Reply> to) {
        String self = ((VoterId) node.getLocalEndpoint()).id();
        int supported =
                versions.lowestCommon(Codec.ids(node.getCommittedMembers().getVotingMembers()), self);
        if (failureDetector.leads() && command.level() > supported) {
            CommandResult notYet = new CommandResult(CommandResult.Kind.NOT_YET, 0);
            to.accept(new Reply(Reply.Status.OK, leader(), notYet, machine.get().index(), null));
        } else {
            answerWith(node.replicate(command), to);
        }
    }

    private <T> void answerWith(CompletableFuture<Ordered<T>> future, Consumer<Reply> to) {
        calls++;
        future.whenCompleteAsync(
                (done, failure) -> {
                    calls--;
                    to.accept(
                            failure == null && done.getResult() instanceof CommandResult result
                                    ? new Reply(Reply.Status.OK, leader(), result, done.getCommitIndex(), null)
                                    : Reply.no(status(failure), leader()));
                },
                thread);
    }

    /** @param failure null where this voter stopped leading while it answered */
    private static Reply.Status status(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause == null || cause instanceof NotLeaderException) {
            return Reply.Status.NOT_LEADER;
        }
        return cause instanceof CannotReplicateException ? Reply.Status.BUSY : Reply.Status.UNSURE;
    }

    private Reply holdings(Request.Watch watch) {
        LeaseStateMachine state = machine.get();
        boolean known = engine.get() != null && state.session(watch.session()) != null;
        return new Reply(
                Reply.Status.OK, leader(), null, state.index(), known ? state.holdings(watch.session()) : null);
    }
}
