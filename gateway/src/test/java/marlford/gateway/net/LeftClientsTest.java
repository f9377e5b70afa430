package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * No attempt begins more than 0.1 s after its client left. In each test the client's end stands unread in its socket, the clock
 * moves on by {@value #LATE_MS} ms, and only then something lets an attempt begin: all of it in one turn of the gateway's loop,
 * which can't have read the end by itself. What a host was asked then is known once it has answered a later request.
 */
class LeftClientsTest extends SocketTest {
    private static final double LATE_MS = 101;
    private static final int LONG_MS = 60_000; // a client's patience, where the clock is moved
    private static final int LONG_BODY = 4 * ClientServer.MAX_BUFFERED_BODY_BYTES; // more than is read before a host takes it

    /** How a client leaves. */
    private enum Leaving {
        CLOSE, RESET, END_OF_OUTPUT;

        void of(Client c) throws IOException {
            switch (this) {
                case CLOSE -> c.close();
                case RESET -> {
                    c.socket.setSoLinger(true, 0);
                    c.close();
                }
                case END_OF_OUTPUT -> c.socket.shutdownOutput();
            }
        }
    }

    /** Holds every request until the test sends it on; {@code now} requests are sent at once. */
    private static final class Manual implements Quiet {
        private static final String NOW = "now";
        private final Actions act;
        private final BlockingQueue<String> held = new LinkedBlockingQueue<>();
        private final BlockingQueue<AttemptResult> ended = new LinkedBlockingQueue<>();
        private final List<String> left = new CopyOnWriteArrayList<>();

        Manual(Actions act) {
            this.act = act;
        }

        @Override
        public void onRequest(double now, Request r) {
            if (r.id().startsWith(NOW)) {
                act.send(r.id(), "h0", 0);
            } else {
                held.add(r.id());
            }
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            ended.add(r);
        }

        @Override
        public void onClientLeft(double now, String id) {
            left.add(id);
        }

        void awaitHeld(String id) throws InterruptedException {
            assertEquals(id, held.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        }

        Outcome awaitEnd() throws InterruptedException {
            AttemptResult r = ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            assertNotNull(r, "no attempt ended");
            return r.outcome();
        }
    }

    /** Connections to the host come up, but the gateway is told so only when the test says it. */
    private static final class LateConnections extends ForwardingTransport {
        private final BlockingQueue<ChannelPromise> up = new LinkedBlockingQueue<>();
        private final String host;

        LateConnections(String host) {
            this.host = host;
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(() -> {
                NioSocketChannel ch = new NioSocketChannel();
                ch.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
                    @Override
                    public void connect(ChannelHandlerContext ctx, SocketAddress to, SocketAddress from, ChannelPromise told) {
                        boolean late = to.toString().endsWith(host);
                        ctx.connect(to, from, late ? ctx.newPromise().addListener(f -> up.add(told)) : told);
                    }
                });
                return ch;
            });
        }
    }

    private final MovedClock clock = new MovedClock();
    private Server host;
    private Manual module;
    private Node node;

    @BeforeEach
    void startHost() throws IOException {
        host = startHost((m, s) -> {
            if (m.start().contains("/breaks")) {
                s.close();
            } else {
                echo(m, s);
            }
        });
    }

    private void startNode(Transport transport) throws IOException {
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", host.address(), "ready"))));
        String config = Sockets.config(registry.server.address(), "127.0.0.1:0");
        node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)), act -> module = new Manual(act), transport,
                new NioEventLoopGroup(1), clock);
        resources.push(node::stop);
        node.start();
    }

    private void startNode() throws IOException {
        startNode(Transport.TCP);
    }

    private void inLoop(Callable<?> work) throws Exception {
        node.loop.submit(work).get(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private static String requests(String name, int count) {
        return IntStream.range(0, count).mapToObj(i -> view(name + i, LONG_MS)).collect(Collectors.joining());
    }

    /** A host that has answered a later request has read whatever was sent to it before. */
    private void assertHostAskedOnly(String... ids) throws Exception {
        assertEquals(200, connectClient(node).send(view("now-last", LONG_MS)).receive().status());
        List<String> asked = host.asked.stream().map(m -> m.header("X-Trace-Id")).filter(id -> !id.equals("now-last")).toList();
        assertEquals(List.of(ids), asked);
    }

    /** The request and its client's end stand in the socket together when a late loop reads it. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void nothingBeginsWhereTheEndIsReadWithTheRequest(Leaving leaving) throws Exception {
        startNode();
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "it is accepted");
        inLoop(() -> {
            c.send(view("now-v", LONG_MS));
            leaving.of(c);
            clock.move(LATE_MS);
            return null;
        });
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "its end is seen");
        assertHostAskedOnly();
    }

    /** A place comes free, a keeper answers, a timer fires: whatever held the request lets its first attempt begin. */
    @ParameterizedTest
    @EnumSource(Leaving.class)
    void noFirstAttemptBeginsOfWhatWasHeld(Leaving leaving) throws Exception {
        startNode();
        Client c = connectClient(node).send(view("v", LONG_MS));
        module.awaitHeld("v");
        inLoop(() -> {
            leaving.of(c);
            clock.move(LATE_MS);
            module.act.send("v", "h0", 0);
            return null;
        });
        assertEquals(Outcome.MOOT, module.awaitEnd());
        assertEquals(List.of("v"), module.left);
        assertHostAskedOnly();
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void noFurtherAttemptBegins(Leaving leaving) throws Exception {
        startNode();
        Client c = connectClient(node).send(view("breaks", LONG_MS));
        module.awaitHeld("breaks");
        inLoop(() -> {
            module.act.send("breaks", "h0", 0);
            return null;
        });
        assertEquals(Outcome.RESET, module.awaitEnd());
        inLoop(() -> {
            leaving.of(c);
            clock.move(LATE_MS);
            module.act.send("breaks", "h0", 0);
            return null;
        });
        assertEquals(Outcome.MOOT, module.awaitEnd());
        assertHostAskedOnly("breaks");
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void nothingIsWrittenOnAConnectionThatComesUpAfterTheEnd(Leaving leaving) throws Exception {
        LateConnections connections = new LateConnections(host.address());
        startNode(connections);
        Client c = connectClient(node).send(view("v", LONG_MS));
        module.awaitHeld("v");
        inLoop(() -> {
            module.act.send("v", "h0", 0);
            return null;
        });
        ChannelPromise first = connections.up.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
        inLoop(() -> {
            leaving.of(c);
            clock.move(LATE_MS);
            return first.setSuccess();
        });
        assertEquals(Outcome.CANCELLED, module.awaitEnd());
        Client last = connectClient(node).send(view("now-last", LONG_MS));
        ChannelPromise second = connections.up.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
        inLoop(second::setSuccess);
        assertEquals(200, last.receive().status());
        assertEquals(1, host.asked.size());
    }

    /** The end stands behind requests that were sent ahead; beyond 16 of them reading pauses, and beyond 256 KiB it stops. */
    @ParameterizedTest
    @ValueSource(ints = {2, 17, 100, 1000})
    void nothingBeginsOfWhatWasSentAhead(int many) throws Exception {
        startNode();
        Client c = connectClient(node).send(requests("v", many));
        module.awaitHeld("v0");
        inLoop(() -> {
            c.close();
            clock.move(LATE_MS);
            module.act.send("v0", "h0", 0);
            return null;
        });
        assertEquals(Outcome.MOOT, module.awaitEnd());
        assertHostAskedOnly();
    }

    /** What waits behind an answer begins in a turn of its own, and the client may have left by then. */
    @ParameterizedTest
    @ValueSource(ints = {2, 17, 100, 1000})
    void nothingBeginsBehindAnAnswer(int many) throws Exception {
        startNode();
        Client c = connectClient(node).send(requests("v", 1) + requests("now", many - 1));
        module.awaitHeld("v0");
        inLoop(() -> {
            c.close();
            clock.move(LATE_MS);
            module.act.refuse("v0", 0);
            return null;
        });
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "its end is seen");
        assertHostAskedOnly();
    }

    /** Who sends more ahead than is read, and stays, has an answer to each request. */
    @Test
    void whatCannotBeLookedBehindIsAnswered() throws Exception {
        startNode();
        int many = 1000;
        Client c = connectClient(node).send(requests("v", 1) + requests("now", many - 1));
        module.awaitHeld("v0");
        inLoop(() -> {
            clock.move(LATE_MS);
            module.act.send("v0", "h0", 0);
            return null;
        });
        Message first = c.receive();
        assertEquals(429, first.status());
        assertNotNull(first.header("Retry-After"));
        for (int i = 1; i < many; i++) {
            assertNotNull(c.receive(), "answer " + i);
        }
        assertEquals(200, c.send(view("now-goes-on", LONG_MS)).receive().status());
    }

    /** In one turn of the loop, so that the end of the client stands unread. */
    private void leavesAsAnAttemptBegins(Client c) throws Exception {
        inLoop(() -> {
            c.close();
            clock.move(LATE_MS);
            module.act.send("v", "h0", 0);
            return null;
        });
    }

    /** A host begins a request with its last byte: that of a long body is held back until the client was looked for. */
    @Test
    void aLongBodyWhoseClientLeftBehindItNeverComesWhole() throws Exception {
        startNode();
        Client c = connectClient(node);
        c.send("POST /order/x HTTP/1.1\r\nHost: h\r\n" + Sockets.headers("v", LONG_MS) + "Idempotency-Key: key-v\r\n"
                + "Content-Length: " + LONG_BODY + "\r\n\r\n");
        c.socket.getOutputStream().write(new byte[LONG_BODY]);
        module.awaitHeld("v");
        leavesAsAnAttemptBegins(c);
        assertEquals(Outcome.CANCELLED, module.awaitEnd());
        assertHostAskedOnly();
    }

    /** While a client is not read for its faults, its end is not seen either. */
    @Test
    void nothingBeginsOfAClientThatIsNotReadForItsFaults() throws Exception {
        startNode();
        String bad = view("bad", LONG_MS).replace("units=1", "units=x");
        Client c = connectClient(node).send(bad + bad + view("v", LONG_MS));
        module.awaitHeld("v");
        leavesAsAnAttemptBegins(c);
        assertEquals(Outcome.MOOT, module.awaitEnd());
        assertHostAskedOnly();
    }

    /** A late loop alone takes nobody for gone: requests of clients that stay are served, also those sent ahead. */
    @Test
    void whoStaysIsServedByALateLoop() throws Exception {
        startNode();
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "it is accepted");
        inLoop(() -> {
            c.send(requests("now", 40));
            clock.move(LATE_MS);
            return null;
        });
        for (int i = 0; i < 40; i++) {
            assertEquals("for now" + i + " ", c.receive().text());
        }
    }

    /** What a late loop has read but not begun is no idle connection, and is not closed for room. */
    @Test
    void whatWasReadAndNotBegunIsNotIdle() throws Exception {
        startNode();
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "it is accepted");
        inLoop(() -> {
            c.send(view("now-v", LONG_MS));
            clock.move(LONG_MS / 10.0);
            node.clientServer.closeIdleConnections();
            node.clientServer.closeIdleConnections();
            return null;
        });
        assertEquals("for now-v ", c.receive().text());
    }
}
