package marlford.gateway.console;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import marlford.gateway.accept.AcceptRetry;

/**
 * HTTP/1.1 endpoint for operators: one request per connection, status 2xx on success and 4xx or 5xx otherwise. It has its
 * own event loop and does not wait for other event loops, so that it also responds while the one that serves clients is stalled.
 *
 * <p>Limits: {@value #MAX_CONNECTIONS} connections, beyond which a new one evicts the oldest that has not sent its request
 * yet; {@value #MAX_BODY_BYTES} bytes of a request's body; {@value #REQUEST_TIMEOUT_MS} ms for a request to arrive.
 */
public final class Console {
    private static final int MAX_CONNECTIONS = 24;
    private static final int MAX_BODY_BYTES = 4096;
    private static final long REQUEST_TIMEOUT_MS = 5000;
    private static final long RELOAD_INTERVAL_MS = 250; // how often changes by the other process of an upgrade are read
    private static final int BACKLOG = 64;

    private final AdminCommands commands;
    private final ServiceMetrics metrics;
    private final Map<String, Supplier<String>> pages;
    private final Consumer<String> log;
    private final ExcludedHosts excludedHosts;
    private volatile Set<String> currentExclusions; // the excluded hosts: an immutable copy for other threads
    private final LinkedHashSet<Channel> awaitingRequest = new LinkedHashSet<>(); // without a complete request; the oldest first
    private int connections;
    private NioEventLoopGroup group;
    private Channel listener;

    /**
     * Creates the console and reads the excluded hosts; {@link #listen} opens it.
     *
     * @param pages additional GET paths and what they return; the suppliers run on this console's event loop
     * @param folder where the excluded hosts are stored across restarts; null to keep them in memory only
     * @param log receives one line for each request that changes something and for each failure
     */
    public Console(AdminCommands commands, ServiceMetrics metrics, Map<String, Supplier<String>> pages, Path folder, Consumer<String> log)
            throws IOException {
        this.commands = commands;
        this.metrics = metrics;
        this.pages = Map.copyOf(pages);
        this.log = log;
        this.excludedHosts = new ExcludedHosts(folder, log);
        this.currentExclusions = excludedHosts.hosts();
    }

    /** Returns the hosts that operators have excluded. May be called from any thread. */
    public Set<String> excludedHosts() {
        return currentExclusions;
    }

    /** Opens the listener; requests are answered once this has returned. */
    public void listen(InetSocketAddress address) throws IOException {
        group = new NioEventLoopGroup(1);
        try {
            listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    .handler(new AcceptRetry(log))
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                    new RequestHandler());
                        }
                    }).bind(address).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // Netty rethrows the failure as it is, checked or not
            close();
            throw new IOException("cannot open the console at " + address + ": " + e.getMessage(), e);
        }
        group.scheduleWithFixedDelay(this::reload, RELOAD_INTERVAL_MS, RELOAD_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the address of the listener, with the actual port if the system has assigned it. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listener and all connections without waiting for pending responses. */
    public void close() {
        if (group != null) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Applies changes that the other process of an upgrade has stored. */
    private void reload() {
        try {
            if (excludedHosts.reload()) {
                onExclusionChanged("as changed by the other process of an upgrade");
            }
        } catch (IOException | RuntimeException e) {
            log.accept("console: cannot read the stored excluded hosts, keeping the current ones; check the directory TMPDIR: " + e);
        }
    }

    private void onExclusionChanged(String reason) {
        currentExclusions = excludedHosts.hosts();
        log.accept("console: excluded hosts: " + currentExclusions + ", " + reason);
        commands.excludedHostsChanged();
    }

    /** Handles one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Future<?> timeout;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections >= MAX_CONNECTIONS) {
                Channel oldest = awaitingRequest.isEmpty() ? ctx.channel() : awaitingRequest.iterator().next();
                awaitingRequest.remove(oldest);
                oldest.close();
            }
            connections++;
            if (ctx.channel().isActive()) {
                awaitingRequest.add(ctx.channel());
                timeout = ctx.executor().schedule(() -> ctx.close(), REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            awaitingRequest.remove(ctx.channel());
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            awaitingRequest.remove(ctx.channel());
            HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
            String text = "";
            if (request.decoderResult().isSuccess()) {
                boolean isGet = request.method().equals(HttpMethod.GET);
                boolean isPost = request.method().equals(HttpMethod.POST);
                if (isGet && request.uri().equals("/admin/stats")) {
                    status = HttpResponseStatus.OK;
                    text = metrics.text();
                } else if (isGet && request.uri().equals("/admin/health")) {
                    status = commands.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
                } else if (isGet && pages.containsKey(request.uri())) {
                    status = HttpResponseStatus.OK;
                    text = pages.get(request.uri()).get();
                } else {
                    status = isPost ? execute(request.uri(), request.content().toString(StandardCharsets.UTF_8).trim())
                            : HttpResponseStatus.NOT_FOUND;
                }
            }
            ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), text);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private HttpResponseStatus execute(String path, String host) {
        try {
            switch (path) {
                case "/admin/cordon" -> {
                    if (!isKnownHost(host)) {
                        return HttpResponseStatus.NOT_FOUND;
                    }
                    if (!excludedHosts.add(host)) {
                        return HttpResponseStatus.INSUFFICIENT_STORAGE;
                    }
                    onExclusionChanged("after cordon of " + host);
                }
                case "/admin/uncordon" -> {
                    if (!isKnownHost(host)) {
                        return HttpResponseStatus.NOT_FOUND;
                    }
                    excludedHosts.remove(host);
                    onExclusionChanged("after uncordon of " + host);
                }
                case "/admin/quiesce" -> {
                    log.accept("console: quiesce: releasing clients to other gateways, reporting unhealthy");
                    commands.quiesce();
                }
                case "/admin/resume" -> {
                    log.accept("console: resume: ending the quiesce command; a shutdown or an upgrade in progress continues");
                    commands.resume();
                }
                default -> {
                    return HttpResponseStatus.NOT_FOUND;
                }
            }
            return HttpResponseStatus.OK;
        } catch (IOException | RuntimeException e) {
            log.accept("console: command " + path + " " + host + " failed: " + e);
            return HttpResponseStatus.INTERNAL_SERVER_ERROR;
        }
    }

    private boolean isKnownHost(String host) {
        return !host.isEmpty() && (commands.isListedHost(host) || currentExclusions.contains(host));
    }
}
