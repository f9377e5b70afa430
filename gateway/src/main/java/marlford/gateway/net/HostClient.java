package marlford.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
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
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.accept.Backoff;
import marlford.gateway.guard.AddressTenure;
import marlford.gateway.guard.HostAddresses;
import marlford.gateway.guard.ReachedProcess;

/**
 * Sends attempts and probes to hosts over pooled connections, one pool per host. Not thread-safe; runs on the node's event
 * loop.
 */
final class HostClient {
    private static final String HOST_HEADER_VALUE = "backend.local";
    private static final double MAX_IDLE_SHARE = 0.6; // a connection is reused only until it was idle for this share of config.hostIdleMs()
    private static final double IDLE_CHECK_INTERVAL_SHARE = 0.1; // interval of the idle check, as a share of config.hostIdleMs()
    private static final long MIN_IDLE_CHECK_INTERVAL_MS = 20; // bounds the CPU use of the check if config.hostIdleMs() is short
    private static final long MAX_IDLE_CHECK_INTERVAL_MS = 500; // bounds how long unused connections to idle hosts hold descriptors
    private static final double HOST_CONNECTION_SHARE = 0.36; // share of all descriptors; clients and the process itself need the others
    private static final double LOCAL_FAILURE_RETRY_MS = 500; // how long a connect that fails on this machine is retried for a request
    private static final long MIN_CONNECT_RETRY_DELAY_MS = 1; // between these retries
    private static final long MAX_CONNECT_RETRY_DELAY_MS = 50;
    private static final double PROBE_TIMEOUT_MS = 250; // required by the platform, the same for every deployment

    private final Node node;
    private final HostAddresses<InetSocketAddress> addresses;
    private final Map<String, HostConnectionPool> pools = new LinkedHashMap<>(); // of the hosts that were used
    private final List<HostConnectionPool> retiredPools = new ArrayList<>(); // closed, but their pending connects are not failed yet
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private final long idleCheckIntervalMs;
    private int connections;

