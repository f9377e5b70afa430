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
 * One prober of each host for all: the hosts fall into {@value #SHARDS} shards, each shard has one member, and that member
 * asks the shard's hosts in turn and tells all what it found. A probe is a <em>bounded</em> act: a host knows no tokens. Two
 * probes of one host at once need a stop between look and write, and do no harm.
 *
 * <p><b>Whose fault is it?</b> A member that fails to reach more than half of the hosts it asked lately, and of at least
 * {@value #FEWEST}, may itself be cut off: what it failed at it keeps to itself, and others find out on their own, as without a
 * prober. What it reached is told all the same.
 *
 * <p>Bounds: {@value #HOSTS_MAX} hosts, the first by their names; {@value #UNDER_WAY_MAX} probes under way. Milliseconds by
 * one monotonic clock. Not thread-safe.
 */
public final class Prober {
    /** The board's topic of findings. */
    public static final String TOPIC = "probe";

    static final String POOL = "host-probe";
    static final int SHARDS = 64;
    static final int HOSTS_MAX = 4096;
    static final int UNDER_WAY_MAX = 32;
    static final int FEWEST = 3;
    private static final double LATELY = 3; // rounds

    /** A probe that begins now. */
    public record Probe(String host, int shard, long token, double sentAt) {}

    private static final class Watched {
        final int shard;
        long token; // under which it is asked
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

    /** @param takesMs the longest that a probe takes */
    public Prober(double everyMs, double takesMs) {
        this.everyMs = everyMs;
        this.takesMs = takesMs;
    }

    /** Takes part. */
    public void begin(Member member) {
        member.join(POOL, SHARDS);
    }

    /** The hosts there are. */
    public void listed(Collection<String> names) {
        Set<String> there =
                new HashSet<>(names.stream().sorted().limit(HOSTS_MAX).toList());
        hosts.entrySet().removeIf(e -> !there.contains(e.getKey()) && !e.getValue().running);
        there.forEach(h -> hosts.computeIfAbsent(h, name -> new Watched(shard(name))));
    }

    static int shard(String host) {
        return Partitioner.shardOf(host, SHARDS);
    }

    /** Where in a round a host has its turn, so that one member's hosts are not asked in one moment; 0 to 1. */
    private static double phase(String host) {
        return Math.floorMod(host.hashCode() * 0x85EBCA6B >>> Byte.SIZE, Short.MAX_VALUE) / (double) Short.MAX_VALUE;
    }

    /** The probes that begin now; each is {@link #ended} later. */
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

    /** A probe is over. */
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

    /** For operators. */
    public String text() {
        return "probes hosts=" + hosts.size() + " under_way=" + running + " kept_to_itself=" + kept;
    }
}
