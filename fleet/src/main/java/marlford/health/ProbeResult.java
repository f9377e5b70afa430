package marlford.health;

/**
 * The result of a health check.
 *
 * @param tookMs the response time in milliseconds
 */
public record ProbeResult(Kind kind, double tookMs) {
    /** The kinds of results. */
    public enum Kind {
        /** The host reported that it is healthy. */
        WELL,
        /** The host reported that it is not. */
        ILL,
        /** The probe timed out. */
        LATE,
        /** The host could not be reached. */
        UNREACHED
    }

    String text() {
        return kind + " " + Math.round(tookMs);
    }

    /** Parses the value of a row; null if it is none, as a newer version may write. */
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
