package marlford.gateway.list;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;

/**
 * The gateway's copy of discovery's host list: decides which updates are accepted and how far a list that is no longer
 * confirmed may be used. Pure: the caller passes the time to every call, does all I/O and forwards what is returned.
 *
 * <p><b>Which updates are accepted.</b> The list has a source, the agent that sent it. An update of that agent is accepted
 * if its version is not below the version held. Another agent's update is accepted only if it is a full list, since
 * versions of two agents need not continue each other. If the source keeps sending full lists with a lower version for
 * {@link Limits#lowerVersionRejectMs}, it has restarted its numbering and is accepted: rejecting it for good would cut the gateway
 * off from discovery.
 *
 * <p><b>A drain survives a change of source.</b> A host that was reported as draining or gone stays closed when
 * <em>another</em> agent, or one that restarted its numbering, lists the same incarnation of it (same {@code startedMs})
 * as ready, because that report may be older. The newer source is accepted after {@link Limits#closedHoldMs}, or with its next
 * change that names the host.
 *
 * <p><b>Hosts that operators exclude</b> drain, whatever any agent reports, until the exclusion ends.
 *
 * <p><b>The age of the list.</b> Each accepted update, an empty one too, confirms the list. Once it has not been confirmed
 * for {@link Limits#staleAfterMs}, hosts that have not answered this gateway within that time are suspended, that is, treated as
 * draining, those whose last answer is oldest first. At least {@link Limits#retainedHostShare} of the running hosts, and at least
 * one, always stay, since a gateway without a host can serve no request. The next accepted update ends the suspension.
 *
 * <p>Memory: one entry for each host on the list, and at most {@value #MAX_REMOVED_HOSTS} for hosts that were removed from
 * it, each for {@link Limits#removedHostRetentionMs}. Not thread-safe: used on one event loop only.
 */
public final class HostList {
    /**
     * Time limits of a list.
     *
     * @param staleAfterMs age of the last accepted update, in milliseconds, above which the list alone no longer keeps a host in
     *     use; above 0
     * @param retainedHostShare share of the running hosts that stay in use however old the list is; 0 to 1
     * @param closedHoldMs how long, in milliseconds, a report of another source does not reopen a closed host; 0 or more
     * @param lowerVersionRejectMs how long, in milliseconds, full lists of the source with a lower version are rejected as outdated;
     *     0 or more
     * @param removedHostRetentionMs how long, in milliseconds, a host that was removed from the list is remembered; at least closedHoldMs
     */
    public record Limits(double staleAfterMs, double retainedHostShare, double closedHoldMs, double lowerVersionRejectMs,
            double removedHostRetentionMs) {
        /** The values that a gateway uses; each is documented in docs/operators/reload.md. */
        public static final Limits DEFAULT = new Limits(30_000, 0.5, 10_000, 1000, 60_000);

        public Limits {
            if (!(staleAfterMs > 0) || !(retainedHostShare >= 0 && retainedHostShare <= 1) || !(closedHoldMs >= 0)
                    || !(lowerVersionRejectMs >= 0) || !(removedHostRetentionMs >= closedHoldMs)) {
                throw new IllegalArgumentException("a time limit or share of the host list is out of range");
            }
        }
    }

    /**
     * The result of an update.
     *
     * @param accepted whether the update was accepted
     * @param kind what {@code hosts} stands for
     * @param hosts the hosts to pass on to the decision engine, with the states that the gateway is to use
     */
    public record Update(boolean accepted, ListKind kind, List<Host> hosts) {
        static final Update REJECTED = new Update(false, ListKind.FAILED, List.of());
    }

    /** Upper limit of removed hosts that are remembered; above it those that were listed first are forgotten first. */
    static final int MAX_REMOVED_HOSTS = 10_000;

    /** Stands for "no version held": the next call has to request the full list. */
    public static final long NO_VERSION = -1;

    /** What is known of one host. */
    private static final class Entry {
        Host host; // as last reported by discovery
        HostState reportedState; // as last passed on to the decision engine
        double closedAtMs = Double.NEGATIVE_INFINITY; // when this incarnation was reported as draining or gone
        double heldClosedUntilMs = Double.NEGATIVE_INFINITY; // stays closed until then, whatever another source reports
        double lastAnswerMs = Double.NEGATIVE_INFINITY;
        boolean suspended; // since the list is too old
        boolean excluded; // by operators

        /** The state that the gateway is to use. */
        HostState state(double now) {
            if (host.state() != HostState.RUNNING) {
                return host.state();
            }
            return suspended || excluded || now < heldClosedUntilMs ? HostState.DRAINING : HostState.RUNNING;
        }
    }

