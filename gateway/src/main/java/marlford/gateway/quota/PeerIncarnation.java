package marlford.gateway.quota;

/**
 * Tracks which incarnation of a peer is the present one. An incarnation is numbered by the wall clock of its process at its
 * start: 32 bits of milliseconds, which wrap around every 50 days and are compared by difference. A number that is later
 * than the present one and not in the future is accepted at once. Wall clocks may be wrong, so any other number is accepted
 * after it has been received for {@value #CONFIRM_MS} ms in which the present incarnation was silent; a single stray
 * message changes nothing.
 */
public final class PeerIncarnation {
    static final double CONFIRM_MS = 1000;
    private static final double MAX_CLOCK_DIFFERENCE_MS = 60_000; // beyond it a number counts as in the future

    /** An incarnation that is not accepted yet, with the time at which it was first received. */
    private record Candidate(int number, double since) { }

    private boolean known;
    private int number;
    private Integer former; // The incarnation before, which is over; null if there was none.
    private Candidate candidate; // Null if there is none.

    /**
     * Handles the incarnation number of a received message. Returns whether it is the present incarnation, which may begin
     * with this message.
     */
    public boolean accept(double now, int received) {
        if (known && received == number) {
            candidate = null;
            return true;
        }
        if (former != null && received == former) {
            return false;
        }
        boolean later = !known || received - number > 0;
        boolean inFuture = received - (int) (long) now > MAX_CLOCK_DIFFERENCE_MS;
        if (later && !inFuture || isConfirmed(now, received)) {
            begin(received);
            return true;
        }
        return false;
    }

    private boolean isConfirmed(double now, int received) {
        if (candidate == null || candidate.number() != received) {
            candidate = new Candidate(received, now);
        }
        return now - candidate.since() >= CONFIRM_MS;
    }

    private void begin(int received) {
        former = known ? Integer.valueOf(number) : null;
        known = true;
        number = received;
        candidate = null;
    }

    /** Returns the number of the present incarnation; 0 before any is known. */
    public int number() {
        return number;
    }

    /** Returns whether an incarnation is known. */
    public boolean isKnown() {
        return known;
    }
}
