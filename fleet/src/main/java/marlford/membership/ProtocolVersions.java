package marlford.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Which kinds of lines all voters of the group know. A kind that is new with a version is proposed only once each voter has
 * said that it runs that version, or a voter would meet a line that it can't apply and have to go out. A voter that was not
 * heard since this process's start counts as one of the first version. Not thread-safe.
 */
public final class ProtocolVersions {
    /** Of this version. */
    public static final int CURRENT = 2;

    private static final int POINTS_MAX = 1000;

    private final Map<String, Integer> levels = new HashMap<>();

    /** A voter spoke; it may have been started with another version since it did so last. */
    public void heard(Hello h) {
        if (levels.containsKey(h.point()) || levels.size() < POINTS_MAX) {
            levels.put(h.point(), Math.max(1, h.level()));
        }
    }

    /** The level that all these voters know. */
    public int lowestCommon(Collection<String> voting, String self) {
        return voting.stream()
                .mapToInt(p -> p.equals(self) ? CURRENT : levels.getOrDefault(p, 1))
                .min()
                .orElse(1);
    }
}
