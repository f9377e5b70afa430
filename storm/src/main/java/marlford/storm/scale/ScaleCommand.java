package marlford.storm.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures what a fleet's control costs as it grows. Exit 0 where it was measured, 1 where a bound was passed, 2 for
 * bad arguments. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Runs hollow gateways, sweeps their settings, and fits lines to what they cost.")
public final class ScaleCommand implements Callable<Integer> {
    private static final double NANOS_PER_S = TimeUnit.SECONDS.toNanos(1);

    private static final double CODE_LOADED_S = 0.3;
    private static final int MOST_PROCESSES = 12;
    private static final String GATEWAYS = "gateways";
    private static final String HOSTS = "hosts";
    private static final String TRIES = "tries";
    private static final String SPREAD = "spread";
    private static final String CHANGES = "changes";
    private static final List<String> SWEPT = List.of(GATEWAYS, HOSTS, TRIES, SPREAD, CHANGES);

    /** What drives the hollow gateways. */
    enum Drive {
        /** Virtual time: the same seed gives the same counts. */
        VIRTUAL,
        /** Event loops and datagrams over loopback: processor time by part. */
        LOOP,
        /**
         * One gateway's decision module and list of hosts, timed without waiting: processor time and memory
         * by part.
         */
        LIST
    }

    /** Which plans are played. */
    enum Ceilings {
        WITH,
        WITHOUT,
        BOTH;

        List<Boolean> choices() {
            return this == BOTH ? List.of(false, true) : List.of(this == WITH);
        }
    }

    @Spec
    private CommandSpec spec;

