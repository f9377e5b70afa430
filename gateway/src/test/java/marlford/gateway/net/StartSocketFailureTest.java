package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.DecisionEngine;
import marlford.gateway.net.Sockets.Client;
import org.junit.jupiter.api.Test;

/** A temporary lack of descriptors does not fail a start; an address that another process uses does. */
class StartSocketFailureTest extends SocketTest {
    private static final int CONSECUTIVE_FAILURES = 3;

    private final AtomicInteger failingSockets = new AtomicInteger();
    private final AtomicInteger failingAddressChecks = new AtomicInteger();
    private IOException addressCheckFailure = new SocketException("Too many open files in system");

    private final Transport transport = new ForwardingTransport() {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channelFactory(() -> {
                if (failingSockets.getAndDecrement() > 0) {
                    throw new ChannelException("Failed to open a socket.", new IOException("Too many open files in system"));
                }
                return new NioServerSocketChannel();
            });
        }

        @Override
        void verifyUnused(InetSocketAddress address) throws IOException {
            if (failingAddressChecks.getAndDecrement() > 0) {
                throw addressCheckFailure;
            }
            TCP.verifyUnused(address);
        }
    };

    private Node node() throws Exception {
        return createNode(DecisionEngine::new, transport, new Clock(), ConnectionBuffers.ofProcess(),
                entry("h0", startHost(SocketTest::echo).address(), "ready"));
    }

    private void assertServesAfterStart() throws Exception {
        Node node = node();
        node.start();
        try (Client c = new Client(node)) {
            assertEquals(200, c.send(view("a", Sockets.TIMEOUT_MS)).receive().status());
        }
    }

    @Test
    void openingTheListenerSocketIsRetried() throws Exception {
        failingSockets.set(CONSECUTIVE_FAILURES);
        assertServesAfterStart();
        assertTrue(failingSockets.get() < 0);
    }

    @Test
    void theAddressCheckIsRetried() throws Exception {
        failingAddressChecks.set(CONSECUTIVE_FAILURES);
        assertServesAfterStart();
        assertTrue(failingAddressChecks.get() < 0);
    }

    @Test
    void anAddressInUseFailsTheStartAtOnce() throws Exception {
        addressCheckFailure = new IOException("another process uses the address", new BindException("Address already in use"));
        failingAddressChecks.set(CONSECUTIVE_FAILURES);
        assertThrows(IOException.class, node()::start);
        assertEquals(CONSECUTIVE_FAILURES - 1, failingAddressChecks.get());
    }
}
