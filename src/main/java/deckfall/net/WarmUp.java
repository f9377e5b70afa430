package deckfall.net;

import com.fasterxml.jackson.databind.node.MissingNode;
import deckfall.Brain;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostState;
import deckfall.Gateway.ListKind;
import deckfall.Gateway.Plan;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import deckfall.Gateway.Sharing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Before a node takes clients, two of its kind serve made-up ones in the process's memory, so that the code which
 * every request runs through is compiled by then. Else, on a third of a core, the first seconds of interpreted code
 * serve half of what comes, and the queue that this leaves in the sockets makes all the rest late as well: clients
 * give up, connect anew, and accepting them takes the time that answers need.
 *
 * <p>It also covers a start on a whole core. It could hurt where gateways restart one after another, since the longer
 * absence of each leaves few of them: it ends at once where the fleet turns out to serve, and at a time limit.
 */
final class WarmUp {
    /** Answers after which nearly all that a request needs is compiled: methods are from some 200 calls on. */
    static final int ENOUGH = 600;
    /** Answers after which at least each path of a request was gone once: so many a return waits for, too. */
    static final int RETURNED = 30;
    static final long PATIENCE_MS = 8000; // at its end a node serves, warm or not

    private static final long QUIET_MS = 20; // in which each side hears of the other's end
    private static final long POLL_MS = 10; // how often it looks whether it should end early
    private static final long LAST_MS = 1000;
    private static final int HOSTS = 4;
    private static final int CLIENTS = 12;
    private static final int ASKS = 4; // requests on a connection; then comes a new one
    private static final int CUSTOMERS = 256;
    private static final int FAULT_EVERY = 16; // answers of hosts, among which each fault comes once
    private static final double MAIL_PER_SECOND = 4000; // no message waits for the next gap
    private static final int BODY = 256; // bytes of an answer
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final Transport TRANSPORT = Transport.MEMORY;

