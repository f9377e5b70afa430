package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Idle clients take all descriptors they can get while discovery is unavailable, and continue when it is back. */
class DescriptorExhaustionTest {
    private static final int CALLS_WHILE_UNAVAILABLE = 5;

    @TempDir
    private Path folder;
    private Process process;
    private int port;

    @AfterEach
    void stopProcess() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String discovery, int descriptors, int sockets) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String config = Sockets.config(discovery, "127.0.0.1:0")
                .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc")
                .replace("\"sockets\": 1024", "\"sockets\": " + sockets);
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), "marlford.gateway.Main", "serve");
        builder.environment().put("NODE_CONFIG", file.toString());
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(folder.resolve("log").toFile()).start();
    }

    private boolean isUp() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return s.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** A number of clients that connect, send nothing, and reconnect whenever they are disconnected. */
    private static final class IdleClients implements Closeable {
        final AtomicInteger disconnects = new AtomicInteger();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private volatile boolean closed;

        IdleClients(int port, int clients) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                threads.add(new Thread(() -> stayConnected(port)));
            }
            for (Thread t : threads) {
                t.setDaemon(true);
                t.start();
            }
        }

        private void stayConnected(int port) {
            while (!closed) {
                try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    sockets.add(s);
                    while (s.getInputStream().read() >= 0) {
                        continue; // sends nothing
                    }
                    sockets.remove(s);
                } catch (IOException e) {
                    // a reset counts as a disconnect as well
                }
                disconnects.incrementAndGet();
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    /** The second case: the system allows fewer descriptors than the settings say. */
    @ParameterizedTest
    @CsvSource({"256, 256", "100, 1024"})
    void aListIsFetchedDespiteManyIdleClientsOnceDiscoveryIsBack(int descriptors, int sockets) throws Exception {
        AtomicBoolean unavailable = new AtomicBoolean(true);
        AtomicInteger calls = new AtomicInteger();
        try (RecordingServer agent = new RecordingServer((m, s) -> {
            calls.incrementAndGet();
            if (unavailable.get()) {
                s.setSoLinger(true, 0);
                s.close();
            } else if (!m.startLine().contains("from=")) {
                s.getOutputStream().write(Sockets.ok(Sockets.list(1, true, Sockets.entry("h0", "127.0.0.1:1", "ready"))));
            }
        })) {
            start(agent.address(), descriptors, sockets);
            Sockets.await(this::isUp, "the listener is open");
            try (IdleClients idleClients = new IdleClients(port, 2 * descriptors)) {
                Sockets.await(() -> idleClients.disconnects.get() > descriptors, "more clients were disconnected than descriptors exist");
                int before = calls.get();
                Sockets.await(() -> calls.get() > before + CALLS_WHILE_UNAVAILABLE, "calls while the discovery agent is unavailable");
                unavailable.set(false);
                for (Message m = agent.next(); !m.startLine().contains("from=1&"); m = agent.next()) {
                    assertNotNull(m, "the host list was not accepted");
                }
                assertTrue(process.isAlive());
            }
        }
    }
}
