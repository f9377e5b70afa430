package marlford.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import marlford.lease.MemberSimulation;
import org.junit.jupiter.api.Test;

/** Members that probe hosts in virtual time: stopped, cut off from hosts, with messages lost and the lead that moves. */
class ProberTest {
    private static final int SEEDS = 100;
    private static final int MEMBERS = 5;
    private static final double EVERY = 500;
    private static final double TAKES = 100;

    private static final class Probing {
        final MemberSimulation.Peer peer;
        final Prober prober = new Prober(EVERY, TAKES);
        final ProbeResultFilter evidence = new ProbeResultFilter(2 * EVERY);
        final Map<Prober.Probe, Double> running = new HashMap<>();
        final Map<String, ProbeResultFilter.Report> last = new HashMap<>();
        boolean blind; // reaches no host
        boolean withoutSockets;

        Probing(MemberSimulation.Peer peer) {
            this.peer = peer;
            prober.begin(peer.member);
        }
    }

    private final Set<String> hosts = new TreeSet<>();
    private final Set<String> down = new TreeSet<>();
    private final List<Probing> members = new ArrayList<>();
    private int probes;
    private double foundAfter;

    private MemberSimulation fleet(long seed, int count) {
        MemberSimulation sim = new MemberSimulation(seed, 0.05);
        hosts.clear();
        down.clear();
        members.clear();
        for (int i = 0; i < count; i++) {
            hosts.add("tile-" + i + ".example");
        }
        for (int i = 0; i < MEMBERS; i++) {
            members.add(new Probing(sim.add("m" + i)));
            members.get(i).prober.listed(hosts);
        }
        return sim;
    }

    /** A step of all: no two living members probe one host at a time. */
    private void step(MemberSimulation sim, String seed) {
        sim.step();
        Map<String, Probing> asked = new HashMap<>();
        for (Probing p : members) {
            if (sim.now < p.peer.standsUntil) {
                continue; // stopped in the middle: what no look can prevent
            }
            p.running.entrySet().removeIf(e -> {
                if (e.getValue() <= sim.now && p.withoutSockets) {
                    p.prober.unsent(e.getKey());
                } else if (e.getValue() <= sim.now) {
                    boolean lost = p.blind || down.contains(e.getKey().host());
                    p.prober.ended(
                            p.peer.member,
                            e.getKey(),
                            new ProbeResult(lost ? ProbeResult.Kind.UNREACHED : ProbeResult.Kind.WELL, TAKES),
                            sim.now);
                }
                return e.getValue() <= sim.now;
            });
            for (Prober.Probe probe : p.prober.due(p.peer.member, sim.now, 0)) {
                probes++;
                p.running.put(probe, sim.now + TAKES / 2);
            }
            p.running.keySet().forEach(probe -> assertEquals(null, asked.put(probe.host(), p), seed + " " + probe));
            for (ProbeResultFilter.Report r : p.evidence.read(p.peer.member.board(), sim.now)) {
                assertTrue(r.ageMs() <= 2 * EVERY);
                p.last.put(r.host(), r);
            }
        }
    }

    @Test
    void oneMemberProbesAHostAndAllHearOfIt() {
        MemberSimulation sim = fleet(1, 20);
        while (members.stream().anyMatch(p -> p.last.size() < 20)) {
            step(sim, "");
        }
        probes = 0;
        double from = sim.now;
        down.add("tile-3.example");
        while (members.stream()
                .anyMatch(p -> p.last.get("tile-3.example").finding().kind() != ProbeResult.Kind.UNREACHED)) {
            step(sim, "");
        }
        System.out.println(
                "probes: a host that is down is known to all of " + MEMBERS + " after " + (sim.now - from) + " ms");
        while (sim.now < from + 20 * EVERY) {
            step(sim, "");
        }
        assertTrue(probes <= 21 * 20 && probes >= 15 * 20, probes + " probes of 20 hosts in 20 rounds");
        assertEquals(
                0,
                members.stream()
                        .filter(p -> p.last.get("tile-4.example").finding().kind() != ProbeResult.Kind.WELL)
                        .count());
    }