    private final NodeConfig config;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    /** Another loop: what both sides of a channel in memory do on one, they do from inside each other. */
    private final NioEventLoopGroup outside = new NioEventLoopGroup(1);
    private final List<Node> nodes = new ArrayList<>();
    private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ChannelGroup hosts = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final CountDownLatch left;
    private volatile boolean over;
    private final ByteBuf body = Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(new byte[BODY]));
    private int asked;
    private int served;

    private WarmUp(NodeConfig config, int answers) {
        this.config = config;
        this.left = new CountDownLatch(answers);
    }

    /** Returns how many answers came of those wanted; fewer where the time was up. */
    static int run(NodeConfig config, int answers, long patienceMs, BooleanSupplier enough)
            throws InterruptedException {
        WarmUp warmUp = new WarmUp(config, answers);
        try {
            warmUp.start();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
            while (!warmUp.left.await(POLL_MS, TimeUnit.MILLISECONDS) && System.nanoTime() < end
                    && !(answers - warmUp.left.getCount() >= RETURNED && enough.getAsBoolean())) {
                continue;
            }
            return (int) (answers - warmUp.left.getCount());
        } finally {
            warmUp.close();
            Future<?> ended = warmUp.outside.shutdownGracefully(QUIET_MS, LAST_MS, TimeUnit.MILLISECONDS);
            warmUp.group.shutdownGracefully(QUIET_MS, LAST_MS, TimeUnit.MILLISECONDS).await();
            ended.await();
        }
    }

    /** Ends the made-up world from its clients on, each side having been told before its loop goes. */
    private void close() throws InterruptedException {
        over = true;
        clients.close().await();
        group.submit(() -> nodes.forEach(Node::endAll)).await();
        hosts.close().await();
        group.submit(() -> { }).await();
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress(HERE, number + 1);
    }

    private static InetSocketAddress hostAddress(int number) {
        return address(2 + number);
    }

    private void start() throws InterruptedException {
        List<Discovery.Entry> list = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            InetSocketAddress at = hostAddress(i);
            list.add(new Discovery.Entry(
                    new Host("warm-" + i, config.settings().zone(), "", 0, HostState.RUNNING, 1, 0), at));
            TRANSPORT.server(outside).childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(ClientServer.MAX_BODY),
                            new StandInHost());
                }
            }).bind(TRANSPORT.at(at)).sync();
        }
        for (int me = 0; me < 2; me++) {
            nodes.add(new Node(of(me), Brain::new, TRANSPORT, group));
        }
        for (Node node : nodes) {
            int me = node.config.settings().me();
            node.linkBy((peer, data) -> group.execute(() -> nodes.get(1 - me).peerSaid(me, data)));
            group.submit(() -> node.listen()).sync().getNow().sync();
            group.execute(() -> node.hostsTold(ListKind.FULL, list));
        }
        outside.execute(() -> {
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
        });
    }

    /** The settings of this node, but for a fleet of two that may say all to each other at once. */
    private NodeConfig of(int me) {
        Settings s = config.settings();
        Sharing sharing = s.sharing();
        Sharing quick = new Sharing(sharing.counter(), sharing.counterPrice(), sharing.meterPeriodMs(),
                sharing.postPaid(), sharing.maxUnits(), MAIL_PER_SECOND, sharing.peerPrice(), sharing.probePrice(),
                sharing.zonePrice());
        Settings settings = new Settings(s.seed(), me, 2, s.zone(), false, s.classes(), s.plans(), s.reportNames(),
                s.limits(), s.rules(), quick);
        return new NodeConfig(config.name(), null, address(me), null, null, List.of(), null, config.sockets(), MissingNode.getInstance(),
                settings, config.connectTimeoutMs(), config.idleMs(), config.maxOpen());
    }

    private void connect() {
        TRANSPORT.client(outside.next()).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ClientServer.MAX_BODY),
                        new StandInClient());
            }
        }).connect(TRANSPORT.at(address(0)));
    }

    private final class StandInClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // an answer may cross the end of the warm-up
        }

        private int asks;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            clients.add(ctx.channel());
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            asks++;
            ctx.writeAndFlush(request(), ctx.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            left.countDown();
            if (asks < ASKS) {
                ask(ctx);
            } else {
                ctx.close();
                if (!over) {
                    connect();
                }
            }
        }
    }

    private FullHttpRequest request() {
        int n = asked++;
        List<RequestClass> classes = config.settings().classes();
        RequestClass cls = classes.get(n % classes.size());
        boolean safe = cls.effect() == Effect.REPEATABLE;
        FullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
                '/' + cls.name() + "/warm", safe ? Unpooled.EMPTY_BUFFER : body.duplicate());
        int customer = n % CUSTOMERS;
        List<Plan> plans = config.settings().plans();
        r.headers().set(HttpHeaderNames.HOST, "warm").set(RequestTerms.ID, Integer.toString(n))
                .set(RequestTerms.PLAN, plans.get(customer % plans.size()).name())
                .set(RequestTerms.CUSTOMER, String.format("%016x", customer))
                .set(RequestTerms.EXPIRES, Integer.toString((int) cls.deadlineMs()))
                .set(RequestTerms.QUOTA, "units=1,spread=" + (1 + customer % 2) + ",first=0")
                .set(RequestTerms.KEY, Integer.toString(n))
                .setInt(HttpHeaderNames.CONTENT_LENGTH, r.content().readableBytes());
        return r;
    }

    /** Answers at once, now and then with what hosts in trouble do. */
    private final class StandInHost extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // a request may cross the end of the connection
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            hosts.add(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            int fault = served++ % FAULT_EVERY;
            HttpResponseStatus status = fault == 0 ? HttpResponseStatus.SERVICE_UNAVAILABLE
                    : fault == 1 ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK;
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body.duplicate());
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            if (fault == 0) {
                answer.headers().set("X-Never-Ran", "1");
            }
            if (fault == 2) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.writeAndFlush(answer, ctx.voidPromise());
            }
        }
    }
}
