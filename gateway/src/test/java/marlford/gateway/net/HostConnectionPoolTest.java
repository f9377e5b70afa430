package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import marlford.gateway.guard.HostAddresses;
import org.junit.jupiter.api.Test;

class HostConnectionPoolTest {
    /** Guards against a connection that nobody closes: discovery's word, read right before a write, had ended its pool. */
    @Test
    void aConnectionThatReturnsToAClosedPoolIsClosed() {
        Clock clock = new Clock();
        HostConnectionPool pool = new HostConnectionPool(InetSocketAddress.createUnresolved("host", 1), null, new HostAddresses<>());
        HostConnection connection = new HostConnection(pool, clock, ConnectionBuffers.ofProcess(), new InputBudget(clock, Runnable::run));
        EmbeddedChannel channel = new EmbeddedChannel();
        connection.attach(channel);
        pool.closed = true;
        pool.onIdle(connection);
        assertFalse(channel.isOpen());
        assertEquals(0, pool.idle.size());
    }
}
