package marlford.gateway.quota;

/**
 * Which life of a peer is its present one. A life is numbered by its process's wall clock at its start: 32 bits of milliseconds, which
 * run over every 50 days and are compared by difference. A number that is later than the present one's and not in the future is
 * believed at once. Wall clocks may be wrong, so any other one is believed when it has been heard for {@value #CONFIRM_MS} ms in
 * which the present life was silent; a stray message alone changes nothing.
 */
public final class PeerIncarnation {
    static final double CONFIRM_MS = 1000;
    private static final double CLOCKS_APART_MS = 60_000; // beyond it a number is in the future

    /** A life by its number, and when it was first heard. */
    private record Candidate(int number, double since) { }

    private boolean known;
    private int number;
    private Integer former; // the life before, which is over; null for none
    private Candidate candidate; // null for none

    /** Takes note of a message of a life; whether that is the present life, which may begin with it. */
    public boolean hears(double now, int said) {
        if (known && said == number) {
            candidate = null;
            return true;
        }
        if (former != null && said == former) {
            return false;
        }
        boolean later = !known || said - number > 0;
        boolean inFuture = said - (int) (long) now > CLOCKS_APART_MS;
        if (later && !inFuture || isConfirmed(now, said)) {
            begin(said);
            return true;
        }
        return false;
    }

    private boolean isConfirmed(double now, int said) {
        if (candidate == null || candidate.number() != said) {
            candidate = new Candidate(said, now);
        }
        return now - candidate.since() >= CONFIRM_MS;
    }

    private void begin(int said) {
        former = known ? Integer.valueOf(number) : null;
        known = true;
        number = said;
        candidate = null;
    }

    /** The number of the present life; 0 before any is known. */
    public int number() {
        return number;
    }

    /** Whether a life is known. */
    public boolean isKnown() {
        return known;
    }
}