    private final Limits limits;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private Set<String> excludedIds = Set.of();
    private Object source;
    private long version = NO_VERSION;
    private long cachedVersion = NO_VERSION;
    // While true no change is accepted, but versions are still compared with the one held.
    private boolean fullListDue;
    private double confirmedAtMs;
    private double lowerVersionSinceMs = Double.NaN;

    /** @param now start of the list's age until an update is accepted; in milliseconds, as in all calls */
    public HostList(Limits limits, double now) {
        this.limits = limits;
        this.confirmedAtMs = now;
    }

    /** The version from which to request changes of this agent, or {@link #NO_VERSION} if its full list is due. */
    public long heldVersion(Object agent) {
        return agent.equals(source) && !fullListDue ? version : NO_VERSION;
    }

    /** Milliseconds since an update was last accepted. */
    public double ageMs(double now) {
        return now - confirmedAtMs;
    }

    /** An accepted update could not be passed on: the full list is due again, in a version that is not lower. */
    public void requireFullList() {
        fullListDue = true;
    }

    /**
     * Loads a list that was cached before this process started. Its age is unknown, so the first full list of any agent
     * replaces it unconditionally.
     *
     * @param cachedVersion the version that was stored with the list, or {@link #NO_VERSION}
     */
    public Update loadCached(List<Host> hosts, long cachedVersion) {
        this.cachedVersion = cachedVersion;
        for (Host h : hosts) {
            Entry e = new Entry();
            e.host = h;
            e.excluded = excludedIds.contains(h.id());
            entries.put(h.id(), e);
        }
        return new Update(true, ListKind.CACHED, report(confirmedAtMs, entries.values()));
    }

    /**
     * Makes the cached list the base for changes, after the agent rejected a request for its full list under load. Changes
     * since the cached version cost the agent less, and an agent that does not know the version answers with the full list.
     */
    public void continueFromCached(Object agent) {
        if (source == null && cachedVersion != NO_VERSION) {
            source = agent;
            version = cachedVersion;
        }
    }

