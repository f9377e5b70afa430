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
 * The events of a request's life, two and three of them in every order, for a class of each effect: the real node and the
 * real module over channels in memory, connections that come up when the script says so, and a clock that only the script
 * moves. Each step is carried out to its last consequence before the next.
 *
 * <p>What hosts and client saw is held against the rules: one answer and the right one to a client that stayed; nothing
 * sent twice that may have run and may not run twice, nothing out beside another, no refusal of what may have run; nothing
 * to a host whose drain's grace is over; nothing once the client left or the gateway has given all up.
 */
class MeetingsTest {
    private static final int NODE_PORT = 2001; // in memory
    private static final int[] HOST_PORTS = {2002, 2003, 2004};
    private static final String[] ZONES = {"a", "a", "b"};
    private static final int LOOPS = 6; // hand-overs between the two loops that the longest step brings about
    private static final double GRACE_MS = 2000;
    private static final int PATIENCE_MS = 30_000;

    private enum Effect {
        REPEATABLE("GET /view/x"), KEYED("POST /order/x"), ONCE("POST /file/x");

        private final String line;

        Effect(String line) {
            this.line = line;
        }
    }

    private enum Event {
        /** Connections to hosts that were called come up. */
        UP,
        /** The host that was asked last answers. */
        ANSWER,
        /** It answers with what can't be read, and keeps its connection. */
        SPOILT,
        /** It says that the request never ran. */
        FULL,
        /** Its connection breaks. */
        RESET,
        /** A second answer on the connection that answered last. */
        SECOND,
        /** The module gives its newest attempt up. */
        CANCEL,
        /** The client's time is up. */
        TIME,
        /** The client's connection ends. */
        LEAVES,
        /** The list says that the host of the newest attempt drains. */
        DRAINS,
        /** Time passes, more than a drain's grace. */
        GRACE,
        /** SIGTERM has come, and answers are their connections' last. */
        AWAY,
        /** All that is open is given up. */
        ENDS
    }

    /** A fault that a gateway could have, played beside the real one. */
    private enum Planted { NONE, SECOND_FOR_UNSAFE, SENT_AFTER_LEAVING, ANSWERED_TWICE, SENT_AFTER_GRACE }

    /** A request that came whole to a host. */
    private static final class Arrival {
        final int host;
        final Channel channel;
        boolean answered;
        boolean neverRan;

        Arrival(int host, Channel channel) {
            this.host = host;
            this.channel = channel;
        }

        /** By the channel's own state: the word of its end is passed on in memory only after what came behind it. */
        boolean out() {
            return !answered && channel.isActive();
        }
    }

    /** Lets a connection come up only when it is told to. */
    private static final class Held extends ChannelOutboundHandlerAdapter {
        private final BooleanSupplier open;
        private ChannelHandlerContext ctx;
        private SocketAddress remote;
        private ChannelPromise promise;

        /** @param open whether connections come up at once by now; asked on the node's loop */
        Held(BooleanSupplier open) {
            this.open = open;
        }

