package marlford.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How the leader replaces a voter that came back with another disk: the old identity is removed, the new one is added
 * as a learner until it has caught up, then promoted to voter. One change at a time, each committed before the next
 * is chosen, and none that would leave fewer reachable voters than a majority of the group before or after it.
 *
 * <p>An identity that is still heard from is never replaced: two processes with one name are an operator's mistake.
 * Times in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class VoterReplacement {
    /** Kinds of membership changes. */
    public enum Kind {
        REMOVE,
        LISTEN,
        VOTE
    }

    /** A membership change and the voter it concerns. */
    public record Step(Kind kind, String point) {}

    private static final int POINTS_MAX = 1000; // further identities are ignored

    private final double goneMs;
    private final Map<String, Double> heard = new HashMap<>(); // identities
    private final Map<String, Long> lives = new HashMap<>();
    private final Set<String> olderCopies = new HashSet<>(); // identities
    private final Map<String, String> newcomers = new HashMap<>(); // identity by name

    /** @param goneMs silence after which a voter counts as gone, in milliseconds */
    public VoterReplacement(double goneMs) {
        this.goneMs = goneMs;
    }

    /** Records an announcement. A disk with fewer starts than were seen of it is an outdated copy that lacks votes. */
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

    /** Whether messages of this voter are to be ignored. */
    public boolean isOlderCopy(String point) {
        return olderCopies.contains(point);
    }

    /** The greatest number of starts known of each identity. */
    public Map<String, Long> lives() {
        return Map.copyOf(lives);
    }

    /** Whether a voter was heard recently. */
    public boolean isThere(String point, double now) {
        return now - heard.getOrDefault(point, Double.NEGATIVE_INFINITY) < goneMs;
    }

    /**
     * The next membership change; null for none.
     *
     * @param voting identities of the voters
     * @param identities of voters and learners
     * @param self the leader's identity
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
