package marlford.gateway.shutdown;

/**
 * How long a connection of a client is read on once its last answer has left and its sending is ended (RFC 9112, 9.6): until
 * the client ends it, or a time or a number of bytes is over. A client that heeds the answer ends it within one way there
 * and back.
 *
 * <p>Pure: no clock and no I/O. Not thread-safe; it belongs to one event loop. The bounds are of a client that does not
 * stop, and of no deployment.
 */
public final class LingeringClose {
    /** Far beyond the 200 ms of the longest way there and back; a lost packet or two is sent again by then. */
    static final double LONGEST_MS = 2000;
    /** More than a socket and the way hold unread; who sends on beyond that does not listen. */
    static final long MOST_BYTES = 1 << 20;

    private final double endsAt;
    private long bytes;

    /** @param now milliseconds on the caller's clock, at which the sending was ended */
    public LingeringClose(double now) {
        this.endsAt = now + LONGEST_MS;
    }

    /** So many bytes were read and forgotten; whether it is read on. */
    public boolean read(int more) {
        bytes += more;
        return bytes <= MOST_BYTES;
    }

    /** Whether it is read on at this time. */
    public boolean goesOn(double now) {
        return now < endsAt;
    }
}
