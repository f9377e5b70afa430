package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * No attempt begins more than 0.1 s after its client disconnected. In each test the client's FIN or RST is unread in
 * its socket, the clock advances by {@value #CLOCK_ADVANCE_MS} ms, and only then something lets an attempt begin. All of this
 * happens in one event loop task, so the gateway can't have read the end by itself. What the host received by then is
 * known once it has answered a later request.
 */
class DisconnectedClientTest extends SocketTest {
    private static final double CLOCK_ADVANCE_MS = 101;
    private static final int CLIENT_TIME_MS = 60_000; // remaining time that clients announce, since the clock is advanced
    // more than is read before a host accepts the request
    private static final int LONG_BODY_BYTES = 4 * ConnectionBuffers.MAX_WINDOW_BYTES;

    /** Connections to the host are established, but the gateway is notified only when the test completes the promise. */
    private static final class DelayedConnectTransport extends ForwardingTransport {
        private final BlockingQueue<ChannelPromise> establishedPromises = new LinkedBlockingQueue<>();
        private final String host;

        DelayedConnectTransport(String host) {
            this.host = host;
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(() -> {
                NioSocketChannel ch = new NioSocketChannel();
                ch.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
                    @Override
                    public void connect(ChannelHandlerContext ctx, SocketAddress to, SocketAddress from, ChannelPromise promise) {
                        boolean isDelayed = to.toString().endsWith(host);
                        ctx.connect(to, from, isDelayed ? ctx.newPromise().addListener(f -> establishedPromises.add(promise)) : promise);
                    }
                });
                return ch;
            });
        }
    }

    private final ManualClock clock = new ManualClock();
    private RecordingServer host;
    private HoldingEngine engine;
    private Node node;

    @BeforeEach
    void startHost() throws IOException {
        host = startHost((m, s) -> {
            if (m.startLine().contains("/breaks")) {
                s.close();
            } else {
                echo(m, s);
            }
        });
    }

    private void startNode(Transport transport) throws IOException {
        node = createNode(actions -> engine = new HoldingEngine(actions), transport, clock, ConnectionBuffers.ofProcess(),
                entry("h0", host.address(), "ready"));
        node.start();
    }

    private void startNode() throws IOException {
        startNode(Transport.TCP);
    }

    private void runInEventLoop(Callable<?> work) throws Exception {
        node.loop.submit(work).get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static String requests(String name, int count) {
        return IntStream.range(0, count).mapToObj(i -> view(name + i, CLIENT_TIME_MS)).collect(Collectors.joining());
    }

    /** Sends one more request: a host that has answered it has read whatever was sent before. */
    private void assertHostAskedOnly(String... ids) throws Exception {
        assertEquals(200, connectClient(node).send(view("now-last", CLIENT_TIME_MS)).receive().status());
        List<String> asked = host.requests.stream().map(m -> m.header("X-Trace-Id")).filter(id -> !id.equals("now-last")).toList();
        assertEquals(List.of(ids), asked);
    }

    /** The request and its client's FIN or RST are in the socket together when a delayed event loop reads it. */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void noAttemptBeginsWhenTheDisconnectIsReadWithTheRequest(Disconnect disconnect) throws Exception {
        startNode();
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "the connection is accepted");
        runInEventLoop(() -> {
            c.send(view("now-v", CLIENT_TIME_MS));
            disconnect.apply(c);
            clock.advance(CLOCK_ADVANCE_MS);
            return null;
        });
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has noticed the disconnect");
        assertHostAskedOnly();
    }

    /**
     * A concurrency slot is released, a ledger replica responds, a timer fires: whatever the request waited for lets
     * its first attempt begin.
     */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void noFirstAttemptOfAHeldRequestBegins(Disconnect disconnect) throws Exception {
        startNode();
        Client c = connectClient(node).send(view("v", CLIENT_TIME_MS));
        engine.awaitHeld("v");
        runInEventLoop(() -> {
            disconnect.apply(c);
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("v", "h0", 0);
            return null;
        });
        assertEquals(Outcome.MOOT, engine.awaitEnd());
        assertEquals(List.of("v"), engine.disconnectedIds);
        assertHostAskedOnly();
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void noRetryBegins(Disconnect disconnect) throws Exception {
        startNode();
        Client c = connectClient(node).send(view("breaks", CLIENT_TIME_MS));
        engine.awaitHeld("breaks");
        runInEventLoop(() -> {
            engine.actions.send("breaks", "h0", 0);
            return null;
        });
        assertEquals(Outcome.RESET, engine.awaitEnd());
        runInEventLoop(() -> {
            disconnect.apply(c);
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("breaks", "h0", 0);
            return null;
        });
        assertEquals(Outcome.MOOT, engine.awaitEnd());
        assertHostAskedOnly("breaks");
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void nothingIsWrittenOnAConnectionEstablishedAfterTheDisconnect(Disconnect disconnect) throws Exception {
        DelayedConnectTransport connections = new DelayedConnectTransport(host.address());
        startNode(connections);
        Client c = connectClient(node).send(view("v", CLIENT_TIME_MS));
        engine.awaitHeld("v");
        runInEventLoop(() -> {
            engine.actions.send("v", "h0", 0);
            return null;
        });
        ChannelPromise first = connections.establishedPromises.poll(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        runInEventLoop(() -> {
            disconnect.apply(c);
            clock.advance(CLOCK_ADVANCE_MS);
            return first.setSuccess();
        });
        assertEquals(Outcome.CANCELLED, engine.awaitEnd());
        Client last = connectClient(node).send(view("now-last", CLIENT_TIME_MS));
        ChannelPromise second = connections.establishedPromises.poll(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        runInEventLoop(second::setSuccess);
        assertEquals(200, last.receive().status());
        assertEquals(1, host.requests.size());
    }

    /** The client's FIN is behind pipelined requests; reading pauses beyond 16 of them, and stops beyond 256 KiB. */
    @ParameterizedTest
    @ValueSource(ints = {2, 17, 100, 1000})
    void noPipelinedRequestBegins(int count) throws Exception {
        startNode();
        Client c = connectClient(node).send(requests("v", count));
        engine.awaitHeld("v0");
        runInEventLoop(() -> {
            c.close();
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("v0", "h0", 0);
            return null;
        });
        assertEquals(Outcome.MOOT, engine.awaitEnd());
        assertHostAskedOnly();
    }

    /** A request that waits behind an answer begins in a later event loop task, when its client may have disconnected. */
    @ParameterizedTest
    @ValueSource(ints = {2, 17, 100, 1000})
    void noRequestBeginsBehindAnAnswer(int count) throws Exception {
        startNode();
        Client c = connectClient(node).send(requests("v", 1) + requests("now", count - 1));
        engine.awaitHeld("v0");
        runInEventLoop(() -> {
            c.close();
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.refuse("v0", 0);
            return null;
        });
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has noticed the disconnect");
        assertHostAskedOnly();
    }

    /** A client that pipelines more than is read, and stays connected, gets an answer to each request. */
    @Test
    void pipelinedRequestsBeyondTheReadLimitAreAnswered() throws Exception {
        startNode();
        int count = 1000;
        Client c = connectClient(node).send(requests("v", 1) + requests("now", count - 1));
        engine.awaitHeld("v0");
        runInEventLoop(() -> {
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("v0", "h0", 0);
            return null;
        });
        Message first = c.receive();
        assertEquals(429, first.status());
        assertNotNull(first.header("Retry-After"));
        for (int i = 1; i < count; i++) {
            assertNotNull(c.receive(), "no answer to request " + i);
        }
        assertEquals(200, c.send(view("now-goes-on", CLIENT_TIME_MS)).receive().status());
    }

    /** Lets an attempt begin in the same event loop task, so that the client's FIN is unread. */
    private void disconnectAsAnAttemptBegins(Client c) throws Exception {
        runInEventLoop(() -> {
            c.close();
            clock.advance(CLOCK_ADVANCE_MS);
            engine.actions.send("v", "h0", 0);
            return null;
        });
    }

    /**
     * A host starts a request with its last byte: the last byte of a long body is held back until the client's
     * connection has been checked.
     */
    @Test
    void aLongBodyOfADisconnectedClientIsNeverSentWhole() throws Exception {
        startNode();
        Client c = connectClient(node);
        c.send("POST /order/x HTTP/1.1\r\nHost: h\r\n" + Sockets.headers("v", CLIENT_TIME_MS) + "Idempotency-Key: key-v\r\n"
                + "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
        c.socket.getOutputStream().write(new byte[LONG_BODY_BYTES]);
        engine.awaitHeld("v");
        disconnectAsAnAttemptBegins(c);
        assertEquals(Outcome.CANCELLED, engine.awaitEnd());
        assertHostAskedOnly();
    }

    /** While reading from a client is paused for its malformed requests, its FIN is not seen either. */
    @Test
    void noAttemptBeginsWhileReadingIsPausedForMalformedRequests() throws Exception {
        startNode();
        String bad = view("bad", CLIENT_TIME_MS).replace("units=1", "units=x");
        Client c = connectClient(node).send(bad + bad + view("v", CLIENT_TIME_MS));
        engine.awaitHeld("v");
        disconnectAsAnAttemptBegins(c);
        assertEquals(Outcome.MOOT, engine.awaitEnd());
        assertHostAskedOnly();
    }

    /**
     * A delayed event loop alone treats no client as disconnected: requests of connected clients are served,
     * pipelined ones too.
     */
    @Test
    void connectedClientsAreServedByADelayedEventLoop() throws Exception {
        startNode();
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "the connection is accepted");
        runInEventLoop(() -> {
            c.send(requests("now", 40));
            clock.advance(CLOCK_ADVANCE_MS);
            return null;
        });
        for (int i = 0; i < 40; i++) {
            assertEquals("for now" + i + " ", c.receive().text());
        }
    }

    /** A connection whose request a delayed event loop has read but not begun is not idle, and is not evicted. */
    @Test
    void aConnectionWithARequestNotYetBegunIsNotIdle() throws Exception {
        startNode();
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "the connection is accepted");
        runInEventLoop(() -> {
            c.send(view("now-v", CLIENT_TIME_MS));
            clock.advance(CLIENT_TIME_MS / 10.0);
            node.clientServer.closeIdleConnections();
            node.clientServer.closeIdleConnections();
            return null;
        });
        assertEquals("for now-v ", c.receive().text());
    }
}
