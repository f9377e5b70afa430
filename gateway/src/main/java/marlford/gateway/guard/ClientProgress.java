package marlford.gateway.guard;

/**
 * Judges whether a client has stopped: at any time its connection waits either for the client or for this gateway, and where it
 * waits for the client a limit runs, whatever else goes on. All limits lie below {@link #OWED_MS} by what the look at connections
 * and a late loop take.
 *
 * <p>Pure: no clock and no I/O. Times are milliseconds on the caller's clock.
 */
public final class ClientProgress {
    /** A client that stops gets an error or a close within this time. */
    public static final double OWED_MS = 3000;

    private static final double FIRST_REQUEST_MS = 2000; // from the connection's start
    private static final double HEAD_MS = 2500; // from its first byte; a client may take 2000
    private static final double BODY_PAUSE_MS = 2500; // between two pieces of a body
    private static final double RESUMED_MS = 1000; // for the next piece, once reading has gone on after a pause
    /** A client that waited for this gateway counts as having waited for so long, which leaves it {@link #RESUMED_MS}. */
    public static final double WAITED_MS = BODY_PAUSE_MS - RESUMED_MS;
    private static final double BODY_GRACE_MS = 3500; // of a request, before its mean speed counts
    private static final double BODY_BYTES_PER_MS = 16; // on the mean
    private static final double OUTPUT_MS = 2500; // answers not taken, with more of the client's input behind them
    private static final double LONG_OUTPUT_MS = 5000; // one answer not taken, and nothing behind it

    private ClientProgress() { }

    /** The part of a request that is coming. */
    public enum Part { NONE, HEAD, BODY }

    /**
     * What has come of a client's input.
     *
     * @param part that is unfinished
     * @param sinceMs when the unfinished request began to come
     * @param readMs when something of it last came
     * @param unseenMs for how long that may have stood unread in its socket before
     * @param bodyBytes of it that came
     * @param drained all that has reached this machine was read: what is missing the client has not sent
     */
    public record Input(Part part, double sinceMs, double readMs, double unseenMs, long bodyBytes, boolean drained) { }

    /**
     * What a connection waits for.
     *
     * @param openedMs when the connection was made
     * @param used a request came on it before
     * @param input of the client
     * @param queued whole requests, or unread input, stand behind what is being answered
     * @param answerDue this gateway owes the answer to a request that has come whole
     * @param ended the last answer was given
     * @param unsent output has not left this process
     * @param outputMs when output last left, or began to wait
     */
    public record Connection(double openedMs, boolean used, Input input, boolean queued, boolean answerDue, boolean ended,
            boolean unsent, double outputMs) { }

    /** What a client has not done in its time. */
    public enum Stopped { NO, BEFORE_FIRST_REQUEST, IN_REQUEST, READING }

    /** Whether the client has stopped for longer than it may. */
    public static Stopped judge(double now, Connection c) {
        if (c.unsent() && now - c.outputMs() > outputLimit(c)) {
            return Stopped.READING;
        }
        if (c.ended() || c.answerDue() || c.queued() || !c.input().drained()) {
            return Stopped.NO;
        }
        if (c.input().part() == Part.NONE) {
            return !c.used() && now - c.openedMs() > FIRST_REQUEST_MS ? Stopped.BEFORE_FIRST_REQUEST : Stopped.NO;
        }
        return isLate(now, c.input()) ? Stopped.IN_REQUEST : Stopped.NO;
    }

    private static double outputLimit(Connection c) {
        boolean more = c.queued() || c.ended() || c.input().part() != Part.NONE;
        return more ? OUTPUT_MS : LONG_OUTPUT_MS;
    }

    private static boolean isLate(double now, Input input) {
        double began = now - input.sinceMs();
        if (input.part() == Part.HEAD) {
            return began > HEAD_MS;
        }
        double pause = now - input.readMs();
        boolean unseen = pause > RESUMED_MS && pause + input.unseenMs() > BODY_PAUSE_MS;
        return pause > BODY_PAUSE_MS || unseen || began > BODY_GRACE_MS + input.bodyBytes() / BODY_BYTES_PER_MS;
    }

    /** How long a client that is judged to have stopped has done nothing; to be below {@link #OWED_MS}. */
    public static double stoppedMs(double now, Stopped how, Connection c) {
        if (how == Stopped.READING) {
            return now - c.outputMs();
        }
        if (how == Stopped.BEFORE_FIRST_REQUEST) {
            return now - c.openedMs();
        }
        Input input = c.input();
        return how == Stopped.NO ? 0 : now - (input.part() == Part.HEAD ? input.sinceMs() : input.readMs());
    }
}
