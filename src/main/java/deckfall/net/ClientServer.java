package deckfall.net;

import deckfall.Gateway.Effect;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/** Accepts clients, reads their requests, and writes the one answer to each. */
final class ClientServer {
    static final int MAX_BODY = 64 * 1024;
    private static final int BACKLOG = 512;
    private static final int PIPELINED = 16; // requests read ahead on one connection; then reading stops
    private static final double SOCKET_SHARE = 0.45; // of all descriptors; hosts may have as many
    private static final double MS_PER_SECOND = 1000;
    private static final int HEX = 16;
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_END = 1L << 33;
    private static final int ID_MAX = 64;
    private static final String READY = "/healthz";

    private final Node node;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>(); // longest idle first
    private final int maxConnections;
    private Channel listener;

    ClientServer(Node node) {
        this.node = node;
        node.config.settings().classes().forEach(c -> classes.put(c.name(), c));
        node.config.settings().plans().forEach(p -> plans.put(p.name(), p));
        maxConnections = (int) (node.config.sockets() * SOCKET_SHARE);
    }

    /** Clients are served once this is done. */
    ChannelFuture start() {
        ChannelFuture bound = new ServerBootstrap().group(node.group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY),
                                new Connection(ch));
                    }
                }).bind(node.config.listen());
        listener = bound.channel();
        return bound;
    }

    /** After this only requests that already came are answered. */
    void stopAccepting() {
        listener.close();
        for (Connection c : new LinkedHashSet<>(idle)) {
            c.channel.close();
        }
    }

    boolean idle() {
        return connections.isEmpty();
    }

    Channel listener() {
        return listener;
    }

    /** One client connection: one request at a time, in order; what is sent ahead waits its turn. */
    final class Connection extends ChannelInboundHandlerAdapter {
        private final SocketChannel channel;
        private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>();
        private OpenRequest current;
        private boolean busy;
        private boolean keepAlive = true;
        private boolean ended; // the last answer is on its way

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            // Rather an idle client's connection than no descriptor left for anyone.
            if (connections.size() >= maxConnections && !idle.isEmpty()) {
                Connection longest = idle.iterator().next();
                idle.remove(longest); // now, as its end is told only later
                connections.remove(longest);
                longest.channel.close();
            }
            connections.add(this);
            idle.add(this);
            if (connections.size() > maxConnections) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.remove(this);
            waiting.forEach(FullHttpRequest::release);
            waiting.clear();
            ended = true;
            OpenRequest left = current;
            current = null;
            if (left != null) {
                node.clientLeft(left);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            FullHttpRequest request = (FullHttpRequest) message;
            if (ended) {
                request.release();
                return;
            }
            waiting.add(request);
            next();
            if (waiting.size() >= PIPELINED) {
                channel.config().setAutoRead(false);
            }
        }

        private void next() {
            while (!busy && !ended && !waiting.isEmpty()) {
                FullHttpRequest request = waiting.poll();
                if (!channel.config().isAutoRead() && waiting.isEmpty()) {
                    channel.config().setAutoRead(true);
                }
                busy = true;
                idle.remove(this);
                handle(request);
            }
        }

        private void handle(FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                keepAlive = false; // where the next request would begin is not known
                request.release();
                answer(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            keepAlive = HttpUtil.isKeepAlive(request);
            if (request.uri().equals(READY)) {
                request.release();
                answer(node.draining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, 0);
                return;
            }
            String id = request.headers().get(Names.ID);
            Request read = read(request, id);
            if (read == null) {
                request.release();
                answer(id == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, 0);
            } else if (node.full()) {
                request.release();
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, node.config.settings().limits().maxRetryAfterMs());
            } else {
                node.taken(read, request, this);
            }
        }

        void holds(OpenRequest r) {
            current = r;
        }

        /** Passes a host's answer on as it came. */
        void serve(FullHttpResponse from) {
            FullHttpResponse to = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    from.content().retain());
            String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null && type.chars().allMatch(c -> c >= ' ' && c <= '~')) { // else not to be passed on
                to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            write(to);
        }

        void answer(HttpResponseStatus status, double retryAfterMs) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.EMPTY_BUFFER);
            if (retryAfterMs > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        Double.toString(Math.ceil(retryAfterMs) / MS_PER_SECOND));
            }
            write(response);
        }

        private void write(FullHttpResponse response) {
            ByteBuf body = response.content();
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            current = null;
            busy = false;
            ended = !keepAlive || node.draining();
            if (ended) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            channel.writeAndFlush(response, channel.voidPromise());
            idle.add(this);
            if (!waiting.isEmpty()) { // not at once: an answer may be given while the request is being taken
                node.loop.execute(this::next);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            channel.close();
        }
    }

    /** Header names of the protocol. */
    static final class Names {
        static final String ID = "X-Trace-Id";
        static final String PLAN = "X-Plan";
        static final String CUSTOMER = "X-Customer";
        static final String EXPIRES = "X-Expires-In-Ms";
        static final String QUOTA = "X-Quota";
        static final String RETRY = "X-Second-Try";
        static final String KEY = "Idempotency-Key";

        private Names() { }
    }

    /** The request as the module knows it, or null where it is missing or has malformed what it must say. */
    private Request read(FullHttpRequest message, String id) {
        HttpHeaders h = message.headers();
        RequestClass cls = classes.get(firstPart(message.uri()));
        String plan = h.get(Names.PLAN);
        String customer = h.get(Names.CUSTOMER);
        String expires = h.get(Names.EXPIRES);
        String quota = h.get(Names.QUOTA);
        if (cls == null || id == null || id.isEmpty() || id.length() > ID_MAX || plan == null
                || !plans.containsKey(plan) || customer == null || customer.length() != CUSTOMER_DIGITS
                || expires == null || quota == null) {
            return null;
        }
        boolean safe = cls.effect() == Effect.REPEATABLE;
        boolean fits = safe ? message.method().equals(HttpMethod.GET) : message.method().equals(HttpMethod.POST);
        if (!fits || cls.effect() == Effect.KEYED && !h.contains(Names.KEY)) {
            return null;
        }
        try {
            long number = Long.parseLong(customer, HEX);
            long left = Integer.parseInt(expires);
            double units = -1;
            int spread = -1;
            int first = -1;
            for (String part : quota.split(",")) {
                int equals = part.indexOf('=');
                String value = part.substring(equals + 1).trim();
                switch (equals < 0 ? "" : part.substring(0, equals).trim()) {
                    case "units" -> units = Double.parseDouble(value);
                    case "spread" -> spread = Integer.parseInt(value);
                    case "first" -> first = Integer.parseInt(value);
                    default -> { } // a later version may say more
                }
            }
            boolean right = number >= 0 && number < CUSTOMER_END && left > 0 && units > 0 && units < Integer.MAX_VALUE
                    && spread > 0 && first >= 0;
            return !right ? null : new Request(id, Node.deadline(node.clock.now(), left), h.contains(Names.RETRY),
                    cls.name(), number, plan, units, first, spread);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static String firstPart(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.length() < 2 ? "" : uri.substring(1, end);
    }
}
