package deckfall.net;

import deckfall.Gateway.HostState;
import deckfall.Gateway.ListKind;
import deckfall.Gateway.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Connections to hosts, one request at a time on each, and what became of what was sent. */
final class HostClient {
    private static final String HOST = "backend.local";
    private static final String NEVER_RAN = "X-Never-Ran";
    private static final String REPORT = "Endpoint-Load-Metrics";
    private static final double IDLE_SHARE = 0.6; // of the time after which a host may close an idle connection
    private static final long SWEEP_MS = 500;
    private static final double SOCKET_SHARE = 0.45; // of all descriptors; clients may have as many
    private static final double PROBE_TIMEOUT_MS = 250;

    private final Node node;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private int connections;

    HostClient(Node node) {
        this.node = node;
        this.maxConnections = (int) (node.config.sockets() * SOCKET_SHARE);
        this.bootstrap = new Bootstrap().group(node.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()));
        node.loop.schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Something asked of a host that ends exactly once; its owner ignores what comes after. */
    abstract static class Exchange {
        private Connection connection;

        /** How it ended; the response, where there is one, is only lent. */
        abstract void ended(Outcome outcome, FullHttpResponse response);

        /** Stops waiting: its connection closes, so late bytes can never reach another request. */
        final void abandon() {
            Connection c = connection;
            connection = null;
            if (c != null) {
                c.drop();
            }
        }
    }

    /** The connections to one host at one address in one life of its process. */
    private static final class Pool {
        final InetSocketAddress address;
        final double startedMs;
        final ArrayDeque<Connection> idle = new ArrayDeque<>(); // the last used at the end
        boolean closed;

        Pool(InetSocketAddress address, double startedMs) {
            this.address = address;
            this.startedMs = startedMs;
        }
    }

    // ---- the list

    void listed(ListKind kind, List<Discovery.Entry> entries) {
        Set<String> named = new HashSet<>();
        for (Discovery.Entry e : entries) {
            String id = e.host().id();
            named.add(id);
            Pool old = pools.get(id);
            boolean same = old != null && old.address.equals(e.address()) && old.startedMs == e.host().startedMs();
            if (e.host().state() == HostState.GONE) {
                pools.remove(id);
                close(old);
            } else if (!same && e.address() != null) {
                pools.put(id, new Pool(e.address(), e.host().startedMs()));
                close(old);
            }
        }
        if (kind != ListKind.CHANGES) {
            pools.entrySet().removeIf(p -> {
                boolean absent = !named.contains(p.getKey());
                if (absent) {
                    close(p.getValue());
                }
                return absent;
            });
        }
    }

    private void close(Pool pool) {
        if (pool != null) {
            pool.closed = true;
            List.copyOf(pool.idle).forEach(c -> c.channel.close());
        }
    }

