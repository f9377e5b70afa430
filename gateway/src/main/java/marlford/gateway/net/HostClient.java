package marlford.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.accept.Backoff;

/** The pools of connections to hosts, and what is sent on them. */
final class HostClient {
    private static final String HOST = "backend.local";
    private static final String REPORT = "Endpoint-Load-Metrics";
    private static final double IDLE_SHARE = 0.6; // of the time after which a host may close an idle connection
    /**
     * For so long after an answer its connection carries nothing else. A host that answers twice does so some milliseconds
     * later, by the platform's word; where the next request is on its way by then, nothing tells the two apart. The same
     * everywhere, as it is of the hosts' faults and not of a deployment's traffic.
     */
    static final double REST_MS = 10;
    /** One that has rested for so long is taken first; to wait for it would cost new connections, which may come late. */
    static final double RESTED_MS = 50;
    private static final double SWEEP_SHARE = 0.1; // of that time: how often idle connections are looked at
    private static final long SWEEP_LEAST_MS = 20; // that costs a share of a core, however short the time is
    private static final long SWEEP_MOST_MS = 500; // descriptors of hosts that get nothing more are free by then
    private static final double SOCKET_SHARE = 0.36; // of all descriptors; the program itself needs some, too
    private static final double LOCAL_FAILURE_MS = 500; // for so long a request waits for this machine to make a connection
    private static final long SHORTEST_PAUSE_MS = 1; // between tries of it
    private static final long LONGEST_PAUSE_MS = 50;
    private static final double PROBE_TIMEOUT_MS = 250; // the platform's own for all deployments: their files have it fixed

    private final Node node;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final List<Pool> left = new ArrayList<>(); // closed, and what was coming up there is not given up yet
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private final long sweepMs;
    private int connections;

