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
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Idle clients take all descriptors that they can get while discovery is away, and go on so when it is back. */
class DescriptorsTest {
    private static final int CALLS_AWAY = 5;

    @TempDir
    private Path folder;
    private Process process;
    private int port;

    @AfterEach
    void end() {
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
        ProcessBuilder java = new ProcessBuilder("sh", "-c", "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), "marlford.gateway.Main", "serve");
        java.environment().put("NODE_CONFIG", file.toString());
        process = java.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(folder.resolve("log").toFile()).start();
    }

    private boolean isUp() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return s.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** So many clients that connect, say nothing, and connect again whenever they are shut out. */
    private static final class Crowd implements Closeable {
        final AtomicInteger shutOut = new AtomicInteger();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private volatile boolean over;

        Crowd(int port, int clients) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                threads.add(new Thread(() -> stay(port)));
            }
            for (Thread t : threads) {
                t.setDaemon(true);
                t.start();
            }
        }

        private void stay(int port) {
            while (!over) {
                try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    sockets.add(s);
                    while (s.getInputStream().read() >= 0) {
                        continue; // nothing is asked
                    }
                    sockets.remove(s);
                } catch (IOException e) {
                    // reset: shut out as well
                }
                shutOut.incrementAndGet();
            }
        }

        @Override
        public void close() throws IOException {
            over = true;
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    /** The second: a system that allows fewer descriptors than the settings say. */
    @ParameterizedTest
    @CsvSource({"256, 256", "100, 1024"})
    void aListComesThroughACrowdOnceDiscoveryIsBack(int descriptors, int sockets) throws Exception {
        AtomicBoolean away = new AtomicBoolean(true);
        AtomicInteger calls = new AtomicInteger();
        try (Server agent = new Server((m, s) -> {
            calls.incrementAndGet();
            if (away.get()) {
                s.setSoLinger(true, 0);
                s.close();
            } else if (!m.start().contains("from=")) {
                s.getOutputStream().write(Sockets.ok(Sockets.list(1, true, Sockets.entry("h0", "127.0.0.1:1", "ready"))));
            }
        })) {
            start(agent.address(), descriptors, sockets);
            Sockets.await(this::isUp, "a listener");
            try (Crowd crowd = new Crowd(port, 2 * descriptors)) {
                Sockets.await(() -> crowd.shutOut.get() > descriptors, "more than fit");
                int before = calls.get();
                Sockets.await(() -> calls.get() > before + CALLS_AWAY, "calls while it is away");
                away.set(false);
                for (Message m = agent.next(); !m.start().contains("from=1&"); m = agent.next()) {
                    assertNotNull(m, "no list was taken");
                }
                assertTrue(process.isAlive());
            }
        }
    }
}
