package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Plays the events in a request's lifetime, two and three of them in every order, for a class of each effect. The
 * node and the decision engine are the real ones; channels are in memory, connections are established when the script
 * says so, and only the script advances the clock. Each step runs until both event loops are idle before the next one
 * starts.
 *
 * <p>The test checks what hosts and client received: a client that stayed connected gets exactly one answer, and the
 * body of a 200 is the one that the host sent for this request; nothing that may have run is sent again unless it may
 * run twice; no attempt is sent while another is in flight; a request that may have run is refused only if it is
 * repeatable; nothing is sent to a host after its drain grace, nor after the client disconnected or the gateway ended
 * its requests.
 */
class EventOrderTest {
    private static final int NODE_PORT = 2001; // in-memory address
    private static final int[] HOST_PORTS = {2002, 2003, 2004};
    private static final String[] ZONES = {"a", "a", "b"};
    private static final int SETTLE_ROUNDS = 6; // hand-overs between the two event loops that the longest step causes
    private static final double DRAIN_GRACE_MS = 2000;
    private static final int CLIENT_TIME_MS = 30_000;

    private enum Effect {
        REPEATABLE("GET /view/x"), KEYED("POST /order/x"), ONCE("POST /file/x");

        private final String requestLine;

        Effect(String requestLine) {
            this.requestLine = requestLine;
        }
    }

    private enum Event {
        /** Pending connections to hosts are established. */
        CONNECTED,
        /** The host of the newest attempt in flight responds; nothing happens if there is none. */
        RESPONSE,
        /** Like {@link #RESPONSE}, but the response is malformed; the host keeps the connection open. */
        MALFORMED_RESPONSE,
        /** Like {@link #RESPONSE}, but the response says that the request never ran. */
        NEVER_RAN,
        /** The host of the newest attempt in flight closes its connection; nothing happens if there is none. */
        RESET,
        /** A second response on the connection that carried the last one. */
        DUPLICATE_RESPONSE,
        /** All attempts of the request are cancelled in the node; nothing happens for {@link Effect#ONCE}. */
        CANCEL,
        /** The client's deadline expires. */
        DEADLINE,
        /** The client disconnects. */
        CLIENT_DISCONNECTS,
        /**
         * The host list marks the host of the newest attempt in flight as draining: host 0 if there is none, all hosts
         * while none has received a request.
         */
        HOST_DRAINS,
        /** More time passes than the grace period of a draining host. */
        GRACE_EXPIRES,
        /** From now on every answer closes its client connection, as while the process shuts down. */
        ANSWERS_ARE_LAST,
        /** The gateway abandons all open requests. */
        ABANDON_ALL
    }

    /** A fault of a gateway that the test simulates beside the real one, to show that the checks detect it. */
    private enum InjectedFault { NONE, UNSAFE_RETRY, SENT_AFTER_DISCONNECT, ANSWER_REPEATED, SENT_AFTER_GRACE }

    /** A complete request that a host received. */
    private static final class Arrival {
        final int host;
        final Channel channel;
        boolean answered;
        boolean neverRan;

        Arrival(int host, Channel channel) {
            this.host = host;
            this.channel = channel;
        }

        /**
         * Whether the attempt is in flight. Reads the channel's state, because the close event of an in-memory
         * channel is delivered only after the data that follows it.
         */
        boolean isInFlight() {
            return !answered && channel.isActive();
        }
    }

    /** Delays the connect of a channel until {@link #complete} is called. */
    private static final class DelayedConnect extends ChannelOutboundHandlerAdapter {
        private final BooleanSupplier connectsImmediate;
        private ChannelHandlerContext ctx;
        private SocketAddress remote;
        private ChannelPromise promise;

        /** @param connectsImmediate whether connects complete at once; called on the node's event loop */
        DelayedConnect(BooleanSupplier connectsImmediate) {
            this.connectsImmediate = connectsImmediate;
        }

        @Override
        public void connect(ChannelHandlerContext context, SocketAddress to, SocketAddress from, ChannelPromise p) {
            if (connectsImmediate.getAsBoolean()) {
                context.connect(to, p);
                return;
            }
            ctx = context;
            remote = to;
            promise = p;
        }

        @Override
        public void close(ChannelHandlerContext context, ChannelPromise p) {
            if (promise != null) {
                promise.tryFailure(new ClosedChannelException());
                promise = null;
            }
            context.close(p);
        }

        void complete() {
            ChannelPromise p = promise;
            promise = null;
            if (p != null) {
                ctx.connect(remote, p);
            }
        }
    }