    HostClient(Node node) {
        this.node = node;
        this.maxConnections = (int) (node.config.sockets() * SOCKET_SHARE);
        this.bootstrap = node.transport.client(node.loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()));
        this.sweepMs = (long) Math.max(SWEEP_LEAST_MS, Math.min(SWEEP_MOST_MS, node.config.idleMs() * SWEEP_SHARE));
        node.loop.schedule(this::closeIdle, sweepMs, TimeUnit.MILLISECONDS);
    }

    /** The connections to one host at one address in one life of its process. */
    private static final class Pool implements HostConnection.Home {
        final InetSocketAddress address;
        final double startedMs;
        final ArrayDeque<HostConnection> idle = new ArrayDeque<>(); // the last used at the end
        final Set<HostConnection> comingUp = new LinkedHashSet<>(); // nothing was written on them yet
        boolean closed;

        Pool(InetSocketAddress address, double startedMs) {
            this.address = address;
            this.startedMs = startedMs;
        }

        /** Takes the last used of those that have rested well, or else enough; null where there is none. */
        HostConnection rested(double now) {
            HostConnection well = idleSince(now - RESTED_MS);
            return well != null ? well : idleSince(now - REST_MS);
        }

        private HostConnection idleSince(double since) {
            for (Iterator<HostConnection> all = idle.descendingIterator(); all.hasNext();) {
                HostConnection c = all.next();
                if (c.idleSince() <= since) {
                    all.remove();
                    return c;
                }
            }
            return null;
        }

        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public void resting(HostConnection c) {
            idle.addLast(c);
        }

        @Override
        public void gone(HostConnection c) {
            idle.remove(c);
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

    /**
     * What was to go to a host that takes nothing new, and whose connection has not come up yet, goes to another one: a
     * connection may be so late that the drain's grace is over by then. To be called once the module knows of the drain,
     * or it would choose the same host again.
     */
    void giveUpComingUp(List<Discovery.Entry> entries) {
        for (Discovery.Entry e : entries) {
            Pool pool = pools.get(e.host().id());
            if (pool != null && e.host().state() != HostState.RUNNING) {
                giveUpComingUp(pool);
            }
        }
        for (Pool pool : List.copyOf(left)) {
            giveUpComingUp(pool);
        }
        left.clear();
    }

    private static void giveUpComingUp(Pool pool) {
        List.copyOf(pool.comingUp).forEach(HostConnection::lost);
    }

    private void close(Pool pool) {
        if (pool != null) {
            left.add(pool);
            pool.closed = true;
            List.copyOf(pool.idle).forEach(HostConnection::close);
        }
    }

    private void closeIdle() {
        node.loop.schedule(this::closeIdle, sweepMs, TimeUnit.MILLISECONDS);
        double before = idleBefore();
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSince() < before) {
                pool.idle.pollFirst().close();
            }
        }
    }

    /** Idle since before then, a connection may meet its host's own closing on the way, and carries nothing more. */
    private double idleBefore() {
        return node.clock.now() - node.config.idleMs() * IDLE_SHARE;
    }

    /** Makes room for one more connection at the cost of one that is idle somewhere. */
    private boolean room() {
        if (connections < maxConnections) {
            return true;
        }
        for (Pool pool : pools.values()) {
            HostConnection c = pool.idle.pollFirst();
            if (c != null) {
                c.close();
                return true;
            }
        }
        return false;
    }

    // ---- asking

    void send(Attempt a) {
        start(a.host, a, () -> attemptMessage(a), LOCAL_FAILURE_MS);
    }

    private FullHttpRequest attemptMessage(Attempt a) {
        node.leaves(a);
        FullHttpRequest from = a.owner.message;
        RequestBodyStream rest = StreamedRequest.restOf(from);
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
        HttpHeaders h = head.headers();
        h.set(HttpHeaderNames.HOST, HOST);
        h.set(RequestParser.ID, a.owner.request.id());
        h.set(RequestParser.EXPIRES,
                Long.toString((long) Math.max(1, a.owner.request.deadlineMs() - node.clock.now())));
        String key = from.headers().get(RequestParser.KEY);
        if (key != null) {
            h.set(RequestParser.KEY, key);
        }
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            h.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        ByteBuf kept = from.content().retainedDuplicate();
        if (rest != null) {
            if (rest.length() < 0) {
                HttpUtil.setTransferEncodingChunked(head, true);
            } else {
                HttpUtil.setContentLength(head, rest.length());
            }
            return new StreamedRequest(head, kept, rest);
        }
        if (!from.method().equals(HttpMethod.GET)) {
            h.setInt(HttpHeaderNames.CONTENT_LENGTH, kept.readableBytes());
        }
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), kept, h,
                EmptyHttpHeaders.INSTANCE);
    }

    /** Takes what came of a probe, with what the host reports of itself. */
    interface ProbeEnd {
        void ended(Outcome outcome, double tookMs, double[] report);
    }

    void probe(String host, ProbeEnd end) {
        List<String> names = node.config.settings().reportNames();
        String path = names.isEmpty() ? "/healthz" : "/load";
        double sentAt = node.clock.now();
        HostConnection.Exchange probe = new HostConnection.Exchange() {
            private boolean over;

            @Override
            void ended(Outcome outcome, FullHttpResponse response) {
                if (!over) {
                    over = true;
                    end.ended(outcome, node.clock.now() - sentAt, response == null ? new double[0]
                            : parse(response.content().toString(StandardCharsets.US_ASCII)));
                }
            }
        };
        start(host, probe, () -> {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                    Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, HOST);
            return message;
        }, 0);
        node.loop.schedule(() -> {
            probe.look();
            if (probe.under()) {
                probe.abandon();
                probe.ended(Outcome.TIMEOUT, null);
            }
        }, (long) PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** @param retryMs for how long a connection is tried again that this machine can't make */
    private void start(String host, HostConnection.Exchange x, Message message, double retryMs) {
        Pool pool = pools.get(host);
        if (pool == null) {
            x.ended(Outcome.CONNECT_FAILED, null); // its address was taken from the list
            return;
        }
        double now = node.clock.now();
        for (HostConnection c = pool.rested(now); c != null; c = pool.rested(now)) {
            if (c.idleSince() < idleBefore()) { // the sweep has not come to it yet
                c.close();
            } else if (c.ready()) {
                c.write(x, message.build());
                return;
            }
        }
        new Opening(pool, x, message, now + retryMs).begin();
    }

    private interface Message {
        FullHttpRequest build();
    }

    /**
     * A connection that comes up for one exchange. Where this machine can't make one, that is no word on the host, and it is tried
     * again after a short pause, without a further attempt.
     */
    private final class Opening {
        private final Pool pool;
        private final HostConnection.Exchange exchange;
        private final Message message;
        private final Backoff backoff = new Backoff(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
        private final double retriedUntil;
        private HostConnection connection;

        Opening(Pool pool, HostConnection.Exchange exchange, Message message, double retriedUntil) {
            this.pool = pool;
            this.exchange = exchange;
            this.message = message;
            this.retriedUntil = retriedUntil;
        }

        void begin() {
            prepare();
            connect();
        }

        private void prepare() {
            connection = new HostConnection(pool, node.clock);
            connection.await(exchange);
            pool.comingUp.add(connection);
        }

        private void connect() {
            if (!room()) {
                failed(true);
                return;
            }
            connections++;
            HostConnection opened = connection;
            ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel ch) {
                    opened.attach(ch);
                }
            }).connect(node.transport.at(pool.address));
            connecting.addListener(f -> onLoop(() -> { // without a channel netty tells it on a thread of its own
                if (f.isSuccess()) {
                    up(connecting.channel());
                } else {
                    connections--;
                    failed(LocalFailure.is(f.cause()));
                }
            }));
        }

        private void up(Channel channel) {
            pool.comingUp.remove(connection);
            channel.closeFuture().addListener(closed -> connections--);
            if (connection.awaits(exchange)) {
                exchange.connected();
            }
            if (connection.awaits(exchange)) {
                connection.write(exchange, message.build());
            } else {
                connection.close(); // nobody waits any more, and nothing may ever leave on it
            }
        }

        private void failed(boolean here) {
            pool.comingUp.remove(connection);
            if (!here) {
                connection.lost();
            } else if (node.clock.now() >= retriedUntil) {
                connection.unsent();
            } else if (connection.awaits(exchange)) {
                connection.forget();
                prepare();
                node.loop.schedule(this::connectAgain, backoff.nextMs(), TimeUnit.MILLISECONDS);
            }
        }

        private void connectAgain() {
            if (connection.awaits(exchange)) {
                connect();
            } else {
                pool.comingUp.remove(connection);
            }
        }
    }

    private void onLoop(Runnable what) {
        if (node.loop.inEventLoop()) {
            what.run();
        } else {
            node.loop.execute(what);
        }
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
                double value = Double.parseDouble(part.substring(equals + 1).trim());
                if (!Double.isFinite(value)) {
                    return new double[0];
                }
                told.put(part.substring(0, Math.max(0, equals)).trim(), value);
            } catch (NumberFormatException e) {
                return new double[0];
            }
        }
        return told.keySet().containsAll(names) ? names.stream().mapToDouble(told::get).toArray() : new double[0];
    }
}
