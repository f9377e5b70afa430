package marlford.gateway.guard;

/**
 * The time by which a request must have its final answer. A client's time counts from the last byte of its request. While the body
 * arrives that byte may already wait unread, for example because the host takes no more of the body and this gateway therefore
 * reads none. So the time counts from the latest moment at which the client certainly had not sent its last byte.
 *
 * <p>Every request has one, whether its body is short, long, buffered or streamed. No clock and no I/O. Times are milliseconds on
 * the caller's clock.
 */
public final class RequestDeadline {
    private final double arrivedMs;
    private final double waitMs;
    private final double maxBodyMs;
    private double incompleteMs;

    /**
     * @param arrivedMs when the request arrived, or the part of it that was read first
     * @param atMs the deadline if the last byte arrived then
     * @param maxBodyMs how long the rest of the body may take at the most; 0 if the request has arrived completely
     */
    public RequestDeadline(double arrivedMs, double atMs, double maxBodyMs) {
        this.arrivedMs = arrivedMs;
        this.waitMs = atMs - arrivedMs;
        this.maxBodyMs = maxBodyMs;
        this.incompleteMs = arrivedMs;
    }

    /** Records that the client had not sent the last byte of the request at the given time. */
    public void recordIncomplete(double timeMs) {
        incompleteMs = Math.max(incompleteMs, Math.min(timeMs, arrivedMs + maxBodyMs));
    }

    /** Returns the deadline as far as it is known now. It only ever moves to later times. */
    public double atMs() {
        return incompleteMs + waitMs;
    }
}
