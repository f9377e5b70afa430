package marlford.gateway.net;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.internal.PlatformDependent;
import java.util.function.IntSupplier;

/**
 * The buffers of all connections of the process: what is read and not yet passed on, and what could not be written yet. Each channel
 * is attached once. From then on its buffers are counted here, and the size of its reads, the output that it may hold and the length up
 * to which a message is buffered follow the <em>window</em>, which shrinks as the buffers of the process grow. So a few connections hold
 * as much as is useful, and many slow ones together stay within the direct memory of the process.
 *
 * <p>The event loop must not wait for memory: where direct memory is short, the JDK sleeps inside the allocation. Beyond its share
 * of the direct memory a buffer is therefore allocated on the heap.
 *
 * <p>Used on the event loops of the process; the count may be read from any thread.
 */
final class ConnectionBuffers {
    /** Upper bound of the window: beyond it a connection gains no throughput. */
    static final int MAX_WINDOW_BYTES = 64 * 1024;
    private static final int MIN_WINDOW_BYTES = 1024;
    /** Fraction of the limit that is the smallest window: half of the limit is enough for so many connections in both directions. */
    private static final long SMALLEST_WINDOWS = 2048;
    /** Part of the free bytes that one window may take. */
    private static final long FREE_WINDOWS = 64;
    private static final int MAX_READ_AHEAD_BYTES = 1 << 20;
    /** Part of the free bytes that may be read ahead on one connection. */
    private static final long FREE_READ_AHEADS = 8;
    private static final double TARGET_SHARE = 0.5; // of the direct memory; the smallest windows may go beyond it
    private static final double DIRECT_SHARE = 0.85; // of the direct memory; the JDK's own temporary buffers need the rest
    private static final int READS_PER_LOOP = 1; // of one channel, before the event loop serves the next one

    /**
     * Larger temporary buffers of the JDK are not kept. It copies heap buffers into direct ones for the system, and would otherwise keep up
     * to 1024 of them, of any size, beside what is counted here.
     */
    private static final String KEPT_TEMPORARY_BUFFER_BYTES = "2048";
    private static final String KEPT_TEMPORARY_BUFFER_PROPERTY = "jdk.nio.maxCachedBufferSize";

    private static final ConnectionBuffers OF_PROCESS = new ConnectionBuffers(PlatformDependent.maxDirectMemory());

    private final long targetBytes;
    private final int minWindowBytes;
    private final CountingAllocator allocator;

    /** @param directBytes limit of the direct memory of the process */
    ConnectionBuffers(long directBytes) {
        this.targetBytes = (long) (directBytes * TARGET_SHARE);
        this.minWindowBytes = (int) Math.max(MIN_WINDOW_BYTES, Math.min(MAX_WINDOW_BYTES, targetBytes / SMALLEST_WINDOWS));
        this.allocator = new CountingAllocator((long) (directBytes * DIRECT_SHARE));
    }

    /** Bounds the direct memory that the JDK keeps for itself. To be called before the first socket of the process is used. */
    static void boundTemporaryBuffers() {
        if (System.getProperty(KEPT_TEMPORARY_BUFFER_PROPERTY) == null) {
            System.setProperty(KEPT_TEMPORARY_BUFFER_PROPERTY, KEPT_TEMPORARY_BUFFER_BYTES);
        }
    }

    /** Returns the instance that all nodes of this process share. */
    static ConnectionBuffers ofProcess() {
        return OF_PROCESS;
    }

    /** Counts and bounds the buffers of a new channel from now on. To be called before other handlers are added. */
    ChannelOutput attach(Channel channel) {
        return attach(channel, new ReadAllocator(this::windowBytes));
    }

    /**
     * Same as {@link #attach(Channel)} with a further bound on reads.
     *
     * @param maxReadBytes supplies how many bytes may be read at once
     */
    ChannelOutput attach(Channel channel, IntSupplier maxReadBytes) {
        return attach(channel, new ReadAllocator(() -> Math.min(maxReadBytes.getAsInt(), windowBytes())));
    }

    private ChannelOutput attach(Channel channel, ReadAllocator readAllocator) {
        channel.config().setAllocator(allocator);
        channel.config().setRecvByteBufAllocator(readAllocator);
        ChannelOutput output = new ChannelOutput(channel, this);
        channel.pipeline().addFirst(output);
        return output;
    }

    /** Returns the allocator whose buffers are counted. */
    ByteBufAllocator allocator() {
        return allocator;
    }

    /** Returns the size of all buffers in bytes. */
    long usedBytes() {
        return allocator.usedDirectBytes() + allocator.unpooled.metric().usedHeapMemory();
    }

    /**
     * Returns how much one connection may hold in each direction now, in bytes: at most {@value #MAX_WINDOW_BYTES}, and less the more
     * all connections hold.
     */
    int windowBytes() {
        return (int) Math.max(minWindowBytes, Math.min(MAX_WINDOW_BYTES, freeBytes() / FREE_WINDOWS));
    }

    /**
     * Returns how much of long bodies may be held that one client has sent behind the request being processed, in bytes, where they have
     * to be read to find out whether it is still connected.
     */
    int readAheadBytes() {
        return (int) Math.max(windowBytes(), Math.min(MAX_READ_AHEAD_BYTES, freeBytes() / FREE_READ_AHEADS));
    }

    private long freeBytes() {
        return targetBytes - usedBytes();
    }

    /** Allocates each buffer by itself: in direct memory up to a limit, and on the heap beyond it. */
    private static final class CountingAllocator extends AbstractByteBufAllocator {
        private final UnpooledByteBufAllocator unpooled = new UnpooledByteBufAllocator(PlatformDependent.directBufferPreferred());
        private final long maxDirectBytes;

        CountingAllocator(long maxDirectBytes) {
            super(PlatformDependent.directBufferPreferred());
            this.maxDirectBytes = maxDirectBytes;
        }

        long usedDirectBytes() {
            return unpooled.metric().usedDirectMemory();
        }

        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            return unpooled.heapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            return usedDirectBytes() + initialCapacity > maxDirectBytes ? unpooled.heapBuffer(initialCapacity, maxCapacity)
                    : unpooled.directBuffer(initialCapacity, maxCapacity);
        }

        @Override
        public boolean isDirectBufferPooled() {
            return false;
        }
    }

    /** Reads once in each iteration of the event loop, no more than its bound, which may change between reads. */
    private static final class ReadAllocator extends AdaptiveRecvByteBufAllocator {
        private final IntSupplier maxReadBytes;

        ReadAllocator(IntSupplier maxReadBytes) {
            this.maxReadBytes = maxReadBytes;
            maxMessagesPerRead(READS_PER_LOOP);
        }

        @Override
        @SuppressWarnings("deprecation") // the method of the interface is deprecated; Netty's own handles are not
        public Handle newHandle() {
            return new BoundedHandle(super.newHandle(), maxReadBytes);
        }
    }

    private static final class BoundedHandle extends RecvByteBufAllocator.DelegatingHandle {
        private final IntSupplier maxReadBytes;

        BoundedHandle(RecvByteBufAllocator.Handle adaptive, IntSupplier maxReadBytes) {
            super(adaptive);
            this.maxReadBytes = maxReadBytes;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator channelAllocator) {
            return channelAllocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(super.guess(), maxReadBytes.getAsInt());
        }
    }
}
