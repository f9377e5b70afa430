package marlford.register;

/**
 * What is to become of an order that was taken over.
 *
 * @param why it is not sent again; empty where it is
 */
public record ResendDecision(boolean again, String why) {
    /** It may have run and can't be sent again: the group might have forgotten it. */
    public static final String WINDOW = "the window in which its hosts drop repeats may end before it arrives";
    /** Its message was too large to be kept. */
    public static final String NOT_KEPT = "its body was too large to be kept";
    /** It was taken over as often as it may be. */
    public static final String TOO_OFTEN = "it was taken over too often";

    static final ResendDecision AGAIN = new ResendDecision(true, "");
    static final int TAKEN_MAX = 8;
    private static final double MILLION = 1e6;

    static ResendDecision no(String why) {
        return new ResendDecision(false, why);
    }

    /**
     * Whether the last byte of another attempt reaches its hosts while they still drop repeats. The window counts from the
     * first byte of the first attempt, which left after the entry was agreed, so the entry's greatest age is the window's.
     *
     * @param ageMs the entry's, at most ({@link StalenessBound})
     * @param windowMs for how long the class's hosts drop repeats
     * @param attemptMs the longest from this look to the last byte's arrival
     * @param driftPpm by how much this clock and the host's may run apart each
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