    /** Processes an update of an agent. A rejected update changes no host; after a rejected change the full list is due. */
    public Update receive(double now, Object agent, long updateVersion, boolean full, List<Host> hosts) {
        boolean sameSource = agent.equals(source);
        boolean lowerVersion = sameSource && updateVersion < version;
        if (!full && (!sameSource || lowerVersion || fullListDue)) {
            requireFullList();
            return Update.REJECTED;
        }
        if (lowerVersion) {
            lowerVersionSinceMs = Double.isNaN(lowerVersionSinceMs) ? now : lowerVersionSinceMs;
            if (now - lowerVersionSinceMs < limits.lowerVersionRejectMs()) {
                return Update.REJECTED;
            }
        }
        boolean mayBeOlder = source != null && (!sameSource || lowerVersion); // only full lists: such a change was rejected above
        source = agent;
        version = updateVersion;
        fullListDue = false; // a change is accepted only if no full list is due
        confirmedAtMs = now;
        lowerVersionSinceMs = Double.NaN;
        Map<String, Entry> changed = new LinkedHashMap<>();
        for (Host h : hosts) {
            changed.put(h.id(), update(now, h, mayBeOlder));
        }
        if (full) {
            removeUnlisted(now, changed.keySet());
        }
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
            if (e.getValue().suspended) {
                e.getValue().suspended = false;
                changed.put(e.getKey(), e.getValue());
            }
        }
        Update update = new Update(true, full ? ListKind.FULL : ListKind.CHANGES, report(now, changed.values()));
        forgetExcessRemoved();
        return update;
    }

    /** Forgets the removed hosts that were listed first, if more are remembered than the limit allows. */
    private void forgetExcessRemoved() {
        int excess = -MAX_REMOVED_HOSTS;
        for (Entry e : entries.values()) {
            excess += e.host.state() == HostState.GONE ? 1 : 0;
        }
        Iterator<Entry> all = entries.values().iterator();
        while (excess > 0) {
            if (all.next().host.state() == HostState.GONE) {
                all.remove();
                excess--;
            }
        }
    }

    private Entry update(double now, Host h, boolean mayBeOlder) {
        Entry e = entries.computeIfAbsent(h.id(), id -> new Entry());
        e.excluded = excludedIds.contains(h.id());
        boolean sameIncarnation = e.host != null && e.host.startedMs() == h.startedMs();
        boolean wasClosed = sameIncarnation && (e.host.state() != HostState.RUNNING || now < e.heldClosedUntilMs);
        if (!sameIncarnation || h.state() == HostState.RUNNING && !mayBeOlder) {
            e.heldClosedUntilMs = Double.NEGATIVE_INFINITY;
        } else if (mayBeOlder && wasClosed && h.state() == HostState.RUNNING && !(now < e.heldClosedUntilMs)) {
            e.heldClosedUntilMs = now + limits.closedHoldMs();
        }
        e.host = h;
        e.closedAtMs = h.state() == HostState.RUNNING ? Double.NEGATIVE_INFINITY : now;
        return e;
    }

    /** A host that a full list does not name is gone. It is remembered for a while so that an older list can't reopen it. */
    private void removeUnlisted(double now, Set<String> listed) {
        entries.entrySet().removeIf(e -> {
            Entry entry = e.getValue();
            if (listed.contains(e.getKey())) {
                return false;
            }
            if (entry.host.state() != HostState.GONE) {
                entry.host = entry.host.withState(HostState.GONE);
                entry.reportedState = HostState.GONE;
                entry.closedAtMs = now;
            }
            return now - entry.closedAtMs > limits.removedHostRetentionMs();
        });
    }

    /** These hosts with the states that the gateway is to use, which count as passed on. */
    private List<Host> report(double now, Iterable<Entry> which) {
        List<Host> hosts = new ArrayList<>();
        for (Entry e : which) {
            e.reportedState = e.state(now);
            hosts.add(e.host.withState(e.reportedState));
        }
        return hosts;
    }

    /**
     * Replaces the set of hosts that operators exclude. Each of them counts as draining, whatever its agent reports and
     * however often it restarts, until a later call does not name it. Hosts that are not on the list may be named.
     *
     * @return the hosts whose state this changes, to be passed on
     */
    public List<Host> setExcluded(double now, Set<String> ids) {
        excludedIds = Set.copyOf(ids);
        entries.forEach((id, e) -> e.excluded = excludedIds.contains(id));
        return changedHosts(now);
    }

    /** The ids of the hosts on the list, in any state but gone. */
    public Set<String> listedIds() {
        Set<String> ids = new HashSet<>();
        entries.forEach((id, e) -> {
            if (e.host.state() != HostState.GONE) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** The number of entries, including removed hosts that are still remembered. */
    int entryCount() {
        return entries.size();
    }

    /** The number of hosts that would be on the list if these changes were accepted. */
    public int listedCountAfter(List<Host> changes) {
        int listed = 0;
        for (Entry e : entries.values()) {
            listed += e.host.state() == HostState.GONE ? 0 : 1;
        }
        for (Host h : changes) {
            Entry e = entries.get(h.id());
            boolean listedBefore = e != null && e.host.state() != HostState.GONE;
            boolean listedAfter = h.state() != HostState.GONE;
            listed += (listedAfter ? 1 : 0) - (listedBefore ? 1 : 0);
        }
        return listed;
    }

    /** Records that a host answered this gateway, so its process is alive. */
    public void hostAnswered(double now, String id) {
        Entry e = entries.get(id);
        if (e != null) {
            e.lastAnswerMs = now;
        }
    }

    /**
     * Applies the effects of time; to be called about once a second.
     *
     * @return the hosts whose state changed, to be passed on; empty if there are none
     */
    public List<Host> review(double now) {
        if (ageMs(now) > limits.staleAfterMs()) {
            suspendUnresponsive(now);
        }
        entries.values().removeIf(e -> e.host.state() == HostState.GONE && now - e.closedAtMs > limits.removedHostRetentionMs());
        return changedHosts(now);
    }

    private List<Host> changedHosts(double now) {
        List<Entry> changed = new ArrayList<>();
        for (Entry e : entries.values()) {
            if (e.reportedState != e.state(now)) {
                changed.add(e);
            }
        }
        return report(now, changed);
    }

    private void suspendUnresponsive(double now) {
        List<Entry> running = new ArrayList<>();
        for (Entry e : entries.values()) {
            if (e.host.state() == HostState.RUNNING && !(now < e.heldClosedUntilMs)) {
                running.add(e);
            }
        }
        running.sort(Comparator.comparingDouble((Entry e) -> -e.lastAnswerMs).thenComparing(e -> e.host.id()));
        int retained = Math.max(1, (int) Math.ceil(running.size() * limits.retainedHostShare()));
        for (int i = 0; i < running.size(); i++) {
            running.get(i).suspended = i >= retained && now - running.get(i).lastAnswerMs > limits.staleAfterMs();
        }
    }
}
