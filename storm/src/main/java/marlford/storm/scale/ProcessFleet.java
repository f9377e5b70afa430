package marlford.storm.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import marlford.gateway.quota.QuotaTerms;

/** A few real processes of the program, idle, beside a stand-in for discovery; the other peers are addresses only. */
final class ProcessFleet implements Closeable {
    private static final long READY_MS = 30_000;
    private static final long LIST_MS = 10_000; // for a list, once all are ready
    private static final long SETTLE_MS = 5000;
    private static final long LOOK_MS = 20;
    private static final double MS_PER_S = 1000;
    private static final double WAITED_IN_VAIN = -1;
    private static final QuotaTerms UNLIMITED = new QuotaTerms(1_000_000, 1_000_000, 0, 0);

    private final DiscoveryStub discovery;
    private final int hosts;
    private final Path folder;
    private final List<RealGateway> gateways = new ArrayList<>();

    /** @param peers that each configuration names, the processes among them */
    ProcessFleet(Path root, int processes, int peers, int hosts) throws IOException {
        this.hosts = hosts;
        discovery = new DiscoveryStub(hosts);
        folder = Files.createTempDirectory("marlford-scale");
        ProcessSettings all = new ProcessSettings(
                discovery.address(),
                ProcessSettings.peerAddresses(processes, peers),
                ProcessSettings.MAIL_PER_S,
                List.of(UNLIMITED));
        for (int i = 0; i < processes; i++) {
            Path own = Files.createDirectories(folder.resolve("g" + i));
            Path settings = own.resolve("node.json");
            Files.writeString(settings, all.text(i, ProcessSettings.freePort()));
            gateways.add(new RealGateway(root, own, settings));
        }
    }

    /** Starts all, measures them idle, kills one and starts it anew, and measures again. */
    Map<String, Double> play(double seconds) throws IOException, InterruptedException {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("list_bytes", (double) discovery.listBytes());
        for (RealGateway gateway : gateways) {
            gateway.start();
        }
        Samples ready = new Samples();
        for (RealGateway gateway : gateways) {
            ready.add(awaitReady(gateway));
        }
        figures.put("ready_p50_ms", ready.quantile(0.5));
        figures.put("ready_max_ms", ready.quantile(1));
        figures.put("have_list", (double) awaitLists());
        Thread.sleep(SETTLE_MS);
        long calls = discovery.calls();
        figures.put("idle_ms_per_second", idleMs(gateways, seconds));
        figures.put("discovery_calls_per_gateway_second", (discovery.calls() - calls) / seconds / gateways.size());
        figures.put("resident_mb", residentMb());
        RealGateway victim = gateways.get(gateways.size() / 2);
        victim.kill();
        List<RealGateway> others = gateways.stream().filter(g -> g != victim).toList();
        figures.put("idle_ms_per_second_one_killed", idleMs(others, seconds));
        victim.start();
        figures.put("killed_ready_again_ms", awaitReady(victim));
        return figures;
    }

    /** Milliseconds from its start to its word that it serves; -1 where it never said so. */
    static double awaitReady(RealGateway gateway) throws IOException, InterruptedException {
        while (!gateway.isReady()) {
            if (!gateway.isAlive() || gateway.ageMs() > READY_MS) {
                return WAITED_IN_VAIN;
            }
            Thread.sleep(LOOK_MS);
        }
        return gateway.ageMs();
    }

    /** How many have taken the whole list. */
    private long awaitLists() throws IOException, InterruptedException {
        String taken = " lists " + hosts + " hosts";
        long end = System.nanoTime() + (long) (LIST_MS * 1e6);
        long have = 0;
        while (have < gateways.size() && System.nanoTime() < end) {
            Thread.sleep(LOOK_MS);
            have = 0;
            for (RealGateway gateway : gateways) {
                have += gateway.said(taken) ? 1 : 0;
            }
        }
        return have;
    }

    /** Processor time a second of each, in the mean. */
    private static double idleMs(List<RealGateway> which, double seconds) throws IOException, InterruptedException {
        double before = processorMs(which);
        long began = System.nanoTime();
        Thread.sleep((long) (seconds * MS_PER_S));
        double passed = (System.nanoTime() - began) / 1e9;
        return (processorMs(which) - before) / passed / which.size();
    }

    private static double processorMs(List<RealGateway> which) throws IOException {
        double sum = 0;
        for (RealGateway gateway : which) {
            sum += gateway.processorMs();
        }
        return sum;
    }

    private double residentMb() throws IOException {
        double sum = 0;
        for (RealGateway gateway : gateways) {
            sum += gateway.residentMb();
        }
        return sum / gateways.size();
    }

    @Override
    public void close() throws IOException {
        for (RealGateway gateway : gateways) {
            gateway.close();
        }
        discovery.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
