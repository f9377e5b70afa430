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
import marlford.gateway.upgrade.Successor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as the platform starts and ends it. */
class ProcessTest {
    private static final int DESCRIPTORS = 100;
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

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
        start(config, "");
    }

    private void start(String config, String before) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config);
        ProcessBuilder b = new ProcessBuilder("sh", "-c", before + "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"", JAVA,
                "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "marlford.gateway.Main", "serve");
        b.environment().put("NODE_CONFIG", file.toString());
        process = b.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(dir.resolve("log").toFile()).start();
    }

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

    private void replace(String config) throws IOException {
        Path fresh = Files.writeString(dir.resolve("fresh.json"), config);
        Files.move(fresh, dir.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    private String config(String discovery) {
        return listening(Sockets.config(discovery, "127.0.0.1:0"));
    }

    /** The configuration with the chosen port in place of any. */
    private String listening(String config) {
        return config.replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
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

    /** Told to end while discovery's first word is waited for: it once opened its listener all the same, and was gone soon. */
    @Test
    void sigtermDuringTheStartEndsItUnserved() throws Exception {
        try (Sockets.Server agent = new Sockets.Server((m, s) -> { })) {
            choosePort();
            start(config(agent.address()));
            assertNotNull(agent.next());
            process.destroy();
            assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            assertFalse(Files.readString(dir.resolve("log")).contains("serves after"));
        }
    }

    /** Its keepers' books are wanted for as long as nobody can start it anew. */
    @Test
    void amongOthersItKeepsBooksUntilItsTimeIsUp() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            choosePort();
            String mine = "127.0.0.1:" + port;
            start(listening(Sockets.config("127.0.0.1:1", mine, mine, "127.0.0.1:" + peer.getLocalPort())));
            awaitReady();
            peer.send(new DatagramPacket(new byte[] {1}, 1, InetAddress.getLoopbackAddress(), port));
            process.destroy();
            awaitLog("drained: the process stays until its scheduled exit time");
            assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
        }
    }

    /** SIGHUP once ended the process; each new file moves discovery, and one that can't be read moves nothing. */
    @Test
    void sighupFollowsDiscoveryAndSigtermStillEndsIt() throws Exception {
        try (Sockets.Registry first = new Sockets.Registry(Sockets.list(7, true));
                Sockets.Registry second = new Sockets.Registry(Sockets.list(3, true))) {
            startServing();
            for (Sockets.Registry next : List.of(first, second, first)) {
                hangUp("{\"name\": \"n0\"}");
                awaitLog("the previous settings stay in use");
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

    /**
     * The cause of the reload days that broke the drain rule: under nohup SIGHUP is ignored from before the start, the
     * virtual machine leaves it so, and the gateway went on with the discovery of its first file for good.
     */
    @Test
    void aProcessThatWasStartedDeafToSighupStillFollowsItsFile() throws Exception {
        try (Sockets.Registry next = new Sockets.Registry(Sockets.list(7, true))) {
            choosePort();
            start(config("127.0.0.1:1"), "trap '' HUP; ");
            awaitReady();
            hangUp(config(next.server.address()));
            assertNotNull(next.server.next());
            awaitLog("SIGHUP is ignored");
        }
    }

    /** The virtual machine ends at a SIGHUP that comes before the program takes it, with status 129 and without a line. */
    @Test
    void sighupAheadOfTheProgramEndsItsStart() throws Exception {
        String run = Files.readAllLines(Path.of("..", "deploy", "balancer.toml")).stream()
                .filter(l -> l.startsWith("run = \"")).findFirst().orElseThrow();
        choosePort();
        start(config("127.0.0.1:1"), run.substring(run.indexOf('"') + 1, run.indexOf("exec java")));
        Path name = Path.of("/proc", Long.toString(process.pid()), "comm");
        while (!Files.readString(name).startsWith("java")) {
            assertTrue(process.isAlive()); // still the shell
        }
        hangUp(config("127.0.0.1:1"));
        awaitReady();
    }

    /** Whenever in a start the file is replaced, and though no signal follows, the process ends on the new one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 150, 400, 800})
    void aFileReplacedDuringTheStartIsTheOneThatCounts(int afterMs) throws Exception {
        try (Sockets.Registry first = new Sockets.Registry(Sockets.list(7, true));
                Sockets.Registry second = new Sockets.Registry(Sockets.list(3, true))) {
            choosePort();
            start(config(first.server.address()));
            Thread.sleep(afterMs); // not waited for: a moment of the start, and any will do
            replace(config(second.server.address()));
            assertNotNull(second.server.next());
            assertTrue(second.server.next().start().contains("from=3&"));
            awaitReady();
        }
    }

    /** Half a file, none at all, and two within a second, each without a further signal. */
    @Test
    void aFileHalfWrittenOrGoneIsLookedAtAgain() throws Exception {
        try (Sockets.Registry first = new Sockets.Registry(Sockets.list(7, true));
                Sockets.Registry second = new Sockets.Registry(Sockets.list(3, true))) {
            startServing();
            String whole = config(first.server.address());
            hangUp(whole.substring(0, whole.length() / 2));
            awaitLog("the previous settings stay in use");
            Files.writeString(dir.resolve("config.json"), whole);
            assertNotNull(first.server.next());
            Files.delete(dir.resolve("config.json"));
            awaitLog("can't read");
            replace(config("127.0.0.1:1"));
            replace(config(second.server.address()));
            assertNotNull(second.server.next());
        }
    }

    /** What drains is still to stop sending to hosts that go, so it still follows discovery. */
    @Test
    void aDrainingProcessFollowsItsFile() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        try (Sockets.Server host = new Sockets.Server((m, s) -> {
                asked.countDown();
                answered.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
                s.getOutputStream().write(Sockets.ok("late"));
            });
                Sockets.Registry first = new Sockets.Registry(
                        Sockets.list(7, true, Sockets.entry("h0", host.address(), "ready")));
                Sockets.Registry second = new Sockets.Registry(Sockets.list(3, true));
                Socket client = new Socket()) {
            choosePort();
            start(config(first.server.address()));
            awaitReady();
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            client.getOutputStream().write(Sockets.bytes(Sockets.view("v", Sockets.PATIENCE_MS)));
            assertTrue(asked.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            process.destroy();
            replace(config(second.server.address()));
            assertNotNull(second.server.next());
            answered.countDown();
            assertEquals("late", Sockets.read(client.getInputStream()).text());
            assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        }
    }

    private Process beside(String log) throws IOException {
        return beside(log, "config.json");
    }

    private Process beside(String log, String config) throws IOException {
        ProcessBuilder b = new ProcessBuilder(JAVA, "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                "marlford.gateway.Main", "serve");
        b.environment().put("NODE_CONFIG", dir.resolve(config).toString());
        b.environment().put("TMPDIR", Files.createDirectories(dir.resolve("tmp")).toString());
        return b.redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(dir.resolve(log).toFile()).start();
    }

    /** The program beside itself: one that is killed gives the place back, one that lives lets the old one end. */
    @Test
    void theRunningProgramIsReplacedOrServesOn() throws Exception {
        choosePort();
        Files.writeString(dir.resolve("config.json"), config("127.0.0.1:1"));
        process = beside("log");
        awaitReady();
        Process killed = beside("killed");
        Process fresh = null;
        try {
            awaitLog("upgrade: the new process serves clients, and this process has stopped accepting them");
            assertTrue(ready());
            killed.destroyForcibly();
            awaitLog("this process takes back its peer communication and quota accounting");
            awaitReady();
            fresh = beside("fresh");
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
            while (Files.readString(dir.resolve("log")).split("the new process serves clients", -1).length < 3) {
                assertTrue(System.nanoTime() < end && fresh.isAlive(), "not replaced");
                Thread.sleep(20);
            }
            process.destroy();
            assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue());
            assertTrue(ready());
            assertTrue(fresh.isAlive());
        } finally {
            killed.destroyForcibly();
            if (fresh != null) {
                fresh.destroyForcibly();
            }
        }
    }

    /** It had taken peers and books when it was told to end: the running process once had neither until 3.4 s later. */
    @Test
    void sigtermDuringAnUpgradeGivesThePlaceBackAtOnce() throws Exception {
        choosePort();
        Files.writeString(dir.resolve("config.json"), config("127.0.0.1:1"));
        process = beside("log");
        awaitReady();
        try (Sockets.Server agent = new Sockets.Server((m, s) -> { })) { // the new process waits for its first word
            Files.writeString(dir.resolve("new.json"), config(agent.address()));
            Process ended = beside("ended", "new.json");
            try {
                assertNotNull(agent.next());
                ended.destroy();
                assertTrue(ended.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
                awaitLog("did not report that it serves; this process takes back its peer communication and quota accounting");
                assertTrue(ready());
                assertFalse(Files.readString(dir.resolve("ended")).contains("serves after"));
            } finally {
                ended.destroyForcibly();
            }
        }
    }

    /** Gateways of two deployments may have one name: the second once took the first one's place, and the first ended. */
    @Test
    void aGatewayOfThatNameAtAnotherAddressIsLeftAlone() throws Exception {
        choosePort();
        int first = port;
        Files.writeString(dir.resolve("config.json"), config("127.0.0.1:1"));
        process = beside("log");
        awaitReady();
        choosePort();
        Files.writeString(dir.resolve("other.json"), config("127.0.0.1:1"));
        Process other = beside("other", "other.json");
        try {
            awaitReady();
            port = first;
            assertTrue(ready());
            assertFalse(Files.readString(dir.resolve("log")).contains("upgrade: "));
        } finally {
            other.destroyForcibly();
        }
    }

    /** A running process of a version before waits under its name alone, and is replaced as ever. */
    @Test
    void aProcessThatWaitsUnderItsNameAloneIsReplaced() throws Exception {
        choosePort();
        String config = config("127.0.0.1:1");
        Files.writeString(dir.resolve("config.json"), config);
        Path tmp = Files.createDirectories(dir.resolve("tmp"));
        CountDownLatch replaced = new CountDownLatch(1);
        Node before = Sockets.node(config);
        try (Successor successor = new Successor(RuntimeDirectory.ofEarlierVersion(tmp.toString(), "n0").successorSocket(), before.handoverSteps(() -> { }), line -> {
            if (line.equals("upgrade: the new process serves clients, and this process has stopped accepting them")) {
                replaced.countDown();
            }
        })) {
            successor.open();
            process = beside("log");
            assertTrue(replaced.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        } finally {
            before.stop();
        }
    }

    /** But for what it says of a SIGHUP that the tests themselves were started to ignore, as under nohup. */
    @Test
    void aBadConfigurationEndsItWithOneLine() throws Exception {
        start("{\"name\": \"n0\"}");
        assertTrue(process.waitFor(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, process.exitValue());
        List<String> lines = Files.readAllLines(dir.resolve("log")).stream()
                .filter(l -> !l.startsWith("deckfall: SIGHUP is ignored")).toList();
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("deckfall: ") && lines.get(0).contains("'seed'"), lines.get(0));
    }
}
