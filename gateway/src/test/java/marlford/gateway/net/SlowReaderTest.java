package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against cutting off clients that read slowly: the sockets hide what a client reads, so one that pauses twice for 4 s
 * once counted as stopped, and its connection was reset. One that has really stopped is ended all the same.
 */
class SlowReaderTest extends SocketTest {
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int[] PIECES = {64 * 1024, 128 * 1024, 1024 * 1024}; // up to where the client reads in one go
    private static final int PART_BYTES = 1 << 16;
    private static final int LEAST_BYTES = 100_000;
    private static final int MOST_BYTES = 8_000_000; // more than the sockets take
    private static final int STEP_BYTES = 30_000; // less than the gateway holds for a client
    private static final int STABLE_CHECKS = 15;
    private static final double PAUSE_MS = 4000;
    private static final double STOPPED_WITHIN_REQUEST_MS = 3000;
    private static final double STOPPED_READING_MS = 22_000; // a pause of 5 s, and 1 MiB at 64 kB a second
    private static final double CLOCK_STEP_MS = 250;
    private static final long SWEEP_WAIT_MS = 220; // the gateway checks its connections every 100 ms
    private static final int RECEIVE_TIMEOUT_MS = 5000;
    private static final String PARTIAL_HEAD = "GET /view/x HTTP/1.1\r\nHost: h\r\nX-Tr";

    /** The form of the answer, and what the client sends behind its request. */
    enum Form { LENGTH, CHUNKED, LAST_ON_ITS_CONNECTION, ANOTHER_REQUEST_BEHIND }

    private final ManualClock clock = ManualClock.stopped();

    private static void answer(Form form, Message request, OutputStream out) throws IOException {
        if (!request.startLine().contains("long")) {
            out.write(ok("short"));
        } else if (form == Form.CHUNKED) {
            out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            out.write(Sockets.chunked(ANSWER_BYTES, PART_BYTES));
        } else {
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n"));
            out.write(new byte[ANSWER_BYTES]);
        }
    }

    private Node startNode(Form form) throws IOException {
        RecordingServer host = startHost((m, s) -> answer(form, m, s.getOutputStream()));
        return startNodeWithHosts(host, clock);
    }

    /** Lets the node's time pass in steps in which it checks its connections. */
    private void pass(Node node, double ms) throws Exception {
        for (double passed = 0; passed < ms; passed += CLOCK_STEP_MS) {
            clock.advance(CLOCK_STEP_MS);
            node.loop.schedule(() -> { }, SWEEP_WAIT_MS, TimeUnit.MILLISECONDS).get();
        }
    }

    private Client askForLongAnswer(Node node, Form form) throws IOException {
        String request = view("long", Sockets.TIMEOUT_MS);
        if (form == Form.LAST_ON_ITS_CONNECTION) {
            request = request.replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n");
        }
        return connectClient(node).send(request + (form == Form.ANOTHER_REQUEST_BEHIND ? view("next", Sockets.TIMEOUT_MS) : ""));
    }

    private static void readHead(InputStream in) throws IOException {
        String head = Sockets.readHead(in);
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
    }

    @ParameterizedTest
    @EnumSource
    void aClientThatReadsInPiecesGetsTheWholeAnswer(Form form) throws Exception {
        Node node = startNode(form);
        Client client = askForLongAnswer(node, form);
        InputStream in = client.socket.getInputStream();
        readHead(in);
        int read = 0;
        for (int until : PIECES) {
            read += in.readNBytes(until - read).length;
            pass(node, PAUSE_MS);
        }
        if (form == Form.CHUNKED) {
            assertTrue(in.readNBytes(ANSWER_BYTES - read).length == ANSWER_BYTES - read, "cut off");
            return;
        }
        assertEquals(ANSWER_BYTES - read, in.readNBytes(ANSWER_BYTES - read).length);
        if (form == Form.ANOTHER_REQUEST_BEHIND) {
            assertEquals("short", client.receive().text());
        }
    }

    /** A connection whose answer had passed the gateway was idle, and was closed although its client still read. */
    @Test
    void theEndOfAnAnswerIsNotCutOffAsIdle() throws Exception {
        RecordingServer host = startHost((m, s) -> {
            int length = Integer.parseInt(m.header("X-Trace-Id"));
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n"));
            s.getOutputStream().write(new byte[length]);
        });
        Node node = startNodeWithHosts(host, clock);
        int length = LEAST_BYTES;
        Client client = connectClient(node).send(view(Integer.toString(length), Sockets.TIMEOUT_MS));
        while (!isEndPending(node)) { // until the sockets take all but the end of an answer
            client.close();
            length = length > MOST_BYTES ? LEAST_BYTES : length + STEP_BYTES; // a busy machine may have missed the length
            client = connectClient(node).send(view(Integer.toString(length), Sockets.TIMEOUT_MS));
        }
        pass(node, PAUSE_MS);
        assertEquals(length, client.receive().body().length);
        assertNotNull(client.send(view(Integer.toString(LEAST_BYTES), Sockets.TIMEOUT_MS)).receive());
    }

    /** Waits until nothing moves, and returns whether a whole answer has come from its host and waits for its client. */
    private static boolean isEndPending(Node node) throws Exception {
        for (int i = 0; i < STABLE_CHECKS; i++) {
            node.loop.schedule(() -> { }, 2, TimeUnit.MILLISECONDS).get();
        }
        return node.loop.submit(() -> node.openRequestCount() == 0 && node.hasPendingOutput()).get();
    }

    @Test
    void aClientThatReadsNoMoreIsEnded() throws Exception {
        Node node = startNode(Form.LENGTH);
        Client client = askForLongAnswer(node, Form.LENGTH);
        readHead(client.socket.getInputStream());
        pass(node, STOPPED_READING_MS);
        assertEnded(node, client);
    }

    /** It has stopped within a request as well, for which clients are owed an end within 3 s. */
    @Test
    void aClientThatStopsWithinARequestAndReadsNoMoreIsEndedInThreeSeconds() throws Exception {
        Node node = startNode(Form.LENGTH);
        Client client = askForLongAnswer(node, Form.LENGTH).send(PARTIAL_HEAD);
        readHead(client.socket.getInputStream());
        node.loop.schedule(() -> { }, SWEEP_WAIT_MS, TimeUnit.MILLISECONDS).get(); // until the buffers on the way are full
        pass(node, STOPPED_WITHIN_REQUEST_MS);
        assertEnded(node, client);
    }

    private static void assertEnded(Node node, Client client) throws Exception {
        assertEquals(0, node.loop.submit(node::connectionCount).get());
        client.socket.setSoTimeout(RECEIVE_TIMEOUT_MS);
        int received = 0;
        try {
            received = client.socket.getInputStream().readAllBytes().length;
        } catch (SocketException e) {
            return; // reset
        }
        assertTrue(received < ANSWER_BYTES, "the whole answer was received");
    }
}
