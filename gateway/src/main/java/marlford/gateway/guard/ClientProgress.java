package marlford.gateway.guard;

/**
 * Decides whether a client has stalled. At any time a connection waits either for its client or for this gateway; while it waits
 * for the client a time limit applies, whatever else happens. A client that may have stopped within a request is ended within
 * {@link #STALLED_CLIENT_LIMIT_MS}: the limits are below that by the time that the periodic check of connections and a delayed event
 * loop may add. A client that has sent its requests whole and reads the answers slowly has the limits of {@link TransferProgress}.
 *
 * <p>Pure: no clock and no I/O. Times are milliseconds on the caller's clock.
 */
public final class ClientProgress {
    /** A client that has stalled within a request gets an error or a close within this time. */
    public static final double STALLED_CLIENT_LIMIT_MS = 3000;

    private static final double FIRST_REQUEST_TIMEOUT_MS = 2000; // from the connection's start
    private static final double HEAD_TIMEOUT_MS = 2500; // from its first byte: the 2000 that a client may take, and a margin
    private static final double BODY_PAUSE_TIMEOUT_MS = 2500; // between two parts of a body
    private static final double RESUMED_READ_TIMEOUT_MS = 1000; // for the next part, once reading has resumed after a pause
    /**
     * Time without progress that is counted for a client when this gateway reads its body again after a pause. Of the limit
     * for a pause it leaves {@link #RESUMED_READ_TIMEOUT_MS}.
     */
    public static final double CHARGED_WAIT_MS = BODY_PAUSE_TIMEOUT_MS - RESUMED_READ_TIMEOUT_MS;
    private static final double BODY_RATE_GRACE_MS = 3500; // from the request's start, before its mean rate is checked
    private static final double MIN_BODY_BYTES_PER_MS = 16; // mean rate
    private static final double UNREAD_OUTPUT_TIMEOUT_MS = 2500; // of a client that may have stalled within a request as well

    private ClientProgress() { }

    /** The part of a request that is being received. */
    public enum Part { NONE, HEAD, BODY }

    /**
     * What has been received of a client's input.
     *
     * @param part the unfinished part
     * @param sinceMs when the first byte of the unfinished request was received
     * @param readMs when something of it was last received
     * @param unreadMs the longest time that the input read last may have waited in its socket before it was read
     * @param bodyBytes bytes of its body received so far
     * @param drained whether everything that has reached this machine was read, so that the client has not sent what is missing
     */
    public record Input(Part part, double sinceMs, double readMs, double unreadMs, long bodyBytes, boolean drained) { }

    /**
     * What a connection waits for.
     *
     * @param openedMs when the connection was opened
     * @param hadRequest whether a whole request was received on it before
     * @param input what has been received of the client's input
     * @param queued whether whole requests or unread input are queued behind the one being answered
     * @param answerDue whether a request has been received whole and its answer is pending
     * @param finished whether the last answer was given
     * @param output the progress of its answers
     */
    public record Connection(double openedMs, boolean hadRequest, Input input, boolean queued, boolean answerDue, boolean finished,
            TransferProgress output) {
        /** Whether the client has sent a request in part, or may have, as input waits unread. */
        public boolean mayBeWithinRequest() {
            return !finished && (input.part() != Part.NONE || !input.drained());
        }
    }

    /** Where a client has stalled: not at all, before its first request, while sending a request, or while reading answers. */
    public enum Stall { NO, BEFORE_FIRST_REQUEST, IN_REQUEST, READING }

    /** Whether the client has been stalled for longer than the limit, and where. */
    public static Stall findStall(double now, Connection c) {
        boolean overdue = c.mayBeWithinRequest() && c.output().idleMs(now) > UNREAD_OUTPUT_TIMEOUT_MS;
        if (overdue || c.output().isStalled(now)) {
            return Stall.READING;
        }
        if (c.finished() || c.answerDue() || c.queued() || !c.input().drained()) {
            return Stall.NO;
        }
        if (c.input().part() == Part.NONE) {
            return !c.hadRequest() && now - c.openedMs() > FIRST_REQUEST_TIMEOUT_MS ? Stall.BEFORE_FIRST_REQUEST : Stall.NO;
        }
        return isLate(now, c.input()) ? Stall.IN_REQUEST : Stall.NO;
    }

    private static boolean isLate(double now, Input input) {
        double sinceStart = now - input.sinceMs();
        if (input.part() == Part.HEAD) {
            return sinceStart > HEAD_TIMEOUT_MS;
        }
        double pause = now - input.readMs();
        boolean lateIncludingUnread = pause > RESUMED_READ_TIMEOUT_MS && pause + input.unreadMs() > BODY_PAUSE_TIMEOUT_MS;
        return pause > BODY_PAUSE_TIMEOUT_MS || lateIncludingUnread
                || sinceStart > BODY_RATE_GRACE_MS + input.bodyBytes() / MIN_BODY_BYTES_PER_MS;
    }

    /**
     * How long a stalled client has made no progress, in milliseconds. It should be below
     * {@link #STALLED_CLIENT_LIMIT_MS}, unless the client has sent its requests whole.
     */
    public static double stalledMs(double now, Stall how, Connection c) {
        if (how == Stall.READING) {
            return c.output().idleMs(now);
        }
        if (how == Stall.BEFORE_FIRST_REQUEST) {
            return now - c.openedMs();
        }
        Input input = c.input();
        return how == Stall.NO ? 0 : now - (input.part() == Part.HEAD ? input.sinceMs() : input.readMs());
    }
}
