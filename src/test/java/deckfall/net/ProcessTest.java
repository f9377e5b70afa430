package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.net.Sockets.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as the platform starts and ends it. */
class ProcessTest {
    private static final int DESCRIPTORS = 100;

    @TempDir
    private Path dir;
    private Process process;
    private int port;

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String config) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder b = new ProcessBuilder("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"", java,
                "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "deckfall.Main", "serve");
        b.environment().put("NODE_CONFIG", file.toString());
        process = b.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(dir.resolve("log").toFile()).start();
    }

    private void startServing() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        start(config("127.0.0.1:1"));
        awaitReady();
    }

    private String config(String discovery) {
        return Sockets.config(discovery, "127.0.0.1:0").replace("127.0.0.1:0\", \"disc",
                "127.0.0.1:" + port + "\", \"disc");
    }

    private void hangUp(String config) throws Exception {
        Files.writeString(dir.resolve("config.json"), config);
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private void awaitLog(String part) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (!Files.readString(dir.resolve("log")).contains(part)) {
            assertTrue(process.isAlive() && System.nanoTime() < end, "not logged: " + part);
            Thread.sleep(20);
        }
    }

    private void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (!ready()) {
            assertTrue(process.isAlive() && System.nanoTime() < end, "not ready");
            Thread.sleep(20);
        }
    }

    private boolean ready() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(Sockets.PATIENCE_MS);
            s.getOutputStream().write(Sockets.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            Message answer = Sockets.read(s.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The event loop once died of this: the warning that no descriptor was left itself needed one. */
    @Test
    void runningOutOfDescriptorsPasses() throws Exception {
        startServing();
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 2 * DESCRIPTORS; i++) {
            crowd.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        awaitLog("Too many open files");
        for (Socket s : crowd) {
            s.close();
        }
        awaitReady();
    }

    /** Else its first clients meet interpreted code, which on a part of a core serves half of them. */
    @Test
    void isReadyOnlyOnceItsCodeIsWarm() throws Exception {
        startServing();
        assertTrue(Files.readString(dir.resolve("log")).contains("warm after "));
    }

    @Test
    void sigtermEndsItInOrder() throws Exception {
        startServing();
        process.destroy();
        assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, process.exitValue());
    }

    /** SIGHUP once ended the process; each new file moves discovery, and one that can't be read moves nothing. */
    @Test
    void sighupFollowsDiscoveryAndSigtermStillEndsIt() throws Exception {
        try (Sockets.Registry first = new Sockets.Registry(Sockets.list(7, true));
                Sockets.Registry second = new Sockets.Registry(Sockets.list(3, true))) {
            startServing();
            for (Sockets.Registry next : List.of(first, second, first)) {
                hangUp("{\"name\": \"n0\"}");
                awaitLog("the settings stay as they were");
                assertTrue(ready());
                hangUp(config(next.server.address()));
                assertEquals("GET /v1/servers HTTP/1.1", next.server.next().start());
                assertTrue(next.server.next().start().contains(next == first ? "from=7&" : "from=3&"));
            }
            process.destroy();
            assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    @Test
    void aBadConfigurationEndsItWithOneLine() throws Exception {
        start("{\"name\": \"n0\"}");
        assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, process.exitValue());
        assertEquals(1, Files.readAllLines(dir.resolve("log")).size());
    }
}
