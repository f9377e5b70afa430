package marlford.health;

/**
 * What a probe found.
 *
 * @param tookMs how long the answer took, in milliseconds
 */
public record ProbeResult(Kind kind, double tookMs) {
    /** How it ended. */
    public enum Kind {
        /** The host answered that it is well. */
        WELL,
        /** It answered that it is not. */
        ILL,
        /** It did not answer in time. */
        LATE,
        /** It can't be reached. */
        UNREACHED
    }

    String text() {
        return kind + " " + Math.round(tookMs);
    }

    /** As a row has it; null where it is none, as a newer version may write. */
    static ProbeResult of(String text) {
        try {
            int space = text.indexOf(' ');
            return new ProbeResult(
                    Kind.valueOf(text.substring(0, Math.max(0, space))), Double.parseDouble(text.substring(space + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
