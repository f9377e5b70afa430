package marlford.consensus;

import io.microraft.RaftEndpoint;
import java.util.Objects;

/**
 * Detects that the Raft engine follows a leader that has long been silent. An engine that was requesting pre-votes just as a
 * leader of the same term was first heard keeps its pre-candidate state and starts no election any more (MicroRaft 0.7); if a
 * majority needs this voter's log, nobody is elected from then on. The remedy is to restart the engine from its store.
 *
 * <p>Pauses of the own thread do not count, as messages of the leader may be unread. Times in milliseconds of one monotonic
 * clock. Not thread-safe.
 */
final class LeaderWatchdog {
    private final double silenceMs;
    private final double stallMs;
    private RaftEndpoint followed;
    private double heardAt; // when the followed leader was last heard
    private double checkedAt;

    /**
     * @param silenceMs silence of a leader after which the engine should long have noticed
     * @param stallMs a pause between two checks that is longer is a pause of the own thread
     */
    LeaderWatchdog(double silenceMs, double stallMs) {
        this.silenceMs = silenceMs;
        this.stallMs = stallMs;
    }

    /** Records a message of the engine of another voter. */
    void heard(RaftEndpoint sender, double now) {
        if (sender.equals(followed)) {
            heardAt = now;
        }
    }

    /**
     * Whether the engine follows a silent leader. To be called regularly.
     *
     * @param leader the leader by the engine's own account; null for none
     */
    boolean isStuck(RaftEndpoint leader, RaftEndpoint self, double now) {
        double gap = now - checkedAt;
        checkedAt = now;
        if (!Objects.equals(leader, followed)) {
            followed = leader;
            heardAt = now;
        } else if (gap > stallMs) {
            heardAt += gap;
        }
        return leader != null && !self.equals(leader) && now - heardAt > silenceMs;
    }

    /** The engine was restarted. */
    void reset() {
        followed = null;
    }
}
