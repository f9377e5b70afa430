package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.upgrade.HandoverServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts and ends the program as a separate process, as the platform does. */
class GatewayProcessTest {
    private static final int DESCRIPTOR_LIMIT = 100;
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

    @TempDir
    private Path dir;
    private Process process;
    private int port;

    @AfterEach
    void stopProcess() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void start(String config) throws IOException {
        start(config, "");
    }

    /** Starts the program under a descriptor limit; {@code shellPrefix} runs first in the same shell. */
    private void start(String config, String shellPrefix) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", shellPrefix + "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$0\" \"$@\"",
                JAVA,
                "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "marlford.gateway.Main", "serve");
        builder.environment().put("NODE_CONFIG", file.toString());
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(dir.resolve("log").toFile()).start();
    }

    /** Chooses a port that is free at the moment. */
    private void choosePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    private void startServing() throws Exception {
        choosePort();
        start(config("127.0.0.1:1"));
        awaitReady();
    }

    /** Replaces the configuration file atomically, without a signal. */
    private void replaceFile(String config) throws IOException {
        Path fresh = Files.writeString(dir.resolve("fresh.json"), config);
        Files.move(fresh, dir.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    private String config(String discovery) {
        return withChosenPort(Sockets.config(discovery, "127.0.0.1:0"));
    }

    /**
     * The configuration with the chosen port in the listen address. The search text ends within the next key,
     * {@code discovery}, so that no other address matches.
     */
    private String withChosenPort(String config) {
        return config.replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
    }

    /** Writes a configuration file and sends SIGHUP. */
    private void reloadWith(String config) throws Exception {
        Files.writeString(dir.resolve("config.json"), config);
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private void awaitLog(String expected) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.TIMEOUT_MS);
        while (!Files.readString(dir.resolve("log")).contains(expected)) {
            assertTrue(process.isAlive() && System.nanoTime() < deadline, "missing log text: " + expected);
            Thread.sleep(20);
        }
    }

    private void awaitReady() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.TIMEOUT_MS);
        while (!isReady()) {
            assertTrue(process.isAlive() && System.nanoTime() < deadline, "health check did not succeed in time");
            Thread.sleep(20);
        }
    }

    private boolean isReady() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(Sockets.TIMEOUT_MS);
            s.getOutputStream().write(Sockets.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            Message response = Sockets.read(s.getInputStream());
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The event loop once died when no descriptor was left, because logging that warning itself needed one. */
    @Test
    void survivesRunningOutOfDescriptors() throws Exception {
        startServing();
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < 2 * DESCRIPTOR_LIMIT; i++) {
            connections.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        awaitLog("Too many open files");
        for (Socket s : connections) {
            s.close();
        }
        awaitReady();
    }

    /**
     * Without a warm-up the first requests would run in interpreted code, and with a fraction of a core only about half
     * of them would be served. Checks that the log reports the warm-up once the process is ready.
     */
    @Test
    void isReadyOnlyAfterWarmUp() throws Exception {
        startServing();
        assertTrue(Files.readString(dir.resolve("log")).contains("warm after "));
    }

    @Test
    void sigtermShutsDownGracefully() throws Exception {
        startServing();
        process.destroy();
        assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, process.exitValue());
    }

    /**
     * On SIGTERM while it waited for the first discovery response, the process once opened its listener all the same
     * and exited soon after.
     */
    @Test
    void sigtermDuringTheStartExitsWithoutServing() throws Exception {
        try (Sockets.RecordingServer agent = new Sockets.RecordingServer((m, s) -> { })) {
            choosePort();
            start(config(agent.address()));
            assertNotNull(agent.next());
            process.destroy();
            assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertFalse(Files.readString(dir.resolve("log")).contains("serves after"));
        }
    }

    /**
     * A process that has heard from other gateways stays until its scheduled exit time even when it has no clients,
     * because they use the quota ledgers that it holds. Checks the log line and that the process then exits.
     */
    @Test
    void withPeersItKeepsLedgersUntilTheShutdownTimeEnds() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            choosePort();
            String ownAddress = "127.0.0.1:" + port;
            start(withChosenPort(Sockets.config("127.0.0.1:1", ownAddress, ownAddress, "127.0.0.1:" + peer.getLocalPort())));
            awaitReady();
            // only a gateway that has received a message from a peer stays
            peer.send(new DatagramPacket(new byte[] {1}, 1, InetAddress.getLoopbackAddress(), port));
            process.destroy();
            awaitLog("drained: the process stays until its scheduled exit time");
            assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    /**
     * SIGHUP once ended the process. Each valid new file changes the discovery agent; an unreadable one changes
     * nothing.
     */
    @Test
    void sighupReloadsDiscoveryAndSigtermStillEndsTheProcess() throws Exception {
        try (Sockets.DiscoveryAgent first = new Sockets.DiscoveryAgent(Sockets.list(7, true));
                Sockets.DiscoveryAgent second = new Sockets.DiscoveryAgent(Sockets.list(3, true))) {
            startServing();
            for (Sockets.DiscoveryAgent next : List.of(first, second, first)) {
                reloadWith("{\"name\": \"n0\"}");
                awaitLog("the previous settings stay in use");
                assertTrue(isReady());
                reloadWith(config(next.server.address()));
                assertEquals("GET /v1/servers HTTP/1.1", next.server.next().startLine());
                assertTrue(next.server.next().startLine().contains(next == first ? "from=7&" : "from=3&"));
            }
            process.destroy();
            assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    /**
     * Under nohup, SIGHUP is already ignored when the process starts, and the virtual machine leaves it ignored. The
     * gateway then once kept the discovery agent of its first file, and so went on sending to draining hosts.
     */
    @Test
    void aProcessStartedWithSighupIgnoredStillFollowsItsFile() throws Exception {
        try (Sockets.DiscoveryAgent next = new Sockets.DiscoveryAgent(Sockets.list(7, true))) {
            choosePort();
            start(config("127.0.0.1:1"), "trap '' HUP; ");
            awaitReady();
            reloadWith(config(next.server.address()));
            assertNotNull(next.server.next());
            awaitLog("SIGHUP is ignored");
        }
    }

    /**
     * The run command of the deployment ignores SIGHUP in the shell that starts java. Without that, a SIGHUP that
     * arrives before the program handles it ends the virtual machine with status 129 and without a log line.
     */
    @Test
    void sighupBeforeTheProgramHandlesItDoesNotEndTheStart() throws Exception {
        String run = Files.readAllLines(Path.of("..", "deploy", "balancer.toml")).stream()
                .filter(l -> l.startsWith("run = \"")).findFirst().orElseThrow();
        choosePort();
        start(config("127.0.0.1:1"), run.substring(run.indexOf('"') + 1, run.indexOf("exec java")));
        Path name = Path.of("/proc", Long.toString(process.pid()), "comm");
        while (!Files.readString(name).startsWith("java")) {
            assertTrue(process.isAlive()); // waits until the shell has executed java
        }
        reloadWith(config("127.0.0.1:1"));
        awaitReady();
    }

    /** The process ends up with the new file whenever during its start the file is replaced, even without a signal. */
    @ParameterizedTest
    @ValueSource(ints = {0, 150, 400, 800})
    void aFileReplacedDuringTheStartIsUsed(int afterMs) throws Exception {
        try (Sockets.DiscoveryAgent first = new Sockets.DiscoveryAgent(Sockets.list(7, true));
                Sockets.DiscoveryAgent second = new Sockets.DiscoveryAgent(Sockets.list(3, true))) {
            choosePort();
            start(config(first.server.address()));
            Thread.sleep(afterMs); // no event is awaited: any moment of the start will do
            replaceFile(config(second.server.address()));
            assertNotNull(second.server.next());
            assertTrue(second.server.next().startLine().contains("from=3&"));
            awaitReady();
        }
    }

    /**
     * After a truncated file, after a missing file, and after two replacements within a second, the process uses the
     * current file without a further signal.
     */
    @Test
    void aTruncatedOrMissingFileIsReadAgain() throws Exception {
        try (Sockets.DiscoveryAgent first = new Sockets.DiscoveryAgent(Sockets.list(7, true));
                Sockets.DiscoveryAgent second = new Sockets.DiscoveryAgent(Sockets.list(3, true))) {
            startServing();
            String whole = config(first.server.address());
            reloadWith(whole.substring(0, whole.length() / 2));
            awaitLog("the previous settings stay in use");
            Files.writeString(dir.resolve("config.json"), whole);
            assertNotNull(first.server.next());
            Files.delete(dir.resolve("config.json"));
            awaitLog("can't read");
            replaceFile(config("127.0.0.1:1"));
            replaceFile(config(second.server.address()));
            assertNotNull(second.server.next());
        }
    }

    /** A draining process must stop sending to hosts that drain, so it still follows discovery. */
    @Test
    void aDrainingProcessFollowsItsFile() throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch releaseResponse = new CountDownLatch(1);
        try (Sockets.RecordingServer host = new Sockets.RecordingServer((m, s) -> {
                requestReceived.countDown();
                releaseResponse.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                s.getOutputStream().write(Sockets.ok("late"));
            });
                Sockets.DiscoveryAgent first = new Sockets.DiscoveryAgent(
                        Sockets.list(7, true, Sockets.entry("h0", host.address(), "ready")));
                Sockets.DiscoveryAgent second = new Sockets.DiscoveryAgent(Sockets.list(3, true));
                Socket client = new Socket()) {
            choosePort();
            start(config(first.server.address()));
            awaitReady();
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            client.getOutputStream().write(Sockets.bytes(Sockets.view("v", Sockets.TIMEOUT_MS)));
            assertTrue(requestReceived.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            process.destroy();
            replaceFile(config(second.server.address()));
            assertNotNull(second.server.next());
            releaseResponse.countDown();
            assertEquals("late", Sockets.read(client.getInputStream()).text());
            assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** Like {@link #startSecondProcess(String, String)}, with {@code config.json}. */
    private Process startSecondProcess(String log) throws IOException {
        return startSecondProcess(log, "config.json");
    }

    /**
     * Starts the program, as the first or as a further process, without a descriptor limit and with a {@code TMPDIR}
     * that the processes of one test share.
     */
    private Process startSecondProcess(String log, String config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(JAVA, "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                "marlford.gateway.Main", "serve");
        builder.environment().put("NODE_CONFIG", dir.resolve(config).toString());
        builder.environment().put("TMPDIR", Files.createDirectories(dir.resolve("tmp")).toString());
        return builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(dir.resolve(log).toFile()).start();
    }

    /**
     * Starts the program beside a running one. A new process that is killed returns the serving role; one that stays
     * alive lets the old process exit.
     */
    @Test
    void theRunningProcessIsReplacedOrServesOn() throws Exception {
        choosePort();
        Files.writeString(dir.resolve("config.json"), config("127.0.0.1:1"));
        process = startSecondProcess("log");
        awaitReady();
        Process killedProcess = startSecondProcess("killed");
        Process fresh = null;
        try {
            awaitLog("upgrade: the new process serves clients, and this process has stopped accepting them");
            assertTrue(isReady());
            killedProcess.destroyForcibly();
            awaitLog("this process takes back its peer communication and quota accounting");
            awaitReady();
            fresh = startSecondProcess("fresh");
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.TIMEOUT_MS);
            while (Files.readString(dir.resolve("log")).split("the new process serves clients", -1).length < 3) {
                assertTrue(System.nanoTime() < deadline && fresh.isAlive(), "the old process was not replaced");
                Thread.sleep(20);
            }
            process.destroy();
            assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
            assertTrue(isReady());
            assertTrue(fresh.isAlive());
        } finally {
            killedProcess.destroyForcibly();
            if (fresh != null) {
                fresh.destroyForcibly();
            }
        }
    }

    /**
     * A new process receives SIGTERM after it has taken over the peer address and the ledgers: it exits without
     * serving, and the running process takes them back. The running process once did so only after a further 3.4 s;
     * the test does not check the time.
     */
    @Test
    void sigtermDuringAnUpgradeReturnsTheServingRoleAtOnce() throws Exception {
        choosePort();
        Files.writeString(dir.resolve("config.json"), config("127.0.0.1:1"));
        process = startSecondProcess("log");
        awaitReady();
        // the new process waits for the first discovery response
        try (Sockets.RecordingServer agent = new Sockets.RecordingServer((m, s) -> { })) {
            Files.writeString(dir.resolve("new.json"), config(agent.address()));
            Process terminated = startSecondProcess("ended", "new.json");
            try {
                assertNotNull(agent.next());
                terminated.destroy();
                assertTrue(terminated.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                awaitLog("did not report that it serves; this process takes back its peer communication and quota accounting");
                assertTrue(isReady());
                assertFalse(Files.readString(dir.resolve("ended")).contains("serves after"));
            } finally {
                terminated.destroyForcibly();
            }
        }
    }

    /**
     * Gateways of two deployments may have the same name: the second once took over from the first, which then
     * exited.
     */
    @Test
    void aGatewayOfTheSameNameAtAnotherAddressIsNotReplaced() throws Exception {
        choosePort();
        int first = port;
        Files.writeString(dir.resolve("config.json"), config("127.0.0.1:1"));
        process = startSecondProcess("log");
        awaitReady();
        choosePort();
        Files.writeString(dir.resolve("other.json"), config("127.0.0.1:1"));
        Process otherGateway = startSecondProcess("other", "other.json");
        try {
            awaitReady();
            port = first;
            assertTrue(isReady());
            assertFalse(Files.readString(dir.resolve("log")).contains("upgrade: "));
        } finally {
            otherGateway.destroyForcibly();
        }
    }

    /**
     * The file name of an earlier version's handover socket has only the gateway's name in it, not its address. A
     * running process with such a socket can still be replaced.
     */
    @Test
    void aProcessOfAnEarlierVersionIsReplaced() throws Exception {
        choosePort();
        String config = config("127.0.0.1:1");
        Files.writeString(dir.resolve("config.json"), config);
        Path tmp = Files.createDirectories(dir.resolve("tmp"));
        CountDownLatch replaced = new CountDownLatch(1);
        Node predecessor = Sockets.startNode(config);
        try (HandoverServer successor = new HandoverServer(RuntimeDirectory.ofEarlierVersion(tmp.toString(), "n0").successorSocket(),
                predecessor.handoverSteps(() -> { }), line -> {
            if (line.equals("upgrade: the new process serves clients, and this process has stopped accepting them")) {
                replaced.countDown();
            }
        })) {
            successor.open();
            process = startSecondProcess("log");
            assertTrue(replaced.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } finally {
            predecessor.stop();
        }
    }

    /**
     * An invalid configuration ends the process with status 1 and one line on standard error, which names a missing
     * field.
     */
    @Test
    void anInvalidConfigurationEndsTheProcessWithOneLine() throws Exception {
        start("{\"name\": \"n0\"}");
        assertTrue(process.waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, process.exitValue());
        // The filtered line appears when the tests themselves were started with SIGHUP ignored, as under nohup.
        List<String> lines = Files.readAllLines(dir.resolve("log")).stream()
                .filter(l -> !l.startsWith("deckfall: SIGHUP is ignored")).toList();
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("deckfall: ") && lines.get(0).contains("'seed'"), lines.get(0));
    }
}
