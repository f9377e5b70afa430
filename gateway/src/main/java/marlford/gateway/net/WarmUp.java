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
    static final int RETURNED = 60;
    /**
     * The same in a tier of more than {@value #FEW} gateways. There each has a smaller part of the clients, which what is not
     * compiled yet can serve, and a herd that is killed at once is missed for as long as its starts take.
     */
    static final int RETURNED_AMONG_MANY = 15;
    private static final int FEW = 6;

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
    private static final HexFormat HEX = HexFormat.of();
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final Transport TRANSPORT = Transport.MEMORY;

    private static final String LENGTH = "\r\nContent-Length: " + BODY + "\r\n\r\n";
    /** What hosts answer: each fault in its turn, and what is usual. */
    private static final List<ByteBuf> ANSWERS = Stream.of("503 Service Unavailable\r\nX-Never-Ran: 1",
            "500 Internal Server Error", "200 OK\r\nConnection: close", "200 OK")
            .map(line -> Unpooled.unreleasableBuffer(message("HTTP/1.1 " + line + LENGTH, BODY))).toList();
    private static final int LAST_ANSWER = 2; // of a connection
    private static final AtomicInteger NEXT_ADDRESS = new AtomicInteger(1);

    private final NodeConfig config;
    private final int firstAddress = NEXT_ADDRESS.getAndAdd(2 + HOSTS); // in memory; the one before may still end
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    /** Another loop: what both sides of a channel in memory do on one, they do from inside each other. */
    private final NioEventLoopGroup outside = new NioEventLoopGroup(1);
    private final List<Node> nodes = new ArrayList<>();
    private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ChannelGroup hosts = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final CountDownLatch left;
    private volatile boolean over;
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
        int least = returned(config.settings().gateways());
        try {
            warmUp.start();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
            while (!warmUp.left.await(POLL_MS, TimeUnit.MILLISECONDS) && System.nanoTime() < end
                    && !(answers - warmUp.left.getCount() >= least && enough.getAsBoolean())) {
                continue;
            }
            return (int) (answers - warmUp.left.getCount());
        } finally {
            warmUp.over = true;
            Thread end = new Thread(warmUp::end, "warm-up's end"); // what is left of it holds nobody up
            end.setDaemon(true);
            end.start();
        }
    }

    /** Answers after which a return in a tier of so many gateways is warm enough. */
    static int returned(int gateways) {
        return gateways > FEW ? RETURNED_AMONG_MANY : RETURNED;
    }

    private void end() {
        try {
            close();
            Future<?> ended = outside.shutdownGracefully(QUIET_MS, LAST_MS, TimeUnit.MILLISECONDS);
            group.shutdownGracefully(QUIET_MS, LAST_MS, TimeUnit.MILLISECONDS).await();
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the made-up world from its clients on, each side having been told before its loop goes. */
    private void close() throws InterruptedException {
        clients.close().await();
        group.submit(() -> nodes.forEach(Node::endAll)).await();
        hosts.close().await();
        group.submit(() -> { }).await();
    }

    private InetSocketAddress address(int number) {
        return new InetSocketAddress(HERE, firstAddress + number);
    }

    private InetSocketAddress hostAddress(int number) {
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
                    ch.pipeline().addLast(new StandInHost());
                }
            }).bind(TRANSPORT.at(at)).sync();
        }
        for (int me = 0; me < 2; me++) {
            nodes.add(new Node(of(me), DecisionEngine::new, TRANSPORT, group));
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
        // Hundreds share quotas by code of their own: these two are the first of as many.
        boolean hundreds = QuotaCoordinator.isFor(s.gateways(), sharing.mailPerSecond());
        Sharing quick = new Sharing(sharing.counter(), sharing.counterPrice(), sharing.meterPeriodMs(),
                sharing.postPaid(), sharing.maxUnits(), hundreds ? sharing.mailPerSecond() : MAIL_PER_SECOND,
                sharing.peerPrice(), sharing.probePrice(), sharing.zonePrice());
        Settings settings = new Settings(s.seed(), me, hundreds ? s.gateways() : 2, s.zone(), false, s.classes(), s.plans(), s.reportNames(),
                s.limits(), s.rules(), quick);
        return new NodeConfig(config.name(), null, address(me), null, null, List.of(), null, config.sockets(), MissingNode.getInstance(),
                settings, config.connectTimeoutMs(), config.idleMs(), config.maxOpen());
    }

    private void connect() {
        TRANSPORT.client(outside.next()).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new StandInClient());
            }
        }).connect(TRANSPORT.at(address(0)));
    }

    /**
     * The other side of a connection, which reads and writes plain bytes: what a stand-in did with a codec would be
     * work that no real request needs. One exchange is under way at a time, and a side writes its message at once, so
     * that the end of what can be read is the end of the message.
     */
    private abstract static class StandIn extends ChannelInboundHandlerAdapter {
        private boolean read;

        abstract void exchanged(ChannelHandlerContext ctx);

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            read |= ((ByteBuf) bytes).isReadable();
            ReferenceCountUtil.release(bytes);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (read) {
                read = false;
                exchanged(ctx);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // a message may cross the end of the connection
        }
    }

    private final class StandInClient extends StandIn {
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
        void exchanged(ChannelHandlerContext ctx) {
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

    private ByteBuf request() {
        int n = asked++;
        List<RequestClass> classes = config.settings().classes();
        RequestClass cls = classes.get(n % classes.size());
        boolean safe = cls.effect() == Effect.REPEATABLE;
        int customer = n % CUSTOMERS;
        List<Plan> plans = config.settings().plans();
        String head = (safe ? "GET /" : "POST /") + cls.name() + "/warm HTTP/1.1\r\nHost: warm\r\n"
                + RequestParser.ID + ": " + n + "\r\n"
                + RequestParser.PLAN + ": " + plans.get(customer % plans.size()).name() + "\r\n"
                + RequestParser.CUSTOMER + ": " + HEX.toHexDigits((long) customer) + "\r\n"
                + RequestParser.EXPIRES + ": " + (int) cls.deadlineMs() + "\r\n"
                + RequestParser.QUOTA + ": units=1,spread=" + (1 + customer % 2) + ",first=0\r\n"
                + RequestParser.KEY + ": " + n + "\r\nContent-Length: " + (safe ? 0 : BODY) + "\r\n\r\n";
        return message(head, safe ? 0 : BODY);
    }

    private static ByteBuf message(String head, int body) {
        byte[] ascii = head.getBytes(StandardCharsets.US_ASCII);
        return Unpooled.wrappedBuffer(Arrays.copyOf(ascii, ascii.length + body));
    }

    /** Answers at once, now and then with what hosts in trouble do. */
    private final class StandInHost extends StandIn {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            hosts.add(ctx.channel());
        }

        @Override
        void exchanged(ChannelHandlerContext ctx) {
            int fault = served++ % FAULT_EVERY;
            ByteBuf answer = ANSWERS.get(Math.min(fault, ANSWERS.size() - 1)).retainedDuplicate();
            if (fault == LAST_ANSWER) {
                ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.writeAndFlush(answer, ctx.voidPromise());
            }
        }
    }
}
