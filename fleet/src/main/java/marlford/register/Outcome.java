package marlford.register;

/**
 * How an order ended; the same for whoever asks.
 *
 * @param status of the answer; 0 where it is not known whether it ran
 * @param said the answer's body, or why it is not known; empty where that was too long to be kept
 */
public record Outcome(int status, String said) {
    /** The longest body that is kept, in characters. */
    public static final int SAID_MAX = 16 * 1024;

    /** It may have run, and nobody will find out. */
    public static Outcome unknown(String why) {
        return new Outcome(0, why);
    }

    public boolean isKnown() {
        return status != 0;
    }

    boolean isWellFormed() {
        return said != null && said.length() <= SAID_MAX && status >= 0;
    }
}
