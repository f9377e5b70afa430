package marlford.gateway.net;

/**
 * Clients that left with no answer, for the line that is logged every second: {@code left_waiting} counts the requests of which
 * nothing had left for a host by then, {@code left_served} the others, and {@code sent_for_left} the attempts that were written
 * more than {@value #SOON_MS} ms after their client was seen to leave, which is to stay 0. On the event loop.
 */
final class ClientDepartureCounters {
    /** By the operators' term no attempt begins later than that after its client left. */
    static final double SOON_MS = 100;

    private int waiting;
    private int served;
    private int sentFor;

    /** A client left; whether an attempt of its request had begun to leave. */
    void left(boolean begun) {
        if (begun) {
            served++;
        } else {
            waiting++;
        }
    }

    /** An attempt leaves, so many milliseconds after its client left; below 0 where that is still there. */
    void sent(double afterMs) {
        if (afterMs > SOON_MS) {
            sentFor++;
        }
    }

    /** {@code  name=count} for all that is not nought; the counts begin anew. */
    String take() {
        String line = (waiting > 0 ? " left_waiting=" + waiting : "") + (served > 0 ? " left_served=" + served : "")
                + (sentFor > 0 ? " sent_for_left=" + sentFor : "");
        waiting = served = sentFor = 0;
        return line;
    }
}
