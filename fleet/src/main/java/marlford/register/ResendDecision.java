package marlford.register;

/**
 * Whether a request that was taken over may be sent again.
 *
 * @param why the reason if not; empty otherwise
 */
public record ResendDecision(boolean again, String why) {
    /** It may have been executed, and the hosts' deduplication window may end before it arrives. */
    public static final String WINDOW = "the window in which its hosts drop repeats may end before it arrives";
    /** Its message was too large to keep. */
    public static final String NOT_KEPT = "its body was too large to be kept";
    /** It was taken over too often. */
    public static final String TOO_OFTEN = "it was taken over too often";

    static final ResendDecision AGAIN = new ResendDecision(true, "");
    static final int TAKEN_MAX = 8;
    private static final double MILLION = 1e6;

    static ResendDecision no(String why) {
        return new ResendDecision(false, why);
    }

    /**
     * Whether another attempt arrives completely while its hosts still deduplicate. The window starts with the
     * first byte of the first attempt, sent after the entry was committed, so the entry's maximum age bounds the window's.
     *
     * @param ageMs maximum age of the entry ({@link StalenessBound})
     * @param windowMs deduplication window of the hosts
     * @param attemptMs maximum time from now to the arrival of the last byte
     * @param driftPpm maximum drift of this clock and the host's, each
     */
    public static ResendDecision of(RegisterEntry e, double ageMs, double windowMs, double attemptMs, double driftPpm) {
        if (!e.order().isKept()) {
            return no(NOT_KEPT);
        }
        if (e.taken() > TAKEN_MAX) {
            return no(TOO_OFTEN);
        }
        return (ageMs + attemptMs) * (1 + 2 * driftPpm / MILLION) < windowMs ? AGAIN : no(WINDOW);
    }
}
