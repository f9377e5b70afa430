package marlford.storm.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One gateway process of a soak: started, signalled, killed, and its log read. */
final class SoakProcess implements Closeable {
    static final String LOG = "log"; // its file
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final String PROGRAM = "java"; // its name once the shell has become it
    private static final String STARTS = "deckfall: SIGHUP is ignored"; // the first line of each process
    private static final int LAST_LINES = 5;
    private static final String LOOP = "nioEventLoop"; // how the system calls the thread
    private static final double NANOS_PER_MS = 1e6;
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        // Whoever ends a soak ends its processes, too.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    final int number;
    final int port;
    private final Path folder;
    private final String classPath;
    private final FailingCalls calls;
    private final Random random; // what each life meets
    private Process process;
    private Process predecessor; // in an upgrade
    private volatile long upSince; // of the present life, in nanoseconds; 0 while it is not up
    private volatile int lives;
    private volatile long killedNanos; // the latest of its processes; 0 for none
    private long waitedNanos; // of its event loop for a core, at the last look

    SoakProcess(int number, int port, Path folder, String classPath, FailingCalls calls, long seed) {
        this.number = number;
        this.port = port;
        this.folder = folder;
        this.classPath = classPath;
        this.calls = calls;
        this.random = new Random(seed);
    }

    Path settings() {
        return folder.resolve("node.json");
    }

    Path log() {
        return folder.resolve(LOG);
    }

    /** Starts it; {@link #setUp} tells when it serves. */
    void start() throws IOException {
        launch();
        lives++;
    }

    private void launch() throws IOException {
        List<String> command = List.of(
                "sh",
                "-c",
                "trap '' HUP; exec \"$0\" \"$@\"", // as the deploy file does
                JAVA,
                "-Xmx48m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-XX:+ExitOnOutOfMemoryError",
                "-Xshare:auto",
                "-XX:MaxDirectMemorySize=16m",
                "-cp",
                classPath,
                "marlford.gateway.Main",
                "serve");
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().put("NODE_CONFIG", settings().toString());
        builder.environment().put("TMPDIR", folder.toString()); // where the processes of an upgrade meet
        builder.environment().put("NODE_TRACE", "1");
        calls.draw(random, builder.environment());
        process = builder.start();
        STARTED.add(process);
    }

    /** Starts another process beside the running one, which goes on until it is told to end; what it took in is owed all the same. */
    void startSuccessor() throws IOException {
        predecessor = process;
        launch();
    }

    /** Whether the start of a successor failed for want of SO_REUSEPORT, which the virtual machine looks for once (KNOWN-RED.txt). */
    boolean failedForReusePort() throws IOException {
        String text = Files.readString(log());
        int lastStart = text.lastIndexOf(STARTS);
        return text.indexOf("can't start: Address already in use", Math.max(0, lastStart)) >= 0
                && text.contains("Unknown channel option 'SO_REUSEPORT'");
    }

    /** The successor has ended; the process before it serves on. */
    void keepPredecessor() {
        killedNanos = System.nanoTime();
        process.destroyForcibly();
        process = predecessor;
        predecessor = null;
    }

    /** The process of before the upgrade gets SIGTERM, and SIGKILL where it has not ended within this time. */
    void endPredecessor(long ms) throws InterruptedException {
        predecessor.destroy();
        if (!predecessor.waitFor(ms, TimeUnit.MILLISECONDS)) {
            killedNanos = System.nanoTime();
            predecessor.destroyForcibly();
        }
        predecessor = null;
    }

    /** How often a process here has said that it serves. */
    long servings() throws IOException {
        return Files.exists(log())
                ? Files.readAllLines(log()).stream()
                        .filter(line -> line.startsWith("serves after "))
                        .count()
                : 0;
    }

    /** Clients may come from now on, or no longer. */
    void setUp(boolean up) {
        upSince = up ? System.nanoTime() : 0;
    }

    boolean isUp() {
        return upSince != 0;
    }

    /** The number of its present life; what began in another one is owed nothing. */
    int life() {
        return lives;
    }

    void kill() throws InterruptedException {
        lives++; // ahead of the signal: what it holds is lost from here on
        killedNanos = System.nanoTime();
        setUp(false);
        process.destroyForcibly().waitFor();
    }

    /** SIGTERM; clients go on over what they have open. */
    void terminate() {
        process.destroy();
    }

    /** SIGKILL where it has not ended by itself; what it had not answered by then is lost, so its life goes on for the judge. */
    void killIfAlive() throws IOException, InterruptedException {
        killedNanos = System.nanoTime();
        signal("KILL");
    }

    /** Whether one of its processes was killed after this time. */
    boolean wasKilledSince(long nanos) {
        return killedNanos != 0 && killedNanos - nanos > 0;
    }

    /** Whether it has ended by itself within this time. */
    boolean hasEndedWithin(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Sends it a signal by name; none while it is still the shell that starts the program. */
    void signal(String name) throws IOException, InterruptedException {
        signal(process, name);
    }

    /** Stops it for so long; that one goes on, though another takes its place meanwhile. */
    void pause(long ms) throws IOException, InterruptedException {
        Process paused = process;
        signal(paused, "STOP");
        Thread.sleep(ms);
        signal(paused, "CONT");
    }

    private static void signal(Process to, String name) throws IOException, InterruptedException {
        if (to.isAlive() && isProgram(to)) {
            new ProcessBuilder("kill", "-" + name, Long.toString(to.pid()))
                    .start()
                    .waitFor();
        }
    }

    private static boolean isProgram(Process process) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(process.pid()), "comm"))
                    .startsWith(PROGRAM);
        } catch (IOException e) {
            return false; // it ended meanwhile
        }
    }

    /** How it ended, or that it has not, and the last lines of its log. */
    String ending() throws IOException {
        String state = process.isAlive() ? "alive" : "exit status " + process.exitValue();
        List<String> lines = Files.exists(log()) ? Files.readAllLines(log()) : List.of();
        return state + ", last lines: "
                + String.join(" | ", lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size()));
    }

    /** For how long its event loop has waited for a core since this was last asked, in milliseconds; 0 where it can't be told. */
    double waitedForCoreMs() throws IOException {
        Process present = process;
        if (present == null || !present.isAlive()) {
            return 0;
        }
        long waited = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(present.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                if (Files.readString(thread.resolve("comm")).startsWith(LOOP)) {
                    waited += Long.parseLong(
                            Files.readString(thread.resolve("schedstat")).split(" ")[1]);
                }
            }
        } catch (IOException | UncheckedIOException e) {
            return 0; // it ended meanwhile
        }
        long before = waitedNanos;
        waitedNanos = waited;
        return Math.max(0, waited - before) / NANOS_PER_MS;
    }

    /** The largest resident size of the present process so far, in kB; 0 where it can't be told. */
    long peakMemoryKb() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0; // it ended meanwhile
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Lines of its log that tell of a defect or of a broken rule, from this byte on. */
    List<String> complaints(long from) throws IOException {
        String text = Files.exists(log()) ? Files.readString(log()) : "";
        return text.substring((int) Math.min(from, text.length()))
                .lines()
                .filter(line -> line.contains("defect") || line.contains(" broken_"))
                .toList();
    }

    long logSize() throws IOException {
        return Files.exists(log()) ? Files.size(log()) : 0;
    }

    @Override
    public void close() {
        if (predecessor != null) {
            predecessor.destroyForcibly();
        }
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }
}
