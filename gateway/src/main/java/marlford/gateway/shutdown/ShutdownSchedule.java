package marlford.gateway.shutdown;

/**
 * When a process that was told to end does what, in milliseconds from SIGTERM. The platform kills it no sooner than the
 * longest deadline, {@value #DEADLINE_MOST_MS} ms at most, and {@value #PLATFORM_MS} ms more; deadlines are the
 * deployment's own, so the phases are derived from them and fixed for nobody.
 *
 * <p>In their order: clients may go on asking over what they have open until {@link #staysMs}; the listener closes at
 * {@link #acceptsMs}; at {@link #endsMs} all that is open is given up and answered, and what still comes is answered at
 * once; at {@link #saysMs} peers are told to turn to others; at {@link #exitsMs} the process is gone. What lies between
 * that and SIGKILL is for a loop that is late.
 *
 * <p>Pure: no clock and no I/O. Times are of a process of its own, so the same for every deployment where not derived.
 *
 * @param staysMs where other gateways serve too: connections of clients stay open until then; 0 for not at all
 * @param acceptsMs new connections are taken until then
 * @param endsMs attempts are given up, and nothing more is sent
 * @param saysMs the farewell to peers leaves
 * @param exitsMs the process ends, answered or not
 * @param killedMs the platform may kill it from then on
 */
public record ShutdownSchedule(double staysMs, double acceptsMs, double endsMs, double saysMs, double exitsMs,
        double killedMs) {
    /** The longest deadline that the platform waits for. */
    static final double DEADLINE_MOST_MS = 3000;
    /** What the platform gives beyond the longest deadline. */
    static final double PLATFORM_MS = 700;
    /** By the protocol new connections go on coming for 400 ms at most; the rest is for them to be accepted. */
    static final double ACCEPTS_MS = 500;
    /** For what a client asks last: where deadlines are shorter nobody stays. */
    static final double LAST_MS = 1000;
    private static final double SAYS_SHARE = 2.0 / 7; // of what is left to SIGKILL once all is given up
    private static final double EXITS_SHARE = 4.0 / 7; // the same: the last bytes have had their time

    /** @param longestMs the longest deadline of the settings' classes, in milliseconds; 0 or more */
    public static ShutdownSchedule of(double longestMs) {
        double waits = Math.min(DEADLINE_MOST_MS, Math.max(0, longestMs));
        double killed = waits + PLATFORM_MS;
        double ends = Math.max(ACCEPTS_MS, waits);
        double left = killed - ends;
        return new ShutdownSchedule(Math.max(0, waits - LAST_MS), ACCEPTS_MS, ends, ends + SAYS_SHARE * left,
                ends + EXITS_SHARE * left, killed);
    }
}
