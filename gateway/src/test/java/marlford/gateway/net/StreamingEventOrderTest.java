package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Plays a long request body and a long response through many orders of what client, host and gateway do: parts,
 * closes, cancelled attempts, an expired drain. All channels are in memory, each step runs until both event loops are
 * idle before the next one starts, and no script waits for a time limit. A script has the same result each time, as
 * long as the machine is fast enough that no time limit expires.
 *
 * <p>After the script everything still open is completed. Then a client that sent its whole request and stayed
 * connected must have received exactly one complete answer, except where it received a part of a response and the host
 * closed the connection within that response.
 */
class StreamingEventOrderTest extends SocketTest {
    private static final int BODY_BYTES = 150_000; // more than the gateway buffers, sent in three parts
    private static final int[] PART_ENDS = {70_000, 110_000, BODY_BYTES};
    private static final int SETTLE_ROUNDS = 12; // hand-overs between the two event loops that the longest step causes
    private static final int MAX_ATTEMPTS = 3;
    private static final int RANDOM_SCRIPTS = 1500;
    private static final int NODE_PORT = 1001; // in-memory address
    private static final int HOST_PORT = 1002;

    /** An event of a script; a step that has nothing to act on does nothing. */
    private enum Step {
        /** The client sends the next part of its request. */
        CLIENT_PART,
        /** The client disconnects. */
        CLIENT_DISCONNECT,
        /**
         * The host sends the next part of a long response: the first part on the newest connection, later parts on the
         * same one.
         */
        HOST_PART,
        /** The host responds that the request never ran. */
        HOST_NEVER_RAN,
        /** The host closes its newest connection. */
        HOST_DISCONNECT,
        /** The decision engine cancels the newest attempt. */
        CANCEL,
        /** The decision engine refuses the request. */
        REFUSE,
        /** The gateway abandons everything open, as at the end of a drain. */
        ABANDON_ALL,
        /** From now on every answer closes its client connection, as while the process shuts down. */
        CLOSE_CONNECTIONS
    }

    private static final List<Step> CLIENT_PARTS = List.of(Step.CLIENT_PART, Step.CLIENT_PART, Step.CLIENT_PART);
    private static final List<Step> HOST_PARTS = List.of(Step.HOST_PART, Step.HOST_PART, Step.HOST_PART);
    private static final List<Step> FAILURES = List.of(Step.CLIENT_DISCONNECT, Step.HOST_NEVER_RAN, Step.HOST_DISCONNECT, Step.CANCEL,
            Step.REFUSE, Step.ABANDON_ALL, Step.CLOSE_CONNECTIONS);

    private final NioEventLoopGroup peerGroup = new NioEventLoopGroup(1);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream(); // received by the client
    private final ArrayDeque<Channel> hostConnections = new ArrayDeque<>(); // connections that carried a request, the newest last
    private NioEventLoopGroup nodeGroup; // event loop of the node
    private Node node;
    private ScriptedEngine engine;
    private Channel hostChannel;
    private Channel client;
    private int scriptCount;

    /**
     * Sends a request again, up to {@value #MAX_ATTEMPTS} attempts in total, when the outcome of the last attempt shows
     * that it never ran and is not {@link Outcome#MOOT}. Otherwise refuses a request whose last attempt never ran, and
     * fails one whose last attempt may have run. Scripts add further actions.
     */
    private static final class ScriptedEngine implements NoOpEngine {
        private final Actions actions;
        private String id;
        private int attempts;

