package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
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
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against blaming a host for a connect failure on this machine. Such a failure must cost the request neither an attempt
 * nor its response, and the host must not be avoided.
 */
class LocalConnectFailureTest extends SocketTest {
    private static final int CONSECUTIVE_FAILURES = 8; // more than the attempts of a request

    private final AtomicInteger failuresLeft = new AtomicInteger();
    private final AtomicInteger failedConnects = new AtomicInteger();

    /** Connect failures, as Java and Netty report them. */
    enum Failure {
        ENFILE(true, new IOException("Too many open files in system")),
        EADDRNOTAVAIL(true, new BindException("Cannot assign requested address")),
        ENOBUFS(true, new SocketException("No buffer space available")),
        ENETUNREACH(false, new SocketException("Network is unreachable")),
        EHOSTUNREACH(false, new NoRouteToHostException("No route to host")),
        ETIMEDOUT(false, new ConnectException("Connection timed out"));

        final boolean local;
        final IOException cause;

        Failure(boolean local, IOException cause) {
            this.local = local;
            this.cause = cause;
        }
    }

    /** Fails the next {@link #failing} connects. */
    private final class FailingTransport extends ForwardingTransport {
        private final Failure failure;

        FailingTransport(Failure failure) {
            this.failure = failure;
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(this::newChannel);
        }

        private Channel newChannel() {
            if (failure == Failure.ENFILE && shouldFail()) {
                throw new ChannelException("Failed to open a socket.", failure.cause);
            }
            return new NioSocketChannel() {
                @Override
                protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
                    if (failure != Failure.ENFILE && shouldFail()) {
                        throw failure.cause;
                    }
                    return super.doConnect(remote, local);
                }
            };
        }

        private boolean shouldFail() {
            boolean fail = failuresLeft.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
            failedConnects.addAndGet(fail ? 1 : 0);
            return fail;
        }
    }

    private Node startNode(Failure failure, String... hosts) throws Exception {
        Node node = createNode(DecisionEngine::new, new FailingTransport(failure), new Clock(), ConnectionBuffers.ofProcess(), hosts);
        node.start();
        return node;
    }

    @ParameterizedTest
    @EnumSource(names = {"ENFILE", "EADDRNOTAVAIL", "ENOBUFS"})
    void aLocalFailureIsRetriedWithinTheAttempt(Failure failure) throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Node node = startNode(failure, entry("h0", host.address(), "ready"));
        try (Client client = new Client(node)) {
            failuresLeft.set(CONSECUTIVE_FAILURES);
            assertEquals(200, client.send(view("a", Sockets.TIMEOUT_MS)).receive().status());
        }
        assertEquals(CONSECUTIVE_FAILURES, failedConnects.get());
        assertEquals(1, host.requests.size());
        assertEquals(0, node.loop.submit(() -> node.avoidedHostCount()).get());
    }

    /** The host or the network path to it failed: the request goes to another host, and this one is avoided. */
    @ParameterizedTest
    @EnumSource(names = {"ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT"})
    void aNetworkFailureIsEvidenceAgainstTheHost(Failure failure) throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Node node = startNode(failure, entry("h0", host.address(), "ready"), entry("h1", host.address(), "ready"));
        try (Client client = new Client(node)) {
            failuresLeft.set(1);
            assertEquals(200, client.send(view("a", Sockets.TIMEOUT_MS)).receive().status());
        }
        assertEquals(1, failedConnects.get());
        assertEquals(1, node.loop.submit(() -> node.avoidedHostCount()).get());
    }

    /** The failure outlasts the retries: the client gets an error, and the host is not avoided. */
    @Test
    void aLastingLocalFailureIsAnErrorButTheHostIsNotAvoided() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Node node = startNode(Failure.ENFILE, entry("h0", host.address(), "ready"));
        try (Client client = new Client(node)) {
            failuresLeft.set(Integer.MAX_VALUE);
            assertTrue(client.send(view("a", Sockets.TIMEOUT_MS)).receive().status() >= 400);
            assertEquals(0, node.loop.submit(() -> node.avoidedHostCount()).get());
            failuresLeft.set(0);
            assertEquals(200, client.send(view("b", Sockets.TIMEOUT_MS)).receive().status());
        }
    }
}
