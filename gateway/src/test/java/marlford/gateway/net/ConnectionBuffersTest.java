package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against buffers that grow with the number of connections, beyond what the process may hold. */
class ConnectionBuffersTest {
    private static final int DIRECT_BYTES = 16 << 20;
    private static final int CONNECTIONS = 800; // more than 1,024 descriptors allow, clients and hosts together
    private static final double MAX_DIRECT_SHARE = 0.9;

    private final ConnectionBuffers buffers = new ConnectionBuffers(DIRECT_BYTES);
    private final List<ByteBuf> held = new ArrayList<>();

    private void hold(EmbeddedChannel channel, int bytes) {
        held.add(channel.alloc().ioBuffer(bytes));
    }

    private EmbeddedChannel attachedChannel() {
        EmbeddedChannel channel = new EmbeddedChannel();
        buffers.attach(channel);
        return channel;
    }

    private void releaseAll() {
        held.forEach(ByteBuf::release);
        assertEquals(0, buffers.usedBytes());
    }

    @Test
    void aFewConnectionsHaveTheLargestWindow() {
        EmbeddedChannel channel = attachedChannel();
        assertEquals(ConnectionBuffers.MAX_WINDOW_BYTES, buffers.windowBytes());
        hold(channel, 2 * ConnectionBuffers.MAX_WINDOW_BYTES);
        assertEquals(ConnectionBuffers.MAX_WINDOW_BYTES, buffers.windowBytes());
        releaseAll();
    }

    @Test
    void allConnectionsTogetherStayWithinTheDirectMemory() {
        EmbeddedChannel channel = attachedChannel();
        for (int i = 0; i < CONNECTIONS; i++) {
            hold(channel, buffers.windowBytes()); // read, and not passed on
            hold(channel, buffers.windowBytes()); // written, and not taken
        }
        assertTrue(buffers.usedBytes() < DIRECT_BYTES * MAX_DIRECT_SHARE, "bytes held: " + buffers.usedBytes());
        assertTrue(held.get(held.size() - 1).capacity() > 0);
        releaseAll();
        assertEquals(ConnectionBuffers.MAX_WINDOW_BYTES, buffers.windowBytes());
    }

    /** In the JDK an allocation beyond the limit sleeps, and fails only after that. */
    @Test
    void directMemoryIsNotAskedForBeyondItsLimit() {
        EmbeddedChannel channel = attachedChannel();
        while (held.isEmpty() || held.get(held.size() - 1).isDirect()) {
            hold(channel, 1 << 20);
        }
        assertTrue(buffers.usedBytes() <= DIRECT_BYTES + (1 << 20), "bytes held: " + buffers.usedBytes());
        releaseAll();
    }

    @Test
    void aChannelIsUnwritableBeyondTheWindow() {
        EmbeddedChannel other = attachedChannel();
        hold(other, DIRECT_BYTES / 2);
        EmbeddedChannel channel = attachedChannel();
        channel.write(channel.alloc().ioBuffer(buffers.windowBytes()).writeZero(buffers.windowBytes()));
        assertFalse(channel.isWritable());
        channel.flush();
        assertTrue(channel.isWritable());
        channel.releaseOutbound();
        releaseAll();
    }

    @Test
    void aReadTakesNoMoreThanTheWindow() {
        EmbeddedChannel other = attachedChannel();
        hold(other, DIRECT_BYTES / 2);
        EmbeddedChannel channel = attachedChannel();
        var handle = channel.config().getRecvByteBufAllocator().newHandle();
        handle.reset(channel.config());
        int window = buffers.windowBytes();
        ByteBuf read = handle.allocate(channel.alloc());
        assertTrue(read.capacity() <= window, "bytes to be read at once: " + read.capacity());
        read.release();
        releaseAll();
    }
}
