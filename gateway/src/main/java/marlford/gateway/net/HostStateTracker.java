package marlford.gateway.net;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;

/** What was last told of each host, and when its state last changed. On the event loop. */
final class HostStateTracker {
    private final Clock clock;
    private final Map<String, Told> hosts = new HashMap<>();

    private record Told(Host host, double sinceMs) { }

    HostStateTracker(Clock clock) {
        this.clock = clock;
    }

    void told(ListKind kind, List<Host> list) {
        double now = clock.now();
        Set<String> named = new HashSet<>();
        for (Host host : list) {
            named.add(host.id());
            Told before = hosts.get(host.id());
            boolean same = before != null && before.host().state() == host.state();
            hosts.put(host.id(), new Told(host, same ? before.sinceMs() : now));
        }
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            hosts.keySet().retainAll(named); // what is not named has no address either
        }
    }

    /** Null where no list names it. */
    Host host(String id) {
        Told told = hosts.get(id);
        return told == null ? null : told.host();
    }

    HostState state(String id) {
        Told told = hosts.get(id);
        return told == null ? HostState.GONE : told.host().state();
    }

    /** Since when it is in this state; long ago where no list names it. */
    double sinceMs(String id) {
        Told told = hosts.get(id);
        return told == null ? 0 : told.sinceMs();
    }
}
