package marlford.lease;

/**
 * For how long the holder of a session may act. Validity is counted from the <em>sending</em> of a confirmed renewal,
 * minus the clock drift, minus a margin; a late or duplicate confirmation does not extend it. After a pause of the
 * process nothing is valid until a renewal that was sent after the pause is confirmed.
 *
 * <p>The holder checks here before each action, with the longest time the action may take, so an action ends within
 * the lease unless the process is suspended between the check and the write. That case is what fencing tokens are
 * for. Times in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class LeaseValidity {
    private static final double MILLION = 1e6;

    private final double lastsMs;
    private final double stallMs;
    private double until = Double.NEGATIVE_INFINITY;
    private double looked = Double.NEGATIVE_INFINITY;
    private double stalled = Double.NEGATIVE_INFINITY; // end of the last pause; a renewal sent before it does not count

    /**
     * @param ttlMs the session's time to live
     * @param driftPpm the maximum clock drift of holder and leader each, in parts per million
     * @param marginMs safety margin
     * @param stallMs a longer pause between two calls is a pause of the process
     */
    public LeaseValidity(double ttlMs, double driftPpm, double marginMs, double stallMs) {
        this.lastsMs = ttlMs * (1 - 2 * driftPpm / MILLION) - marginMs;
        this.stallMs = stallMs;
    }

    /** Whether these settings leave any time to act. */
    public boolean isPossible() {
        return lastsMs > stallMs;
    }

    /** A renewal that was sent at this time was confirmed. */
    public void confirmed(double sentAt) {
        if (sentAt >= stalled) {
            until = Math.max(until, sentAt + lastsMs);
        }
    }

    /** The session has ended. */
    public void ended() {
        until = Double.NEGATIVE_INFINITY;
        stalled = Double.POSITIVE_INFINITY;
    }

    /** To be called often, to detect pauses; returns whether there was one. */
    public boolean look(double now) {
        boolean stall = now - looked > stallMs && looked != Double.NEGATIVE_INFINITY;
        looked = now;
        if (stall && stalled != Double.POSITIVE_INFINITY) {
            stalled = now;
            until = Double.NEGATIVE_INFINITY;
        }
        return stall;
    }

    /**
     * Whether an action may begin now.
     *
     * @param lateMs the delay of the calling event loop
     * @param needMs the maximum duration of the action
     */
    public boolean mayAct(double now, double lateMs, double needMs) {
        look(now);
        return now + lateMs + needMs < until;
    }

    /** The remaining time to act, in milliseconds; 0 for none. */
    public double leftMs(double now) {
        return Math.max(0, until - now);
    }
}
