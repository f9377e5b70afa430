package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entries;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a shutdown that cuts off a long answer whose host is still writing it, although nobody has killed the process yet. */
class LongAnswerAtShutdownTest {
    private static final int PART_BYTES = 20_000;
    private static final int PARTS = 20;
    private static final long PART_GAP_MS = 300; // 6 s in all, beyond the 3.4 s after which a process without work exits
    private static final long EXIT_TIMEOUT_S = 5;
    private static final String SHORT_MEMORY = "4m";
    private static final int SHORT_FIRST_BYTES = 40_000;
    private static final int SHORT_PART_BYTES = 250;
    private static final int SHORT_BYTES = 52_000;
    private static final long SHORT_PART_GAP_MS = 100; // within the pause of 250 ms that such an answer may make; 4.8 s in all

    /** How the host tells the end of its answer. */
    enum Framing {
        LENGTH("Content-Length: " + PARTS * PART_BYTES), CHUNKED("Transfer-Encoding: chunked"), END_OF_CONNECTION("X-None: 1");

        private final String header;

        Framing(String header) {
            this.header = header;
        }
    }

    @TempDir
    private Path folder;

    @ParameterizedTest
    @EnumSource
    void anAnswerThatHasBegunComesWhole(Framing framing) throws Exception {
        assertComesWhole(socket -> answerSlowly(framing, socket), PARTS * PART_BYTES, framing != Framing.LENGTH);
    }

    /** An answer that would be buffered, but is passed on as it comes where memory is short. */
    @Test
    void aShortAnswerThatHasBegunComesWhole() throws Exception {
        assertComesWhole(LongAnswerAtShutdownTest::answerShort, SHORT_BYTES, false, "-XX:MaxDirectMemorySize=" + SHORT_MEMORY);
    }

    /** Writes an answer to a connection. */
    private interface Answer {
        void write(Socket socket) throws IOException, InterruptedException;
    }

    private void assertComesWhole(Answer answer, int bytes, boolean chunked, String... options) throws Exception {
        try (RecordingServer host = new RecordingServer((m, s) -> answer.write(s));
                DiscoveryAgent agent = new DiscoveryAgent(list(1, true, entries(1, host.address())));
                GatewayProcess gateway = new GatewayProcess(folder, options)) {
            gateway.start(Sockets.config(agent.server.address(), "127.0.0.1:0"));
            try (Socket client = gateway.connect(0)) {
                client.getOutputStream().write(bytes(view("long", Sockets.TIMEOUT_MS)));
                int first = client.getInputStream().read();
                assertEquals('H', first);
                gateway.process().destroy(); // SIGTERM
                byte[] rest = client.getInputStream().readAllBytes();
                String text = new String(rest, StandardCharsets.ISO_8859_1);
                assertEquals(bytes, text.chars().filter(c -> c == 'z').count());
                assertTrue(!chunked || text.endsWith("0\r\n\r\n"), "the end is marked");
            }
            assertTrue(gateway.process().waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS), "the process exits behind the answer");
        }
    }

    /** Writes more than is buffered where memory is short, and the rest slowly. */
    private static void answerShort(Socket socket) throws IOException, InterruptedException {
        socket.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + SHORT_BYTES + "\r\n\r\n" + "z".repeat(SHORT_FIRST_BYTES)));
        for (int sent = SHORT_FIRST_BYTES; sent < SHORT_BYTES; sent += SHORT_PART_BYTES) {
            Thread.sleep(SHORT_PART_GAP_MS);
            socket.getOutputStream().write(bytes("z".repeat(SHORT_PART_BYTES)));
        }
    }

    private static void answerSlowly(Framing framing, Socket socket) throws IOException, InterruptedException {
        socket.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\n" + framing.header + "\r\n\r\n"));
        String part = "z".repeat(PART_BYTES);
        boolean chunked = framing == Framing.CHUNKED;
        for (int i = 0; i < PARTS; i++) {
            socket.getOutputStream().write(bytes(chunked ? Integer.toHexString(PART_BYTES) + "\r\n" + part + "\r\n" : part));
            Thread.sleep(PART_GAP_MS);
        }
        if (chunked) {
            socket.getOutputStream().write(bytes("0\r\n\r\n"));
        } else if (framing == Framing.END_OF_CONNECTION) {
            socket.close();
        }
    }
}
