package marlford.board;

/**
 * What the holder of a token found out.
 *
 * @param topic what it is of
 * @param key which one of these
 * @param token under which it was found out; a later holder's word replaces an earlier one's
 * @param value at most {@link Board#VALUE_MAX} characters
 * @param ageMs at most, since it was found out, in milliseconds
 */
public record Row(String topic, String key, long token, String value, double ageMs) {
    Row aged(double ms) {
        return new Row(topic, key, token, value, ageMs + Math.max(0, ms));
    }
}
