package marlford.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How the leader takes in a voter that came back with another disk: the old point goes out, the new one listens until it has
 * caught up, then it votes. One step at a time, each agreed before the next is chosen; and none that leaves fewer at hand
 * than a majority of the voters before it and of those after it.
 *
 * <p>A point that is still heard is not replaced: two processes with one name are a mistake of whoever started them.
 * Milliseconds by one monotonic clock. Not thread-safe.
 */
public final class VoterReplacement {
    /** The next change of members. */
    public enum Kind {
        REMOVE,
        LISTEN,
        VOTE
    }

    /** A change and whom it concerns. */
    public record Step(Kind kind, String point) {}

    private static final int POINTS_MAX = 1000; // beyond which a point that was never seen is passed over

    private final double goneMs;
    private final Map<String, Double> heard = new HashMap<>(); // points
    private final Map<String, Long> lives = new HashMap<>();
    private final Set<String> olderCopies = new HashSet<>(); // points
    private final Map<String, String> newcomers = new HashMap<>(); // name to point

    /** @param goneMs a point that was not heard for this long is gone, in milliseconds */
    public VoterReplacement(double goneMs) {
        this.goneMs = goneMs;
    }

    /** A voter spoke. A disk that knows of fewer lives than were seen of it is an older copy, which has forgotten votes. */
    public void heard(Hello h, double now) {
        h.seen().forEach((point, life) -> {
            if (lives.containsKey(point) || lives.size() < POINTS_MAX) {
                lives.merge(point, life, Math::max);
            }
        });
        if (!lives.containsKey(h.point()) && lives.size() >= POINTS_MAX) {
            return;
        }
        if (h.life() < lives.merge(h.point(), h.life(), Math::max)) {
            olderCopies.add(h.point());
        } else {
            olderCopies.remove(h.point());
            heard.put(h.point(), now);
            newcomers.put(h.name(), h.point());
        }
    }

    /** Whether what this point says is to be passed over. */
    public boolean isOlderCopy(String point) {
        return olderCopies.contains(point);
    }

    /** The greatest life that is known of each point. */
    public Map<String, Long> lives() {
        return Map.copyOf(lives);
    }

    /** Whether a point was heard lately. */
    public boolean isThere(String point, double now) {
        return now - heard.getOrDefault(point, Double.NEGATIVE_INFINITY) < goneMs;
    }

    /**
     * The next change; null for none.
     *
     * @param voting the points that vote
     * @param all those and the ones that listen
     * @param self the leader's own point
     */
    public Step next(Collection<String> voting, Collection<String> all, String self, double now) {
        for (Map.Entry<String, String> e : newcomers.entrySet()) {
            String fresh = e.getValue();
            if (voting.contains(fresh) || !isThere(fresh, now)) {
                continue;
            }
            List<String> older = all.stream()
                    .filter(p -> Hello.name(p).equals(e.getKey()) && !p.equals(fresh))
                    .toList();
            if (!older.isEmpty()) {
                String old = older.get(0);
                boolean last = !voting.contains(old) || leaves(voting, old, self, now);
                if (!isThere(old, now) && last) {
                    return new Step(Kind.REMOVE, old);
                }
                continue;
            }
            return new Step(all.contains(fresh) ? Kind.VOTE : Kind.LISTEN, fresh);
        }
        return null;
    }

    private boolean leaves(Collection<String> voting, String old, String self, double now) {
        long at = voting.stream()
                .filter(p -> !p.equals(old) && (p.equals(self) || isThere(p, now)))
                .count();
        return at > voting.size() / 2 && at > (voting.size() - 1) / 2;
    }
}
