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
 * What a gateway holds of discovery's list, which of its words it takes, and how far it may go by a list that nobody
 * keeps. Pure: every call brings its time, nothing is read or sent, and the caller passes on what comes back.
 *
 * <p><b>Which word is taken.</b> A list belongs to the agent that told it. From that agent a word is taken if its
 * version is not below the one held; from another agent only a whole list is, since versions of two agents need not
 * go on from each other. An agent whose whole list keeps coming with a lower version for
 * {@link Limits#renumberMs} counts from anew, and is believed then: refused for good it would leave the gateway deaf.
 *
 * <p><b>Drains outlive their teller.</b> A host that was told to drain or to be gone stays closed when <em>another</em>
 * agent, or one that counts anew, lists the same life of it (same {@code startedMs}) as ready: that word may be older.
 * After {@link Limits#stickMs}, or with the next change that names the host, the newer teller is believed.
 *
 * <p><b>Hosts that operators leave out</b> drain, whatever any agent says, until they are taken back.
 *
 * <p><b>The age of the list.</b> Each word taken, an empty one too, vouches for the list. One that is older than
 * {@link Limits#vouchMs} is gone by no more for hosts that have not answered this gateway within that time: they are
 * put aside as if they drained, those that answered longest ago first. At least {@link Limits#keptShare} of the
 * running ones, and one, always stay, since a list without a server serves nobody. The next word takes them back.
 *
 * <p>Bound: as many entries as the list names, and at most {@value #GONE_MAX} of those that left it, each for
 * {@link Limits#goneMs}. Not thread-safe; it
 * belongs to one event loop.
 */
public final class HostList {
    /**
     * @param vouchMs age, in milliseconds, from which a list is no longer gone by alone; above 0
     * @param keptShare share of the running hosts that stay however old the list is; 0 to 1
     * @param stickMs how long, in milliseconds, another teller's word does not reopen a closed host; 0 or more
     * @param renumberMs how long, in milliseconds, an agent's lower version counts as out of date; 0 or more
     * @param goneMs how long, in milliseconds, a host that left the list is remembered; at least stickMs
     */
    public record Limits(double vouchMs, double keptShare, double stickMs, double renumberMs, double goneMs) {
        /** As a gateway goes by, each stated in docs/operators/reload.md. */
        public static final Limits DEFAULT = new Limits(30_000, 0.5, 10_000, 1000, 60_000);

        public Limits {
            if (!(vouchMs > 0) || !(keptShare >= 0 && keptShare <= 1) || !(stickMs >= 0) || !(renumberMs >= 0)
                    || !(goneMs >= stickMs)) {
                throw new IllegalArgumentException("limits of a list's age out of range");
            }
        }
    }

    /** What became of a word: whether it was taken, and what the gateway is to be told, if anything. */
    public record Told(boolean taken, ListKind kind, List<Host> hosts) {
        static final Told NOTHING = new Told(false, ListKind.FAILED, List.of());
    }

    /** Hosts that left the list and are remembered, at most; beyond it the first ones of the list are forgotten. */
    static final int GONE_MAX = 10_000;

    /** No version is held: the next call asks for the whole list. */
    public static final long NONE = -1;

    private static final class Held {
        Host host; // as discovery tells it
        HostState told; // as the gateway goes by it
        double closedAt = Double.NEGATIVE_INFINITY; // when this life was told to drain or to be gone
        double shutTill = Double.NEGATIVE_INFINITY; // closed until then, whatever another teller says
        double servedAt = Double.NEGATIVE_INFINITY;
        boolean aside;
        boolean leftOut; // by operators

        HostState state(double now) {
            if (host.state() != HostState.RUNNING) {
                return host.state();
            }
            return aside || leftOut || now < shutTill ? HostState.DRAINING : HostState.RUNNING;
        }
    }

    private final Limits limits;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private Set<String> leftOut = Set.of();
    private Object teller;
    private long version = NONE;
    private long knownVersion = NONE;
    private boolean wholeDue; // what is held stays the measure of what is older, though no change may go on from it
    private double vouchedAt;
    private double olderSince = Double.NaN;

    /** @param now the list's age counts from here until a word is taken; in milliseconds, as in all calls */
    public HostList(Limits limits, double now) {
        this.limits = limits;
        this.vouchedAt = now;
    }

    /** The version to ask this agent to go on from, or {@link #NONE} where its whole list is due. */
    public long version(Object agent) {
        return agent.equals(teller) && !wholeDue ? version : NONE;
    }

    /** Milliseconds since a word was last taken. */
    public double ageMs(double now) {
        return now - vouchedAt;
    }

    /** What was told could not be passed on: the whole list is due again, and no older one than that. */
    public void lost() {
        wholeDue = true;
    }

    /**
     * A list from before this gateway's start, of unknown age: a first word replaces it without more ado.
     *
     * @param knownVersion what the list said of itself, or {@link #NONE}
     */
    public Told known(List<Host> hosts, long knownVersion) {
        this.knownVersion = knownVersion;
        for (Host h : hosts) {
            Held e = new Held();
            e.host = h;
            e.leftOut = leftOut.contains(h.id());
            held.put(h.id(), e);
        }
        return new Told(true, ListKind.CACHED, tell(vouchedAt, held.values()));
    }

    /**
     * The agent turned the call for its whole list away: what changed since the list from before the start costs it less,
     * and an agent that knows no such version answers with the whole list.
     */
    public void goOnFromKnown(Object agent) {
        if (teller == null && knownVersion != NONE) {
            teller = agent;
            version = knownVersion;
        }
    }

    /** A word of an agent; where it is not taken nothing changes, and the agent's whole list is due. */
    public Told heard(double now, Object agent, long saidVersion, boolean whole, List<Host> hosts) {
        boolean same = agent.equals(teller);
        boolean older = same && saidVersion < version;
        if (!whole && (!same || older || wholeDue)) {
            lost();
            return Told.NOTHING;
        }
        if (older) {
            olderSince = Double.isNaN(olderSince) ? now : olderSince;
            if (now - olderSince < limits.renumberMs()) {
                return Told.NOTHING;
            }
        }
        boolean doubtful = teller != null && (!same || older); // a change that is either was not taken
        teller = agent;
        version = saidVersion;
        wholeDue = false; // a change is taken only where no whole list is due
        vouchedAt = now;
        olderSince = Double.NaN;
        Map<String, Held> changed = new LinkedHashMap<>();
        for (Host h : hosts) {
            changed.put(h.id(), take(now, h, doubtful));
        }
        if (whole) {
            leave(now, changed.keySet());
        }
        for (Map.Entry<String, Held> e : held.entrySet()) {
            if (e.getValue().aside) {
                e.getValue().aside = false;
                changed.put(e.getKey(), e.getValue());
            }
        }
        Told told = new Told(true, whole ? ListKind.FULL : ListKind.CHANGES, tell(now, changed.values()));
        forgetOldest();
        return told;
    }

    /** Those that have been held longest, where more are remembered than may be. */
    private void forgetOldest() {
        int tooMany = -GONE_MAX;
        for (Held e : held.values()) {
            tooMany += e.host.state() == HostState.GONE ? 1 : 0;
        }
        Iterator<Held> all = held.values().iterator();
        while (tooMany > 0) {
            if (all.next().host.state() == HostState.GONE) {
                all.remove();
                tooMany--;
            }
        }
    }

    private Held take(double now, Host h, boolean doubtful) {
        Held e = held.computeIfAbsent(h.id(), id -> new Held());
        e.leftOut = leftOut.contains(h.id());
        boolean sameLife = e.host != null && e.host.startedMs() == h.startedMs();
        boolean wasClosed = sameLife && (e.host.state() != HostState.RUNNING || now < e.shutTill);
        if (!sameLife || h.state() == HostState.RUNNING && !doubtful) {
            e.shutTill = Double.NEGATIVE_INFINITY;
        } else if (doubtful && wasClosed && h.state() == HostState.RUNNING && !(now < e.shutTill)) {
            e.shutTill = now + limits.stickMs();
        }
        e.host = h;
        e.closedAt = h.state() == HostState.RUNNING ? Double.NEGATIVE_INFINITY : now;
        return e;
    }

    /** Who is not in a whole list is gone, and remembered for a while lest an older list brings it back. */
    private void leave(double now, Set<String> named) {
        held.entrySet().removeIf(e -> {
            Held h = e.getValue();
            if (named.contains(e.getKey())) {
                return false;
            }
            if (h.host.state() != HostState.GONE) {
                h.host = with(h.host, HostState.GONE);
                h.told = HostState.GONE;
                h.closedAt = now;
            }
            return now - h.closedAt > limits.goneMs();
        });
    }

    private List<Host> tell(double now, Iterable<Held> which) {
        List<Host> hosts = new ArrayList<>();
        for (Held e : which) {
            e.told = e.state(now);
            hosts.add(with(e.host, e.told));
        }
        return hosts;
    }

    private static Host with(Host h, HostState state) {
        return h.state() == state ? h
                : new Host(h.id(), h.zone(), h.kind(), h.cell(), state, h.rating(), h.startedMs());
    }

    /**
     * Operators leave out these hosts and no others: each counts as draining, whatever its agent says and however
     * often it starts anew, until a later call names it no more. Hosts that are not on the list may be named.
     *
     * @return what that changes, to be told
     */
    public List<Host> leaveOut(double now, Set<String> ids) {
        leftOut = Set.copyOf(ids);
        held.forEach((id, e) -> e.leftOut = leftOut.contains(id));
        return moved(now);
    }

    /** The hosts on the list, whatever their state. */
    public Set<String> listed() {
        Set<String> ids = new HashSet<>();
        held.forEach((id, e) -> {
            if (e.host.state() != HostState.GONE) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** How many entries there are, those included that left the list. */
    int held() {
        return held.size();
    }

    /** How many hosts would be on the list if these changes were taken. */
    public int listedWith(List<Host> changes) {
        int listed = 0;
        for (Held e : held.values()) {
            listed += e.host.state() == HostState.GONE ? 0 : 1;
        }
        for (Host h : changes) {
            Held e = held.get(h.id());
            boolean before = e != null && e.host.state() != HostState.GONE;
            boolean after = h.state() != HostState.GONE;
            listed += (after ? 1 : 0) - (before ? 1 : 0);
        }
        return listed;
    }

    /** A host gave an answer, so its process lives. */
    public void served(double now, String id) {
        Held e = held.get(id);
        if (e != null) {
            e.servedAt = now;
        }
    }

    /** To be called once a second or so: what time has changed, as changes to be told; empty where nothing did. */
    public List<Host> review(double now) {
        if (ageMs(now) > limits.vouchMs()) {
            putAside(now);
        }
        held.values().removeIf(e -> e.host.state() == HostState.GONE && now - e.closedAt > limits.goneMs());
        return moved(now);
    }

    private List<Host> moved(double now) {
        List<Held> moved = new ArrayList<>();
        for (Held e : held.values()) {
            if (e.told != e.state(now)) {
                moved.add(e);
            }
        }
        return tell(now, moved);
    }

    private void putAside(double now) {
        List<Held> running = new ArrayList<>();
        for (Held e : held.values()) {
            if (e.host.state() == HostState.RUNNING && !(now < e.shutTill)) {
                running.add(e);
            }
        }
        running.sort(Comparator.comparingDouble((Held e) -> -e.servedAt).thenComparing(e -> e.host.id()));
        int kept = Math.max(1, (int) Math.ceil(running.size() * limits.keptShare()));
        for (int i = 0; i < running.size(); i++) {
            running.get(i).aside = i >= kept && now - running.get(i).servedAt > limits.vouchMs();
        }
    }
}
