package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against orders that ran for a client that had gone: the end of its connection was behind further input, which the gateway did not
 * read before it sent the last part of a long body.
 */
class UnreadDisconnectTest extends SocketTest {
    private static final double CLOCK_ADVANCE_MS = 101;
    private static final int CLIENT_TIME_MS = 60_000;
    private static final int BODY_BYTES = 4 * ConnectionBuffers.MAX_WINDOW_BYTES;
    private static final int CHUNK_BYTES = 10_000;
    private static final int SHORT_REQUESTS = 1500; // more than is read ahead
    private static final long AMPLE_MEMORY_BYTES = 64 << 20;
    private static final long SHORT_MEMORY_BYTES = 2 << 20; // less may be read ahead than one long body

    /** How the end of a body is told. */
    enum Framing { LENGTH, CHUNKED }

    /** What the client sends right behind its order. */
    enum Behind { NOTHING, HALF_A_HEAD, SHORT_ORDER, LONG_ORDER, LONG_CHUNKED_ORDER, HALF_A_LONG_ORDER, THREE_LONG_ORDERS, MANY_SHORT_REQUESTS }

    private final ManualClock clock = new ManualClock();
    private final List<String> finishedIds = new ArrayList<>();
    private RecordingServer host;
    private HoldingEngine engine;
    private Node node;

    @BeforeEach
    void startHost() throws IOException {
        host = startHost((m, s) -> {
            if ("chunked".equals(m.header("Transfer-Encoding"))) {
                LongResponseTest.readChunks(s.getInputStream());
            }
            synchronized (finishedIds) {
                finishedIds.add(m.header("X-Trace-Id"));
            }
            s.getOutputStream().write(Sockets.ok("done"));
        });
    }

    private void startNode(long memoryBytes) throws IOException {
        int closedPort;
        try (ServerSocket closed = new ServerSocket(0)) {
            closedPort = closed.getLocalPort();
        }
        node = createNode(actions -> engine = new HoldingEngine(actions), Transport.TCP, clock, new ConnectionBuffers(memoryBytes),
                entry("h0", host.address(), "ready"), entry("closed", "127.0.0.1:" + closedPort, "ready"));
        node.start();
    }

    private static byte[] order(String id, Framing framing, int bodyBytes) {
        if (framing == Framing.CHUNKED) {
            return Sockets.chunkedOrder(id, CLIENT_TIME_MS, bodyBytes, CHUNK_BYTES);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes(Sockets.orderHead(id, CLIENT_TIME_MS, "Content-Length: " + bodyBytes)));
        out.writeBytes(new byte[bodyBytes]);
        return out.toByteArray();
    }

    private static void sendBehind(OutputStream out, Behind behind) throws IOException {
        switch (behind) {
            case NOTHING -> { }
            case HALF_A_HEAD -> out.write(bytes("GET /view/half HTTP/1.1\r\nHos"));
            case SHORT_ORDER -> out.write(order("b0", Framing.LENGTH, 10));
            case LONG_ORDER -> out.write(order("b0", Framing.LENGTH, BODY_BYTES));
            case LONG_CHUNKED_ORDER -> out.write(order("b0", Framing.CHUNKED, BODY_BYTES));
            case HALF_A_LONG_ORDER -> out.write(order("b0", Framing.LENGTH, BODY_BYTES), 0, BODY_BYTES / 2);
            case THREE_LONG_ORDERS -> {
                for (int i = 0; i < 3; i++) {
                    out.write(order("b" + i, Framing.LENGTH, BODY_BYTES));
                }
            }
            case MANY_SHORT_REQUESTS -> {
                for (int i = 0; i < SHORT_REQUESTS; i++) {
                    out.write(bytes(view("b" + i, CLIENT_TIME_MS)));
                }
            }
            default -> throw new IllegalArgumentException(behind.toString());
        }
    }

