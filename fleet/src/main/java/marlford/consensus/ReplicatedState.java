package marlford.consensus;

import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import marlford.lease.Command;
import marlford.lease.CommandResult;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Request;

/**
 * Connects the lease state machine to the Raft engine: applies committed commands, answers linearizable reads, writes and
 * installs snapshots. Called on the voter's thread only.
 */
final class ReplicatedState implements StateMachine {
    private final Runnable onChange;
    private final LongPredicate heartbeat;
    private LeaseStateMachine machine = new LeaseStateMachine(0);

    /**
     * @param onChange called after each command and after the installation of a snapshot
     * @param heartbeat records the renewal of a session, and returns whether the session goes on
     */
    ReplicatedState(Runnable onChange, LongPredicate heartbeat) {
        this.onChange = onChange;
        this.heartbeat = heartbeat;
    }

    LeaseStateMachine machine() {
        return machine;
    }

    /** Forgets everything, before the engine restarts from its store. */
    void reset() {
        machine = new LeaseStateMachine(0);
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof Command command) {
            CommandResult result = machine.apply(index, command);
            onChange.run();
            return result;
        }
        if (operation instanceof Request.Renew renewal) {
            return renew(renewal.session());
        }
        if (operation instanceof Request.Lookup lookup) {
            return machine.look(lookup.key(), lookup.digest());
        }
        return null; // the first entry of a term
    }

    private CommandResult renew(long id) {
        LeaseStateMachine.Session session = machine.session(id);
        if (session == null) {
            return new CommandResult(CommandResult.Kind.GONE, 0);
        }
        return heartbeat.test(id) ? CommandResult.renewed(session) : null;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> to) {
        to.accept(machine.snapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        machine = LeaseStateMachine.of((LeaseStateMachine.Snapshot) chunks.get(0));
        onChange.run();
    }

    @Override
    public Object getNewTermOperation() {
        return Codec.TermBegins.HERE;
    }
}
