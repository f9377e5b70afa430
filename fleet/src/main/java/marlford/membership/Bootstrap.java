package marlford.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How a voter whose disk knows of no group comes to one. A group is founded by <em>all</em> voters that the configuration
 * names, each with an empty disk: where one is away there may be a group that only it knows of. Whoever hears of a group
 * that has its disk among the first ones takes its place there; with another disk it is a newcomer, and waits to be taken in.
 */
public final class Bootstrap {
    /** What a voter is to do. */
    public enum Step {
        /** Request again. */
        WAIT,
        /** Begin as one of these members: it has never voted, and they count on it. */
        BEGIN,
        /** Listen, and begin with no vote: these members may take it in. */
        LISTEN
    }

    /** The step and the first members of the group. */
    public record Decision(Step step, List<String> members) {}

    private final Hello self;
    private final Collection<String> names;
    private final Map<String, Hello> heard = new HashMap<>();

    /** @param names of all voters, this one's too */
    public Bootstrap(Hello self, Collection<String> names) {
        this.self = self;
        this.names = List.copyOf(names);
    }

    /** What another voter said last. */
    public void heard(Hello h) {
        if (h.fleet().equals(self.fleet())
                && names.contains(h.name())
                && !h.name().equals(self.name())) {
            heard.put(h.name(), h);
        }
    }

    /** What follows from all that was heard. */
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
