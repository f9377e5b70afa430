package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starts the program with its deployed heap settings and gives it lists of tens of thousands of hosts. */
class LongHostListTest {
    private static final String[] DEPLOYED_JVM_OPTIONS = {"-Xms24m", "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
        "-XX:MaxMetaspaceSize=40m", "-XX:ReservedCodeCacheSize=16m", "-XX:MaxDirectMemorySize=16m", "-Xss512k",
        "-Dio.netty.leakDetection.level=disabled"};
    private static final int FITTING_HOSTS = 30_000;
    private static final int TOO_MANY_HOSTS = 400_000;
    private static final int MAX_CALLS = 20;
    private static final int LIST_COUNT = 6;

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

    private void start(String discovery) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String config = Sockets.config(discovery, "127.0.0.1:0")
                .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder java = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        java.command().addAll(List.of(DEPLOYED_JVM_OPTIONS));
        java.command().addAll(List.of("-cp", System.getProperty("java.class.path"), "marlford.gateway.Main", "serve"));
        java.environment().put("NODE_CONFIG", file.toString());
        process = java.redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(log().toFile()).start();
    }

    private Path log() {
        return folder.resolve("log");
    }

    /** The number of log lines that contain a text. */
    private long countLogLines(String text) throws IOException {
        return Files.readString(log()).lines().filter(line -> line.contains(text)).count();
    }

    private int healthStatus() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(Sockets.TIMEOUT_MS);
            s.getOutputStream().write(Sockets.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            Message response = Sockets.read(s.getInputStream());
            return response == null ? 0 : response.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Writes a full list with this number of hosts in chunks; the given entries come first. */
    private static void writeList(OutputStream out, int version, int hosts, String... firstEntries) throws IOException {
        String head = "{\"version\":" + version + ",\"full\":true,\"servers\":[";
        out.write(Sockets.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        writeChunk(out, head + String.join(",", firstEntries));
        StringBuilder entries = new StringBuilder();
        for (int i = firstEntries.length; i < hosts; i++) {
            entries.append(i == 0 ? "" : ",").append(Sockets.entry("s-" + Integer.toHexString(0x5be20000 + i),
                    "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255) + ":5000", "ready"));
            if (entries.length() > 8000) {
                writeChunk(out, entries.toString());
                entries.setLength(0);
            }
        }
        writeChunk(out, entries + "]}");
        out.write(Sockets.bytes("0\r\n\r\n"));
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        out.write(Sockets.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }

    /**
     * Waits for a call whose start line contains a text, among the next calls; a slow machine may cause several
     * others.
     */
    private void awaitCall(RecordingServer agent, String text) throws Exception {
        for (int calls = 0; calls < MAX_CALLS; calls++) {
            Message m = agent.next();
            assertNotNull(m, "no further call to the discovery agent");
            if (m.startLine().contains(text)) {
                return;
            }
        }
        fail("no call contained: " + text + "; " + Files.readString(log()));
    }

    /**
     * With 30,000 hosts the JSON tree of the list alone once filled the heap; with 40,000 the text once exceeded a
     * fixed limit.
     */
    @Test
    void thirtyThousandHostsFitIntoTheDeployedHeap() throws Exception {
        AtomicInteger lists = new AtomicInteger();
        try (RecordingServer agent = new RecordingServer((m, s) -> {
            if (lists.get() < LIST_COUNT) { // each but the first arrives while the previous list is in memory
                writeList(s.getOutputStream(), lists.incrementAndGet(), FITTING_HOSTS);
            }
        })) {
            start(agent.address());
            awaitCall(agent, "from=" + LIST_COUNT + "&");
            assertEquals(LIST_COUNT, countLogLines("lists " + FITTING_HOSTS + " hosts"), Files.readString(log()));
            assertEquals(0, countLogLines("OutOfMemory") + countLogLines("heap space"), Files.readString(log()));
            Sockets.await(() -> healthStatus() == 200, "healthy with a host list");
        }
    }

    /** Such a list was once fetched twenty times a second from then on, and the log line did not name the limit. */
    @Test
    void aListThatDoesNotFitIsLoggedOnceAndThePreviousListServes() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (RecordingServer host = new RecordingServer(SocketTest::echo);
                RecordingServer agent = new RecordingServer((m, s) -> {
                    if (calls.getAndIncrement() == 0) {
                        writeList(s.getOutputStream(), 1, 1, Sockets.entry("h0", host.address(), "ready"));
                    } else {
                        writeList(s.getOutputStream(), 2, TOO_MANY_HOSTS);
                    }
                })) {
            start(agent.address());
            awaitCall(agent, "from=1&");
            for (int i = 0; i < 2; i++) {
                assertEquals("GET /v1/servers HTTP/1.1", agent.next().startLine());
            }
            Sockets.await(() -> healthStatus() == 200, "healthy with a host list");
            try (Sockets.Client c = new Sockets.Client(new Socket(InetAddress.getLoopbackAddress(), port))) {
                assertEquals(200, c.send(Sockets.view("l", Sockets.TIMEOUT_MS)).receive().status());
            }
            assertEquals(1, countLogLines("the list names more than"), Files.readString(log()));
        }
    }

    /** Without any host list the health check fails for as long as a start may take. */
    @Test
    void aStartWithAListThatDoesNotFitIsUnhealthyAtFirst() throws Exception {
        try (RecordingServer agent = new RecordingServer((m, s) -> writeList(s.getOutputStream(), 1, TOO_MANY_HOSTS))) {
            start(agent.address());
            for (int calls = 0; calls < 3; calls++) {
                assertNotNull(agent.next());
            }
            Sockets.await(() -> healthStatus() == 200, "healthy once the time limit of the start has expired");
            assertEquals(1, countLogLines("the list names more than"), Files.readString(log()));
            assertEquals(1, countLogLines("no list of hosts yet"), Files.readString(log()));
            assertTrue(process.isAlive());
        }
    }
}