    HostClient(Node node, HostAddresses<InetSocketAddress> addresses) {
        this.node = node;
        this.addresses = addresses;
        this.maxConnections = (int) (node.config.maxDescriptors() * HOST_CONNECTION_SHARE);
        this.bootstrap = node.transport.client(node.loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()));
        this.idleCheckIntervalMs = (long) Math.max(MIN_IDLE_CHECK_INTERVAL_MS,
                Math.min(MAX_IDLE_CHECK_INTERVAL_MS, node.config.hostIdleMs() * IDLE_CHECK_INTERVAL_SHARE));
        node.loop.schedule(this::closeIdle, idleCheckIntervalMs, TimeUnit.MILLISECONDS);
    }

    // ---- the list of hosts

    /** Closes the pools of hosts that are no longer listed, or whose tenure of their address has changed. */
    void closeEndedPools() {
        pools.entrySet().removeIf(entry -> {
            boolean ended = addresses.tenure(entry.getKey()) != entry.getValue().tenure;
            if (ended) {
                retire(entry.getKey(), entry.getValue());
            }
            return ended;
        });
    }

    /** Returns the pool of a host; null if the host is not listed, or its address not known. */
    private HostConnectionPool poolOf(String host) {
        AddressTenure tenure = addresses.tenure(host);
        return tenure == null ? null : pools.computeIfAbsent(host, id -> new HostConnectionPool(addresses.address(id), tenure, addresses));
    }

    /**
     * Fails the pending connects to hosts that accept no new requests, so that their requests go to other hosts: a
     * connection may come up only after the drain's grace period. To be called after the decision engine has received
     * the list, or it would choose the same host again.
     */
    void failPendingConnects(List<Host> hosts) {
        for (Host host : hosts) {
            HostConnectionPool pool = pools.get(host.id());
            if (pool != null && host.state() != HostState.RUNNING) {
                List.copyOf(pool.connecting).forEach(HostConnection::fail);
            }
        }
        for (HostConnectionPool pool : List.copyOf(retiredPools)) {
            List.copyOf(pool.connecting).forEach(HostConnection::failUnsent); // says nothing about the host at its new address
        }
        retiredPools.clear();
    }

    private void retire(String host, HostConnectionPool pool) {
        node.eventLog.tenureEnded(host);
        retiredPools.add(pool);
        pool.closed = true;
        List.copyOf(pool.idle).forEach(HostConnection::close);
    }

    /** Periodically closes the connections that have been idle for too long. */
    private void closeIdle() {
        node.loop.schedule(this::closeIdle, idleCheckIntervalMs, TimeUnit.MILLISECONDS);
        double idleLimit = oldestUsableIdleTime();
        for (HostConnectionPool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSince() < idleLimit) {
                pool.idle.pollFirst().close();
            }
        }
    }

    /** A connection that has been idle since before this time is not reused: its host may be about to close it. */
    private double oldestUsableIdleTime() {
        return node.clock.now() - node.config.hostIdleMs() * MAX_IDLE_SHARE;
    }

    /** Closes an idle connection if the maximum is reached. Returns whether one more connection may be opened. */
    private boolean ensureCapacity() {
        if (connections < maxConnections) {
            return true;
        }
        for (HostConnectionPool pool : pools.values()) {
            HostConnection connection = pool.idle.pollFirst();
            if (connection != null) {
                connection.close();
                return true;
            }
        }
        return false;
    }

    // ---- requests to hosts

    /** Sends an attempt to its host; the outcome is reported to the attempt. */
    void send(Attempt attempt) {
        startExchange(attempt.host, attempt, () -> attemptMessage(attempt), LOCAL_FAILURE_RETRY_MS);
    }

    /** Builds an attempt's request. Called right before it is written; the node records the attempt as sent. */
    private FullHttpRequest attemptMessage(Attempt attempt) {
        node.beforeSend(attempt);
        FullHttpRequest received = attempt.owner.message;
        RequestBodyStream rest = StreamedRequest.bodyStreamOf(received);
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri());
        HttpHeaders headers = head.headers();
        headers.set(HttpHeaderNames.HOST, HOST_HEADER_VALUE);
        headers.set(RequestParser.TRACE_ID, attempt.owner.request.id());
        headers.set(RequestParser.EXPIRES_IN_MS,
                Long.toString((long) Math.max(1, attempt.owner.deadlineMs() - node.clock.now())));
        String key = received.headers().get(RequestParser.IDEMPOTENCY_KEY);
        if (key != null) {
            headers.set(RequestParser.IDEMPOTENCY_KEY, key);
        }
        String type = received.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        ByteBuf buffered = received.content().retainedDuplicate();
        if (rest != null) {
            if (rest.length() < 0) {
                HttpUtil.setTransferEncodingChunked(head, true);
            } else {
                HttpUtil.setContentLength(head, rest.length());
            }
            return new StreamedRequest(head, buffered, rest);
        }
        if (!received.method().equals(HttpMethod.GET)) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, buffered.readableBytes());
        }
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri(), buffered, headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /** Receives the result of a probe. */
    interface ProbeCallback {
        /**
         * @param tookMs time from the call of {@link #probe} to the end of the probe, in milliseconds
         * @param report the load figures in the order of the settings; empty if there is none or it cannot be read
         */
        void probeEnded(Outcome outcome, double tookMs, double[] report);
    }

    /**
     * Sends a probe, which ends within {@value #PROBE_TIMEOUT_MS} ms. It requests a load report if the settings name
     * values that are to be reported, and a health check otherwise.
     */
    void probe(String host, ProbeCallback callback) {
        List<String> names = node.config.settings().reportNames();
        String path = names.isEmpty() ? "/healthz" : "/load";
        double sentAt = node.clock.now();
        HostConnection.Exchange probe = new HostConnection.Exchange() {
            private boolean reported;

            @Override
            void onEnded(Outcome outcome, FullHttpResponse response) {
                if (!reported) {
                    reported = true;
                    callback.probeEnded(outcome, node.clock.now() - sentAt, response == null ? new double[0]
                            : LoadReport.parse(response.content().toString(StandardCharsets.US_ASCII), names));
                }
            }
        };
        startExchange(host, probe, () -> {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                    Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, HOST_HEADER_VALUE);
            return message;
        }, 0);
        node.loop.schedule(() -> {
            probe.readPending();
            if (probe.isPending()) {
                probe.abandon();
                probe.onEnded(Outcome.TIMEOUT, null);
            }
        }, (long) PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a request on a pooled connection, or on a new one if there is none.
     *
     * @param retryMs how long a connect that fails on this machine is retried
     */
    private void startExchange(String host, HostConnection.Exchange exchange, RequestFactory requestFactory, double retryMs) {
        HostConnectionPool pool = poolOf(host);
        if (pool == null) {
            exchange.onEnded(Outcome.CONNECT_FAILED, null); // the host is no longer on the list
            return;
        }
        double now = node.clock.now();
        for (HostConnection connection = pool.pollRested(now); connection != null; connection = pool.pollRested(now)) {
            if (connection.idleSince() < oldestUsableIdleTime()) { // not yet closed by the periodic check
                connection.close();
            } else if (connection.readAndCheckActive()) {
                writeOnKept(pool, connection, exchange, requestFactory);
                return;
            }
        }
        new PendingConnection(pool, exchange, requestFactory, now + retryMs).start();
    }

    private void writeOnKept(HostConnectionPool pool, HostConnection connection, HostConnection.Exchange exchange, RequestFactory requestFactory) {
        if (exchange.mayBeWritten(new ReachedProcess(pool.tenure, connection.openedAtMs()))) {
            connection.write(exchange, requestFactory.build());
        } else {
            pool.onIdle(connection);
        }
    }

    /** Builds a request once there is a connection to write it to. */
    private interface RequestFactory {
        FullHttpRequest build();
    }

    /**
     * Establishes a new connection for one exchange. A failure on this machine is no evidence about the host: the connect is
     * retried after a short delay, within the same attempt.
     */
    private final class PendingConnection {
        private final HostConnectionPool pool;
        private final HostConnection.Exchange exchange;
        private final RequestFactory requestFactory;
        private final Backoff backoff = new Backoff(MIN_CONNECT_RETRY_DELAY_MS, MAX_CONNECT_RETRY_DELAY_MS);
        private final double retryUntil;
        private HostConnection connection;

        PendingConnection(HostConnectionPool pool, HostConnection.Exchange exchange, RequestFactory requestFactory, double retryUntil) {
            this.pool = pool;
            this.exchange = exchange;
            this.requestFactory = requestFactory;
            this.retryUntil = retryUntil;
        }

        void start() {
            newConnection();
            connect();
        }

        /** Assigns the exchange to a new connection object, since one that has failed cannot be reused. */
        private void newConnection() {
            connection = new HostConnection(pool, node.clock, node.buffers, node.inputBudget);
            connection.assign(exchange);
            pool.connecting.add(connection);
        }

        /** Connects; a full connection limit counts as a failure on this machine. */
        private void connect() {
            if (!ensureCapacity()) {
                onConnectFailed(true);
                return;
            }
            connections++;
            HostConnection opened = connection;
            ChannelFuture connectFuture = bootstrap.clone().handler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel ch) {
                    opened.attach(ch);
                }
            }).connect(node.transport.socketAddress(pool.address));
            connectFuture.addListener(f -> onLoop(() -> { // without a channel, Netty notifies on another thread
                if (f.isSuccess()) {
                    onConnected(connectFuture.channel());
                } else {
                    connections--;
                    if (isRefused(f.cause())) {
                        pool.onLost(node.clock.now());
                    }
                    onConnectFailed(LocalFailure.isLocal(f.cause()));
                }
            }));
        }

        private void onConnected(Channel channel) {
            pool.connecting.remove(connection);
            pool.readIdle();
            connection.markOpened();
            channel.closeFuture().addListener(closed -> connections--);
            boolean mayBeWritten = connection.carries(exchange)
                    && exchange.mayBeWritten(new ReachedProcess(pool.tenure, connection.openedAtMs()));
            if (mayBeWritten) {
                connection.write(exchange, requestFactory.build());
            } else {
                connection.close(); // the exchange was abandoned; nothing may be sent on this connection
            }
        }

        /** Whether no process listens at the host's address. */
        private static boolean isRefused(Throwable cause) {
            return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        }

        /** @param local whether the connect failed on this machine, before the host was involved */
        private void onConnectFailed(boolean local) {
            pool.connecting.remove(connection);
            if (!local) {
                connection.fail();
            } else if (node.clock.now() >= retryUntil) {
                connection.failUnsent();
            } else if (connection.carries(exchange)) {
                connection.detach();
                newConnection();
                node.loop.schedule(this::retryConnect, backoff.nextMs(), TimeUnit.MILLISECONDS);
            }
        }

        private void retryConnect() {
            if (connection.carries(exchange)) {
                connect();
            } else {
                pool.connecting.remove(connection);
            }
        }
    }

    private void onLoop(Runnable task) {
        if (node.loop.inEventLoop()) {
            task.run();
        } else {
            node.loop.execute(task);
        }
    }
}
