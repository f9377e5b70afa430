package marlford.storm;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * What a fleet costs its clients: gateways that take part and gateways that stand alone, side by side under the same load,
 * first with a majority, then while a host hangs and while discovery is away, and last with no majority. Ratios of one run, so
 * that the machine's speed takes no part.
 */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Plays gateways with and without a fleet side by side.")
final class Compare implements Callable<Integer> {
    private static final int TICKS_PER_S = 100; // of /proc, on every Linux that the program runs on
    private static final int USER_AT = 11; // fields of /proc/PID/stat behind the name
    private static final int SYSTEM_AT = 12;
    private static final int PAGES_AT = 21;
    private static final long PAGE_KB = 4;
    private static final long KB_PER_MB = 1024;
    private static final double MS_PER_S = 1000;
    private static final long AWAY_MS = 2000;
    private static final long LOOK_MS = 10;
    private static final Pattern BYTES = Pattern.compile("sent_bytes=(\\d+) received_bytes=(\\d+)");

    @Option(names = "--gateways", defaultValue = "4", description = "of each kind (${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--requests", defaultValue = "200", description = "a second, to each kind (${DEFAULT-VALUE})")
    private double perSecond;

    @Option(names = "--seconds", defaultValue = "20", description = "of each of the two parts (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--ttl", defaultValue = "3000", description = "a session's silence in ms (${DEFAULT-VALUE})")
    private long ttlMs;

    /** Processor time in seconds and memory in MB of a process. */
    private record Cost(double cpu, long mb) {
        static Cost of(Gateway g) throws IOException {
            String stat = g.stat();
            String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return new Cost(
                    (Long.parseLong(f[USER_AT]) + Long.parseLong(f[SYSTEM_AT])) / (double) TICKS_PER_S,
                    Long.parseLong(f[PAGES_AT]) * PAGE_KB / KB_PER_MB);
        }
    }

    @Override
    public Integer call() throws Exception {
        String path = System.getProperty("java.class.path");
        try (Rig alone = new Rig(gateways, Gateway.Role.ALONE, ttlMs, 0, path, List.of());
                Rig fleet = new Rig(gateways, Gateway.Role.SERVES, ttlMs, 0, path, List.of())) {
            if (!alone.start() || !fleet.start()) {
                System.err.println("compare: the processes did not all come up");
                return Main.UNJUDGED;
            }
            part("warm", alone, fleet);
            part("majority", alone, fleet);
            for (Rig r : List.of(alone, fleet)) {
                r.play(
                        new Schedule(
                                List.of(new Fault(0, Fault.Kind.HANG_HOST, "h2", TimeUnit.SECONDS.toMillis(seconds)))),
                        0);
            }
            part("host hangs", alone, fleet);
            if (!away(alone, fleet)) {
                System.err.println("compare: a gateway has no list after discovery's return");
                return Main.UNJUDGED;
            }
            fleet.play(new Schedule(apart()), 0);
            part("no majority", alone, fleet);
        }
        return 0;
    }

    /** Discovery is away and comes back: how often each kind of gateways calls it until all have its list. */
    private static boolean away(Rig alone, Rig fleet) throws IOException, InterruptedException {
        for (Rig r : List.of(alone, fleet)) {
            r.play(new Schedule(List.of(new Fault(0, Fault.Kind.AGENT_AWAY, null, AWAY_MS))), 0);
        }
        int before = alone.hosts().version();
        while (alone.hosts().version() == before || fleet.hosts().version() == before) {
            Thread.sleep(LOOK_MS);
        }
        for (Rig r : List.of(alone, fleet)) {
            if (!r.awaitSaid(" hosts, version " + r.hosts().version())) {
                return false;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%-12s %-6s calls of discovery until all have its list %4d  whole lists told %4d%n",
                    "agent back",
                    r == alone ? "alone" : "fleet",
                    r.hosts().calls(),
                    r.hosts().wholes());
        }
        return true;
    }

    /** All voters cut off from each other, for longer than the part lasts. */
    private List<Fault> apart() {
        List<Fault> faults = new ArrayList<>();
        for (int v = 0; v < Rig.voters(gateways); v++) {
            faults.add(new Fault(0, Fault.Kind.ISOLATE, "g" + v, TimeUnit.SECONDS.toMillis(seconds * 2L)));
        }
        return faults;
    }

    private void part(String name, Rig alone, Rig fleet) throws IOException, InterruptedException {
        String last = "g" + (gateways - 1); // of four or more it is no voter
        Map<String, Rig> rigs = new LinkedHashMap<>();
        rigs.put("alone", alone);
        rigs.put("fleet", fleet);
        Map<String, Load> loads = new LinkedHashMap<>();
        Map<String, Cost> before = new LinkedHashMap<>();
        for (Map.Entry<String, Rig> r : rigs.entrySet()) {
            before.put(r.getKey(), Cost.of(r.getValue().gateways().get(last)));
            loads.put(
                    r.getKey(),
                    new Load(r.getValue().clientPorts(), Main.CLIENTS, perSecond, name.replace(' ', '-') + r.getKey()));
        }
        long[] bytes = bytes(fleet, last);
        loads.values().forEach(Load::start);
        Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
        for (Map.Entry<String, Load> l : loads.entrySet()) {
            List<Load.Sent> sent = l.getValue().stop();
            List<Double> took = sent.stream()
                    .filter(s -> s.end() == Load.End.SERVED)
                    .map(Load.Sent::tookMs)
                    .toList();
            Cost now = Cost.of(rigs.get(l.getKey()).gateways().get(last));
            System.out.printf(
                    Locale.ROOT,
                    "%-12s %-6s asked %6d  served %7.3f%%  p50 %6.1f ms  p99 %6.1f ms  "
                            + "cpu of %s %5.1f ms/s  memory %d MB%n",
                    name,
                    l.getKey(),
                    sent.size(),
                    100.0 * took.size() / sent.size(),
                    Main.quantile(took, 0.5),
                    Main.quantile(took, 0.99),
                    last,
                    (now.cpu() - before.get(l.getKey()).cpu()) / seconds * MS_PER_S,
                    now.mb());
        }
        long[] since = bytes(fleet, last);
        System.out.printf(
                Locale.ROOT,
                "%-12s %-6s %s asks %d bytes/s, hears %d bytes/s%n",
                name,
                "fleet",
                last,
                (since[0] - bytes[0]) / seconds,
                (since[1] - bytes[1]) / seconds);
    }

    /** What a member sent to voters and heard from them until now. */
    private static long[] bytes(Rig fleet, String name) throws IOException {
        Matcher m = BYTES.matcher(fleet.page(name, "/admin/fleet"));
        return m.find() ? new long[] {Long.parseLong(m.group(1)), Long.parseLong(m.group(2))} : new long[2];
    }
}
