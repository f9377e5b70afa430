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
 * Where operators call: HTTP/1.1, one call on a connection, 2xx for yes, 4xx or 5xx for no. It has an event loop of its
 * own and waits for no other, since an operator is owed an answer also while the loop that serves clients is late.
 *
 * <p>Bounds: {@value #CONNECTIONS_MAX} connections, of which the oldest that has not brought its call gives way to a
 * new one; {@value #CALL_MAX} bytes of a call's body; {@value #CALL_MS} ms for a call to come whole.
 */
public final class Console {
    private static final int CONNECTIONS_MAX = 24;
    private static final int CALL_MAX = 4096;
    private static final long CALL_MS = 5000;
    private static final long LOOK_MS = 250; // how often the other process's word is looked for
    private static final int BACKLOG = 64;

    private final AdminCommands commands;
    private final ServiceMetrics figures;
    private final Map<String, Supplier<String>> pages;
    private final Consumer<String> log;
    private final ExcludedHosts excludedHosts;
    private volatile Set<String> hosts; // those left out
    private final LinkedHashSet<Channel> unheard = new LinkedHashSet<>(); // the oldest first
    private int connections;
    private NioEventLoopGroup group;
    private Channel listener;

    /**
     * @param pages what others show under a path of their own; each is asked on this console's loop
     * @param folder where what operators said outlives the process; null for nowhere
     * @param log takes one line for each call that changes something, and for each failure
     */
    public Console(AdminCommands commands, ServiceMetrics figures, Map<String, Supplier<String>> pages, Path folder, Consumer<String> log)
            throws IOException {
        this.commands = commands;
        this.figures = figures;
        this.pages = Map.copyOf(pages);
        this.log = log;
        this.excludedHosts = new ExcludedHosts(folder, log);
        this.hosts = excludedHosts.hosts();
    }

    /** The hosts that operators left out; from any thread. */
    public Set<String> leftOut() {
        return hosts;
    }

    /** Answers from its return on. */
    public void listen(InetSocketAddress at) throws IOException {
        group = new NioEventLoopGroup(1);
        try {
            listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    .handler(new AcceptRetry(log))
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(CALL_MAX, true),
                                    new Call());
                        }
                    }).bind(at).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            close();
            throw new IOException("no console at " + at + ": " + e.getMessage(), e);
        }
        group.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** The address it answers at, where the port was left to the system. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Ends it; answers that are on their way are not waited for. */
    public void close() {
        if (group != null) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private void look() {
        try {
            if (excludedHosts.look()) {
                changed("as the other process was told");
            }
        } catch (IOException | RuntimeException e) {
            log.accept("console: can't read which hosts are left out: " + e);
        }
    }

    private void changed(String why) {
        hosts = excludedHosts.hosts();
        log.accept("console: left out: " + hosts + ", " + why);
        commands.leftOutChanged();
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Future<?> timeout;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections >= CONNECTIONS_MAX) {
                Channel oldest = unheard.isEmpty() ? ctx.channel() : unheard.iterator().next();
                unheard.remove(oldest);
                oldest.close();
            }
            connections++;
            if (ctx.channel().isActive()) {
                unheard.add(ctx.channel());
                timeout = ctx.executor().schedule(() -> ctx.close(), CALL_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            unheard.remove(ctx.channel());
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            unheard.remove(ctx.channel());
            HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
            String text = "";
            if (call.decoderResult().isSuccess()) {
                boolean reads = call.method().equals(HttpMethod.GET);
                boolean acts = call.method().equals(HttpMethod.POST);
                if (reads && call.uri().equals("/admin/stats")) {
                    status = HttpResponseStatus.OK;
                    text = figures.text();
                } else if (reads && call.uri().equals("/admin/health")) {
                    status = commands.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
                } else if (reads && pages.containsKey(call.uri())) {
                    status = HttpResponseStatus.OK;
                    text = pages.get(call.uri()).get();
                } else {
                    status = acts ? act(call.uri(), call.content().toString(StandardCharsets.UTF_8).trim())
                            : HttpResponseStatus.NOT_FOUND;
                }
            }
            ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), text);
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private HttpResponseStatus act(String path, String host) {
        try {
            switch (path) {
                case "/admin/cordon" -> {
                    if (!known(host)) {
                        return HttpResponseStatus.NOT_FOUND;
                    }
                    if (!excludedHosts.add(host)) {
                        return HttpResponseStatus.INSUFFICIENT_STORAGE;
                    }
                    changed("with " + host);
                }
                case "/admin/uncordon" -> {
                    if (!known(host)) {
                        return HttpResponseStatus.NOT_FOUND;
                    }
                    excludedHosts.remove(host);
                    changed("without " + host);
                }
                case "/admin/quiesce" -> {
                    log.accept("console: clients are sent away");
                    commands.quiesce();
                }
                case "/admin/resume" -> {
                    log.accept("console: back to work");
                    commands.resume();
                }
                default -> {
                    return HttpResponseStatus.NOT_FOUND;
                }
            }
            return HttpResponseStatus.OK;
        } catch (IOException | RuntimeException e) {
            log.accept("console: " + path + " " + host + ": " + e);
            return HttpResponseStatus.INTERNAL_SERVER_ERROR;
        }
    }

    private boolean known(String host) {
        return !host.isEmpty() && (commands.knows(host) || hosts.contains(host));
    }
}
