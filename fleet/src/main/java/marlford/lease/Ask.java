package marlford.lease;

/** What a member asks of a voter. */
public sealed interface Ask {
    /** A line for the agreed log; only the leader takes it. */
    record Submit(Command line) implements Ask { }

    /** That a session goes on; only the leader answers, once a majority has confirmed that it leads. */
    record Renew(long session) implements Ask { }

    /** What a session has, once that is of a later index than this one; any voter answers. */
    record Watch(long session, long since) implements Ask { }
}
