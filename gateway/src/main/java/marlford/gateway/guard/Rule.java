package marlford.gateway.guard;

/** What is never to happen. The names stand in the log, in lower case. */
public enum Rule {
    /** A client that had stopped was left without an end for longer than it is owed. */
    CLIENT_LEFT_OPEN,
    /** A connection was closed on a request that had come whole, by this gateway's choice. */
    CLOSED_UNANSWERED,
    /** A final answer was given more than half a second after its time. */
    ANSWERED_LATE,
    /** An attempt left for a request that was answered. */
    SENT_AFTER_ANSWER,
    /** An attempt left after its client's time. */
    SENT_AFTER_DEADLINE,
    /** An attempt left more than 0.1 s after its client was seen to leave. */
    SENT_FOR_LEFT_CLIENT,
    /** An attempt left for a host after the grace that it had since it was told to be draining or gone. */
    SENT_TO_DRAINING,
    /** A request that may have run, and is not to run twice, was to be sent again. */
    REPEATED_UNSAFE,
    /** A keyed request that may have run was to go to a host that does not drop its repeat, or no longer does. */
    REPEATED_ELSEWHERE,
    /** A second copy was to go out where settings allow none. */
    SECOND_COPY,
    /** Clients were let in by a process that was told to end. */
    LISTENED_WHILE_ENDING
}
