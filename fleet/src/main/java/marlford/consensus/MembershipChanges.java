package marlford.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftNode;
import io.microraft.report.RaftGroupMembers;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import marlford.membership.VoterReplacement;

/**
 * Carries out the leader's membership changes, one at a time. A change that fails, as before an entry of the term is
 * committed, is tried again after {@value #RETRY_MS} ms. On the voter's thread only.
 */
final class MembershipChanges {
    private static final double RETRY_MS = 300;

    private final VoterReplacement replacement;
    private final DoubleSupplier clock;
    private final Executor thread;
    private final Consumer<String> log;
    private boolean pending;
    private double retryAt;

    /** @param thread the voter's */
    MembershipChanges(VoterReplacement replacement, DoubleSupplier clock, Executor thread, Consumer<String> log) {
        this.replacement = replacement;
        this.clock = clock;
        this.thread = thread;
        this.log = log;
    }

    /** A term of this leader begins; a change of an earlier term is no longer waited for. */
    void beginTerm() {
        pending = false;
    }

    /** Proposes the next change, if one is due. */
    void propose(RaftNode node, VoterId self, double now) {
        RaftGroupMembers members = node.getCommittedMembers();
        if (pending || now < retryAt) {
            return;
        }
        VoterReplacement.Step step = replacement.next(
                Codec.ids(members.getVotingMembers()), Codec.ids(members.getMembers()), self.id(), now);
        if (step == null) {
            return;
        }
        pending = true;
        log.accept("fleet: " + step.kind() + ' ' + step.point());
        node.changeMembership(new VoterId(step.point()), mode(step.kind()), members.getLogIndex())
                .whenCompleteAsync((done, e) -> completed(step, e), thread);
    }

    private static MembershipChangeMode mode(VoterReplacement.Kind kind) {
        return switch (kind) {
            case REMOVE -> MembershipChangeMode.REMOVE_MEMBER;
            case LISTEN -> MembershipChangeMode.ADD_LEARNER;
            case VOTE -> MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
        };
    }

    private void completed(VoterReplacement.Step step, Throwable failure) {
        pending = false;
        if (failure != null) {
            retryAt = clock.getAsDouble() + RETRY_MS;
            log.accept("fleet: " + step.kind() + ' ' + step.point() + " did not come about: " + failure);
        }
    }
}
