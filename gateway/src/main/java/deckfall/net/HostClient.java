package deckfall.net;

import deckfall.Gateway.HostState;
import deckfall.Gateway.ListKind;
import deckfall.Gateway.Outcome;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The pools of connections to hosts, and what is sent on them. */
final class HostClient {
    private static final String HOST = "backend.local";
    private static final String REPORT = "Endpoint-Load-Metrics";
    private static final double IDLE_SHARE = 0.6; // of the time after which a host may close an idle connection
    private static final long SWEEP_MS = 500;
    private static final double SOCKET_SHARE = 0.36; // of all descriptors; the program itself needs some, too
    private static final double PROBE_TIMEOUT_MS = 250;

    private final Node node;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private int connections;

    HostClient(Node node) {
        this.node = node;
        this.maxConnections = (int) (node.config.sockets() * SOCKET_SHARE);
        this.bootstrap = node.transport.client(node.loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()));
        node.loop.schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** The connections to one host at one address in one life of its process. */
    private static final class Pool implements HostConnection.Home {
        final InetSocketAddress address;
        final double startedMs;
        final ArrayDeque<HostConnection> idle = new ArrayDeque<>(); // the last used at the end
        boolean closed;

        Pool(InetSocketAddress address, double startedMs) {
            this.address = address;
            this.startedMs = startedMs;
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

    private void close(Pool pool) {
        if (pool != null) {
            pool.closed = true;
            List.copyOf(pool.idle).forEach(HostConnection::close);
        }
    }

    private void closeIdle() {
        node.loop.schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
        double before = node.clock.now() - node.config.idleMs() * IDLE_SHARE;
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSince() < before) {
                pool.idle.pollFirst().close();
            }
        }
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
        start(a.host, a, () -> attemptMessage(a));
    }

    private FullHttpRequest attemptMessage(Attempt a) {
        FullHttpRequest from = a.owner.message;
        Upload rest = LongRequest.restOf(from);
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
        HttpHeaders h = head.headers();
        h.set(HttpHeaderNames.HOST, HOST);
        h.set(RequestTerms.ID, a.owner.request.id());
        h.set(RequestTerms.EXPIRES,
                Long.toString((long) Math.max(1, a.owner.request.deadlineMs() - node.clock.now())));
        String key = from.headers().get(RequestTerms.KEY);
        if (key != null) {
            h.set(RequestTerms.KEY, key);
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
            return new LongRequest(head, kept, rest);
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
        });
        node.loop.schedule(() -> {
            if (probe.under()) {
                probe.abandon();
                probe.ended(Outcome.TIMEOUT, null);
            }
        }, (long) PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void start(String host, HostConnection.Exchange x, Message message) {
        Pool pool = pools.get(host);
        if (pool == null) {
            x.ended(Outcome.CONNECT_FAILED, null); // its address was taken from the list
            return;
        }
        for (HostConnection c = pool.idle.pollLast(); c != null; c = pool.idle.pollLast()) {
            if (c.ready()) {
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

    private void connect(Pool pool, HostConnection.Exchange x, Message message) {
        connections++;
        HostConnection c = new HostConnection(pool, node.clock);
        c.await(x);
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                c.attach(ch);
            }
        }).connect(node.transport.at(pool.address));
        connecting.addListener(f -> {
            if (!f.isSuccess()) { // also where no descriptor was left: then there is no channel to close
                connections--;
                c.lost();
                return;
            }
            connecting.channel().closeFuture().addListener(closed -> connections--);
            if (c.awaits(x)) {
                c.write(x, message.build());
            }
        });
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