    @Option(names = "--drive", defaultValue = "VIRTUAL", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Drive drive;

    @Option(names = "--gateways", split = ",", defaultValue = "100", description = "swept (${DEFAULT-VALUE})")
    private List<Integer> gateways;

    @Option(
            names = "--tries",
            split = ",",
            defaultValue = "8,20,60,181",
            description = "requests a second and gateway; swept (${DEFAULT-VALUE})")
    private List<Double> tries;

    @Option(
            names = "--spread",
            split = ",",
            defaultValue = "3",
            description = "gateways that a customer comes through; swept (${DEFAULT-VALUE})")
    private List<Integer> spreads;

    @Option(
            names = "--hosts",
            split = ",",
            defaultValue = "5000,10000,20000,40000",
            description = "on the list, with --drive=LIST; swept (${DEFAULT-VALUE})")
    private List<Integer> hosts;

    @Option(
            names = "--changes",
            split = ",",
            defaultValue = "0.1",
            description = "hosts replaced a second, with --drive=LIST; swept (${DEFAULT-VALUE})")
    private List<Double> changes;

    @Option(
            names = "--processes",
            defaultValue = "0",
            description = "real ones, idle, instead of a drive; --gateways and --hosts are swept (${DEFAULT-VALUE})")
    private int processes;

    @Option(
            names = "--load-seconds",
            defaultValue = "0",
            description =
                    "of load on real processes, with kills; --gateways and --tries are swept (${DEFAULT-VALUE}: idle)")
    private double loadSeconds;

    @Option(
            names = "--kills",
            negatable = true,
            defaultValue = "true",
            fallbackValue = "true",
            description = "with --load-seconds: kill a keeper and a holder of leases (${DEFAULT-VALUE})")
    private boolean kills;

    @Option(
            names = "--demand",
            split = ",",
            defaultValue = "1.5,0.8",
            description = "with --load-seconds: times the rate, of each plan's customers in turn (${DEFAULT-VALUE})")
    private List<Double> demands;

    @Option(names = "--ceilings", defaultValue = "BOTH", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Ceilings ceilings;

    @Option(
            names = "--load",
            defaultValue = "FIXED_CUSTOMERS",
            description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Workload.Shape shape;

    @Option(
            names = "--customers",
            defaultValue = "29",
            description = "of the fleet, for each gateway, at full load (${DEFAULT-VALUE})")
    private double customers;

    @Option(names = "--seconds", defaultValue = "20", description = "that are counted (${DEFAULT-VALUE})")
    private double seconds;

    @Option(names = "--warm-up", defaultValue = "5", description = "seconds under load before that (${DEFAULT-VALUE})")
    private double warmUp;

    @Option(names = "--loss", defaultValue = "0.05", description = "share of the messages lost (${DEFAULT-VALUE})")
    private double loss;

    @Option(
            names = "--delay",
            split = ",",
            defaultValue = "1.2,8.5",
            description = "ms one way, from and to (${DEFAULT-VALUE})")
    private List<Double> delay;

    @Option(
            names = "--intake",
            defaultValue = "40",
            description = "messages that a gateway takes in a second (${DEFAULT-VALUE})")
    private double intake;

    @Option(names = "--faults", defaultValue = "NONE", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private FaultPlan faults;

    @Option(names = "--seed", defaultValue = "1", description = "all chance is drawn from it (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "keeps the result there")
    private Path json;

    @Override
    public Integer call() throws IOException, InterruptedException {
        String fault = badArgument();
        if (!fault.isEmpty()) {
            System.err.println("scale: " + fault);
            return CommandLine.ExitCode.USAGE;
        }
        long began = System.nanoTime();
        List<MeasuredPoint> points = measure();
        List<FittedSlope> fits = FittedSlope.of(points, SWEPT);
        double took = (System.nanoTime() - began) / NANOS_PER_S;
        ScaleReport report = new ScaleReport(command(), commit(), seed, Machine.here(), took, points, fits);
        report.print(System.out);
        System.out.printf(Locale.ROOT, "took %.1f s%n", took);
        if (json != null) {
            report.write(json);
        }
        boolean passed = points.stream().anyMatch(LoadedFleet::isBoundPassed);
        return passed ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    }

    private String badArgument() {
        boolean fewGateways = gateways.stream().anyMatch(n -> n < 2);
        boolean noTries = tries.stream().anyMatch(t -> !(t > 0));
        boolean noSpread = spreads.stream().anyMatch(s -> s < 1);
        boolean noHosts = hosts.stream().anyMatch(h -> h < 1);
        if (fewGateways || noTries || noSpread || noHosts) {
            return "at least 2 gateways, 1 host, a spread of 1 and some requests";
        }
        if (processes < 0 || processes > MOST_PROCESSES || gateways.stream().anyMatch(n -> n < processes)) {
            return "at most " + MOST_PROCESSES + " processes, and no more than gateways";
        }
        if (!(loadSeconds >= 0) || loadSeconds > 0 && processes < LoadedFleet.LEAST_PROCESSES) {
            return "load needs at least " + LoadedFleet.LEAST_PROCESSES + " processes";
        }
        if (demands.stream().anyMatch(demand -> !(demand > 0))) {
            return "demand must be above 0";
        }
        if (changes.stream().anyMatch(rate -> !(rate >= 0))) {
            return "changes can't be below 0";
        }
        if (!(seconds > 0) || !(warmUp >= 0) || !(customers > 0)) {
            return "seconds, warm-up and customers can't be below 0";
        }
        boolean goodLink = loss >= 0 && loss < 1 && intake > 0;
        if (!goodLink || delay.size() != 2 || !(delay.get(0) > 0) || delay.get(1) < delay.get(0)) {
            return "a loss from 0 to below 1, an intake above 0, and two delays in order";
        }
        return "";
    }

    private List<MeasuredPoint> measure() throws IOException, InterruptedException {
        if (processes > 0) {
            return loadSeconds > 0 ? measureLoadedProcesses() : measureProcesses();
        }
        return switch (drive) {
            case VIRTUAL -> measureVirtual();
            case LOOP -> measureLoops();
            case LIST -> measureLists();
        };
    }

    private List<MeasuredPoint> measureProcesses() throws IOException, InterruptedException {
        List<MeasuredPoint> points = new ArrayList<>();
        Path root = Path.of(System.getProperty("marlford.root", ""));
        for (int count : gateways) {
            for (int size : hosts) {
                Map<String, Object> settings = new LinkedHashMap<>();
                settings.put("processes", processes);
                settings.put(GATEWAYS, count);
                settings.put(HOSTS, size);
                try (ProcessFleet fleet = new ProcessFleet(root, processes, count, size)) {
                    points.add(new MeasuredPoint(settings, fleet.play(seconds)));
                }
            }
        }
        return points;
    }

    private List<MeasuredPoint> measureLoadedProcesses() throws IOException, InterruptedException {
        List<MeasuredPoint> points = new ArrayList<>();
        Path root = Path.of(System.getProperty("marlford.root", ""));
        for (int count : gateways) {
            for (double each : tries) {
                try (LoadedFleet fleet = new LoadedFleet(root, processes, count, each, demands, seed)) {
                    Map<String, Object> settings = fleet.settings();
                    settings.put(TRIES, each);
                    settings.put("demand", demands);
                    settings.put("kills", kills);
                    points.add(new MeasuredPoint(settings, fleet.play(loadSeconds, kills)));
                }
            }
        }
        return points;
    }

    private List<MeasuredPoint> measureLoops() throws InterruptedException {
        List<MeasuredPoint> points = new ArrayList<>();
        loadLoopCode();
        for (boolean withCeilings : ceilings.choices()) {
            for (int count : gateways) {
                for (int spread : spreads) {
                    for (double each : tries) {
                        Workload workload = new Workload(shape, each, customers, spread, withCeilings);
                        try (LoopFleet fleet = new LoopFleet(count, workload, intake, seed)) {
                            Map<String, Object> settings = settings(count, workload);
                            points.add(new MeasuredPoint(settings, fleet.play(warmUp, seconds)));
                        }
                    }
                }
            }
        }
        return points;
    }

    /** Else the first point's heap holds the classes. */
    private void loadLoopCode() throws InterruptedException {
        Workload workload = new Workload(shape, tries.get(0), customers, spreads.get(0), true);
        try (LoopFleet fleet = new LoopFleet(2, workload, intake, seed)) {
            fleet.play(CODE_LOADED_S, CODE_LOADED_S);
        }
    }

    private List<MeasuredPoint> measureLists() {
        List<MeasuredPoint> points = new ArrayList<>();
        LoneGateway.play(new ListRun(gateways.get(0), hosts.get(0), tries.get(0), 1, seconds, seed)); // loads the code
        for (int count : gateways) {
            for (int size : hosts) {
                for (double each : tries) {
                    for (double rate : changes) {
                        Map<String, Object> settings = new LinkedHashMap<>();
                        settings.put(GATEWAYS, count);
                        settings.put(HOSTS, size);
                        settings.put(TRIES, each);
                        settings.put(CHANGES, rate);
                        ListRun run = new ListRun(count, size, each, rate, seconds, seed);
                        points.add(new MeasuredPoint(settings, LoneGateway.play(run)));
                    }
                }
            }
        }
        return points;
    }

    private List<MeasuredPoint> measureVirtual() {
        List<MeasuredPoint> points = new ArrayList<>();
        for (boolean withCeilings : ceilings.choices()) {
            for (int count : gateways) {
                for (int spread : spreads) {
                    for (double each : tries) {
                        Workload workload = new Workload(shape, each, customers, spread, withCeilings);
                        VirtualRun run = new VirtualRun(count, workload, link(), faults, warmUp, seconds, seed);
                        points.add(point(run, VirtualFleet.playAndWeigh(run)));
                    }
                }
            }
        }
        return points;
    }

    private LinkProfile link() {
        return new LinkProfile(loss, delay.get(0), delay.get(1), intake);
    }

    private static MeasuredPoint point(VirtualRun run, VirtualFleet.Measured measured) {
        Map<String, Double> figures = measured.figures().byName();
        figures.put("heap_bytes_per_gateway", measured.heapBytesPerGateway());
        return new MeasuredPoint(settings(run), figures);
    }

    private static Map<String, Object> settings(int gateways, Workload workload) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put(GATEWAYS, gateways);
        settings.put(TRIES, workload.triesPerSecond());
        settings.put(SPREAD, workload.spread());
        settings.put("ceilings", workload.ceilings());
        settings.put("load", workload.shape());
        return settings;
    }

    private static Map<String, Object> settings(VirtualRun run) {
        Map<String, Object> settings = settings(run.gateways(), run.workload());
        settings.put("faults", run.faults());
        settings.put("seconds", run.seconds());
        return settings;
    }

    /** What was typed, so that it can be typed again. */
    private String command() {
        List<String> typed = new ArrayList<>(spec.commandLine().getParseResult().originalArgs());
        typed.remove(spec.name());
        if (typed.stream().noneMatch(argument -> argument.startsWith("--seed"))) {
            typed.add("--seed=" + seed);
        }
        return "./marlford scale " + String.join(" ", typed);
    }

    private static String commit() {
        return System.getProperty("marlford.commit", "unknown");
    }
}
