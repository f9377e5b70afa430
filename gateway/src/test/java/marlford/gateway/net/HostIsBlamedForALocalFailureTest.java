package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.DecisionEngine;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A connection that this machine can't make costs its request neither an attempt nor its answer, and its host no trust. */
class HostIsBlamedForALocalFailureTest extends SocketTest {
    private static final int IN_A_ROW = 8; // more than a request has attempts

    private final AtomicInteger failing = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    /** What fails, as Java and netty tell it. */
    enum Failure {
        ENFILE(true, new IOException("Too many open files in system")),
        EADDRNOTAVAIL(true, new BindException("Cannot assign requested address")),
        ENOBUFS(true, new SocketException("No buffer space available")),
        ENETUNREACH(false, new SocketException("Network is unreachable")),
        EHOSTUNREACH(false, new NoRouteToHostException("No route to host")),
        ETIMEDOUT(false, new ConnectException("Connection timed out"));

        final boolean here;
        final IOException cause;

        Failure(boolean here, IOException cause) {
            this.here = here;
            this.cause = cause;
        }
    }

    private final class FailingTransport extends ForwardingTransport {
        private final Failure failure;

        FailingTransport(Failure failure) {
            this.failure = failure;
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(this::channel);
        }

        private Channel channel() {
            if (failure == Failure.ENFILE && fails()) {
                throw new ChannelException("Failed to open a socket.", failure.cause);
            }
            return new NioSocketChannel() {
                @Override
                protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
                    if (failure != Failure.ENFILE && fails()) {
                        throw failure.cause;
                    }
                    return super.doConnect(remote, local);
                }
            };
        }

        private boolean fails() {
            boolean now = failing.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
            failed.addAndGet(now ? 1 : 0);
            return now;
        }
    }

    private Node node(Failure failure, String... hosts) throws Exception {
        registry = kept(new Registry(list(1, true, hosts)));
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(Sockets.config(registry.server.address(), "127.0.0.1:0"))),
                DecisionEngine::new, new FailingTransport(failure), new NioEventLoopGroup(1));
        ends.push(node::stop);
        node.start();
        return node;
    }

    @ParameterizedTest
    @EnumSource(names = {"ENFILE", "EADDRNOTAVAIL", "ENOBUFS"})
    void aFailureOfThisMachineIsTriedAgainWithinTheAttempt(Failure failure) throws Exception {
        Server host = host(SocketTest::echo);
        Node node = node(failure, entry("h0", host.address(), "ready"));
        try (Client c = new Client(node)) {
            failing.set(IN_A_ROW);
            assertEquals(200, c.send(view("a", Sockets.PATIENCE_MS)).receive().status());
        }
        assertEquals(IN_A_ROW, failed.get());
        assertEquals(1, host.asked.size());
        assertEquals(0, node.loop.submit(() -> node.avoided()).get());
    }

    /** The host, or the way to it: another one is asked, and this one avoided. */
    @ParameterizedTest
    @EnumSource(names = {"ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT"})
    void aFailureOfTheWayIsAWordOnTheHost(Failure failure) throws Exception {
        Server host = host(SocketTest::echo);
        Node node = node(failure, entry("h0", host.address(), "ready"), entry("h1", host.address(), "ready"));
        try (Client c = new Client(node)) {
            failing.set(1);
            assertEquals(200, c.send(view("a", Sockets.PATIENCE_MS)).receive().status());
        }
        assertEquals(1, failed.get());
        assertEquals(1, node.loop.submit(() -> node.avoided()).get());
    }

    /** It goes on for longer than a connection is tried: an answer that says so, and a host that is trusted as before. */
    @Test
    void aLastingFailureIsAnsweredAndLeavesTheHostTrusted() throws Exception {
        Server host = host(SocketTest::echo);
        Node node = node(Failure.ENFILE, entry("h0", host.address(), "ready"));
        try (Client c = new Client(node)) {
            failing.set(Integer.MAX_VALUE);
            assertTrue(c.send(view("a", Sockets.PATIENCE_MS)).receive().status() >= 400);
            assertEquals(0, node.loop.submit(() -> node.avoided()).get());
            failing.set(0);
            assertEquals(200, c.send(view("b", Sockets.PATIENCE_MS)).receive().status());
        }
    }
}
