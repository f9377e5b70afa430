package marlford.register;

/**
 * The outcome of a request; the same for everyone who asks.
 *
 * @param status the HTTP status; 0 if it is unknown whether the request was executed
 * @param said the response body, or why the outcome is unknown; empty if it was too large to keep
 */
public record Outcome(int status, String said) {
    /** The maximum length of a stored body, in characters. */
    public static final int SAID_MAX = 16 * 1024;

    /** The request may have been executed, and nobody can find out. */
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
