package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The output of one channel: makes the channel unwritable once it holds more than the window of {@link ConnectionBuffers}, and counts
 * what has been handed to the socket. The first handler of its pipeline, so that all output passes it encoded.
 */
final class ChannelOutput extends ChannelOutboundHandlerAdapter {
    /** Bound on what the socket takes of a long transfer. More would hide for long how much of it the peer reads. */
    private static final int LONG_TRANSFER_SEND_BUFFER_BYTES = 256 * 1024;

    private final Channel channel;
    private final ConnectionBuffers buffers;
    private long writtenBytes;

    ChannelOutput(Channel channel, ConnectionBuffers buffers) {
        this.channel = channel;
        this.buffers = buffers;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int window = buffers.windowBytes();
        if (channel.config().getWriteBufferHighWaterMark() != window) {
            channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(window / 2, window));
        }
        writtenBytes += message instanceof ByteBuf ? ((ByteBuf) message).readableBytes() : 0;
        context.write(message, promise);
    }

    /** Bounds what the socket takes, so that the progress of the peer can be seen. */
    void beginLongTransfer() {
        try {
            channel.config().setOption(ChannelOption.SO_SNDBUF, LONG_TRANSFER_SEND_BUFFER_BYTES);
        } catch (ChannelException e) { // the peer's progress is then seen later, which its time limit allows for
            Node.log("cannot bound the send buffer of a connection: " + e.getMessage());
        }
    }

    /** Returns the output that the socket has not taken yet, in bytes; 0 once the channel is closed. */
    long pendingBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    /** Returns the output that the socket has taken since the channel was opened, in bytes, as far as that is known. */
    long leftBytes() {
        return Math.max(0, writtenBytes - pendingBytes());
    }
}
