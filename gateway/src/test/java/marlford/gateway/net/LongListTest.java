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
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program with the heap that it is deployed with, before lists of tens of thousands of hosts. */
class LongListTest {
    private static final String[] MEMORY = {"-Xms24m", "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
        "-XX:MaxMetaspaceSize=40m", "-XX:ReservedCodeCacheSize=16m", "-XX:MaxDirectMemorySize=16m", "-Xss512k",
        "-Dio.netty.leakDetection.level=disabled"};
    private static final int FITS = 30_000;
    private static final int TOO_MANY = 400_000;
    private static final int CALLS_MAX = 20;
    private static final int LISTS = 6;

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

    private void start(String discovery) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String config = Sockets.config(discovery, "127.0.0.1:0")
                .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder java = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        java.command().addAll(List.of(MEMORY));
        java.command().addAll(List.of("-cp", System.getProperty("java.class.path"), "marlford.gateway.Main", "serve"));
        java.environment().put("NODE_CONFIG", file.toString());
        process = java.redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(log().toFile()).start();
    }

    private Path log() {
        return folder.resolve("log");
    }

    private long logged(String part) throws IOException {
        return Files.readString(log()).lines().filter(line -> line.contains(part)).count();
    }

    private int health() {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(Sockets.PATIENCE_MS);
            s.getOutputStream().write(Sockets.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            Message answer = Sockets.read(s.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Writes a whole list of so many hosts, a part at a time; the first ones are these. */
    private static void write(OutputStream out, int version, int hosts, String... first) throws IOException {
        String head = "{\"version\":" + version + ",\"full\":true,\"servers\":[";
        out.write(Sockets.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        chunk(out, head + String.join(",", first));
        StringBuilder part = new StringBuilder();
        for (int i = first.length; i < hosts; i++) {
            part.append(i == 0 ? "" : ",").append(Sockets.entry("s-" + Integer.toHexString(0x5be20000 + i),
                    "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255) + ":5000", "ready"));
            if (part.length() > 8000) {
                chunk(out, part.toString());
                part.setLength(0);
            }
        }
        chunk(out, part + "]}");
        out.write(Sockets.bytes("0\r\n\r\n"));
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write(Sockets.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }

    /** One of the next calls, of which there may be a few while the machine is slow. */
    private void await(Server agent, String part) throws Exception {
        for (int calls = 0; calls < CALLS_MAX; calls++) {
            Message m = agent.next();
            assertNotNull(m, "not called again");
            if (m.start().contains(part)) {
                return;
            }
        }
        fail("never asked: " + part + "; " + Files.readString(log()));
    }

    /** With 30,000 hosts the tree of the text alone filled the heap; with 40,000 their text passed a fixed bound. */
    @Test
    void thirtyThousandHostsFitIntoTheDeployedHeap() throws Exception {
        AtomicInteger lists = new AtomicInteger();
        try (Server agent = new Server((m, s) -> {
            if (lists.get() < LISTS) { // each but the first while another is held
                write(s.getOutputStream(), lists.incrementAndGet(), FITS);
            }
        })) {
            start(agent.address());
            await(agent, "from=" + LISTS + "&");
            assertEquals(LISTS, logged("lists " + FITS + " hosts"), Files.readString(log()));
            assertEquals(0, logged("OutOfMemory") + logged("heap space"), Files.readString(log()));
            Sockets.await(() -> health() == 200, "health with a list");
        }
    }

    /** It was read twenty times a second from then on; the line said nothing of a limit. */
    @Test
    void aListThatDoesNotFitIsSaidOnceAndTheOldOneServes() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Server host = new Server(SocketTest::echo);
                Server agent = new Server((m, s) -> {
                    if (calls.getAndIncrement() == 0) {
                        write(s.getOutputStream(), 1, 1, Sockets.entry("h0", host.address(), "ready"));
                    } else {
                        write(s.getOutputStream(), 2, TOO_MANY);
                    }
                })) {
            start(agent.address());
            await(agent, "from=1&");
            for (int i = 0; i < 2; i++) {
                assertEquals("GET /v1/servers HTTP/1.1", agent.next().start());
            }
            Sockets.await(() -> health() == 200, "health with a list");
            try (Sockets.Client c = new Sockets.Client(new Socket(InetAddress.getLoopbackAddress(), port))) {
                assertEquals(200, c.send(Sockets.view("l", Sockets.PATIENCE_MS)).receive().status());
            }
            assertEquals(1, logged("the list names more than"), Files.readString(log()));
        }
    }

    /** Nothing is known of any host: health says no for as long as a start may take. */
    @Test
    void aStartBeforeAListThatDoesNotFitIsUnhealthyAtFirst() throws Exception {
        try (Server agent = new Server((m, s) -> write(s.getOutputStream(), 1, TOO_MANY))) {
            start(agent.address());
            for (int calls = 0; calls < 3; calls++) {
                assertNotNull(agent.next());
            }
            Sockets.await(() -> health() == 200, "health at the end of the start's time");
            assertEquals(1, logged("the list names more than"), Files.readString(log()));
            assertEquals(1, logged("no list of hosts yet"), Files.readString(log()));
            assertTrue(process.isAlive());
        }
    }
}
