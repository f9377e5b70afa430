package marlford.storm;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import marlford.storm.scale.ScaleCommand;
import marlford.storm.soak.SoakCommand;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A storm: processes, faults, a verdict. Exit 0 where all held, 1 broken, 2 bad arguments, 3 could not judge. */
@Command(
        name = "storm",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        subcommands = {Compare.class, ScaleCommand.class, SoakCommand.class},
        description = "Starts several processes of the program, breaks what is between them, and judges what they did.")
final class Main implements Callable<Integer> {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    static final int UNJUDGED = 3;
    private static final int FEWEST = 3;
    static final int CLIENTS = 16;
    private static final int SHRINK_RUNS = 40;
    private static final long BACK_MS = 20_000; // for the fleet to act again after the faults
    private static final int WIDTH = 1200;
    private static final int HEIGHT = 400;
    private static final double NANOS_PER_S = 1e9;

    @Option(names = "--seed", defaultValue = "1", description = "from which the faults are drawn (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", description = "how many, from --seed on (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--gateways", defaultValue = "5", description = "processes, 3 at least (${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--seconds", defaultValue = "20", description = "of faults (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--ttl", defaultValue = "1000", description = "a session's silence in ms (${DEFAULT-VALUE})")
    private long ttlMs;

    @Option(
            names = "--drift",
            defaultValue = "0",
            description = "by how much clocks run wrong, 0.02 for 2%% (${DEFAULT-VALUE})")
    private double drift;

    @Option(
            names = "--requests",
            defaultValue = "0",
            description = "of clients a second; more than 0 starts gateways and no mere agents (${DEFAULT-VALUE})")
    private double perSecond;

    @Option(names = "--schedule", paramLabel = "FILE", description = "faults as JSON lines, instead of a seed")
    private Path file;

    @Option(names = "--out", paramLabel = "DIR", description = "keeps schedule, logs, table and chart there")
    private Path out;

    @Option(names = "--json", paramLabel = "FILE", description = "the figures as one JSON line a run")
    private Path json;

    @Option(names = "--option", description = "passed on to each process's JVM")
    private List<String> options = List.of();

    @Option(names = "--shrink", description = "a broken schedule is played again with faults left out")
    private boolean shrink;

    @Option(names = "--quiet", description = "one line a run")
    private boolean quiet;

    /** What is started. */
    record Setup(int gateways, Gateway.Role role, long ttlMs, double drift, double perSecond, List<String> options) {}

    private Setup setup() {
        return new Setup(
                gateways, perSecond > 0 ? Gateway.Role.SERVES : Gateway.Role.AGENT, ttlMs, drift, perSecond, options);
    }

