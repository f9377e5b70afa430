package marlford.gateway.net;

import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Settings;
import marlford.gateway.EngineApi.Sharing;
import marlford.gateway.quota.QuotaCoordinator;

/**
 * Warms up the code before a node accepts clients: two nodes serve synthetic requests over an in-memory transport, so that
 * the code that every request runs through is compiled before the first real one. Without it, on a third of a core, the interpreted code of
 * the first seconds serves only half of the requests. The queue that builds up in the sockets then delays all later ones:
 * clients time out and connect again, and accepting their connections takes processor time that answers need.
 *
 * <p>The warm-up is run on a whole core as well. It lengthens the absence of a gateway that restarts. When gateways
 * restart one after another, fewer gateways would then remain to serve. For this reason the warm-up ends early when messages
 * of other gateways arrive, and at a time limit.
 */
final class WarmUp {
    /** Answers after which nearly all code of a request is compiled: methods are compiled after about 200 calls. */
    static final int FULL_WARM_UP_ANSWERS = 600;
    /** Answers after which each code path of a request has run at least once. A restart in a serving fleet waits for these. */
    static final int RESTART_ANSWERS = 60;
    /**
     * The same in a tier of more than {@value #SMALL_TIER_GATEWAYS} gateways. There each gateway has a smaller share of the
     * clients, which code that is not compiled yet can serve, and many gateways that are killed at once are absent for as
     * long as their starts take.
     */
    static final int RESTART_ANSWERS_LARGE_TIER = 15;
    private static final int SMALL_TIER_GATEWAYS = 6;

    private static final long SHUTDOWN_QUIET_MS = 20; // in which each side notices the end of the other
    private static final long EARLY_END_POLL_MS = 10;
    private static final long SHUTDOWN_LIMIT_MS = 1000;
    private static final int HOSTS = 4;
    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CONNECTION = 4; // then the client opens a new connection
    private static final int CUSTOMERS = 256;
    private static final int ANSWERS_PER_FAULT_CYCLE = 16; // each fault occurs once among this many answers of the hosts
    private static final double UNLIMITED_MESSAGES_PER_SECOND = 4000; // high enough that no peer message is delayed
    private static final int BODY_BYTES = 256;
    private static final HexFormat HEX = HexFormat.of();
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Transport TRANSPORT = Transport.MEMORY;

    private static final String CONTENT_LENGTH = "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
    /** Answers of the hosts: each fault once, then the usual answer. */
    private static final List<ByteBuf> ANSWERS = Stream.of("503 Service Unavailable\r\nX-Never-Ran: 1",
            "500 Internal Server Error", "200 OK\r\nConnection: close", "200 OK")
            .map(line -> Unpooled.unreleasableBuffer(message("HTTP/1.1 " + line + CONTENT_LENGTH, BODY_BYTES))).toList();
    private static final int CLOSING_ANSWER = 2; // index of the answer after which the host closes the connection
    private static final AtomicInteger NEXT_ADDRESS = new AtomicInteger(1);

    private final NodeConfig config;
    private final int firstAddress = NEXT_ADDRESS.getAndAdd(2 + HOSTS); // an earlier warm-up may still be shutting down
    private final NioEventLoopGroup nodeGroup = new NioEventLoopGroup(1);
    /** A second event loop: on a single one, both sides of an in-memory channel would call into each other. */
    private final NioEventLoopGroup remoteGroup = new NioEventLoopGroup(1);
    private final List<Node> nodes = new ArrayList<>();
    private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ChannelGroup hosts = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final CountDownLatch answersLeft;
    private volatile boolean ended;
    private int requestCount;
    private int answerCount;

    private WarmUp(NodeConfig config, int answers) {
        this.config = config;
        this.answersLeft = new CountDownLatch(answers);
    }

