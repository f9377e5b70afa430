package marlford.gateway.shutdown;

/**
 * Decides how long a client's connection is still read after its last answer was sent and the sending side closed (RFC 9112,
 * 9.6): until the client closes it, or a limit of time or bytes is reached. A client that respects the answer closes it within
 * one round trip.
 *
 * <p>Pure: no clock and no I/O. Not thread-safe: used on one event loop only. The limits are for a client that keeps sending,
 * and do not depend on a deployment.
 */
public final class LingeringClose {
    /** Far beyond the longest round trip of 200 ms; leaves time to retransmit a lost packet or two. */
    public static final double MAX_LINGER_MS = 2000;
    /** The same for a client that has stalled within a request: it may not read either, and is owed its end in 3 s. */
    public static final double STALLED_LINGER_MS = 250;
    /** More than the socket and the network can hold unread; a client that sends more does not react to the answer. */
    static final long MAX_DISCARDED_BYTES = 1 << 20;

    private final double deadlineMs;
    private long discardedBytes;

    /** @param now when the sending side was closed, in milliseconds on the caller's clock */
    public LingeringClose(double now) {
        this.deadlineMs = now + MAX_LINGER_MS;
    }

    /** Records bytes that were read and discarded; returns whether reading may continue. */
    public boolean discard(int bytes) {
        discardedBytes += bytes;
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }

    /** Whether the time limit allows further reading. */
    public boolean isOpen(double now) {
        return now < deadlineMs;
    }
}
