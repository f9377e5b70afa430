package marlford.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How a voter with an empty disk joins or forms the group. A group is formed only when <em>all</em> configured voters
 * are present, each with an empty disk: if one is missing, it may know of an existing group. A voter that learns of a
 * group whose initial members include its disk starts as that member; with another disk it is new, and waits as a
 * learner to be added. Not thread-safe.
 */
public final class Bootstrap {
    /** What a voter is to do next. */
    public enum Step {
        /** Ask again later. */
        WAIT,
        /** Start as one of these members; it has never voted. */
        BEGIN,
        /** Start as a learner; these members may add it. */
        LISTEN
    }

    /** The step and the initial members of the group. */
    public record Decision(Step step, List<String> members) {}

    private final Hello self;
    private final Collection<String> names;
    private final Map<String, Hello> heard = new HashMap<>();

    /** @param names of all voters, including this one */
    public Bootstrap(Hello self, Collection<String> names) {
        this.self = self;
        this.names = List.copyOf(names);
    }

    /** Records the latest announcement of another voter. */
    public void heard(Hello h) {
        if (h.fleet().equals(self.fleet())
                && names.contains(h.name())
                && !h.name().equals(self.name())) {
            heard.put(h.name(), h);
        }
    }

    /** The decision by all announcements so far. */
    public Decision decide() {
        for (Hello h : heard.values()) {
            if (h.initial() != null) {
                return new Decision(h.initial().contains(self.point()) ? Step.BEGIN : Step.LISTEN, h.initial());
            }
        }
        if (heard.size() < names.size() - 1) {
            return new Decision(Step.WAIT, List.of());
        }
        List<String> members = new ArrayList<>();
        members.add(self.point());
        heard.values().forEach(h -> members.add(h.point()));
        members.sort(null);
        return new Decision(Step.BEGIN, List.copyOf(members));
    }
}
