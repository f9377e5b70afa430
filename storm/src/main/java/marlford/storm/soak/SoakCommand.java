package marlford.storm.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays seeds one after the other over one fleet of real processes. Exit 0 where no rule was broken, 1 where one was. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Random, overlapping faults over a few dozen real gateways, judged by what clients and hosts saw.")
public final class SoakCommand implements Callable<Integer> {
    private static final int CROWD_ONE_IN = 3; // of the seeds
    private static final long SETTLE_MS =
            10_000; // the longest deadline and an answer that is late, and the slowest reader
    private static final double MB = 1 << 20;

    @Option(names = "--seed", defaultValue = "1", description = "the first one (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", description = "how many (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--processes", defaultValue = "24", description = "gateways (${DEFAULT-VALUE})")
    private int processes;

    @Option(names = "--seconds", defaultValue = "10", description = "of faults for each seed (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--out", paramLabel = "DIR", description = "keeps settings and logs there")
    private Path out;

    @Override
    public Integer call() throws Exception {
        List<String> broken = run(seed, seeds, processes, seconds, out);
        return broken.isEmpty() ? 0 : 1;
    }

    /** Plays them all, and returns what was broken; one line for each seed is printed. */
    static List<String> run(long seed, int seeds, int processes, int seconds, Path out)
            throws IOException, InterruptedException {
        Path folder = out == null ? Files.createTempDirectory("marlford-soak") : Files.createDirectories(out);
        List<String> broken = new ArrayList<>();
        try (SoakFleet fleet = new SoakFleet(folder, System.getProperty("java.class.path"), processes, seed)) {
            fleet.start();
            fleet.findings().broken().forEach(what -> System.out.println("soak: start BROKEN " + what));
            for (long s = seed; s < seed + seeds; s++) {
                play(fleet, s, seconds);
            }
            broken.addAll(fleet.findings().broken());
        }
        System.out.println("soak: " + seeds + " seeds, " + processes + " processes, broken " + broken.size()
                + ", memory of the soak itself "
                + Math.round((Runtime.getRuntime().totalMemory()) / MB) + " MB, logs in " + folder);
        return broken;
    }

    private static void play(SoakFleet fleet, long seed, int seconds) throws IOException, InterruptedException {
        List<Long> logs = new ArrayList<>();
        for (SoakProcess process : fleet.processes()) {
            logs.add(process.logSize());
        }
        int before = fleet.findings().broken().size();
        fleet.startClients(seed);
        SoakFaults faults = new SoakFaults(fleet, seed, seed % CROWD_ONE_IN == 0);
        faults.play(seconds * 1000L);
        fleet.stop();
        Thread.sleep(SETTLE_MS);
        fleet.judge(logs);
        List<String> found = fleet.findings().broken();
        System.out.println("soak: seed " + seed + " faults " + faults.played().size() + " late "
                + Math.round(fleet.lateness().ms()) + " ms, so far "
                + fleet.findings().summary());
        for (String what : found.subList(before, found.size())) {
            System.out.println("soak: seed " + seed + " BROKEN " + what);
        }
    }
}
