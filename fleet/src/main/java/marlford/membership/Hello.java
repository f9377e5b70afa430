package marlford.membership;

import java.util.List;
import java.util.Map;

/**
 * What a voter tells the others of itself, again and again.
 *
 * @param fleet the fleet's name; a stranger's word is not heard
 * @param point its name and disk
 * @param life how often it was started on that disk
 * @param initial the points that its group began with; null while it is in none
 * @param seen the greatest life that it saw of each point, by which a disk that is an older copy finds itself out
 * @param level which kinds of lines it knows ({@link ProtocolVersions}); 0 from a version that does not say
 */
public record Hello(String fleet, String point, long life, List<String> initial, Map<String, Long> seen, int level) {
    /** Of this version. */
    public Hello(String fleet, String point, long life, List<String> initial, Map<String, Long> seen) {
        this(fleet, point, life, initial, seen, ProtocolVersions.CURRENT);
    }

    /** The name in a point. */
    public static String name(String point) {
        return point.substring(0, Math.max(0, point.lastIndexOf(':')));
    }

    String name() {
        return name(point);
    }
}