    /** Who reaches nobody says nothing of the hosts, and the others' hosts are told all the same. */
    @Test
    void aMemberThatReachesNoHostBlamesNone() {
        MemberSimulation sim = fleet(2, 30);
        while (members.stream().anyMatch(p -> p.last.size() < 30)) {
            step(sim, "");
        }
        members.get(0).blind = true;
        for (double end = sim.now + 20 * EVERY; sim.now < end; ) {
            step(sim, "");
        }
        Set<String> blamed = new TreeSet<>();
        members.get(1).last.forEach((h, r) -> {
            if (r.finding().kind() != ProbeResult.Kind.WELL) {
                blamed.add(h);
            }
        });
        assertTrue(
                blamed.size() < Prober.FEWEST, blamed.toString()); // until it has failed often enough to doubt itself
        assertTrue(
                members.get(0).prober.text().matches(".*kept_to_itself=[1-9].*"),
                members.get(0).prober.text());
    }

    /** Probes that a machine can't send blame no host, and the next rounds go on. */
    @Test
    void aMemberWithoutSocketsBlamesNoHost() {
        MemberSimulation sim = fleet(4, 30);
        while (members.stream().anyMatch(p -> p.last.size() < 30)) {
            step(sim, "");
        }
        for (boolean without : List.of(true, false)) {
            members.get(0).withoutSockets = without;
            probes = 0;
            for (double end = sim.now + 10 * EVERY; sim.now < end; ) {
                step(sim, "");
            }
            assertTrue(probes >= 8 * 30, probes + " probes of 30 hosts in 10 rounds");
            members.get(1)
                    .last
                    .forEach((h, r) ->
                            assertEquals(ProbeResult.Kind.WELL, r.finding().kind(), h));
        }
    }

    /** Whatever happens to members, and whatever is lost: never two probers of a host that both live, and probing goes on. */
    @Test
    void neverTwoOfOneHostWhateverHappens() {
        int before = probes;
        for (long seed = 1; seed <= SEEDS; seed++) {
            MemberSimulation sim = fleet(seed, 12);
            Random random = sim.random;
            for (int i = 0; i < 1000; i++) {
                step(sim, "seed " + seed);
                Probing p = members.get(random.nextInt(MEMBERS));
                switch (random.nextInt(150)) {
                    case 0 -> {
                        p.peer.standsUntil = sim.now + random.nextInt(2500);
                        p.running
                                .keySet()
                                .forEach(x -> p.prober.ended(
                                        p.peer.member, x, new ProbeResult(ProbeResult.Kind.LATE, 0), sim.now));
                        p.running.clear(); // whoever wakes finds its probes long over
                    }
                    case 1 -> sim.elect();
                    case 2 -> down.add("tile-" + random.nextInt(12) + ".example");
                    case 3 -> down.clear();
                    default -> {}
                }
            }
            assertTrue(probes > before, "seed " + seed);
            before = probes;
        }
        System.out.println("probes: " + SEEDS + " seeds, " + probes + " probes, never two of one host at once");
    }

    /** A finding that lay in a stopped process is told with its age, and is not believed. */
    @Test
    void aFindingThatIsOldIsNotBelieved() {
        MemberSimulation sim = fleet(3, 12);
        while (members.stream().anyMatch(p -> p.last.size() < 12)) {
            step(sim, "");
        }
        Probing late = members.get(0);
        while (late.running.isEmpty()) {
            step(sim, "");
        }
        Prober.Probe probe = late.running.keySet().iterator().next();
        late.peer.standsUntil = sim.now + 900; // shorter than its session
        down.add(probe.host());
        while (sim.now < late.peer.standsUntil) {
            step(sim, "");
        }
        down.clear();
        late.evidence.read(late.peer.member.board(), sim.now);
        late.peer
                .member
                .board()
                .tell(Prober.TOPIC, probe.host(), probe.token(), "UNREACHED 1", probe.sentAt() - 200, true);
        members.get(1).last.remove(probe.host());
        for (int i = 0; i < 10; i++) {
            step(sim, "");
            ProbeResultFilter.Report r = members.get(1).last.get(probe.host());
            assertTrue(r == null || r.finding().kind() == ProbeResult.Kind.WELL, "" + r);
        }
    }

    @Test
    void hostsFallEvenlyIntoShards() {
        int[] shards = new int[Prober.SHARDS];
        for (int i = 0; i < 6400; i++) {
            shards[Prober.shard("tile-" + i + ".example.org")]++;
        }
        for (int n : shards) {
            assertTrue(n > 50 && n < 200, n + " of 100");
        }
    }

    @Test
    void whatANewerVersionWritesIsPassedOver() {
        assertEquals(null, ProbeResult.of("GLOWING 12"));
        assertEquals(null, ProbeResult.of("WELL"));
        assertEquals(new ProbeResult(ProbeResult.Kind.LATE, 250), ProbeResult.of("LATE 250"));
    }
}