        ScriptedEngine(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void onRequest(double now, Request r) {
            id = r.id();
            attempts = 1;
            actions.send(id, "h", 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            if (r.closed() || !r.id().equals(id)) {
                return;
            }
            if (r.outcome().neverRan() && r.outcome() != Outcome.MOOT && attempts < MAX_ATTEMPTS) {
                attempts++;
                actions.send(id, "h", 0);
            } else if (r.outcome().neverRan()) {
                actions.refuse(id, 0);
            } else {
                actions.fail(id);
            }
        }

        @Override
        public void onClientLeft(double now, String request) {
            actions.cancel(request, attempts - 1);
        }
    }

    @BeforeEach
    void startHost() throws Exception {
        hostChannel = Transport.MEMORY.server(peerGroup).childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                    private boolean requested;

                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                        ((ByteBuf) message).release();
                        if (!requested) {
                            requested = true;
                            hostConnections.addLast(ch);
                        }
                    }
                });
            }
        }).bind(Transport.MEMORY.socketAddress(address(HOST_PORT))).sync().channel();
    }

    @AfterEach
    void stopHost() throws Exception {
        hostChannel.close().sync();
        peerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Starts a node for one script, so that no state carries over between scripts. */
    private void startNode() throws Exception {
        NodeConfig config = NodeConfig.of(new ObjectMapper().readTree(Sockets.config("127.0.0.1:1", "127.0.0.1:0")
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + NODE_PORT + "\"")));
        nodeGroup = new NioEventLoopGroup(1);
        node = new Node(config, actions -> engine = new ScriptedEngine(actions), Transport.MEMORY, nodeGroup);
        nodeGroup.submit(() -> node.listen()).sync().getNow().sync();
        nodeGroup.submit(() -> node.onHostsUpdated(ListKind.FULL, List.of(new Discovery.Entry(
                new Host("h", "a", "", 0, HostState.RUNNING, 1, 0), address(HOST_PORT))))).sync();
    }

    private void settle() throws InterruptedException {
        for (int i = 0; i < SETTLE_ROUNDS; i++) {
            nodeGroup.submit(() -> { }).sync();
            peerGroup.submit(() -> { }).sync();
        }
    }

    private static byte[] part(String head, int number) {
        byte[] ascii = head.getBytes(StandardCharsets.US_ASCII);
        int from = number == 0 ? 0 : PART_ENDS[number - 1];
        int first = number == 0 ? ascii.length : 0;
        byte[] bytes = Arrays.copyOf(number == 0 ? ascii : new byte[0], first + PART_ENDS[number] - from);
        for (int i = from; i < PART_ENDS[number]; i++) {
            bytes[first + i - from] = content(i);
        }
        return bytes;
    }

    private static byte content(int at) {
        return (byte) (at * 31 + (at >> 8));
    }

    /** One script and what the client observed of it. */
    private final class Run {
        private final String id = "r" + scriptCount++;
        private final List<Step> played = new ArrayList<>();
        private int sentParts; // parts of the request that the client sent
        private int respondedParts; // parts of the response sent on respondingChannel
        private Channel respondingChannel;
        private boolean brokenOff; // the host closed the connection within its response
        private boolean clientGone; // the client disconnected

        private void step(Step step) throws InterruptedException {
            played.add(step);
            switch (step) {
                case CLIENT_PART -> {
                    if (sentParts < PART_ENDS.length && client.isActive()) {
                        client.writeAndFlush(Unpooled.wrappedBuffer(part("POST /order/x HTTP/1.1\r\nHost: h\r\n"
                                + Sockets.headers(id, Sockets.TIMEOUT_MS) + "Idempotency-Key: k\r\nContent-Length: "
                                + BODY_BYTES + "\r\n\r\n", sentParts++)));
                    }
                }
                case CLIENT_DISCONNECT -> {
                    clientGone = true;
                    client.close();
                }
                case HOST_PART -> respond();
                case HOST_NEVER_RAN -> {
                    Channel host = newestConnection();
                    if (host != null && host != respondingChannel) {
                        host.writeAndFlush(Unpooled.wrappedBuffer(Sockets.bytes(
                                "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")));
                    }
                }
                case HOST_DISCONNECT -> {
                    Channel host = newestConnection();
                    if (host != null) {
                        brokenOff |= host == respondingChannel && respondedParts < PART_ENDS.length;
                        host.close();
                    }
                }
                case CANCEL -> nodeGroup.submit(() -> {
                    if (engine.id != null && node.isRequestOpen(engine.id) && respondingChannel == null) {
                        engine.actions.cancel(engine.id, engine.attempts - 1);
                    }
                }).sync();
                case REFUSE -> nodeGroup.submit(() -> {
                    if (engine.id != null) {
                        engine.actions.refuse(engine.id, 0);
                    }
                }).sync();
                case ABANDON_ALL -> nodeGroup.submit(node::endAllRequests).sync();
                case CLOSE_CONNECTIONS -> nodeGroup.submit(node::releaseClients).sync();
                default -> throw new IllegalStateException();
            }
            settle();
        }

        private Channel newestConnection() {
            while (!hostConnections.isEmpty() && !hostConnections.peekLast().isActive()) {
                hostConnections.pollLast();
            }
            return hostConnections.peekLast();
        }

        private void respond() {
            Channel host = respondingChannel == null ? newestConnection() : respondingChannel;
            if (host == null || !host.isActive() || respondedParts == PART_ENDS.length) {
                return;
            }
            respondingChannel = host;
            host.writeAndFlush(Unpooled.wrappedBuffer(
                    part("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n", respondedParts++)));
        }

        /** Completes the script: each side that is still connected sends its remaining parts, and the drain expires. */
        private void complete() throws InterruptedException {
            while (sentParts < PART_ENDS.length && client.isActive()) {
                step(Step.CLIENT_PART);
            }
            while (respondingChannel != null && respondingChannel.isActive() && respondedParts < PART_ENDS.length) {
                step(Step.HOST_PART);
            }
            step(Step.ABANDON_ALL);
        }

        private void check() {
            String observed = describe();
            String script = played + ": the client received " + observed;
            boolean requestComplete = sentParts == PART_ENDS.length;
            boolean answerExpected = requestComplete && !clientGone;
            if (answerExpected && !(brokenOff && observed.startsWith("part"))) {
                assertTrue(observed.startsWith("whole"), script);
            }
            assertTrue(observed.equals("nothing") || observed.startsWith("whole") || clientGone || brokenOff, script);
            assertTrue(node.metrics.text().contains("svc.current=0\n"), script + " " + node.metrics.text());
        }

        /**
         * Describes what the client has received: nothing, a part of an answer, or a whole answer with nothing behind
         * it.
         */
        private String describe() {
            byte[] got = received.toByteArray();
            if (got.length == 0) {
                return "nothing";
            }
            String text = new String(got, StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return "part of a head";
            }
            String head = text.substring(0, end).toLowerCase(java.util.Locale.ROOT);
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            int body = got.length - end - 4;
            if (body < length) {
                return "part: " + body + " of " + length;
            }
            if (body > length) {
                return "more than one answer: " + text.substring(0, 15);
            }
            for (int i = 0; i < length; i++) {
                if (got[end + 4 + i] != content(i)) {
                    return "content differs from the host's from byte " + i;
                }
            }
            return "whole " + text.substring(9, 12);
        }
    }

    private void run(List<Step> script) throws Exception {
        received.reset();
        hostConnections.clear();
        startNode();
        connect();
        Run run = new Run();
        settle();
        for (Step step : script) {
            run.step(step);
        }
        run.complete();
        run.check();
        client.close();
        hostConnections.forEach(Channel::close);
        settle();
        node.stop();
    }

    private void connect() throws InterruptedException {
        client = Transport.MEMORY.client(peerGroup.next()).handler(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                byte[] copy = new byte[bytes.readableBytes()];
                bytes.readBytes(copy);
                bytes.release();
                received.writeBytes(copy);
            }
        }).connect(Transport.MEMORY.socketAddress(node.config.listen())).sync().channel();
    }

    /** All interleavings of two lists. */
    private static List<List<Step>> interleavings(List<Step> a, List<Step> b) {
        if (a.isEmpty() || b.isEmpty()) {
            List<Step> rest = new ArrayList<>(a);
            rest.addAll(b);
            return List.of(rest);
        }
        List<List<Step>> all = new ArrayList<>();
        for (boolean first : new boolean[] {true, false}) {
            List<Step> from = first ? a : b;
            for (List<Step> rest : interleavings(first ? a.subList(1, a.size()) : a, first ? b : b.subList(1, b.size()))) {
                List<Step> whole = new ArrayList<>(List.of(from.get(0)));
                whole.addAll(rest);
                all.add(whole);
            }
        }
        return all;
    }

    /** All interleavings of the parts of both sides, with one failure at each position. */
    @Test
    void aFailureAtAnyPositionLeavesOneAnswer() throws Exception {
        for (List<Step> parts : interleavings(CLIENT_PARTS, HOST_PARTS)) {
            run(parts);
            for (Step failure : FAILURES) {
                for (int at = 0; at <= parts.size(); at++) {
                    List<Step> script = new ArrayList<>(parts);
                    script.add(at, failure);
                    run(script);
                }
            }
        }
        assertEquals(20 * (1 + FAILURES.size() * 7), scriptCount);
    }

    /**
     * The second of two pipelined requests has been read but not started when the first is answered: the connection
     * has no open request at that moment, but it is not idle and must not be closed.
     */
    @Test
    void aPipelinedRequestSurvivesTheClosingOfIdleConnections() throws Exception {
        startNode();
        connect();
        String get = "GET /view/x HTTP/1.1\r\nHost: h\r\n";
        client.writeAndFlush(Unpooled.copiedBuffer(get + Sockets.headers("a", Sockets.TIMEOUT_MS) + "\r\n"
                + get + Sockets.headers("b", Sockets.TIMEOUT_MS) + "\r\n", StandardCharsets.US_ASCII));
        settle();
        nodeGroup.submit(() -> {
            engine.actions.refuse("a", 0);
            node.clientServer.closeIdleConnections(); // in the same event loop task
        }).sync();
        settle();
        nodeGroup.submit(() -> engine.actions.refuse("b", 0)).sync();
        settle();
        assertEquals(2, received.toString(StandardCharsets.US_ASCII).split("HTTP/1.1 429").length - 1);
        node.stop();
    }

    /** Longer random scripts with several failures; a failed assertion names the seed. */
    @Test
    void randomScriptsLeaveOneAnswer() throws Exception {
        long seed = System.nanoTime();
        Random random = new Random(seed);
        List<Step> weightedSteps = new ArrayList<>(List.of(Step.values()));
        for (int i = 0; i < 3; i++) {
            weightedSteps.add(Step.CLIENT_PART);
            weightedSteps.add(Step.HOST_PART);
        }
        try {
            for (int i = 0; i < RANDOM_SCRIPTS; i++) {
                List<Step> script = new ArrayList<>();
                for (int left = 3 + random.nextInt(10); left > 0; left--) {
                    script.add(weightedSteps.get(random.nextInt(weightedSteps.size())));
                }
                run(script);
            }
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }
}
