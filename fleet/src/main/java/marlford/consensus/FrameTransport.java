package marlford.consensus;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import marlford.gateway.accept.AcceptRetry;

/**
 * Frames over TCP: four bytes of length, one of type, then a CBOR body. There is no authentication, so the port must
 * only be reachable from a trusted network.
 *
 * <p>Limits: frames of {@value #FRAME_MAX} bytes; {@value #QUEUE_MAX} bytes queued on a connection, beyond which
 * frames are dropped as if lost on the network; {@value #CONNECT_MS} ms to connect.
 */
final class FrameTransport {
    static final byte HELLO = 1;
    static final byte ENGINE_MESSAGE = 2;
    static final byte CALL = 3;
    static final byte REPLY = 4;
    private static final int FRAME_MAX = 64 << 20;
    private static final int QUEUE_MAX = 8 << 20;
    private static final int LENGTH = 4;
    private static final int CONNECT_MS = 500;
    private static final int SILENCE_S = 30; // a connection without incoming data for this long is closed

    private FrameTransport() {}

    /** Receives frames and connection events, on the event loop of the connection. */
    interface Listener {
        void frame(Channel from, byte kind, byte[] body);

        default void open(Channel channel) {}

        default void closed(Channel channel) {}
    }

    /** Listens; the returned channel has the local address. */
    static Channel listen(EventLoopGroup group, InetSocketAddress at, Listener listener) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(QUEUE_MAX / 2, QUEUE_MAX))
                .handler(new AcceptRetry(System.err::println))
                .childHandler(pipeline(listener))
                .bind(at)
                .sync()
                .channel();
    }

    /** Connects; {@link Listener#open} or {@link Listener#closed} reports the outcome. */
    static void connect(EventLoopGroup group, InetSocketAddress to, Listener listener) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(QUEUE_MAX / 2, QUEUE_MAX))
                .handler(pipeline(listener))
                .connect(to)
                .addListener(f -> {
                    if (!f.isSuccess()) { // where there was no socket, netty tells it on a thread of its own
                        group.execute(() -> listener.closed(null));
                    }
                });
    }

    private static ChannelInitializer<Channel> pipeline(Listener listener) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel ch) {
                ChannelPipeline p = ch.pipeline();
                p.addLast(
                        new ReadTimeoutHandler(SILENCE_S, TimeUnit.SECONDS),
                        new LengthFieldBasedFrameDecoder(FRAME_MAX, 0, LENGTH, 0, LENGTH),
                        new LengthFieldPrepender(LENGTH),
                        new Frames(listener));
            }
        };
    }

    /** Sends a frame, or drops it if the queue is full; returns whether it was queued. From any thread. */
    static boolean send(Channel to, byte kind, byte[] body) {
        if (to == null || !to.isActive() || !to.isWritable()) {
            return false;
        }
        ByteBuf frame = to.alloc().buffer(1 + body.length).writeByte(kind).writeBytes(body);
        to.writeAndFlush(frame, to.voidPromise());
        return true;
    }

    private static final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
        private final Listener listener;

        Frames(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            listener.open(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            byte kind = frame.readByte();
            listener.frame(ctx.channel(), kind, ByteBufUtil.getBytes(frame));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            listener.closed(ctx.channel());
        }

        /** Closes the connection on malformed or oversized frames and on I/O errors. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
