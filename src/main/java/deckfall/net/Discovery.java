package deckfall.net;

import com.fasterxml.jackson.databind.JsonNode;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostState;
import deckfall.Gateway.ListKind;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Asks for the whole list of hosts, then watches it without a break; a silent or broken call is asked anew. */
final class Discovery {
    static final String LIST = "servers";
    private static final String PATH = "/v1/servers";
    private static final long HOLD_MS = 5000; // short: what a call that went astray would have told comes soon
    private static final long PATIENCE_MS = 1000; // beyond what a call may wait
    private static final long AGAIN_MS = 50; // after a failure; a watch is broken only after 200
    private static final int MAX_LIST = 4 << 20;

    /** A host with the address at which this api gateway reaches it; null where it is gone or was not told. */
    record Entry(Host host, InetSocketAddress address) { }

    private final Node node;
    private InetSocketAddress agent;
    private Calls current; // what an earlier one still hears or fails is of no interest
    private boolean failing;
    private long version = -1; // -1: the whole list is still to come

    Discovery(Node node) {
        this.node = node;
        this.agent = node.config.discovery();
    }

    void start() {
        connect();
    }

    /** Turns to another agent, whose versions need not go on from those of the old one: the whole list is due. */
    void move(InetSocketAddress to) {
        if (to.equals(agent)) {
            return;
        }
        Calls old = current;
        agent = to;
        version = -1;
        failing = false;
        connect();
        if (old != null) {
            old.drop();
        }
    }

    private void connect() {
        Calls calls = new Calls();
        current = calls;
        new Bootstrap().group(node.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PATIENCE_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), calls);
                    }
                }).connect(agent).addListener(f -> {
                    if (!f.isSuccess()) {
                        again(calls);
                    }
                });
    }

    private void again(Calls failed) {
        node.loop.schedule(() -> {
            if (failed == current) { // else another has taken over
                connect();
            }
        }, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    /** The calls on one connection to an agent. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Future<?> timeout;

        void drop() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (this == current) {
                call();
            } else {
                channel.close();
            }
        }

        private void call() {
            boolean whole = version < 0;
            String uri = whole ? PATH : PATH + "?from=" + version + "&hold_ms=" + HOLD_MS;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            channel.writeAndFlush(request, channel.voidPromise());
            timeout = node.loop.schedule(this::drop, (whole ? 0 : HOLD_MS) + PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        private void stopTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws IOException {
            if (this != current) {
                return; // an agent that was left: its word may be older than what the new one told
            }
            stopTimeout();
            if (!response.status().equals(HttpResponseStatus.OK)) {
                throw new IOException("discovery answered " + response.status());
            }
            JsonNode list;
            try (InputStream in = new ByteBufInputStream(response.content())) {
                list = JsonTree.read(in);
            } catch (IOException e) {
                version = -1; // what it told is lost, and the whole list holds it too
                throw e;
            }
            failing = false;
            boolean whole = list.path("full").asBoolean();
            List<Entry> entries = entries(list);
            version = list.path("version").asLong(-1);
            if (HttpUtil.isKeepAlive(response)) {
                call(); // the next call first, so that no change falls between
            } else {
                ctx.close();
            }
            if (whole || !entries.isEmpty()) {
                node.hostsTold(whole ? ListKind.FULL : ListKind.CHANGES, entries);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            stopTimeout();
            again(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!failing && this == current) { // one line for a spell of failures, however often it is asked
                Node.log("discovery: " + cause.getMessage());
            }
            failing = true;
            ctx.close();
        }
    }

    /**
     * The entries of a list in discovery's form. One that can't be read must not keep the others from being heard,
     * nor may its host get more work on the strength of what was told before: where it has a name, it drains.
     */
    static List<Entry> entries(JsonNode list) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode e : list.path(LIST)) {
            try {
                entries.add(entry(e));
            } catch (IllegalArgumentException bad) {
                String id = e.path("id").asText();
                Node.log("discovery: entry '" + id + "': " + bad.getMessage());
                if (!id.isEmpty()) {
                    entries.add(new Entry(host(e, id, HostState.DRAINING), null));
                }
            }
        }
        return entries;
    }

    private static Entry entry(JsonNode e) {
        String id = e.path("id").asText();
        if (id.isEmpty()) {
            throw new IllegalArgumentException("no id");
        }
        HostState state = switch (e.path("state").asText()) {
            case "ready" -> HostState.RUNNING;
            case "draining" -> HostState.DRAINING;
            case "gone" -> HostState.GONE;
            default -> throw new IllegalArgumentException("unknown host state " + e.path("state"));
        };
        return new Entry(host(e, id, state), state == HostState.GONE ? null
                : NodeConfig.address(e.path("addr").asText()));
    }

    private static Host host(JsonNode e, String id, HostState state) {
        return new Host(id, e.path("zone").asText(), e.path("kind").asText(), e.path("cell").asInt(), state,
                e.path("weight").asDouble(1), e.path("started_ms").asDouble());
    }
}