    private final NioEventLoopGroup peerGroup = new NioEventLoopGroup(1);
    private final List<Channel> hostChannels = new ArrayList<>();
    private final List<DelayedConnect> pendingConnects = new ArrayList<>();
    private final Transport transport = new ForwardingTransport() {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return MEMORY.server(group);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(() -> {
                LocalChannel ch = new LocalChannel();
                DelayedConnect delay = new DelayedConnect(() -> currentRun.connectsImmediate);
                pendingConnects.add(delay);
                ch.pipeline().addFirst(delay);
                return ch;
            });
        }

        @Override
        void verifyUnused(InetSocketAddress address) { }

        @Override
        SocketAddress socketAddress(InetSocketAddress address) {
            return MEMORY.socketAddress(address);
        }
    };
    private Run currentRun; // the run in progress
    private int runCount;

    @BeforeEach
    void startHosts() throws Exception {
        for (int i = 0; i < HOST_PORTS.length; i++) {
            int host = i;
            hostChannels.add(Transport.MEMORY.server(peerGroup).childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1024),
                            new SimpleChannelInboundHandler<FullHttpRequest>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest m) {
                                    currentRun.onArrival(host, ch);
                                }
                            });
                }
            }).bind(Transport.MEMORY.socketAddress(address(HOST_PORTS[i]))).sync().channel());
        }
    }

    @AfterEach
    void stopHosts() throws Exception {
        for (Channel c : hostChannels) {
            c.close().sync();
        }
        peerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static NodeConfig config() throws Exception {
        String text = Sockets.config("127.0.0.1:1", "127.0.0.1:0")
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + NODE_PORT + "\"")
                .replace("\"rules\": {", "\"rules\": {\"drain_grace_ms\": " + DRAIN_GRACE_MS + ", ")
                .replace("\"classes\": [", "\"classes\": [{\"name\": \"file\", \"effect\": \"once\", "
                        + "\"goal_time_ms\": 20000, \"hard_limit_ms\": 60000}, ");
        return NodeConfig.of(new ObjectMapper().readTree(text));
    }

    /** One script and what hosts and client observed of it. */
    private final class Run {
        private final Effect effect;
        private final List<Event> script;
        private final InjectedFault fault;
        private final String id = "m" + runCount++;
        private final ManualClock clock = ManualClock.stopped();
        private final NioEventLoopGroup nodeGroup = new NioEventLoopGroup(1);
        private final Node node;
        private final Channel client;
        // These two are written on the peers' event loop; the test thread reads them between steps, after settle().
        private final List<Arrival> arrivals = new ArrayList<>();
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private final double[] drainStartMs = {Double.NaN, Double.NaN, Double.NaN};
        private final List<String> violations = new ArrayList<>();
        private boolean clientGone;
        private boolean allAbandoned;
        private final boolean laterConnectsImmediate; // once the first connects have completed, later ones complete at once
        private volatile boolean connectsImmediate;
        private Channel lastResponseChannel;

        Run(Effect effect, List<Event> script, boolean laterConnectsImmediate, InjectedFault fault) throws Exception {
            this.laterConnectsImmediate = laterConnectsImmediate;
            this.effect = effect;
            this.script = script;
            this.fault = fault;
            currentRun = this;
            pendingConnects.clear();
            node = new Node(config(), DecisionEngine::new, transport, nodeGroup, clock);
            nodeGroup.submit(() -> node.listen()).sync().getNow().sync();
            List<Discovery.Entry> list = new ArrayList<>();
            for (int i = 0; i < HOST_PORTS.length; i++) {
                list.add(listEntry(i, HostState.RUNNING));
            }
            nodeGroup.submit(() -> node.onHostsUpdated(ListKind.FULL, list)).sync();
            client = Transport.MEMORY.client(peerGroup.next()).handler(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    ByteBuf bytes = (ByteBuf) message;
                    byte[] copy = new byte[bytes.readableBytes()];
                    bytes.readBytes(copy);
                    bytes.release();
                    received.writeBytes(copy);
                    if (Run.this.fault == InjectedFault.ANSWER_REPEATED) {
                        received.writeBytes(copy);
                    }
                }
            }).connect(Transport.MEMORY.socketAddress(node.config.listen())).sync().channel();
        }

        private Discovery.Entry listEntry(int host, HostState state) {
            return new Discovery.Entry(new Host("h" + host, ZONES[host], "", 0, state, 1, 0), address(HOST_PORTS[host]));
        }

        private void settle() throws InterruptedException {
            for (int i = 0; i < SETTLE_ROUNDS; i++) {
                nodeGroup.submit(() -> { }).sync();
                peerGroup.submit(() -> { }).sync();
            }
        }

        /** Runs on the peers' event loop, in the order in which the gateway's data and closes arrived. */
        private void onArrival(int host, Channel channel) {
            for (Arrival a : arrivals) {
                if (a.isInFlight()) {
                    violations.add("sent while another attempt is in flight");
                }
                boolean sameZone = ZONES[a.host].equals(ZONES[host]);
                if (!a.neverRan && (effect == Effect.ONCE || effect == Effect.KEYED && !sameZone)) {
                    violations.add("sent again although it may have run");
                }
            }
            if (clientGone) {
                violations.add("sent after its client disconnected");
            }
            if (allAbandoned) {
                violations.add("sent after the gateway abandoned all requests");
            }
            if (clock.now() > drainStartMs[host] + DRAIN_GRACE_MS) {
                violations.add("sent to a host whose drain grace has expired");
            }
            arrivals.add(new Arrival(host, channel));
        }

        private Arrival newestInFlight() {
            for (int i = arrivals.size() - 1; i >= 0; i--) {
                if (arrivals.get(i).isInFlight()) {
                    return arrivals.get(i);
                }
            }
            return null;
        }

        private void writeText(Channel to, String text) {
            to.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        private String responseText() {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
        }

        private void step(Event event) throws Exception {
            Arrival a = newestInFlight();
            switch (event) {
                case CONNECTED -> {
                    connectsImmediate = laterConnectsImmediate;
                    nodeGroup.submit(() -> List.copyOf(pendingConnects).forEach(DelayedConnect::complete)).sync();
                }
                case RESPONSE -> respond(a, responseText(), false);
                case NEVER_RAN -> respond(a, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", true);
                case MALFORMED_RESPONSE -> {
                    if (a != null) {
                        writeText(a.channel, "HTTP/1.1 twohundred\r\n\r\n");
                    }
                }
                case RESET -> {
                    if (a != null) {
                        a.channel.close();
                    }
                }
                case DUPLICATE_RESPONSE -> {
                    if (lastResponseChannel != null && lastResponseChannel.isActive()) {
                        writeText(lastResponseChannel, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
                    }
                }
                case CANCEL -> nodeGroup.submit(() -> {
                    for (int i = 0; effect != Effect.ONCE && i < node.config.settings().limits().maxAttempts(); i++) {
                        node.cancel(id, i);
                    }
                }).sync();
                case DEADLINE -> {
                    clock.advance(CLIENT_TIME_MS);
                    nodeGroup.submit(() -> node.onDeadline(id)).sync();
                }
                case CLIENT_DISCONNECTS -> {
                    client.close().sync();
                    settle();
                    clientGone = true; // requests sent before the gateway could see the disconnect are allowed
                }
                case HOST_DRAINS -> drain(a == null ? 0 : a.host);
                case GRACE_EXPIRES -> clock.advance(DRAIN_GRACE_MS + 1);
                case ANSWERS_ARE_LAST -> nodeGroup.submit(node::releaseClients).sync();
                case ABANDON_ALL -> {
                    nodeGroup.submit(node::endAllRequests).sync();
                    settle();
                    allAbandoned = true;
                }
                default -> throw new IllegalStateException();
            }
            settle();
            injectFault(event);
        }

        private void respond(Arrival a, String text, boolean neverRan) {
            if (a != null) {
                peerGroup.next().execute(() -> {
                    a.answered = true;
                    a.neverRan = neverRan;
                    lastResponseChannel = a.channel;
                });
                writeText(a.channel, text);
            }
        }

        /** While no attempt has been written, the pending connection may be to any host, so all of them drain. */
        private void drain(int host) throws Exception {
            List<Discovery.Entry> changes = new ArrayList<>();
            for (int i = 0; i < HOST_PORTS.length; i++) {
                if (i == host || arrivals.isEmpty()) {
                    changes.add(listEntry(i, HostState.DRAINING));
                    drainStartMs[i] = Double.isNaN(drainStartMs[i]) ? clock.now() : drainStartMs[i];
                }
            }
            nodeGroup.submit(() -> node.onHostsUpdated(ListKind.CHANGES, changes)).sync();
        }

        /** Sends what a faulty gateway would send, on a connection of its own. */
        private void injectFault(Event after) throws Exception {
            boolean now = fault == InjectedFault.UNSAFE_RETRY && after == Event.RESET
                    || fault == InjectedFault.SENT_AFTER_DISCONNECT && after == Event.CLIENT_DISCONNECTS
                    || fault == InjectedFault.SENT_AFTER_GRACE && after == Event.GRACE_EXPIRES;
            if (now) {
                Channel faultyConnection = Transport.MEMORY.client(peerGroup.next()).handler(new ChannelInboundHandlerAdapter())
                        .connect(Transport.MEMORY.socketAddress(address(HOST_PORTS[0]))).sync().channel();
                writeText(faultyConnection, request());
                settle();
                faultyConnection.close().sync();
            }
        }

        private String request() {
            return effect.requestLine + " HTTP/1.1\r\nHost: h\r\n" + Sockets.headers(id, CLIENT_TIME_MS)
                    + (effect == Effect.KEYED ? "Idempotency-Key: k\r\n" : "")
                    + (effect == Effect.REPEATABLE ? "" : "Content-Length: 0\r\n") + "\r\n";
        }

        void play() throws Exception {
            try {
                writeText(client, request());
                settle();
                for (Event e : script) {
                    step(e);
                }
                // Completes the script: pending connects complete, the host in question responds, and the deadline passes.
                step(Event.CONNECTED);
                step(Event.RESPONSE);
                step(Event.DEADLINE);
                check();
            } finally {
                client.close().sync();
                arrivals.forEach(a -> a.channel.close());
                settle();
                node.stop();
            }
        }

        private void check() {
            String output = received.toString(StandardCharsets.US_ASCII);
            String[] answers = output.split("HTTP/1\\.1 ", -1);
            String context = effect + " " + script + ": " + arrivals.size() + " arrivals, the client received '"
                    + output.replace("\r\n", "|") + "'";
            assertEquals(List.of(), violations, context);
            if (!clientGone) {
                assertEquals(2, answers.length, context); // the text before the first status line is empty
                assertEquals("", answers[0], context);
            }
            if (answers.length > 1 && answers[1].startsWith("200")) {
                assertTrue(answers[1].endsWith("\r\n\r\n" + id), context);
            }
            boolean refused = answers.length > 1 && (answers[1].startsWith("429") || answers[1].startsWith("503"));
            boolean ran = arrivals.stream().anyMatch(a -> !a.neverRan);
            assertTrue(!refused || !ran || effect == Effect.REPEATABLE, context);
        }
    }

    private void play(Effect effect, List<Event> script, boolean laterConnectsImmediate, InjectedFault fault) throws Exception {
        new Run(effect, script, laterConnectsImmediate, fault).play();
    }

    private static List<Event> inserted(List<Event> events, int at, Event event) {
        List<Event> script = new ArrayList<>(events);
        script.add(at, event);
        return script;
    }

    /**
     * All pairs of events other than {@link Event#CONNECTED}, in both orders and also of the same event, with
     * {@code CONNECTED} at each position among them. Connects that start after it complete at once, or are delayed until
     * the end of the script.
     */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void anyOrderOfTwoEventsKeepsTheRules(Effect effect) throws Exception {
        for (Event first : Event.values()) {
            for (Event second : Event.values()) {
                if (first != Event.CONNECTED && second != Event.CONNECTED) {
                    for (int at = 0; at <= 2; at++) {
                        play(effect, inserted(List.of(first, second), at, Event.CONNECTED), false, InjectedFault.NONE);
                        play(effect, inserted(List.of(first, second), at, Event.CONNECTED), true, InjectedFault.NONE);
                    }
                }
            }
        }
        assertEquals(12 * 12 * 3 * 2, runCount);
    }

    /**
     * Three different events in every order after a first {@link Event#CONNECTED}, which may occur again as the second
     * or third of them. Further connects complete at once. {@link Event#ANSWERS_ARE_LAST} is covered by the pairs only,
     * since it changes the headers of the answers.
     */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void anyOrderOfThreeEventsKeepsTheRules(Effect effect) throws Exception {
        List<Event> events = new ArrayList<>(List.of(Event.values()));
        events.remove(Event.ANSWERS_ARE_LAST);
        for (Event first : events) {
            for (Event second : events) {
                for (Event third : events) {
                    if (first != second && second != third && first != third && first != Event.CONNECTED) {
                        play(effect, List.of(Event.CONNECTED, first, second, third), true, InjectedFault.NONE);
                    }
                }
            }
        }
        assertEquals(11 * 11 * 10, runCount);
    }

    private void assertDetected(InjectedFault fault, Effect effect, String violation, Event... script) {
        AssertionError found = assertThrows(AssertionError.class, () -> play(effect, List.of(script), true, fault));
        assertTrue(found.getMessage().contains(violation), found.getMessage());
    }

    @Test
    void aRetryOfAnUnsafeRequestIsDetected() {
        assertDetected(InjectedFault.UNSAFE_RETRY, Effect.ONCE, "sent again although it may have run", Event.CONNECTED,
                Event.RESET);
    }

    @Test
    void aSendAfterTheClientDisconnectedIsDetected() {
        assertDetected(InjectedFault.SENT_AFTER_DISCONNECT, Effect.REPEATABLE, "sent after its client disconnected",
                Event.CLIENT_DISCONNECTS);
    }

    @Test
    void aRepeatedAnswerIsDetected() {
        assertDetected(InjectedFault.ANSWER_REPEATED, Effect.KEYED, "the client received", Event.CONNECTED, Event.RESPONSE);
    }

    @Test
    void aSendAfterADrainGraceIsDetected() {
        assertDetected(InjectedFault.SENT_AFTER_GRACE, Effect.REPEATABLE, "a host whose drain grace has expired",
                Event.HOST_DRAINS, Event.GRACE_EXPIRES);
    }
}
