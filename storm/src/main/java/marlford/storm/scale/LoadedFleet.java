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
import java.util.stream.IntStream;
import java.util.stream.Stream;
import marlford.gateway.quota.QuotaCoordinator;

/**
 * A few real processes of the program under load, with quota leases. A keeper of customers' books and a gateway that holds
 * leases of it are killed in the middle, first the one, then the other, then both, and come back; what came to the hosts is
 * compared with what quotas and ceilings allow.
 */
final class LoadedFleet implements Closeable {
    /** One outside each customer's set at least. */
    static final int LEAST_PROCESSES = LoadedCustomer.SPREAD + 1;

    private static final int HOSTS = 4;
    private static final int QUARTERS = 4;
    private static final double AWAY_SHARE = 0.4; // of the time between two kills
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_S = 1e9;
    private static final String TRIES = "tries"; // names of the gateways' log
    private static final String LEASED = "leased";
    private static final List<String> COUNTERS =
            List.of(TRIES, LEASED, "asked", "missed", "guessed", "stood_in", "unable", "told", "heard");

    private final CountingHosts hosts = new CountingHosts(HOSTS);
    private final DiscoveryStub discovery;
    private final Path folder = Files.createTempDirectory("marlford-scale");
    private final List<RealGateway> gateways = new ArrayList<>();
    private final List<LoadedCustomer> customers;
    private final ClientFront front;
    private final int[] keepers;
    private final int[] keeperDeaths;
    private final double mailPerSecond;
    private final int named;
    private final Samples readyAgain = new Samples();
    private long holderLeased;
    private final Map<String, Long> logged = new LinkedHashMap<>();

    /**
     * @param processes that are real
     * @param named gateways that the settings name, the processes among them
     * @param tries requests a second and process
     * @param demands times the rate, of each plan's customers in turn
     */
    LoadedFleet(Path root, int processes, int named, double tries, List<Double> demands, long seed) throws IOException {
        this.named = named;
        mailPerSecond = mailPerSecond(named);
        discovery = new DiscoveryStub(hosts.addresses());
        customers = LoadedCustomer.upTo(processes * tries * Workload.MEAN_UNITS, processes, demands);
        keepers = new int[customers.size()];
        keeperDeaths = new int[customers.size()];
        for (int i = 0; i < keepers.length; i++) {
            keepers[i] = customers.get(i).hasQuota() ? customers.get(i).keeper(named, mailPerSecond) : -1;
        }
        front = new ClientFront(customers, addGateways(root, processes), seed);
    }

    /** The largest intake, up to the one that fleets are designed for, at which so many gateways lease. */
    static double mailPerSecond(int gateways) {
        int mail = ProcessSettings.MAIL_PER_S;
        while (mail > 1 && !QuotaCoordinator.isRequiredFor(gateways, mail)) {
            mail--;
        }
        return mail;
    }

    private int[] addGateways(Path root, int processes) throws IOException {
        ProcessSettings settings = new ProcessSettings(
                discovery.address(),
                ProcessSettings.peerAddresses(processes, named),
                mailPerSecond,
                LoadedCustomer.PLANS);
        int[] ports = new int[processes];
        for (int i = 0; i < processes; i++) {
            ports[i] = ProcessSettings.freePort();
            Path own = Files.createDirectories(folder.resolve("g" + i));
            Path file = own.resolve("node.json");
            Files.writeString(file, settings.text(i, ports[i]));
            gateways.add(new RealGateway(root, own, file));
        }
        return ports;
    }

    /** The settings that follow from the arguments. */
    Map<String, Object> settings() {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("processes", gateways.size());
        settings.put("gateways", named);
        settings.put("mail_per_s", mailPerSecond);
        settings.put("customers", customers.size());
        return settings;
    }

