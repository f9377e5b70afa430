package marlford.gateway.guard;

/** Invariants that the gateway must never break; each constant names a breach. The activity line has the names in lower case. */
public enum Rule {
    /** A stalled client was left without an error or a close for longer than the limit. */
    CLIENT_LEFT_OPEN,
    /** This gateway chose to close a connection with an unanswered request that had been received whole. */
    CLOSED_UNANSWERED,
    /** A final answer was sent more than half a second after its deadline. */
    ANSWERED_LATE,
    /** An attempt was sent for a request that was already answered. */
    SENT_AFTER_ANSWER,
    /** An attempt was sent after its client's deadline. */
    SENT_AFTER_DEADLINE,
    /** An attempt was sent more than 0.1 s after its client was seen to disconnect. */
    SENT_FOR_LEFT_CLIENT,
    /** An attempt was sent to a host after its drain grace, which begins when the host is reported as draining or gone. */
    SENT_TO_DRAINING,
    /** A request that may have run, and must not run twice, was about to be sent again. */
    REPEATED_UNSAFE,
    /** A keyed request that may have run was about to be sent to a host that does not, or no longer, drop its repeat. */
    REPEATED_ELSEWHERE,
    /** A second copy was about to be sent although the settings allow none. */
    SECOND_COPY,
    /** A process opened its listener for clients although its shutdown had begun before. */
    LISTENED_WHILE_ENDING
}
