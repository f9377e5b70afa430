package marlford.lease;

import java.util.List;

/**
 * A voter's reply to an {@link Ask}.
 *
 * @param leader who leads as far as the voter knows; empty where it knows nobody
 * @param answer what came of a line; of a renewal {@code DONE} or {@code GONE}; null where none is due
 * @param index the line that the voter had applied last
 * @param holdings of a watched session; null for other asks, and where the session has ended
 */
public record Reply(Status status, String leader, Answer answer, long index, List<Book.Holding> holdings) {
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
