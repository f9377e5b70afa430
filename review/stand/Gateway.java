import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the gateway, started by the line {@code run} of the deploy file. */
final class Gateway implements AutoCloseable {
    private static final long READY_MS = 30_000;

    final String name;
    final int port;
    final int console;
    final Path folder;
    private final Record record;
    private final Path root;
    private Process process;

    /**
     * @param folder an empty folder for its configuration, its log and TMPDIR
     * @param root of the repository
     */
    Gateway(Record record, Path root, Path folder, String name) throws IOException {
        this(record, root, folder, name, freePort());
    }

    Gateway(Record record, Path root, Path folder, String name, int port) throws IOException {
        this.record = record;
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.port = port;
        this.console = freePort();
        Files.createDirectories(folder.resolve("tmp"));
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    static int freeDatagramPort() throws IOException {
        try (DatagramSocket free = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return free.getLocalPort();
        }
    }

    private static String runCommand(Path root) throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("the deploy file has no line 'run'");
        }
        return line.group(1);
    }

    /** Writes the configuration as a whole, by renaming a file. */
    void configure(String json) throws IOException {
        Path fresh = Files.writeString(folder.resolve("fresh.json"), json);
        Files.move(fresh, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    void start() throws IOException {
        start(folder.resolve("tmp"));
    }

    /** @param tmp the private folder of the process, $TMPDIR */
    void start(Path tmp) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root)).directory(root.toFile());
        builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("NODE_CONSOLE", "127.0.0.1:" + console);
        builder.environment().put("TMPDIR", tmp.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        process = builder.start();
        record.add(name + ": started, process " + process.pid());
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (healthStatus() != 200) {
            if (System.nanoTime() > end || !isAlive()) {
                throw new IOException(name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.add(name + ": ready");
    }

    /** The status of GET /healthz; 0 where nothing answers. */
    int healthStatus() {
        return get(port, "/healthz");
    }

    /** The status of the console's health; 0 where nothing answers. */
    int consoleHealth() {
        return get(console, "/admin/health");
    }

    private static int get(int port, String path) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(Http.bytes("GET " + path + " HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Calls the console of the operators; returns the status. */
    int post(String path, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), console)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(Http.bytes("POST " + path + " HTTP/1.1\r\nHost: console\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body));
            int status = Http.read(socket.getInputStream()).status();
            record.add(name + ": console, POST " + path + " " + body + " answered " + status);
            return status;
        }
    }

    /** Sends a signal to the process, such as HUP, TERM, STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
        record.add(name + ": signal " + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process outright and waits for its end. */
    void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            record.add(name + ": killed");
            process.destroyForcibly();
            process.waitFor();
        }
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    int exitStatus() {
        return process.exitValue();
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
