package marlford.lease;

import java.util.List;
import marlford.board.BoardChanges;

/**
 * The reply of a voter to a {@link Request}.
 *
 * @param leader the current leader as far as the voter knows; empty if it knows none
 * @param answer the result of a command; for a renewal {@code DONE} or {@code GONE}; null if the request has no
 *     result
 * @param index the log index that the voter has applied last
 * @param holdings of a watched session; null for other requests, and if the session has ended
 * @param notice what has changed on the leader's board; null if the request did not ask for it
 */
public record Reply(
        Status status,
        String leader,
        CommandResult answer,
        long index,
        List<LeaseStateMachine.Holding> holdings,
        BoardChanges notice) {
    /** A reply without changes of the board. */
    public Reply(
            Status status, String leader, CommandResult answer, long index, List<LeaseStateMachine.Holding> holdings) {
        this(status, leader, answer, index, holdings, null);
    }

    /** This reply with changes of the board. */
    public Reply with(BoardChanges news) {
        return new Reply(status, leader, answer, index, holdings, news);
    }

    /** The outcome of a request. */
    public enum Status {
        /** It was answered. */
        OK,
        /** This voter is not the leader. Nothing was changed. */
        NOT_LEADER,
        /** The voter is overloaded or not ready. Nothing was changed. */
        BUSY,
        /** The outcome is unknown: the request may be sent again, as commands are idempotent. */
        UNSURE
    }

    /** A reply without a result. */
    public static Reply no(Status why, String leader) {
        return new Reply(why, leader, null, 0, null);
    }
}
