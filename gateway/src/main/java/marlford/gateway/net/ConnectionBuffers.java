package marlford.gateway.net;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.util.internal.PlatformDependent;

/**
 * The buffers of all connections of the process: what is read and not yet passed on, and what could not be written yet. Each channel
 * is attached once, so that its buffers are counted here. Used on the event loop; the count may be read from any thread.
 */
final class ConnectionBuffers {
    private static final ConnectionBuffers OF_PROCESS = new ConnectionBuffers();

    private final CountingAllocator allocator = new CountingAllocator();

    /** Returns the instance that all nodes of this process share. */
    static ConnectionBuffers ofProcess() {
        return OF_PROCESS;
    }

    /** Counts the buffers of a new channel from now on. */
    void attach(Channel channel) {
        channel.config().setAllocator(allocator);
    }

    /** Returns the size of all buffers in bytes. */
    long usedBytes() {
        return allocator.unpooled.metric().usedDirectMemory() + allocator.unpooled.metric().usedHeapMemory();
    }

    /** Allocates each buffer by itself, in direct memory where Netty prefers that. */
    private static final class CountingAllocator extends AbstractByteBufAllocator {
        private final UnpooledByteBufAllocator unpooled = new UnpooledByteBufAllocator(PlatformDependent.directBufferPreferred());

        CountingAllocator() {
            super(PlatformDependent.directBufferPreferred());
        }

        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            return unpooled.heapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            return unpooled.directBuffer(initialCapacity, maxCapacity);
        }

        @Override
        public boolean isDirectBufferPooled() {
            return false;
        }
    }
}
