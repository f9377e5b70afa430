package marlford.gateway.net;

/**
 * Counts clients that disconnected before they were answered, for the activity line of each second: {@code left_waiting}
 * counts requests of which no attempt had begun to be written by then, {@code left_served} the others, and
 * {@code sent_for_left} attempts that were written more than {@value #SEND_GRACE_MS} ms after their client was seen to
 * disconnect, which must stay 0. Used on the event loop.
 */
final class ClientDepartureCounters {
    /** The operators require that no attempt begins later than this after its client has disconnected. */
    static final double SEND_GRACE_MS = 100;

    private int unsentCount;
    private int sentCount;
    private int sentLateCount;

    /** @param writeStarted whether an attempt of the request of the disconnected client had begun to be written */
    void recordDisconnect(boolean writeStarted) {
        if (writeStarted) {
            sentCount++;
        } else {
            unsentCount++;
        }
    }

    /** @param afterMs time from the client's disconnect to the write of an attempt; negative while the client is connected */
    void recordSend(double afterMs) {
        if (afterMs > SEND_GRACE_MS) {
            sentLateCount++;
        }
    }

    /** Returns {@code  name=count} for each count above 0 and resets the counts. */
    String takeCounts() {
        String line = (unsentCount > 0 ? " left_waiting=" + unsentCount : "") + (sentCount > 0 ? " left_served=" + sentCount : "")
                + (sentLateCount > 0 ? " sent_for_left=" + sentLateCount : "");
        unsentCount = sentCount = sentLateCount = 0;
        return line;
    }
}