        @Override
        public void connect(ChannelHandlerContext context, SocketAddress to, SocketAddress from, ChannelPromise p) {
            if (open.getAsBoolean()) {
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

        void up() {
            ChannelPromise p = promise;
            promise = null;
            if (p != null) {
                ctx.connect(remote, p);
            }
        }
    }

    private final NioEventLoopGroup outside = new NioEventLoopGroup(1);
    private final List<Channel> listening = new ArrayList<>();
    private final List<Held> held = new ArrayList<>();
    private final Transport transport = new ForwardingTransport() {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return MEMORY.server(group);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(() -> {
                LocalChannel ch = new LocalChannel();
                Held hold = new Held(() -> run.open);
                held.add(hold);
                ch.pipeline().addFirst(hold);
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
    private Run run; // the one under way
    private int runs;

    @BeforeEach
    void startHosts() throws Exception {
        for (int i = 0; i < HOST_PORTS.length; i++) {
            int host = i;
            listening.add(Transport.MEMORY.server(outside).childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1024),
                            new SimpleChannelInboundHandler<FullHttpRequest>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest m) {
                                    run.arrived(host, ch);
                                }
                            });
                }
            }).bind(Transport.MEMORY.socketAddress(address(HOST_PORTS[i]))).sync().channel());
        }
    }

    @AfterEach
    void stopHosts() throws Exception {
        for (Channel c : listening) {
            c.close().sync();
        }
        outside.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static NodeConfig config() throws Exception {
        String text = Sockets.config("127.0.0.1:1", "127.0.0.1:0")
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + NODE_PORT + "\"")
                .replace("\"rules\": {", "\"rules\": {\"drain_grace_ms\": " + GRACE_MS + ", ")
                .replace("\"classes\": [", "\"classes\": [{\"name\": \"file\", \"effect\": \"once\", "
                        + "\"goal_time_ms\": 20000, \"hard_limit_ms\": 60000}, ");
        return NodeConfig.of(new ObjectMapper().readTree(text));
    }

    /** One script, and what was seen of it. */
    private final class Run {
        private final Effect effect;
        private final List<Event> script;
        private final Planted planted;
        private final String id = "m" + runs++;
        private final MovedClock clock = MovedClock.standing();
        private final NioEventLoopGroup inside = new NioEventLoopGroup(1);
        private final Node node;
        private final Channel client;
        private final List<Arrival> arrivals = new ArrayList<>(); // of the outside loop
        private final ByteArrayOutputStream received = new ByteArrayOutputStream(); // the same
        private final double[] drainedAt = {Double.NaN, Double.NaN, Double.NaN};
        private final List<String> wrong = new ArrayList<>();
        private boolean left;
        private boolean ended;
        private final boolean stays; // once they come up, later ones do so at once
        private volatile boolean open;
        private Channel answeredLast;

        Run(Effect effect, List<Event> script, boolean stays, Planted planted) throws Exception {
            this.stays = stays;
            this.effect = effect;
            this.script = script;
            this.planted = planted;
            run = this;
            held.clear();
            node = new Node(config(), DecisionEngine::new, transport, inside, clock);
            inside.submit(() -> node.listen()).sync().getNow().sync();
            List<Discovery.Entry> list = new ArrayList<>();
            for (int i = 0; i < HOST_PORTS.length; i++) {
                list.add(entry(i, HostState.RUNNING));
            }
            inside.submit(() -> node.onHostsUpdated(ListKind.FULL, list)).sync();
            client = Transport.MEMORY.client(outside.next()).handler(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    ByteBuf bytes = (ByteBuf) message;
                    byte[] copy = new byte[bytes.readableBytes()];
                    bytes.readBytes(copy);
                    bytes.release();
                    received.writeBytes(copy);
                    if (Run.this.planted == Planted.ANSWERED_TWICE) {
                        received.writeBytes(copy);
                    }
                }
            }).connect(Transport.MEMORY.socketAddress(node.config.listen())).sync().channel();
        }

        private Discovery.Entry entry(int host, HostState state) {
            return new Discovery.Entry(new Host("h" + host, ZONES[host], "", 0, state, 1, 0), address(HOST_PORTS[host]));
        }

        private void settle() throws InterruptedException {
            for (int i = 0; i < LOOPS; i++) {
                inside.submit(() -> { }).sync();
                outside.submit(() -> { }).sync();
            }
        }

        /** On the outside loop, in the order in which the gateway's bytes and ends of connections came. */
        private void arrived(int host, Channel channel) {
            for (Arrival a : arrivals) {
                if (a.out()) {
                    wrong.add("out beside another");
                }
                boolean together = ZONES[a.host].equals(ZONES[host]);
                if (!a.neverRan && (effect == Effect.ONCE || effect == Effect.KEYED && !together)) {
                    wrong.add("sent again after it may have run");
                }
            }
            if (left) {
                wrong.add("sent on after its client left");
            }
            if (ended) {
                wrong.add("sent on after all was given up");
            }
            if (clock.now() > drainedAt[host] + GRACE_MS) {
                wrong.add("sent to a host whose grace is over");
            }
            arrivals.add(new Arrival(host, channel));
        }

        private Arrival newest() {
            for (int i = arrivals.size() - 1; i >= 0; i--) {
                if (arrivals.get(i).out()) {
                    return arrivals.get(i);
                }
            }
            return null;
        }

        private void say(Channel to, String text) {
            to.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        private String answer() {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
        }

        private void step(Event event) throws Exception {
            Arrival a = newest();
            switch (event) {
                case UP -> {
                    open = stays;
                    inside.submit(() -> List.copyOf(held).forEach(Held::up)).sync();
                }
                case ANSWER -> answer(a, answer(), false);
                case FULL -> answer(a, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", true);
                case SPOILT -> {
                    if (a != null) {
                        say(a.channel, "HTTP/1.1 twohundred\r\n\r\n");
                    }
                }
                case RESET -> {
                    if (a != null) {
                        a.channel.close();
                    }
                }
                case SECOND -> {
                    if (answeredLast != null && answeredLast.isActive()) {
                        say(answeredLast, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
                    }
                }
                case CANCEL -> inside.submit(() -> {
                    for (int i = 0; effect != Effect.ONCE && i < node.config.settings().limits().maxAttempts(); i++) {
                        node.cancel(id, i);
                    }
                }).sync();
                case TIME -> {
                    clock.move(PATIENCE_MS);
                    inside.submit(() -> node.onDeadline(id)).sync();
                }
                case LEAVES -> {
                    client.close().sync();
                    settle();
                    left = true; // what left before the gateway could see it is not held against it
                }
                case DRAINS -> drain(a == null ? 0 : a.host);
                case GRACE -> clock.move(GRACE_MS + 1);
                case AWAY -> inside.submit(node::releaseClients).sync();
                case ENDS -> {
                    inside.submit(node::endAllRequests).sync();
                    settle();
                    ended = true;
                }
                default -> throw new IllegalStateException();
            }
            settle();
            plant(event);
        }

        private void answer(Arrival a, String text, boolean neverRan) {
            if (a != null) {
                outside.next().execute(() -> {
                    a.answered = true;
                    a.neverRan = neverRan;
                    answeredLast = a.channel;
                });
                say(a.channel, text);
            }
        }

        /** With no attempt written yet it is the host whose connection is coming up, whichever that is: all drain. */
        private void drain(int host) throws Exception {
            List<Discovery.Entry> changes = new ArrayList<>();
            for (int i = 0; i < HOST_PORTS.length; i++) {
                if (i == host || arrivals.isEmpty()) {
                    changes.add(entry(i, HostState.DRAINING));
                    drainedAt[i] = Double.isNaN(drainedAt[i]) ? clock.now() : drainedAt[i];
                }
            }
            inside.submit(() -> node.onHostsUpdated(ListKind.CHANGES, changes)).sync();
        }

        /** What a gateway at fault would send, from beside. */
        private void plant(Event after) throws Exception {
            boolean now = planted == Planted.SECOND_FOR_UNSAFE && after == Event.RESET
                    || planted == Planted.SENT_AFTER_LEAVING && after == Event.LEAVES
                    || planted == Planted.SENT_AFTER_GRACE && after == Event.GRACE;
            if (now) {
                Channel beside = Transport.MEMORY.client(outside.next()).handler(new ChannelInboundHandlerAdapter())
                        .connect(Transport.MEMORY.socketAddress(address(HOST_PORTS[0]))).sync().channel();
                say(beside, request());
                settle();
                beside.close().sync();
            }
        }

        private String request() {
            return effect.line + " HTTP/1.1\r\nHost: h\r\n" + Sockets.headers(id, PATIENCE_MS)
                    + (effect == Effect.KEYED ? "Idempotency-Key: k\r\n" : "")
                    + (effect == Effect.REPEATABLE ? "" : "Content-Length: 0\r\n") + "\r\n";
        }

        void play() throws Exception {
            try {
                say(client, request());
                settle();
                for (Event e : script) {
                    step(e);
                }
                // Nothing more comes of its own accord: what waits comes up, who was asked answers, and time goes by.
                step(Event.UP);
                step(Event.ANSWER);
                step(Event.TIME);
                check();
            } finally {
                client.close().sync();
                arrivals.forEach(a -> a.channel.close());
                settle();
                node.stop();
            }
        }

        private void check() {
            String seen = received.toString(StandardCharsets.US_ASCII);
            String[] answers = seen.split("HTTP/1\\.1 ", -1);
            String what = effect + " " + script + ": " + arrivals.size() + " arrivals, the client has '"
                    + seen.replace("\r\n", "|") + "'";
            assertEquals(List.of(), wrong, what);
            if (!left) {
                assertEquals(2, answers.length, what); // what stands ahead of the first is empty
                assertEquals("", answers[0], what);
            }
            if (answers.length > 1 && answers[1].startsWith("200")) {
                assertTrue(answers[1].endsWith("\r\n\r\n" + id), what);
            }
            boolean refused = answers.length > 1 && (answers[1].startsWith("429") || answers[1].startsWith("503"));
            boolean ran = arrivals.stream().anyMatch(a -> !a.neverRan);
            assertTrue(!refused || !ran || effect == Effect.REPEATABLE, what);
        }
    }

    private void play(Effect effect, List<Event> script, boolean stays, Planted planted) throws Exception {
        new Run(effect, script, stays, planted).play();
    }

    private static List<Event> with(List<Event> some, int at, Event more) {
        List<Event> all = new ArrayList<>(some);
        all.add(at, more);
        return all;
    }

    /** Two events in every order, with the connection coming up at every place among them; a later one too, or at once. */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void twoEventsInEveryOrder(Effect effect) throws Exception {
        for (Event first : Event.values()) {
            for (Event second : Event.values()) {
                if (first != Event.UP && second != Event.UP) {
                    for (int at = 0; at <= 2; at++) {
                        play(effect, with(List.of(first, second), at, Event.UP), false, Planted.NONE);
                        play(effect, with(List.of(first, second), at, Event.UP), true, Planted.NONE);
                    }
                }
            }
        }
        assertEquals(12 * 12 * 3 * 2, runs);
    }

    /**
     * Three events in every order once the connection has come up; what follows from each may need it again. That answers
     * become their connections' last is left to the pairs: it changes the answers' heads.
     */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void threeEventsInEveryOrder(Effect effect) throws Exception {
        List<Event> events = new ArrayList<>(List.of(Event.values()));
        events.remove(Event.AWAY);
        for (Event first : events) {
            for (Event second : events) {
                for (Event third : events) {
                    if (first != second && second != third && first != third && first != Event.UP) {
                        play(effect, List.of(Event.UP, first, second, third), true, Planted.NONE);
                    }
                }
            }
        }
        assertEquals(11 * 11 * 10, runs);
    }

    private void finds(Planted planted, Effect effect, String wrong, Event... script) {
        AssertionError found = assertThrows(AssertionError.class, () -> play(effect, List.of(script), true, planted));
        assertTrue(found.getMessage().contains(wrong), found.getMessage());
    }

    @Test
    void aSecondAttemptOfAnUnsafeRequestIsFound() {
        finds(Planted.SECOND_FOR_UNSAFE, Effect.ONCE, "sent again after it may have run", Event.UP, Event.RESET);
    }

    @Test
    void aSendAfterTheClientLeftIsFound() {
        finds(Planted.SENT_AFTER_LEAVING, Effect.REPEATABLE, "sent on after its client left", Event.LEAVES);
    }

    @Test
    void anAnswerThatComesTwiceIsFound() {
        finds(Planted.ANSWERED_TWICE, Effect.KEYED, "the client has", Event.UP, Event.ANSWER);
    }

    @Test
    void aSendAfterADrainsGraceIsFound() {
        finds(Planted.SENT_AFTER_GRACE, Effect.REPEATABLE, "a host whose grace is over", Event.DRAINS, Event.GRACE);
    }
}
