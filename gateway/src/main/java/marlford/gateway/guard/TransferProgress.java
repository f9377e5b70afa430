package marlford.gateway.guard;

/**
 * The progress of output towards one peer, a client that reads an answer or a host that reads a body, and the limits on a time without
 * progress that hold for transfers in either direction.
 *
 * <p>Only what leaves this process can be seen. Between the process and the peer's program stand sockets that take some of the
 * output at once, and what the peer reads from them moves nothing here until they have room. So a client has, beyond the usual pause,
 * the time in which the slowest permitted client reads what they may hold. A host has only the pause: while it takes nothing of a body, no
 * more is read from the client, and whether that client has stopped can't be seen.
 *
 * <p>No clock and no I/O. Times are milliseconds on the caller's clock.
 */
public final class TransferProgress {
    /** The longest pause of a peer within a message of which it has received or sent all that was due. */
    public static final double PAUSE_LIMIT_MS = 5000;
    /** The same within a short response of a host, which is buffered and can be requested again. */
    public static final double SHORT_RESPONSE_PAUSE_LIMIT_MS = 250;

    /** The same within a response whose length is unknown and which would be late, past its request's deadline, if it were short. */
    public static final double OVERDUE_PAUSE_LIMIT_MS = 2000;

    /** The rate of the slowest permitted peer. */
    public static final double SLOWEST_BYTES_PER_MS = 64;

    private static final long MAX_UNSEEN_BYTES = 1 << 20; // bound on what is taken to stand in the sockets

    private final long maxUnseenBytes;
    private long beganAtBytes;
    private long leftBytes;
    private boolean pending;
    private double progressMs;

    private TransferProgress(double now, long maxUnseenBytes) {
        this.progressMs = now;
        this.maxUnseenBytes = maxUnseenBytes;
    }

    /** Returns the progress towards a client, beginning at a time at which no output is pending. */
    public static TransferProgress towardsClient(double now) {
        return new TransferProgress(now, MAX_UNSEEN_BYTES);
    }

    /** Returns the progress towards a host, beginning at a time at which no output is pending. */
    public static TransferProgress towardsHost(double now) {
        return new TransferProgress(now, 0);
    }

    /** A message begins, and the peer has received all earlier ones. */
    public void beginMessage() {
        beganAtBytes = leftBytes;
    }

    /**
     * Records the present state of the output.
     *
     * @param pendingBytes output that has not left this process
     * @param totalLeftBytes output that has left it since the connection was opened
     */
    public void record(double now, long pendingBytes, long totalLeftBytes) {
        if (pendingBytes == 0 || totalLeftBytes > leftBytes) {
            progressMs = now;
        }
        leftBytes = totalLeftBytes;
        pending = pendingBytes > 0;
    }

    /** Whether output has not left this process. */
    public boolean isPending() {
        return pending;
    }

    /** Returns how long no output has left this process although some was pending, in milliseconds. */
    public double idleMs(double now) {
        return pending ? now - progressMs : 0;
    }

    /** Returns how long no output may leave this process before the peer counts as stopped, in milliseconds. */
    public double idleLimitMs() {
        return PAUSE_LIMIT_MS + Math.min(maxUnseenBytes, leftBytes - beganAtBytes) / SLOWEST_BYTES_PER_MS;
    }

    /** Whether the peer counts as stopped. */
    public boolean isStalled(double now) {
        return idleMs(now) > idleLimitMs();
    }
}
