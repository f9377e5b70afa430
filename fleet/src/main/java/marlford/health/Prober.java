package marlford.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Member;
import marlford.partition.Partitioner;

/**
 * Health checks with one prober for each host. Hosts are partitioned into {@value #SHARDS} shards; the member that
 * holds a shard probes its hosts in turn and reports the results on the board. Hosts do not check fencing tokens: two
 * members may probe one host at the same time if a process is suspended, which does no harm.
 *
 * <p>A member that cannot reach more than half of the hosts it probed lately, and of at least {@value #FEWEST}, may
 * itself be cut off. It keeps its failures to itself, and reports successes only.
 *
 * <p>Limits: {@value #HOSTS_MAX} hosts, the first by name; {@value #UNDER_WAY_MAX} concurrent probes. Times in
 * milliseconds of one monotonic clock. Not thread-safe.
 */
public final class Prober {
    /** The board's topic for probe results. */
    public static final String TOPIC = "probe";

    static final String POOL = "host-probe";
    static final int SHARDS = 64;
    static final int HOSTS_MAX = 4096;
    static final int UNDER_WAY_MAX = 32;
    static final int FEWEST = 3;
    private static final double LATELY = 3; // rounds

    /** A probe to be sent now. */
    public record Probe(String host, int shard, long token, double sentAt) {}

    private static final class Watched {
        final int shard;
        long token; // fencing token of its shard
        double nextAt;
        boolean running;
        boolean reached = true;
        double askedAt = Double.NEGATIVE_INFINITY;

        Watched(int shard) {
            this.shard = shard;
        }
    }

    private final double everyMs;
    private final double takesMs;
    private final Map<String, Watched> hosts = new HashMap<>();
    private int running;
    private long kept;

    /** @param takesMs the timeout of a probe */
    public Prober(double everyMs, double takesMs) {
        this.everyMs = everyMs;
        this.takesMs = takesMs;
    }

    /** Joins the pool of probers. */
    public void begin(Member member) {
        member.join(POOL, SHARDS);
    }

    /** Sets the hosts to be probed. */
    public void listed(Collection<String> names) {
        Set<String> there =
                new HashSet<>(names.stream().sorted().limit(HOSTS_MAX).toList());
        hosts.entrySet().removeIf(e -> !there.contains(e.getKey()) && !e.getValue().running);
        there.forEach(h -> hosts.computeIfAbsent(h, name -> new Watched(shard(name))));
    }

    static int shard(String host) {
        return Partitioner.shardOf(host, SHARDS);
    }

    /** The phase of a host in a round, from 0 to 1, so that probes are spread over the round. */
    private static double phase(String host) {
        return Math.floorMod(host.hashCode() * 0x85EBCA6B >>> Byte.SIZE, Short.MAX_VALUE) / (double) Short.MAX_VALUE;
    }

    /** The probes to be sent now; {@link #ended} or {@link #unsent} is called for each. */
    public List<Probe> due(Member member, double now, double lateMs) {
        Map<Integer, LeaseStateMachine.Holding> mine = new HashMap<>();
        for (LeaseStateMachine.Holding h : member.holdings()) {
            if (h.name().equals(POOL) && h.shard() >= 0) {
                mine.put(h.shard(), h);
            }
        }
        List<Probe> due = new ArrayList<>();
        Set<Integer> busy = new HashSet<>();
        hosts.forEach((host, w) -> {
            LeaseStateMachine.Holding h = mine.get(w.shard);
            if (h == null) {
                return;
            }
            if (w.token != h.token()) {
                w.token = h.token();
                w.nextAt = now + phase(host) * everyMs;
            }
            if (!h.wanted()
                    && !w.running
                    && now >= w.nextAt
                    && running < UNDER_WAY_MAX
                    && member.mayAct(h.token(), now, lateMs, takesMs)) {
                w.running = true;
                running++;
                w.nextAt = now + everyMs;
                due.add(new Probe(host, h.shard(), h.token(), now));
            }
            if (w.running) {
                busy.add(w.shard);
            }
        });
        mine.values().stream()
                .filter(h -> h.wanted() && !busy.contains(h.shard()))
                .forEach(member::giveUp);
        return due;
    }

    /** A probe that this machine could not send tells nothing of its host, which is probed again in the next round. */
    public void unsent(Probe p) {
        running--;
        Watched w = hosts.get(p.host());
        if (w != null) {
            w.running = false;
        }
    }

    /** Records the result of a probe. */
    public void ended(Member member, Probe p, ProbeResult f, double now) {
        Watched w = hosts.get(p.host());
        running--;
        if (w == null) {
            return;
        }
        boolean reached = f.kind() == ProbeResult.Kind.WELL || f.kind() == ProbeResult.Kind.ILL;
        boolean changed = reached != w.reached;
        w.running = false;
        w.reached = reached;
        w.askedAt = now;
        if (reached || !doubtsItself(now)) {
            member.board().tell(TOPIC, p.host(), p.token(), f.text(), p.sentAt(), changed);
        } else {
            kept++;
        }
    }

    private boolean doubtsItself(double now) {
        List<Watched> asked = hosts.values().stream()
                .filter(w -> now - w.askedAt < LATELY * everyMs)
                .toList();
        long missed = asked.stream().filter(w -> !w.reached).count();
        return asked.size() >= FEWEST && missed * 2 > asked.size();
    }

    /** One line for the operators' page. */
    public String text() {
        return "probes hosts=" + hosts.size() + " under_way=" + running + " kept_to_itself=" + kept;
    }
}
