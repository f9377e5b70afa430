package marlford.gateway.guard;

/**
 * When discovery last confirmed the list of hosts, by a list, by changes or by word that there are none. Discovery tells of a change late, so a
 * confirmed list covers changes up to some seconds before. A list that has not been confirmed for longer than that covers nothing newer: its
 * agent may have fallen silent, and the changes that it does not pass on count as told.
 *
 * <p>Shared by all that judge connections by the list. No clock and no I/O. Times are milliseconds on the caller's clock.
 */
public final class ListConfirmation {
    /** The time by which discovery has told of a change at the latest, and a margin for the event loop. */
    public static final double TOLD_WITHIN_MS = 6500;
    /** The time from which on a change counts as told, whether or not it was. */
    private static final double COUNTS_AS_TOLD_MS = 6000;

    /** The same after a change of the agent, for what the new one has. */
    private static final double COUNTS_AS_TOLD_BY_NEW_AGENT_MS = 4000;

    private double atMs = Double.NEGATIVE_INFINITY;
    private double currentUntilMs = Double.NEGATIVE_INFINITY;

    /** Records that discovery has confirmed the list. */
    void record(double confirmedAtMs) {
        if (confirmedAtMs > atMs) {
            atMs = confirmedAtMs;
            currentUntilMs = confirmedAtMs + COUNTS_AS_TOLD_MS;
        }
    }

    /** Records that another agent is called from now on, which may know of changes that the one before has not heard of. */
    void recordAgentChange(double now) {
        currentUntilMs = Math.min(currentUntilMs, now + COUNTS_AS_TOLD_BY_NEW_AGENT_MS);
    }

    /** Returns the earliest time of a change that the list does not cover. */
    double coversUntilMs() {
        return atMs - TOLD_WITHIN_MS;
    }

    /** Whether the list covers all changes up to a time. */
    boolean covers(double ms) {
        return ms < coversUntilMs();
    }

    /** Whether no change that the list does not cover can count as told by now. */
    boolean isCurrent(double now) {
        return now <= currentUntilMs;
    }
}
