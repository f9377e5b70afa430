import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An api gateway that is started with the line {@code run} of the deploy file, and ended when the case ends. */
final class GatewayProcess {
    private static final long START_LIMIT_MS = 30_000;
    private static final long POLL_MS = 100;
    private static final int CONNECT_LIMIT_MS = 1000;

    private final Process process;
    private final InetSocketAddress address;
    private final Recorder recorder;

    GatewayProcess(Path root, Path folder, Configuration configuration, Recorder recorder) throws IOException {
        this.recorder = recorder;
        address = new InetSocketAddress("127.0.0.1", configuration.clientPort);
        Path runtime = Files.createDirectories(folder.resolve("tmp"));
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration.json());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
        Map<String, String> environment = builder.environment();
        environment.put("NODE_CONFIG", file.toString());
        environment.put("NODE_NAME", "n0");
        environment.put("NODE_LISTEN", "127.0.0.1:" + configuration.clientPort);
        environment.put("TMPDIR", runtime.toString());
        File log = folder.resolve("gateway.log").toFile();
        process = builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the line {@code run} of the deploy file. */
    private static String runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no line run");
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until {@code GET /healthz} is answered with 200. */
    void awaitReady() throws IOException, InterruptedException {
        long endMs = recorder.nowMs() + START_LIMIT_MS;
        while (!saysYes()) {
            if (recorder.nowMs() > endMs || !process.isAlive()) {
                throw new IOException("the api gateway did not become ready");
            }
            Thread.sleep(POLL_MS);
        }
        recorder.event("gateway", "ready");
    }

    private boolean saysYes() {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_LIMIT_MS);
            socket.setSoTimeout(CONNECT_LIMIT_MS);
            socket.getOutputStream().write(HttpMessage.bytes("GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"));
            HttpMessage answer = HttpMessage.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends SIGTERM, the beginning of a planned restart. */
    void terminate() {
        recorder.event("platform", "SIGTERM to the api gateway");
        Threads.start(() -> {
            int status = process.waitFor();
            recorder.event("gateway", "has ended, status " + status);
        });
        process.destroy();
    }

    /** Waits for the end of the process; returns whether it has ended. */
    boolean awaitEnd(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Ends the process at once. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
