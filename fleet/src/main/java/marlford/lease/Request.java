package marlford.lease;

import marlford.board.BoardUpdate;

/** What a member asks of a voter. */
public sealed interface Request {
    /** A line for the agreed log; only the leader takes it. */
    record Submit(Command line) implements Request {}

    /**
     * That a session goes on; only the leader answers, once a majority has confirmed that it leads.
     *
     * @param telling what goes to the leader's board with it; null from a member that does not read it
     */
    record Renew(long session, BoardUpdate telling) implements Request {
        Renew(long session) {
            this(session, null);
        }
    }

    /** What the register of work has of an order, as it stands; only the leader answers. */
    record Lookup(String key, String digest) implements Request {}

    /** What a session has, once that is of a later index than this one; any voter answers. */
    record Watch(long session, long since) implements Request {}
}
