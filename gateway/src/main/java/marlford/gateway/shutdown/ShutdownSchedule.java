package marlford.gateway.shutdown;

/**
 * The phases of a shutdown, in milliseconds from SIGTERM. The platform kills the process no sooner than the longest request
 * deadline, {@value #MAX_DEADLINE_MS} ms at most, plus {@value #PLATFORM_GRACE_MS} ms. Deadlines differ between deployments, so
 * the phases are derived from them and not fixed.
 *
 * <p>The listener closes at {@link #acceptUntilMs}. If other gateways serve, clients may go on sending requests over their open
 * connections until {@link #keepClientsUntilMs}, which is before or after that, depending on the deadlines. Then, in this order: at
 * {@link #abandonMs} all requests in progress are abandoned and answered, except for answers that are being streamed, and requests
 * that still arrive are refused immediately; at {@link #peerFarewellMs} peers are told to use other gateways; at {@link #exitMs} the
 * process exits. The time between that and SIGKILL is for a late event loop.
 *
 * <p>Pure: no clock and no I/O. Times that are not derived from deadlines depend on the process only, and are the same for every
 * deployment.
 *
 * @param keepClientsUntilMs if other gateways serve too, answers leave client connections open until then; 0: from the start each answer
 *     closes its connection
 * @param acceptUntilMs new connections are accepted until then
 * @param abandonMs attempts are abandoned then, and no more are sent
 * @param peerFarewellMs the message that ends the communication with peers is sent then
 * @param exitMs the process exits then, whether or not every request was answered
 * @param killMs the platform may send SIGKILL from then on
 */
public record ShutdownSchedule(double keepClientsUntilMs, double acceptUntilMs, double abandonMs, double peerFarewellMs, double exitMs,
        double killMs) {
    /** The longest deadline that the platform waits for. */
    static final double MAX_DEADLINE_MS = 3000;
    /** Time that the platform grants beyond the longest deadline. */
    static final double PLATFORM_GRACE_MS = 700;
    /** According to the platform, new connections keep arriving for at most 400 ms after SIGTERM; the rest is for accepting them. */
    static final double LISTENER_OPEN_MS = 500;
    /** Time for the last requests of clients; with deadlines shorter than this no client connection is kept open. */
    static final double LAST_REQUESTS_MS = 1000;
    private static final double FAREWELL_SHARE = 2.0 / 7; // of the time from abandonMs to SIGKILL; when the message to peers is sent
    private static final double EXIT_SHARE = 4.0 / 7; // of the same time; when the process exits, with the last bytes written

    /** @param longestDeadlineMs the longest deadline of the settings' request classes, in milliseconds; 0 or more */
    public static ShutdownSchedule of(double longestDeadlineMs) {
        double waitMs = Math.min(MAX_DEADLINE_MS, Math.max(0, longestDeadlineMs));
        double killMs = waitMs + PLATFORM_GRACE_MS;
        double abandonMs = Math.max(LISTENER_OPEN_MS, waitMs);
        double leftMs = killMs - abandonMs;
        return new ShutdownSchedule(Math.max(0, waitMs - LAST_REQUESTS_MS), LISTENER_OPEN_MS, abandonMs,
                abandonMs + FAREWELL_SHARE * leftMs, abandonMs + EXIT_SHARE * leftMs, killMs);
    }
}