    /**
     * Runs a warm-up and returns the number of answers received. Blocks until all wanted answers have arrived, the time limit
     * has passed, or enough for a restart have arrived and {@code canEndEarly} returns true.
     */
    static int run(NodeConfig config, int answers, long limitMs, BooleanSupplier canEndEarly)
            throws InterruptedException {
        WarmUp warmUp = new WarmUp(config, answers);
        int restartAnswers = restartAnswers(config.settings().gateways());
        try {
            warmUp.start();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
            while (!warmUp.answersLeft.await(EARLY_END_POLL_MS, TimeUnit.MILLISECONDS) && System.nanoTime() < end
                    && !(answers - warmUp.answersLeft.getCount() >= restartAnswers && canEndEarly.getAsBoolean())) {
                continue;
            }
            return (int) (answers - warmUp.answersLeft.getCount());
        } finally {
            warmUp.ended = true;
            Thread end = new Thread(warmUp::end, "warm-up's end"); // the shutdown must not delay the start
            end.setDaemon(true);
            end.start();
        }
    }

    /** Returns the number of answers that a restart waits for in a tier of this many gateways. */
    static int restartAnswers(int gateways) {
        return gateways > SMALL_TIER_GATEWAYS ? RESTART_ANSWERS_LARGE_TIER : RESTART_ANSWERS;
    }

