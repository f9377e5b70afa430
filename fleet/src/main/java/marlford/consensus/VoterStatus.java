package marlford.consensus;

import io.microraft.RaftNode;
import java.util.Collection;
import marlford.board.Board;
import marlford.lease.LeaseStateMachine;
import marlford.membership.VoterReplacement;

/** Writes the voter's part of the operators' page, one {@code name=value ...} line for each thing (docs/operators/fleet.md). */
final class VoterStatus {
    private final StringBuilder page = new StringBuilder();

    /** The voter itself. */
    void addVoter(String id, String state) {
        page.append("voter=").append(id).append(" state=").append(state).append('\n');
    }

    /** The group of voters, by the engine. */
    void addGroup(RaftNode node, String leader, long index, String self, VoterReplacement replacement, double now) {
        page.append("leader=")
                .append(leader)
                .append(" term=")
                .append(node.getTerm().getTerm())
                .append(" index=")
                .append(index)
                .append('\n');
        Collection<String> voting = Codec.ids(node.getCommittedMembers().getVotingMembers());
        voting.forEach(id -> page.append("member=")
                .append(id)
                .append(" heard=")
                .append(id.equals(self) || replacement.isThere(id, now))
                .append('\n'));
        Codec.ids(node.getCommittedMembers().getMembers()).stream()
                .filter(id -> !voting.contains(id))
                .forEach(id -> page.append("listener=").append(id).append('\n'));
    }

    /** Sessions, leases and pools. */
    void addLeases(LeaseStateMachine.Snapshot state, LeaseStateMachine machine) {
        state.sessions()
                .forEach(s -> page.append("session=")
                        .append(s.id())
                        .append(" member=")
                        .append(s.member())
                        .append(" ttl_ms=")
                        .append(s.ttlMs())
                        .append('\n'));
        for (LeaseStateMachine.Lease lease : state.leases()) {
            lease.holders()
                    .forEach((session, token) -> page.append("lease=")
                            .append(lease.name())
                            .append(" holder=")
                            .append(machine.session(session).member())
                            .append(" token=")
                            .append(token)
                            .append(" waiting=")
                            .append(lease.queue().size())
                            .append('\n'));
        }
        for (LeaseStateMachine.Pool pool : state.pools()) {
            page.append("pool=")
                    .append(pool.name())
                    .append(" shards=")
                    .append(pool.owners().size())
                    .append(" members=")
                    .append(pool.members().size())
                    .append(" moving=")
                    .append(pool.next().stream().filter(n -> n != 0).count())
                    .append('\n');
        }
    }

    /** The leader's board. */
    void addBoard(Board board) {
        page.append(board.text()).append('\n');
    }

    /** The request register and periodic tasks. */
    void addWork(LeaseStateMachine.Snapshot state, LeaseStateMachine machine) {
        page.append(machine.workText());
        state.ticks()
                .forEach((task, tick) -> page.append("task=")
                        .append(task)
                        .append(" tick=")
                        .append(tick)
                        .append('\n'));
    }

    @Override
    public String toString() {
        return page.toString();
    }
}
