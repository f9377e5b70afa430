package marlford.gateway.guard;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.Scope;

/** The groups of hosts that share idempotency keys among each other, each by one of its hosts. Pure. */
final class KeyGroups {
    private final List<Host> groups = new ArrayList<>();

    void add(Host host) {
        if (groups.stream().noneMatch(group -> Scope.CELL.sharesKeys(group, host))) {
            groups.add(host);
        }
    }

    /** Passes on one host of each group. */
    void forEach(Consumer<Host> action) {
        groups.forEach(action);
    }

    /** Whether all hosts share their keys with this one. */
    boolean allShareKeysWith(Host host, Scope scope) {
        return groups.stream().allMatch(group -> scope.sharesKeys(group, host));
    }
}
