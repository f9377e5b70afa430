package marlford.probe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.lease.Book;
import marlford.lease.Member;

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
    public record Probe(String host, int shard, long token, double sentAt) { }

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
        Set<String> there = new HashSet<>(names.stream().sorted().limit(HOSTS_MAX).toList());
        hosts.entrySet().removeIf(e -> !there.contains(e.getKey()) && !e.getValue().running);
        there.forEach(h -> hosts.computeIfAbsent(h, name -> new Watched(shard(name))));
    }

    /** Spread evenly whatever names look like. */
    static int shard(String host) {
        int h = host.hashCode() * 0x9E3779B9; // the golden ratio: names in a row end far from each other
        return Math.floorMod(h ^ h >>> Short.SIZE, SHARDS);
    }

    /** Where in a round a host has its turn, so that one member's hosts are not asked in one moment; 0 to 1. */
    private static double phase(String host) {
        return Math.floorMod(host.hashCode() * 0x85EBCA6B >>> Byte.SIZE, Short.MAX_VALUE) / (double) Short.MAX_VALUE;
    }

    /** The probes that begin now; each is {@link #ended} later. */
    public List<Probe> due(Member member, double now, double lateMs) {
        List<Probe> due = new ArrayList<>();
        for (Book.Holding h : member.holdings()) {
            if (!h.name().equals(POOL) || h.shard() < 0) {
                continue;
            }
            boolean quiet = true;
            for (Map.Entry<String, Watched> e : hosts.entrySet()) {
                Watched w = e.getValue();
                if (w.shard != h.shard()) {
                    continue;
                }
                if (w.token != h.token()) {
                    w.token = h.token();
                    w.nextAt = now + phase(e.getKey()) * everyMs;
                }
                if (!h.wanted() && !w.running && now >= w.nextAt && running < UNDER_WAY_MAX
                        && member.mayAct(h.token(), now, lateMs, takesMs)) {
                    w.running = true;
                    running++;
                    w.nextAt = now + everyMs;
                    due.add(new Probe(e.getKey(), h.shard(), h.token(), now));
                }
                quiet &= !w.running;
            }
            if (h.wanted() && quiet) {
                member.giveUp(h);
            }
        }
        return due;
    }

    /** A probe is over. */
    public void ended(Member member, Probe p, Finding f, double now) {
        Watched w = hosts.get(p.host());
        running--;
        if (w == null) {
            return;
        }
        boolean reached = f.kind() == Finding.Kind.WELL || f.kind() == Finding.Kind.ILL;
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
        long asked = hosts.values().stream().filter(w -> now - w.askedAt < LATELY * everyMs).count();
        long missed = hosts.values().stream().filter(w -> now - w.askedAt < LATELY * everyMs && !w.reached).count();
        return asked >= FEWEST && missed * 2 > asked;
    }

    /** For operators. */
    public String text() {
        return "probes hosts=" + hosts.size() + " under_way=" + running + " kept_to_itself=" + kept;
    }
}
