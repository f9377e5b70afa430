package deckfall.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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

    /** A host with the address at which this api gateway reaches it. */
    record Entry(Host host, InetSocketAddress address) { }

    private final Node node;
    private final ObjectMapper json = new ObjectMapper();
    private Channel channel;
    private Future<?> timeout;
    private boolean failing;
    private long version = -1; // -1: the whole list is still to come

    Discovery(Node node) {
        this.node = node;
    }

    void start() {
        connect();
    }

    private void connect() {
        Bootstrap b = new Bootstrap().group(node.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PATIENCE_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), new Calls());
                    }
                });
        b.connect(node.config.discovery()).addListener(f -> {
            if (!f.isSuccess()) {
                again();
            }
        });
    }

    private void again() {
        node.loop.schedule(this::connect, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            call();
        }

        private void call() {
            Channel on = channel;
            boolean whole = version < 0;
            String uri = whole ? PATH : PATH + "?from=" + version + "&hold_ms=" + HOLD_MS;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            on.writeAndFlush(request, on.voidPromise());
            timeout = node.loop.schedule(() -> on.close(), (whole ? 0 : HOLD_MS) + PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws IOException {
            timeout.cancel(false);
            if (!response.status().equals(HttpResponseStatus.OK)) {
                throw new IOException("discovery answered " + response.status());
            }
            JsonNode list;
            try (InputStream in = new ByteBufInputStream(response.content())) {
                list = json.readTree(in);
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
            timeout.cancel(false);
            again();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!failing) { // one line for a spell of failures, however often it is asked
                Node.log("discovery: " + cause.getMessage());
            }
            failing = true;
            ctx.close();
        }
    }

    /** The entries of a list in discovery's form; malformed ones are an {@link IllegalArgumentException}. */
    static List<Entry> entries(JsonNode list) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode e : list.path(LIST)) {
            HostState state = switch (e.path("state").asText()) {
                case "ready" -> HostState.RUNNING;
                case "draining" -> HostState.DRAINING;
                case "gone" -> HostState.GONE;
                default -> throw new IllegalArgumentException("unknown host state " + e.path("state"));
            };
            entries.add(new Entry(new Host(e.path("id").asText(), e.path("zone").asText(), e.path("kind").asText(),
                    e.path("cell").asInt(), state, e.path("weight").asDouble(1), e.path("started_ms").asDouble()),
                    state == HostState.GONE && e.path("addr").asText().isEmpty() ? null
                            : NodeConfig.address(e.path("addr").asText())));
        }
        return entries;
    }
}
