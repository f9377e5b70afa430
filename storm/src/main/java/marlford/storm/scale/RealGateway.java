package marlford.storm.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the program, started as the deploy file says. */
final class RealGateway implements Closeable {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final String RUN = "run = ";
    private static final String PROGRAM = "exec java ";
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final int TICKS_PER_S = 100; // of /proc, on every Linux that the program runs on
    private static final double MS_PER_TICK = 1000.0 / TICKS_PER_S;
    private static final int USER_AT = 11; // fields of /proc/PID/stat behind the name
    private static final int SYSTEM_AT = 12;
    private static final double KB_PER_MB = 1024;
    private static final double NANOS_PER_MS = 1e6;
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        // Whoever ends a run ends its processes, too.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Path root;
    private final Path log;
    private final Path settings;
    private Process process;
    private long startedNanos;

    /**
     * @param root of the checkout, whose deploy file says how a gateway is run
     * @param folder for its log
     * @param settings its configuration file
     */
    RealGateway(Path root, Path folder, Path settings) {
        this.root = root;
        this.log = folder.resolve("log");
        this.settings = settings;
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(JAVA));
        command.addAll(deployedArguments(root));
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(log.toFile());
        builder.environment().put("NODE_CONFIG", settings.toString());
        builder.environment().remove("TMPDIR"); // a process that is started anew finds nobody to take over from
        startedNanos = System.nanoTime();
        process = builder.start();
        STARTED.removeIf(p -> !p.isAlive());
        STARTED.add(process);
    }

    /** What the deploy file's {@code run} gives to {@code java}. */
    static List<String> deployedArguments(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve(DEPLOY_FILE))) {
            if (line.startsWith(RUN)) {
                int from = line.indexOf(PROGRAM) + PROGRAM.length();
                return List.of(line.substring(from, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run line in " + root.resolve(DEPLOY_FILE));
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean isReady() throws IOException {
        return said("serves after ");
    }

    /** Whether its log has a line with this by now. */
    boolean said(String part) throws IOException {
        return Files.exists(log) && Files.readString(log).contains(part);
    }

    /** The sum of a counter over the lines of every second that its present process has logged. */
    long logged(String counter) throws IOException {
        if (!Files.exists(log)) {
            return 0;
        }
        long sum = 0;
        Matcher found = Pattern.compile(" " + counter + "=(\\d+)").matcher(Files.readString(log));
        while (found.find()) {
            sum += Long.parseLong(found.group(1));
        }
        return sum;
    }

    double ageMs() {
        return (System.nanoTime() - startedNanos) / NANOS_PER_MS;
    }

    /** Processor time since its start, in milliseconds. */
    double processorMs() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_AT]) + Long.parseLong(fields[SYSTEM_AT])) * MS_PER_TICK;
    }

    /** Memory that is resident now, in MB. */
    double residentMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / KB_PER_MB;
            }
        }
        return 0;
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }
}
