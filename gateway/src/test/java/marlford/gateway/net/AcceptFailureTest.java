package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.DecisionEngine;
import marlford.gateway.net.Sockets.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A failed accept affects only that call: no connection is left waiting, or reset with the listener. */
class AcceptFailureTest extends SocketTest {
    private static final int CONSECUTIVE_FAILURES = 40; // with a pause of one second each the test would time out
    private static final int QUEUED_CONNECTIONS = 60;

    // reserved for documentation, so no machine has it
    private static final InetSocketAddress UNAVAILABLE_ADDRESS = new InetSocketAddress("192.0.2.1", 0);

    private final AtomicInteger failingAccepts = new AtomicInteger();
    private final AtomicInteger failingBinds = new AtomicInteger();
    private boolean hasSpareDescriptors;
    private int openedSockets; // counts opened sockets, of which every other one fails while accepts fail
    private int port;

    /** TCP whose next accepts fail with this error. */
    private Transport failingTransport(String error) {
        return new ForwardingTransport() {
            @Override
            ServerBootstrap server(EventLoopGroup group) {
                return new ServerBootstrap().group(group).channelFactory(() -> new NioServerSocketChannel() {
                    @Override
                    protected int doReadMessages(List<Object> accepted) throws Exception {
                        if (failingAccepts.get() > 0) {
                            failingAccepts.decrementAndGet();
                            throw new IOException(error);
                        }
                        return super.doReadMessages(accepted);
                    }
                });
            }

            @Override
            SocketChannel openSocket() throws IOException {
                if (!hasSpareDescriptors || openedSockets++ % 2 == 0) {
                    throw new IOException(error);
                }
                return super.openSocket();
            }

            @Override
            SocketAddress socketAddress(InetSocketAddress address) {
                return TCP.socketAddress(failingBinds.getAndUpdate(n -> Math.max(0, n - 1)) > 0 ? UNAVAILABLE_ADDRESS : address);
            }
        };
    }

    private Node node(String error) throws Exception {
        return node(error, new Clock());
    }

    private Node node(String error, Clock clock) throws Exception {
        Node node = createNode(DecisionEngine::new, failingTransport(error), clock, ConnectionBuffers.ofProcess(),
                entry("h0", startHost(SocketTest::echo).address(), "ready"));
        node.start();
        port = node.port();
        return node;
    }

    private Client connectClient() throws IOException {
        return closeAfterTest(new Client(new Socket(InetAddress.getLoopbackAddress(), port)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"Software caused connection abort", "Too many open files", "No buffer space available",
        "Cannot allocate memory"})
    void acceptsContinueSoonAfterAFailure(String error) throws Exception {
        node(error);
        failingAccepts.set(CONSECUTIVE_FAILURES);
        assertEquals(200, connectClient().send(view("a", Sockets.TIMEOUT_MS)).receive().status());
    }

    /** Connections in the accept queue are served when the process shuts down or another one takes its place. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void queuedConnectionsAreServedWhenTheListenerCloses(boolean replaced) throws Exception {
        Node node = node("Too many open files in system");
        node.loop.submit(node.clientServer::pauseAccepting).get();
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
            waiting.add(connectClient().send(view("w" + i, Sockets.TIMEOUT_MS)));
        }
        failingAccepts.set(CONSECUTIVE_FAILURES);
        node.loop.submit(replaced ? node.clientServer::closeForSuccessor : node.clientServer::stopAccepting).get();
        for (Client c : waiting) {
            assertEquals(200, c.receive().status());
        }
    }

    /**
     * A successor that exits early returns the address; a listener that could not be opened at once was once given up
     * for good.
     */
    @Test
    void aReturnedAddressIsBoundAgainThoughTheFirstBindsFail() throws Exception {
        Node node = node("none");
        node.handoverSteps(() -> { }).handOver();
        node.handoverSteps(() -> { }).stopAccepting();
        failingBinds.set(3);
        node.handoverSteps(() -> { }).resume();
        Sockets.await(() -> node.loop.submit(() -> failingBinds.get() == 0 && node.clientServer.listener().isActive()).get(),
                "the listener is open");
        port = node.port();
        assertEquals(200, connectClient().send(view("a", Sockets.TIMEOUT_MS)).receive().status());
    }

    /**
     * An idle connection is evicted where no descriptor is left; otherwise all new connections would wait for its
     * end.
     */
    @Test
    void anIdleConnectionIsEvictedWhereNoDescriptorIsLeft() throws Exception {
        Node node = node("Too many open files");
        Client idle = connectClient();
        assertEquals(200, idle.send(view("idle", Sockets.TIMEOUT_MS)).receive().status());
        failingAccepts.set(2);
        assertEquals(200, connectClient().send(view("a", Sockets.TIMEOUT_MS)).receive().status());
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "the idle connection is evicted");
    }

    /**
     * Half of the socket openings fail as well. With few clients connected, a failure rate of one in ten once
     * disconnected nearly all of them for seconds.
     */
    @Test
    void noConnectionIsEvictedWhereDescriptorsAreLeft() throws Exception {
        hasSpareDescriptors = true;
        // a stopped clock, so that no client exceeds the idle time on a busy machine
        node("Too many open files in system", ManualClock.stopped());
        List<Client> idle = new ArrayList<>();
        for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
            idle.add(connectClient());
            assertEquals(200, idle.get(i).send(view("i" + i, Sockets.TIMEOUT_MS)).receive().status());
        }
        failingAccepts.set(CONSECUTIVE_FAILURES);
        assertEquals(200, connectClient().send(view("a", Sockets.TIMEOUT_MS)).receive().status());
        for (Client c : idle) {
            assertEquals(200, c.send(view("again" + idle.indexOf(c), Sockets.TIMEOUT_MS)).receive().status());
        }
    }

    @Test
    void spareDescriptorsAreDetected() {
        assertTrue(Transport.TCP.hasSpareDescriptors());
    }
}
