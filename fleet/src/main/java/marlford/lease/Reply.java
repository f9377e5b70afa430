package marlford.lease;

import java.util.List;
import marlford.board.BoardChanges;

/**
 * A voter's reply to an {@link Request}.
 *
 * @param leader who leads as far as the voter knows; empty where it knows nobody
 * @param answer what came of a line; of a renewal {@code DONE} or {@code GONE}; null where none is due
 * @param index the line that the voter had applied last
 * @param holdings of a watched session; null for other asks, and where the session has ended
 * @param notice what is new on the leader's board; null where that was not asked for
 */
public record Reply(
        Status status,
        String leader,
        CommandResult answer,
        long index,
        List<LeaseStateMachine.Holding> holdings,
        BoardChanges notice) {
    /** One that carries no notice. */
    public Reply(
            Status status, String leader, CommandResult answer, long index, List<LeaseStateMachine.Holding> holdings) {
        this(status, leader, answer, index, holdings, null);
    }

    /** The same with this notice. */
    public Reply with(BoardChanges news) {
        return new Reply(status, leader, answer, index, holdings, news);
    }

    /** How far an ask came. */
    public enum Status {
        /** It was answered. */
        OK,
        /** Somebody else leads, or nobody. Nothing was changed. */
        NOT_LEADER,
        /** The voter has too much to do, or takes no part for now. Nothing was changed. */
        BUSY,
        /** It may be agreed or not: to be asked again, which changes nothing if it was. */
        UNSURE
    }

    /** One that carries no answer. */
    public static Reply no(Status why, String leader) {
        return new Reply(why, leader, null, 0, null);
    }
}
