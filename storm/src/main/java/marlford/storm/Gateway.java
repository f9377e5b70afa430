package marlford.storm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the program. */
final class Gateway {
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

    final String name;
    private final Path folder;
    private final String classPath;
    private final List<String> options;
    private Process process;
    private int lives;
    private volatile boolean stopped;

    /** @param folder its own, with its settings; its log goes there, too */
    Gateway(String name, Path folder, String classPath, List<String> options) {
        this.name = name;
        this.folder = folder;
        this.classPath = classPath;
        this.options = options;
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
        lives++;
        List<String> command = new ArrayList<>(List.of(JAVA, "-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData", "-Xshare:auto", "-Dmarlford.faults=true"));
        command.addAll(options);
        command.addAll(List.of("-cp", classPath, "marlford.fleet.Main", "agent", "--fleet", settings().toString(), "--name",
                name));
        process = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.appendTo(log().toFile())).start();
        stopped = false;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int lives() {
        return lives;
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
        return at < 0 ? "" : text.substring(at + part.length()).lines().findFirst().orElse("");
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
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }
}
