package marlford.board;

/**
 * A report of the holder of a token.
 *
 * @param topic kind of the report
 * @param key subject of the report
 * @param token fencing token under which it was made; a report with a greater token replaces it
 * @param value at most {@link Board#VALUE_MAX} characters
 * @param ageMs upper bound of its age in milliseconds
 */
public record Row(String topic, String key, long token, String value, double ageMs) {
    Row aged(double ms) {
        return new Row(topic, key, token, value, ageMs + Math.max(0, ms));
    }
}
