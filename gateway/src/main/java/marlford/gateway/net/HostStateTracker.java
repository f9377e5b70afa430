package marlford.gateway.net;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;

/** The last reported state of each host, and when that state last changed. Used on the event loop only. */
final class HostStateTracker {
    private final Clock clock;
    private final Map<String, TrackedHost> hosts = new HashMap<>();

    private record TrackedHost(Host host, double sinceMs) { }

    HostStateTracker(Clock clock) {
        this.clock = clock;
    }

    /** Takes over a list of hosts, or changes to it. */
    void update(ListKind kind, List<Host> list) {
        double now = clock.now();
        Set<String> listedIds = new HashSet<>();
        for (Host host : list) {
            listedIds.add(host.id());
            TrackedHost previous = hosts.get(host.id());
            boolean same = previous != null && previous.host().state() == host.state();
            hosts.put(host.id(), new TrackedHost(host, same ? previous.sinceMs() : now));
        }
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            hosts.keySet().retainAll(listedIds); // a host that is not listed has no address either
        }
    }

    /** Returns the host as it was last listed; null if it is not on the list. */
    Host host(String id) {
        TrackedHost tracked = hosts.get(id);
        return tracked == null ? null : tracked.host();
    }

    /** Returns the host's state; {@code GONE} if it is not on the list. */
    HostState state(String id) {
        TrackedHost tracked = hosts.get(id);
        return tracked == null ? HostState.GONE : tracked.host().state();
    }

    /** Returns since when the host has been in its state; 0 if it is not on the list. */
    double sinceMs(String id) {
        TrackedHost tracked = hosts.get(id);
        return tracked == null ? 0 : tracked.sinceMs();
    }
}