    /** Lets an attempt begin in the event loop task in which the client disconnects, so that the end is unread. */
    private void disconnectAsAnAttemptBegins(Client c, Disconnect disconnect) throws Exception {
        node.loop.submit(() -> {
            disconnect.apply(c);
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("v", "h0", 0);
            return null;
        }).get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** A host that has answered one more request has read whatever was sent before. */
    private void assertNothingRan() throws Exception {
        assertEquals(200, connectClient(node).send(view("now-last", CLIENT_TIME_MS)).receive().status());
        synchronized (finishedIds) {
            assertEquals(List.of("now-last"), finishedIds);
        }
    }

    static Stream<Arguments> forms() {
        return Stream.of(Behind.values()).flatMap(behind -> Stream.of(Framing.values())
                .flatMap(framing -> Stream.of(Disconnect.values()).map(disconnect -> Arguments.of(behind, framing, disconnect))));
    }

    @ParameterizedTest
    @MethodSource("forms")
    void noLongOrderRunsForAClientThatHasGone(Behind behind, Framing framing, Disconnect disconnect) throws Exception {
        startNode(AMPLE_MEMORY_BYTES);
        assertNotRun(behind, framing, disconnect);
    }

    @ParameterizedTest
    @MethodSource("forms")
    void noLongOrderRunsWhereMemoryForReadingAheadIsShort(Behind behind, Framing framing, Disconnect disconnect) throws Exception {
        startNode(SHORT_MEMORY_BYTES);
        assertNotRun(behind, framing, disconnect);
    }

    private void assertNotRun(Behind behind, Framing framing, Disconnect disconnect) throws Exception {
        Client c = connectClient(node);
        c.socket.getOutputStream().write(order("v", framing, BODY_BYTES));
        sendBehind(c.socket.getOutputStream(), behind);
        engine.awaitHeld("v");
        disconnectAsAnAttemptBegins(c, disconnect);
        engine.awaitEnd();
        assertNothingRan();
    }

    /** The first attempt could not connect; the client has gone before the next one begins. */
    @ParameterizedTest
    @EnumSource(Behind.class)
    void noFurtherAttemptBegins(Behind behind) throws Exception {
        startNode(AMPLE_MEMORY_BYTES);
        Client c = connectClient(node);
        c.socket.getOutputStream().write(order("v", Framing.LENGTH, BODY_BYTES));
        sendBehind(c.socket.getOutputStream(), behind);
        engine.awaitHeld("v");
        node.loop.submit(() -> engine.actions.send("v", "closed", 0)).get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertEquals(Outcome.CONNECT_FAILED, engine.awaitEnd());
        disconnectAsAnAttemptBegins(c, Disconnect.CLOSE);
        engine.awaitEnd();
        assertNothingRan();
    }

    /** A client that stays gets an answer to each of its orders, and both are served where there is memory to read ahead. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void longOrdersOfAClientThatStaysAreServed(Framing framing) throws Exception {
        startNode(AMPLE_MEMORY_BYTES);
        assertEquals(List.of(200, 200), statusesOfTwoOrders(framing));
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void anOrderIsRefusedWhereItCannotBeToldWhetherItsClientHasGone(Framing framing) throws Exception {
        startNode(SHORT_MEMORY_BYTES);
        assertEquals(List.of(429, 200), statusesOfTwoOrders(framing));
        synchronized (finishedIds) {
            assertEquals(List.of("now-second"), finishedIds);
        }
    }

    private List<Integer> statusesOfTwoOrders(Framing framing) throws Exception {
        Client c = connectClient(node);
        c.socket.getOutputStream().write(order("v", framing, BODY_BYTES));
        c.socket.getOutputStream().write(order("now-second", framing, BODY_BYTES));
        engine.awaitHeld("v");
        node.loop.submit(() -> {
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("v", "h0", 0);
        }).get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Message answer = c.receive();
            assertNotNull(answer, "no answer to order " + i);
            statuses.add(answer.status());
        }
        return statuses;
    }
}
