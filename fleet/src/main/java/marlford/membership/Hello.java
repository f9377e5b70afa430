package marlford.membership;

import java.util.List;
import java.util.Map;

/**
 * What a voter periodically tells the others about itself.
 *
 * @param fleet the name of the fleet; messages of other fleets are ignored
 * @param point the voter's identity: name and disk
 * @param life how often the process was started on that disk
 * @param initial identities of the group's initial members; null while the voter is in no group
 * @param seen the greatest {@code life} seen of each identity, by which a voter on an outdated copy of its disk
 *     detects that
 * @param level the protocol version of the voter ({@link ProtocolVersions}); 0 from a version that does not send it
 */
public record Hello(String fleet, String point, long life, List<String> initial, Map<String, Long> seen, int level) {
    /** A message of this version. */
    public Hello(String fleet, String point, long life, List<String> initial, Map<String, Long> seen) {
        this(fleet, point, life, initial, seen, ProtocolVersions.CURRENT);
    }

    /** The name in a voter's identity. */
    public static String name(String point) {
        return point.substring(0, Math.max(0, point.lastIndexOf(':')));
    }

    String name() {
        return name(point);
    }
}
