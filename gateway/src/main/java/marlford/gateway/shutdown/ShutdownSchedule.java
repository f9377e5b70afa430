package marlford.gateway.shutdown;

/**
 * The phases of a shutdown, in milliseconds from SIGTERM. The platform kills the process no sooner than the longest request
 * deadline, {@value #MAX_DEADLINE_MS} ms at most, plus {@value #PLATFORM_GRACE_MS} ms. Deadlines differ between deployments, so
 * the phases are derived from them and not fixed.
 *
 * <p>In order: clients may go on sending requests over their open connections until {@link #keepClientsUntilMs}; the listener closes at
 * {@link #acceptUntilMs}; at {@link #abandonMs} all requests in progress are abandoned and answered, and requests that still arrive are
 * answered immediately; at {@link #peerFarewellMs} peers are told to use other gateways; at {@link #exitMs} the process exits. The time
 * between that and SIGKILL is for a late event loop.
 *
 * <p>Pure: no clock and no I/O. Times that are not derived from deadlines depend on the process only, and are the same for every
 * deployment.
 *
 * @param keepClientsUntilMs if other gateways serve too, clients' connections stay open until then; 0 closes them immediately
 * @param acceptUntilMs new connections are accepted until then
 * @param abandonMs attempts are abandoned, and no more are sent
 * @param peerFarewellMs the farewell to peers is sent
 * @param exitMs the process exits, whether or not every request was answered
 * @param killMs the platform may kill the process from then on
 */
public record ShutdownSchedule(double keepClientsUntilMs, double acceptUntilMs, double abandonMs, double peerFarewellMs, double exitMs,
        double killMs) {
    /** The longest deadline that the platform waits for. */
    static final double MAX_DEADLINE_MS = 3000;
    /** Time that the platform grants beyond the longest deadline. */
    static final double PLATFORM_GRACE_MS = 700;
    /** By the protocol, new connections keep arriving for 400 ms at most; the rest is for accepting them. */
    static final double LISTENER_OPEN_MS = 500;
    /** Time for the last requests of clients; with deadlines shorter than this no client connection is kept open. */
    static final double LAST_REQUESTS_MS = 1000;
    private static final double FAREWELL_SHARE = 2.0 / 7; // of the time from the end of all requests to SIGKILL
    private static final double EXIT_SHARE = 4.0 / 7; // of the same time; the last bytes have been written by then

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
