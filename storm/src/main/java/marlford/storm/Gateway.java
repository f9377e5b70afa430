package marlford.storm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** One process of the program. */
final class Gateway {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        // Whoever ends a storm ends its processes, too.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    /** What a process is: a gateway without a fleet, one in a fleet, or a fleet's member without clients. */
    enum Role {
        ALONE,
        SERVES,
        AGENT
    }

    final String name;
    private final Role role;
    private final Path folder;
    private String classPath;
    private final List<String> options;
    private Process process;
    private volatile boolean stopped;

    /** @param folder its own, with its settings; its log goes there, too */
    Gateway(String name, Role role, Path folder, String classPath, List<String> options) {
        this.name = name;
        this.role = role;
        this.folder = folder;
        this.classPath = classPath;
        this.options = options;
    }

    /** Runs another version from its next start on. */
    void runs(String otherClassPath) {
        classPath = otherClassPath;
    }

    Path log() {
        return folder.resolve("log");
    }

    Path disk() {
        return folder.resolve("state").resolve(name);
    }

    Path settings() {
        return folder.resolve("fleet.json");
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(
                JAVA,
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xshare:auto",
                "-Dmarlford.faults=true"));
        command.addAll(options);
        command.addAll(List.of("-cp", classPath));
        command.addAll(
                switch (role) {
                    case ALONE -> List.of("marlford.gateway.Main", "serve");
                    case SERVES ->
                        List.of(
                                "marlford.fleet.Main",
                                "serve",
                                "--fleet",
                                settings().toString(),
                                "--name",
                                name);
                    case AGENT ->
                        List.of(
                                "marlford.fleet.Main",
                                "agent",
                                "--fleet",
                                settings().toString(),
                                "--name",
                                name);
                });
        ProcessBuilder b = new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.appendTo(log().toFile()));
        b.environment().put("NODE_CONFIG", folder.resolve("node.json").toString());
        b.environment().remove("TMPDIR"); // a process that is started anew finds nobody to take over from
        process = b.start();
        STARTED.removeIf(p -> !p.isAlive());
        STARTED.add(process);
        stopped = false;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean isStopped() {
        return stopped;
    }

    /** Whether its log has this line by now. */
    boolean said(String part) throws IOException {
        return Files.exists(log()) && Files.readString(log()).contains(part);
    }

    /** How its last line that has this part goes on; empty where there is none. */
    String last(String part) throws IOException {
        String text = Files.exists(log()) ? Files.readString(log()) : "";
        int at = text.lastIndexOf(part);
        return at < 0
                ? ""
                : text.substring(at + part.length()).lines().findFirst().orElse("");
    }

    /** What it said last. */
    String lastLine() throws IOException {
        return Files.exists(log()) ? Files.readString(log()).lines().reduce("", (before, line) -> line) : "";
    }

    /** Whether all its parts are there. */
    boolean isUp() throws IOException {
        return (role == Role.ALONE || said("fleet: session ")) && (role == Role.AGENT || said("serves after "));
    }

    /** Where its usage is kept. */
    Path usage() {
        return folder.resolve("state").resolve(name + ".usage");
    }

    /** Processor time and memory now, of {@code /proc}; empty where that is not to be had. */
    String stat() throws IOException {
        Path stat = Path.of("/proc", Long.toString(process.pid()), "stat");
        return Files.exists(stat) ? Files.readString(stat) : "";
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    void term() {
        process.destroy();
    }

    void awaitEnd(long ms) throws InterruptedException {
        if (process != null && !process.waitFor(ms, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    void stop() throws IOException, InterruptedException {
        stopped = true;
        signal("STOP");
    }

    void go() throws IOException, InterruptedException {
        signal("CONT");
        stopped = false;
    }

    private void signal(String signal) throws IOException, InterruptedException {
        if (isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }
}
