package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against answers of unknown length that were cut off, or held back, while their hosts still wrote them. */
@Tag("exclusive") // its limits of time allow for no other work on the machine
class UnknownLengthAnswerTest extends SocketTest {
    private static final int WAIT_MS = 900;
    private static final int LONG_BYTES = 160_000;
    private static final int LUMP_BYTES = 40_000;
    private static final long LUMP_GAP_MS = 400;
    private static final int STEADY_BYTES = 8000;
    private static final long STEADY_GAP_MS = 100;
    private static final long LATE_BODY_MS = 800;
    private static final int SHORT_BYTES = 3000;
    private static final double ANSWER_SLACK_MS = 50;
    private static final long CUT_WITHIN_MS = 3500; // a pause of 2 s past the deadline, and the interval of the checks

    /** What marks the end of the answer. */
    enum Framing { CHUNKED, END_OF_CONNECTION, LENGTH }

    /** How the host writes its body. */
    enum Pace { AT_ONCE, LUMPS, STEADY, LATE_BODY, NOTHING_BEFORE_THE_DEADLINE }

    static Stream<Arguments> longAnswers() {
        return Stream.of(Framing.values()).flatMap(framing -> Stream.of(Pace.values()).map(pace -> Arguments.of(framing, pace)));
    }

    @ParameterizedTest
    @MethodSource("longAnswers")
    void aLongAnswerComesWholeAndItsFirstBytesInTime(Framing framing, Pace pace) throws Exception {
        RecordingServer host = startHost((m, s) -> answer(framing, pace, LONG_BYTES, s));
        Client client = connectClient(startNodeWithHosts(host));
        long sentNanos = System.nanoTime();
        client.send(Sockets.view("long", WAIT_MS));
        InputStream in = client.socket.getInputStream();
        String head = Sockets.readHead(in);
        double firstMs = (System.nanoTime() - sentNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertTrue(firstMs <= WAIT_MS + ANSWER_SLACK_MS, "the first bytes came after " + firstMs + " ms");
        assertEquals(LONG_BYTES, Sockets.readBody(head, in));
        assertEquals(1, host.requests.size());
    }

    /** Short answers that come within the buffering time stay whole in one message, and can be retried before that. */
    @ParameterizedTest
    @EnumSource
    void aShortAnswerIsServed(Framing framing) throws Exception {
        RecordingServer host = startHost((m, s) -> answer(framing, Pace.AT_ONCE, SHORT_BYTES, s));
        Client client = connectClient(startNodeWithHosts(host));
        assertEquals(SHORT_BYTES, client.send(Sockets.order("short", "b")).receive().body().length);
    }

    /** A reset is no end: what it leaves may not be taken for a whole answer. */
    @Test
    void aResetAnswerWithoutLengthIsNotTakenForWhole() throws Exception {
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(SHORT_BYTES)));
            Thread.sleep(LUMP_GAP_MS); // the gateway passes the first part on
            s.setSoLinger(true, 0);
            s.close();
        });
        Client client = connectClient(startNodeWithHosts(host));
        client.send(Sockets.view("reset", WAIT_MS));
        InputStream in = client.socket.getInputStream();
        assertCut(in);
    }

    /** A host that stops within an answer of unknown length: its client can tell in time that the answer is not whole. */
    @ParameterizedTest
    @EnumSource(names = "LENGTH", mode = EnumSource.Mode.EXCLUDE)
    void anAnswerWhoseHostStopsIsCut(Framing framing) throws Exception {
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(framing == Framing.CHUNKED
                    ? bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nspam\r\n") : bytes("HTTP/1.1 200 OK\r\n\r\nspam"));
        });
        Client client = connectClient(startNodeWithHosts(host));
        long sentNanos = System.nanoTime();
        client.send(Sockets.view("stops", WAIT_MS));
        assertCut(client.socket.getInputStream());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        assertTrue(tookMs <= CUT_WITHIN_MS, "cut after " + tookMs + " ms");
    }

    private static void assertCut(InputStream in) throws IOException {
        String head = Sockets.readHead(in);
        assertTrue(head.contains("chunked"), head);
        try {
            Sockets.readBody(head, in);
            throw new AssertionError("the answer seems whole");
        } catch (IOException e) {
            return; // ended within the answer
        }
    }

    private static void answer(Framing framing, Pace pace, int length, Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes("HTTP/1.1 200 OK\r\n" + switch (framing) {
            case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
            case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
            case END_OF_CONNECTION -> "\r\n";
        }));
        int sent = 0;
        if (pace == Pace.LUMPS) {
            writePart(framing, out, 5);
            sent = 5;
        }
        Thread.sleep(pace == Pace.LATE_BODY ? LATE_BODY_MS : pace == Pace.NOTHING_BEFORE_THE_DEADLINE ? WAIT_MS + LUMP_GAP_MS : 0);
        int part = pace == Pace.LUMPS ? LUMP_BYTES : pace == Pace.STEADY ? STEADY_BYTES : length;
        while (sent < length) {
            Thread.sleep(pace == Pace.LUMPS ? LUMP_GAP_MS : pace == Pace.STEADY ? STEADY_GAP_MS : 0);
            int bytes = Math.min(part, length - sent);
            writePart(framing, out, bytes);
            sent += bytes;
        }
        if (framing == Framing.CHUNKED) {
            out.write(bytes("0\r\n\r\n"));
        } else if (framing == Framing.END_OF_CONNECTION) {
            socket.close();
        }
    }

    private static void writePart(Framing framing, OutputStream out, int length) throws IOException {
        ByteArrayOutputStream part = new ByteArrayOutputStream();
        if (framing == Framing.CHUNKED) {
            part.writeBytes(bytes(Integer.toHexString(length) + "\r\n"));
        }
        part.writeBytes(new byte[length]);
        if (framing == Framing.CHUNKED) {
            part.writeBytes(bytes("\r\n"));
        }
        out.write(part.toByteArray());
    }
}