    /**
     * A run's figures.
     *
     * @param sent what clients asked; empty where there were none
     * @param register the calls of the lease register, and {@code linear} whether there is an order of them
     * @param usage what was exported of it; null where there were none
     * @param stuck what each process said last, where the single task was not acted on again after the last fault had ended;
     *     empty where it was
     */
    record Run(
            Judge.Verdict verdict,
            List<Long> handOvers,
            List<String> defects,
            List<FaultInjector.Played> played,
            List<Note> notes,
            long zero,
            String stuck,
            List<Load.Sent> sent,
            UsageJudge.Found usage,
            int register,
            boolean linear) {
        boolean back() {
            return stuck.isEmpty();
        }

        boolean held() {
            return linear
                    && verdict.broken().isEmpty()
                    && verdict.unexplained().isEmpty()
                    && defects.isEmpty()
                    && (usage == null || usage.broken().isEmpty());
        }
    }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (gateways < FEWEST || seconds < 1 || seeds < 1) {
            System.err.println("storm: at least 3 gateways, a second and a seed");
            return CommandLine.ExitCode.USAGE;
        }
        Schedule given = file == null ? null : Schedule.read(file);
        if (given != null && !given.fits(gateways)) {
            System.err.println("storm: " + file + " names a process that is none of " + gateways);
            return CommandLine.ExitCode.USAGE;
        }
        int worst = HELD;
        for (long s = seed; s < seed + seeds; s++) {
            long ms = TimeUnit.SECONDS.toMillis(seconds);
            Schedule schedule = given != null ? given : Schedule.drawn(s, gateways, Rig.voters(gateways), ms);
            Run run = run(schedule, setup(), ms, out == null ? null : out.resolve("seed-" + s));
            if (run == null) {
                System.err.println("storm: seed " + s + ": the processes did not all take part; nothing is judged");
                worst = worst == BROKEN ? BROKEN : UNJUDGED;
                continue;
            }
            print(s, run);
            if (!run.held()) {
                worst = BROKEN;
                if (shrink) {
                    shrink(schedule, ms);
                }
            }
        }
        return worst;
    }

    /** Plays a schedule; null where the processes did not come up. */
    static Run run(Schedule schedule, Setup setup, long ms, Path keep) throws IOException, InterruptedException {
        return run(schedule, setup, ms, keep, System.getProperty("java.class.path"));
    }

    /** The same, with the program on this class path. */
    static Run run(Schedule schedule, Setup setup, long ms, Path keep, String classPath)
            throws IOException, InterruptedException {
        try (Rig rig =
                new Rig(setup.gateways(), setup.role(), setup.ttlMs(), setup.drift(), classPath, setup.options())) {
            try {
                Run run = rig.start() ? play(rig, schedule, setup, ms) : null;
                if (run != null && keep != null) {
                    chart(run, rig.folder().resolve("holders.png"));
                }
                return run;
            } finally {
                if (keep != null) {
                    schedule.write(rig.folder().resolve("schedule.jsonl"));
                    rig.keep(keep);
                }
            }
        }
    }

    private static Run play(Rig rig, Schedule schedule, Setup setup, long ms) throws IOException, InterruptedException {
        Load load = setup.perSecond() > 0 ? new Load(rig.clientPorts(), CLIENTS, setup.perSecond(), "r") : null;
        if (load != null) {
            load.start();
        }
        Register register = new Register(rig.voterAddresses(), setup.ttlMs());
        List<Linear.Op> history;
        try (register) {
            rig.play(schedule, ms);
            history = register.history(BACK_MS);
        }
        List<Load.Sent> sent = load == null ? List.of() : load.stop();
        UsageJudge.Found usage = load == null ? null : UsageJudge.judge(rig, sent, BACK_MS);
        String stuck = rig.awaitAct(Rig.ONE) ? "" : rig.lastWords();
        Judge.Verdict v = new Judge(rig.notes(), rig.played(), rig.takesMs()).judge(rig.zero(), System.nanoTime());
        return new Run(
                v,
                rig.handOvers(),
                rig.defects(),
                rig.played(),
                List.copyOf(rig.notes()),
                rig.zero(),
                stuck,
                sent,
                usage,
                history.size(),
                Linear.holds(history));
    }

    private void print(long s, Run run) throws IOException {
        Judge.Verdict v = run.verdict();
        Map<String, Object> rows = new LinkedHashMap<>();
        rows.put("seed", s);
        rows.put("gateways", gateways);
        rows.put("seconds", seconds);
        rows.put("faults", run.played().size());
        rows.put("acts", v.acts());
        rows.put("turned_away", v.turnedAway());
        rows.put("holders", v.holders());
        rows.put("hand_overs", v.gapsMs().size());
        rows.put("gap_p50_ms", Math.round(quantile(v.gapsMs(), 0.5)));
        rows.put("gap_p99_ms", Math.round(quantile(v.gapsMs(), 0.99)));
        rows.put("no_holder_max_ms", Math.round(v.longestMs()));
        rows.put(
                "planned_max_ms",
                run.handOvers().stream().mapToLong(Long::longValue).max().orElse(0));
        rows.put("back", run.back());
        rows.put("register_calls", run.register());
        rows.put("register_linear", run.linear());
        rows.put("overlaps_bounded", v.overlaps());
        rows.put("overlaps_unexplained", v.unexplained().size());
        if (run.usage() != null) {
            Load.ends(run.sent())
                    .forEach((end, n) -> rows.put("requests_" + end.name().toLowerCase(Locale.ROOT), n));
            List<Double> took = run.sent().stream()
                    .filter(r -> r.end() == Load.End.SERVED)
                    .map(Load.Sent::tookMs)
                    .toList();
            rows.put("served_p50_ms", Math.round(quantile(took, 0.5)));
            rows.put("served_p99_ms", Math.round(quantile(took, 0.99)));
            rows.put("units_exported", run.usage().exported());
            rows.put("units_seen_at_hosts", run.usage().seen());
            rows.put("units_in_tables", run.usage().waiting());
            rows.put("records_passed_over", run.usage().passedOver());
            run.usage().broken().forEach(b -> System.out.println("BROKEN: " + b));
        }
        rows.put("broken", v.broken().size());
        if (quiet) {
            System.out.println(rows);
        } else {
            rows.forEach((name, value) -> System.out.printf("%-22s %s%n", name, value));
        }
        if (!run.back()) {
            System.out.println(run.stuck());
        }
        v.unexplained().forEach(u -> System.out.println("unexplained: " + u));
        v.broken().forEach(b -> System.out.println("BROKEN: " + b));
        run.defects().forEach(d -> System.out.println("DEFECT: " + d));
        if (json != null) {
            ObjectMapper mapper = new ObjectMapper();
            ObjectNode line = mapper.valueToTree(rows);
            line.set("gaps_ms", mapper.valueToTree(v.gapsMs()));
            Files.writeString(
                    json, mapper.writeValueAsString(line) + '\n', StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
    }

    /** The quantile of these, or 0 where there are none. */
    static double quantile(List<Double> values, double q) {
        List<Double> sorted = new ArrayList<>(values);
        sorted.sort(null);
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.ceil(q * sorted.size()) - 1);
    }

    /** Leaves out one fault after another for as long as it still breaks. */
    private void shrink(Schedule broken, long ms) throws IOException, InterruptedException {
        Schedule least = broken;
        int runs = 0;
        for (int i = least.faults().size() - 1; i >= 0 && runs < SHRINK_RUNS; i--, runs++) {
            Schedule fewer = least.without(i);
            Run run = run(fewer, setup(), ms, null);
            if (run != null && !run.held()) {
                least = fewer;
            }
        }
        Path to = Files.createDirectories(out == null ? Path.of("found") : out).resolve("broken-" + seed + ".jsonl");
        least.write(to);
        System.out.println("shrunk to " + least.faults().size() + " faults: " + to);
    }

    /** Who acted as the single holder, by time. */
    private static void chart(Run run, Path to) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("acts of the single holder")
                .xAxisTitle("s")
                .yAxisTitle("process")
                .build();
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
        for (boolean taken : new boolean[] {true, false}) {
            List<Note> acts = run.notes().stream()
                    .filter(n -> n.task().equals(Rig.ONE) && n.taken() == taken)
                    .toList();
            if (!acts.isEmpty()) {
                XYSeries s = chart.addSeries(
                        taken ? "taken" : "turned away",
                        acts.stream()
                                .map(n -> (n.begin() - run.zero()) / NANOS_PER_S)
                                .toList(),
                        acts.stream()
                                .map(n -> Integer.parseInt(n.holder().substring(1)))
                                .toList());
                s.setMarker(SeriesMarkers.CIRCLE).setMarkerColor(taken ? Color.BLUE : Color.RED);
            }
        }
        BitmapEncoder.saveBitmap(chart, to.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