    private void end() {
        try {
            close();
            Future<?> remoteEnded = remoteGroup.shutdownGracefully(SHUTDOWN_QUIET_MS, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS);
            nodeGroup.shutdownGracefully(SHUTDOWN_QUIET_MS, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS).await();
            remoteEnded.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the clients, then the nodes, then the hosts, so that each side notices the end before its event loop stops. */
    private void close() throws InterruptedException {
        clients.close().await();
        nodeGroup.submit(() -> nodes.forEach(Node::endAllRequests)).await();
        hosts.close().await();
        nodeGroup.submit(() -> { }).await();
    }

    private InetSocketAddress address(int number) {
        return new InetSocketAddress(LOOPBACK, firstAddress + number);
    }

    private InetSocketAddress hostAddress(int number) {
        return address(2 + number);
    }

    private void start() throws InterruptedException {
        List<Discovery.Entry> list = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            InetSocketAddress address = hostAddress(i);
            list.add(new Discovery.Entry(
                    new Host("warm-" + i, config.settings().zone(), "", 0, HostState.RUNNING, 1, 0), address));
            TRANSPORT.server(remoteGroup).childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new SyntheticHost());
                }
            }).bind(TRANSPORT.socketAddress(address)).sync();
        }
        for (int index = 0; index < 2; index++) {
            nodes.add(new Node(configOf(index), DecisionEngine::new, TRANSPORT, nodeGroup));
        }
        for (Node node : nodes) {
            int index = node.config.settings().me();
            node.usePeerSender((peer, data) -> nodeGroup.execute(() -> nodes.get(1 - index).onPeerMessage(index, data)));
            nodeGroup.submit(() -> node.listen()).sync().getNow().sync();
            nodeGroup.execute(() -> node.onHostsUpdated(ListKind.FULL, list));
        }
        remoteGroup.execute(() -> {
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
        });
    }

    /**
     * Returns the settings of a warm-up node: a tier of two gateways that exchange messages without a rate limit. A tier so large
     * that it shares quotas by different code keeps its size and its rate limit.
     */
    private NodeConfig configOf(int index) {
        Settings base = config.settings();
        Sharing sharing = base.sharing();
        // Tiers of hundreds of gateways share quotas by different code; the two nodes are then the first of a tier of that size.
        boolean largeTier = QuotaCoordinator.isRequiredFor(base.gateways(), sharing.messagesPerSecond());
        Sharing unlimitedSharing = new Sharing(sharing.counter(), sharing.counterPrice(), sharing.meterPeriodMs(),
                sharing.postPaid(), sharing.maxUnits(), largeTier ? sharing.messagesPerSecond() : UNLIMITED_MESSAGES_PER_SECOND,
                sharing.peerPrice(), sharing.probePrice(), sharing.crossZonePrice());
        Settings settings = new Settings(base.seed(), index, largeTier ? base.gateways() : 2, base.zone(), false, base.classes(),
                base.plans(), base.reportNames(), base.limits(), base.rules(), unlimitedSharing);
        return new NodeConfig(config.name(), null, address(index), null, null, List.of(), null, config.maxDescriptors(),
                MissingNode.getInstance(), settings, config.connectTimeoutMs(), config.hostIdleMs(), config.maxOpenRequests());
    }

    private void connect() {
        TRANSPORT.client(remoteGroup.next()).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new SyntheticClient());
            }
        }).connect(TRANSPORT.socketAddress(address(0)));
    }

    /**
     * The remote side of a connection, which reads and writes plain bytes: a codec would be work that no real request needs.
     * One exchange is in progress at a time and a side writes each message at once, so the end of the available input is the
     * end of the message.
     */
    private abstract static class SyntheticPeer extends ChannelInboundHandlerAdapter {
        private boolean read;

        /** Called when a message of the node has been read. */
        abstract void messageRead(ChannelHandlerContext ctx);

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            read |= ((ByteBuf) bytes).isReadable();
            ReferenceCountUtil.release(bytes);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (read) {
                read = false;
                messageRead(ctx);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the node may close the connection while a message is being written
        }
    }

    /** Sends a fixed number of requests, then opens a new connection. */
    private final class SyntheticClient extends SyntheticPeer {
        private int requests;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            clients.add(ctx.channel());
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            requests++;
            ctx.writeAndFlush(request(), ctx.voidPromise());
        }

        @Override
        void messageRead(ChannelHandlerContext ctx) {
            answersLeft.countDown();
            if (requests < REQUESTS_PER_CONNECTION) {
                sendRequest(ctx);
            } else {
                ctx.close();
                if (!ended) {
                    connect();
                }
            }
        }
    }

    /** Returns the next request; classes, customers and plans alternate. */
    private ByteBuf request() {
        int number = requestCount++;
        List<RequestClass> classes = config.settings().classes();
        RequestClass requestClass = classes.get(number % classes.size());
        boolean repeatable = requestClass.effect() == Effect.REPEATABLE;
        int customer = number % CUSTOMERS;
        List<Plan> plans = config.settings().plans();
        String head = (repeatable ? "GET /" : "POST /") + requestClass.name() + "/warm HTTP/1.1\r\nHost: warm\r\n"
                + RequestParser.TRACE_ID + ": " + number + "\r\n"
                + RequestParser.PLAN + ": " + plans.get(customer % plans.size()).name() + "\r\n"
                + RequestParser.CUSTOMER + ": " + HEX.toHexDigits((long) customer) + "\r\n"
                + RequestParser.EXPIRES_IN_MS + ": " + (int) requestClass.deadlineMs() + "\r\n"
                + RequestParser.QUOTA + ": units=1,spread=" + (1 + customer % 2) + ",first=0\r\n"
                + RequestParser.IDEMPOTENCY_KEY + ": " + number + "\r\nContent-Length: " + (repeatable ? 0 : BODY_BYTES) + "\r\n\r\n";
        return message(head, repeatable ? 0 : BODY_BYTES);
    }

    private static ByteBuf message(String head, int body) {
        byte[] ascii = head.getBytes(StandardCharsets.US_ASCII);
        return Unpooled.wrappedBuffer(Arrays.copyOf(ascii, ascii.length + body));
    }

    /** Answers at once, sometimes with an error or by closing the connection. */
    private final class SyntheticHost extends SyntheticPeer {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            hosts.add(ctx.channel());
        }

        @Override
        void messageRead(ChannelHandlerContext ctx) {
            int fault = answerCount++ % ANSWERS_PER_FAULT_CYCLE;
            ByteBuf answer = ANSWERS.get(Math.min(fault, ANSWERS.size() - 1)).retainedDuplicate();
            if (fault == CLOSING_ANSWER) {
                ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.writeAndFlush(answer, ctx.voidPromise());
            }
        }
    }
}
