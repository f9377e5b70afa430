package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.DecisionEngine;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Registry;
import org.junit.jupiter.api.Test;

/** A system that has no descriptor for a moment ends no start; an address that somebody else has does. */
class FailedSocketEndsTheStartTest extends SocketTest {
    private static final int IN_A_ROW = 3;

    private final AtomicInteger failingSockets = new AtomicInteger();
    private final AtomicInteger failingClaims = new AtomicInteger();
    private IOException claimFailure = new SocketException("Too many open files in system");

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
            if (failingClaims.getAndDecrement() > 0) {
                throw claimFailure;
            }
            TCP.verifyUnused(address);
        }
    };

    private Node node() throws Exception {
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", startHost(SocketTest::echo).address(), "ready"))));
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(Sockets.config(registry.server.address(), "127.0.0.1:0"))),
                DecisionEngine::new, transport, new NioEventLoopGroup(1));
        resources.push(node::stop);
        return node;
    }

    private void servesAfterAStart() throws Exception {
        Node node = node();
        node.start();
        try (Client c = new Client(node)) {
            assertEquals(200, c.send(view("a", Sockets.PATIENCE_MS)).receive().status());
        }
    }

    @Test
    void aListenerWithoutASocketIsTriedAgain() throws Exception {
        failingSockets.set(IN_A_ROW);
        servesAfterAStart();
        assertTrue(failingSockets.get() < 0);
    }

    @Test
    void anAddressThatCouldNotBeLookedAtIsLookedAtAgain() throws Exception {
        failingClaims.set(IN_A_ROW);
        servesAfterAStart();
        assertTrue(failingClaims.get() < 0);
    }

    @Test
    void anAddressInUseEndsTheStartAtOnce() throws Exception {
        claimFailure = new IOException("another process uses the address", new BindException("Address already in use"));
        failingClaims.set(IN_A_ROW);
        assertThrows(IOException.class, node()::start);
        assertEquals(IN_A_ROW - 1, failingClaims.get());
    }
}
