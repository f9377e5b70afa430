package marlford.lease;

/**
 * For how long a session lets its holder act. Time counts from the <em>sending</em> of a renewal that was confirmed, less
 * what the two clocks may run apart, less a margin; a confirmation that comes late or twice adds nothing. After a stall
 * nothing may be done until a renewal that was sent after it is confirmed.
 *
 * <p>What stands under a lease is asked here before each act, together with how long the act may take, so that an act
 * ends inside the lease unless its process is stopped between this look and its write. Milliseconds by one monotonic
 * clock. Not thread-safe.
 */
public final class LeaseValidity {
    private static final double MILLION = 1e6;

    private final double lastsMs;
    private final double stallMs;
    private double until = Double.NEGATIVE_INFINITY;
    private double looked = Double.NEGATIVE_INFINITY;
    private double stalled =
            Double.NEGATIVE_INFINITY; // the end of the last stall; a renewal sent before it does not count

    /**
     * @param ttlMs the session's silence, as the fleet knows it
     * @param driftPpm by how much a clock may run wrong, in parts per million; the holder's and the leader's both may
     * @param marginMs taken off besides
     * @param stallMs a pause between two looks that is longer than this one is a stall
     */
    public LeaseValidity(double ttlMs, double driftPpm, double marginMs, double stallMs) {
        this.lastsMs = ttlMs * (1 - 2 * driftPpm / MILLION) - marginMs;
        this.stallMs = stallMs;
    }

    /** Whether there is any time to act in at all under these settings. */
    public boolean isPossible() {
        return lastsMs > stallMs;
    }

    /** A renewal that was sent at this time is confirmed. */
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

    /** To be called often, so that a stall is noticed; returns whether there was one. */
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
     * Whether an act may begin now.
     *
     * @param lateMs how late the loop is that acts
     * @param needMs the longest that the act may take
     */
    public boolean mayAct(double now, double lateMs, double needMs) {
        look(now);
        return now + lateMs + needMs < until;
    }

    /** How long it may still act, in milliseconds; 0 for not at all. */
    public double leftMs(double now) {
        return Math.max(0, until - now);
    }
}