    /**
     * Starts all, plays the load, and compares.
     *
     * @param kills whether gateways are killed
     */
    Map<String, Double> play(double seconds, boolean kills) throws IOException, InterruptedException {
        for (RealGateway gateway : gateways) {
            gateway.start();
        }
        for (RealGateway gateway : gateways) {
            if (ProcessFleet.awaitReady(gateway) < 0) {
                throw new IOException("a gateway did not begin to serve");
            }
        }
        long began = System.nanoTime();
        front.start();
        if (kills) {
            killAll(seconds);
        } else {
            sleep(seconds);
        }
        ClientFront.Ends ends = front.stop();
        double took = (System.nanoTime() - began) / NANOS_PER_S;
        sleep(1); // the last second's line of the log
        for (RealGateway gateway : gateways) {
            countLog(gateway);
        }
        Map<String, Double> figures = figures(ends, took);
        figures.putAll(UnitsAudit.figures(customers, keeperDeaths, hosts.arrivals(), began, took));
        return figures;
    }

    /** Whether a point of any run says that a customer had more than its quota's bound or its ceiling. */
    static boolean isBoundPassed(MeasuredPoint point) {
        return UnitsAudit.PASSED.stream().anyMatch(name -> point.figures().getOrDefault(name, 0.0) > 0);
    }

    /** A quarter of the time without a fault, then three kills at even distances. */
    private void killAll(double seconds) throws IOException, InterruptedException {
        double gap = seconds / QUARTERS;
        int keeper = keepers[0];
        int holder = holder(keeper);
        sleep(gap);
        killAndReturn(gap, keeper);
        holderLeased = gateways.get(holder).logged(LEASED);
        killAndReturn(gap, holder);
        killAndReturn(gap, keeper, holder);
    }

    /** Another gateway of the first customer's set. */
    private int holder(int keeper) {
        return IntStream.range(0, gateways.size())
                .filter(g -> g != keeper && customers.get(0).comesThrough(g))
                .findFirst()
                .orElseThrow();
    }

    /** Kills these at once, starts them anew, and waits for the rest of the time. */
    private void killAndReturn(double seconds, int... victims) throws IOException, InterruptedException {
        long began = System.nanoTime();
        for (int victim : victims) {
            gateways.get(victim).kill();
            front.setUp(victim, false);
            countLog(gateways.get(victim));
        }
        for (int i = 0; i < keepers.length; i++) {
            int keeper = keepers[i];
            keeperDeaths[i] += IntStream.of(victims).anyMatch(v -> v == keeper) ? 1 : 0;
        }
        sleep(seconds * AWAY_SHARE);
        for (int victim : victims) {
            gateways.get(victim).start();
        }
        for (int victim : victims) {
            double ready = ProcessFleet.awaitReady(gateways.get(victim));
            if (ready < 0) {
                throw new IOException("a killed gateway did not serve again");
            }
            readyAgain.add(ready);
            front.setUp(victim, true);
        }
        sleep(Math.max(0, seconds - (System.nanoTime() - began) / NANOS_PER_S));
    }

    private static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * MS_PER_S));
    }

    /** Adds what a process has logged; a start empties its log. */
    private void countLog(RealGateway gateway) throws IOException {
        for (String counter : COUNTERS) {
            logged.merge(counter, gateway.logged(counter), Long::sum);
        }
    }

    private Map<String, Double> figures(ClientFront.Ends ends, double seconds) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("seconds", seconds);
        figures.put("sent", (double) ends.sent);
        figures.put("served", (double) ends.served);
        figures.put("refused", (double) ends.refused);
        figures.put("failed", (double) ends.failed);
        figures.put("answer_p50_ms", ends.tookMs.quantile(0.5));
        figures.put("answer_p99_ms", ends.tookMs.quantile(0.99));
        logged.forEach((counter, count) -> figures.put("logged_" + counter, (double) count));
        figures.put("leased_share", logged.get(LEASED) / (double) Math.max(1, logged.get(TRIES)));
        figures.put("killed_ready_again_max_ms", readyAgain.quantile(1));
        figures.put("holder_leased_before_its_kill", (double) holderLeased);
        return figures;
    }

    @Override
    public void close() throws IOException {
        front.close();
        for (RealGateway gateway : gateways) {
            gateway.close();
        }
        discovery.close();
        hosts.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
