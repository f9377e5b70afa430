package marlford.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The protocol version that all voters of the group support. A command that is new in a version is proposed only once
 * every voter has announced that version; otherwise a voter would meet a command it cannot apply and would have to
 * stop. A voter that was not heard since this process started counts as version 1. Not thread-safe.
 */
public final class ProtocolVersions {
    /** The version of this program. */
    public static final int CURRENT = 2;

    private static final int POINTS_MAX = 1000;

    private final Map<String, Integer> levels = new HashMap<>();

    /** Records an announcement; a voter may have been restarted with another version. */
    public void heard(Hello h) {
        if (levels.containsKey(h.point()) || levels.size() < POINTS_MAX) {
            levels.put(h.point(), Math.max(1, h.level()));
        }
    }

    /** The highest version that all these voters support. */
    public int lowestCommon(Collection<String> voting, String self) {
        return voting.stream()
                .mapToInt(p -> p.equals(self) ? CURRENT : levels.getOrDefault(p, 1))
                .min()
                .orElse(1);
    }
}
