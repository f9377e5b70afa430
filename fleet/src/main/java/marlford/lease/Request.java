package marlford.lease;

import marlford.board.BoardUpdate;

/** A request of a member to a voter. Every request may be lost, delayed or duplicated without harm. */
public sealed interface Request {
    /** Proposes a command; only the leader accepts it. */
    record Submit(Command line) implements Request {}

    /**
     * Renews a session; only the leader answers, once a majority has confirmed its leadership.
     *
     * @param telling an update of the leader's board; null from a member that does not use it
     */
    record Renew(long session, BoardUpdate telling) implements Request {
        Renew(long session) {
            this(session, null);
        }
    }

    /** Looks up a keyed request; only the leader answers. */
    record Lookup(String key, String digest) implements Request {}

    /** Long poll for a session's holdings, answered once they have changed after this index; any voter answers. */
    record Watch(long session, long since) implements Request {}
}