    private void closeIdle() {
        node.loop.schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
        double before = node.clock.now() - node.config.idleMs() * IDLE_SHARE;
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSince < before) {
                pool.idle.pollFirst().channel.close();
            }
        }
    }

    /** Makes room for one more connection at the cost of one that is idle somewhere. */
    private boolean room() {
        if (connections < maxConnections) {
            return true;
        }
        for (Pool pool : pools.values()) {
            Connection c = pool.idle.pollFirst();
            if (c != null) {
                c.channel.close();
                return true;
            }
        }
        return false;
    }

    // ---- asking

    void send(Attempt a) {
        start(a.host, a, () -> attemptMessage(a));
    }

    private FullHttpRequest attemptMessage(Attempt a) {
        FullHttpRequest from = a.owner.message;
        FullHttpRequest to = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(),
                from.content().retainedDuplicate());
        HttpHeaders h = to.headers();
        h.set(HttpHeaderNames.HOST, HOST);
        h.set(ClientServer.Names.ID, a.owner.traceId);
        h.set(ClientServer.Names.EXPIRES,
                Long.toString((long) Math.max(1, a.owner.request.deadlineMs() - node.clock.now())));
        String key = from.headers().get(ClientServer.Names.KEY);
        if (key != null) {
            h.set(ClientServer.Names.KEY, key);
        }
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            h.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        if (!from.method().equals(HttpMethod.GET)) {
            h.setInt(HttpHeaderNames.CONTENT_LENGTH, to.content().readableBytes());
        }
        return to;
    }

    void probe(String host) {
        List<String> names = node.config.settings().reportNames();
        String path = names.isEmpty() ? "/healthz" : "/load";
        double sentAt = node.clock.now();
        Exchange probe = new Exchange() {
            private boolean over;

            @Override
            void ended(Outcome outcome, FullHttpResponse response) {
                if (!over) {
                    over = true;
                    node.probed(host, outcome, node.clock.now() - sentAt, response == null ? new double[0]
                            : parse(response.content().toString(StandardCharsets.US_ASCII)));
                }
            }
        };
        start(host, probe, () -> {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                    Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, HOST);
            return message;
        });
        node.loop.schedule(() -> {
            if (probe.connection != null) {
                probe.abandon();
                probe.ended(Outcome.TIMEOUT, null);
            }
        }, (long) PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void start(String host, Exchange x, Message message) {
        Pool pool = pools.get(host);
        if (pool == null) {
            x.ended(Outcome.CONNECT_FAILED, null); // its address was taken from the list
            return;
        }
        for (Connection c = pool.idle.pollLast(); c != null; c = pool.idle.pollLast()) {
            if (c.channel.isActive()) {
                c.write(x, message.build());
                return;
            }
        }
        if (!room()) {
            x.ended(Outcome.CONNECT_FAILED, null);
            return;
        }
        connect(pool, x, message);
    }

    private interface Message {
        FullHttpRequest build();
    }

    private void connect(Pool pool, Exchange x, Message message) {
        connections++;
        Connection c = new Connection(pool);
        c.exchange = x;
        x.connection = c;
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel ch) {
                c.channel = ch;
                ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ClientServer.MAX_BODY), c);
            }
        }).connect(pool.address);
        connecting.addListener(f -> {
            if (!f.isSuccess()) { // also where no descriptor was left: then there is no channel to close
                connections--;
                c.lost();
                return;
            }
            connecting.channel().closeFuture().addListener(closed -> connections--);
            if (c.exchange == x) {
                c.write(x, message.build());
            }
        });
    }

    /** One connection to a host. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Pool pool;
        private SocketChannel channel;
        private Exchange exchange;
        private boolean written; // the request's last byte has left
        private double idleSince;

        Connection(Pool pool) {
            this.pool = pool;
        }

        void write(Exchange x, FullHttpRequest message) {
            exchange = x;
            x.connection = this;
            written = false;
            channel.writeAndFlush(message).addListener(f -> {
                if (exchange != x) {
                    return;
                }
                written = f.isSuccess();
                if (!written) {
                    lost();
                    channel.close();
                }
            });
        }

        /** What was asked here ended without an answer. It may have run only once its last byte had left. */
        private void lost() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }

        private void end(Outcome outcome, FullHttpResponse response) {
            Exchange x = exchange;
            exchange = null;
            if (x != null) {
                x.connection = null;
                x.ended(outcome, response);
            }
        }

        void drop() {
            exchange = null;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            FullHttpResponse response = (FullHttpResponse) message;
            try {
                if (exchange == null) {
                    channel.close(); // nobody asked, or nobody waits any more
                } else if (response.decoderResult().isFailure() || !HttpUtil.isContentLengthSet(response)
                        && !HttpUtil.isTransferEncodingChunked(response)) {
                    // An answer that the end of the connection bounds can't be told from a broken one.
                    lost();
                    channel.close();
                } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                    boolean reusable = written && HttpUtil.isKeepAlive(response) && !pool.closed;
                    Exchange x = exchange;
                    exchange = null;
                    x.connection = null;
                    if (reusable) {
                        idleSince = node.clock.now();
                        pool.idle.addLast(this);
                    } else {
                        channel.close();
                    }
                    x.ended(outcome(response), response);
                }
            } finally {
                response.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pool.idle.remove(this);
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            lost();
            channel.close();
        }
    }

    private static Outcome outcome(FullHttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean turnedAway = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return turnedAway && "1".equals(response.headers().get(NEVER_RAN)) ? Outcome.FULL : Outcome.ERROR;
    }

    // ---- load reports

    double[] report(FullHttpResponse response) {
        String text = response.headers().get(REPORT);
        return text == null ? new double[0] : parse(text);
    }

    /** The named values of {@code TEXT a=1, b=2}, in the order of the settings; empty where one is missing. */
    private double[] parse(String text) {
        List<String> names = node.config.settings().reportNames();
        Map<String, Double> told = new HashMap<>();
        for (String part : text.substring(text.indexOf(' ') + 1).split(",")) {
            int equals = part.indexOf('=');
            try {
                told.put(part.substring(0, Math.max(0, equals)).trim(),
                        Double.valueOf(part.substring(equals + 1).trim()));
            } catch (NumberFormatException e) {
                return new double[0];
            }
        }
        return told.keySet().containsAll(names) ? names.stream().mapToDouble(told::get).toArray() : new double[0];
    }
}
