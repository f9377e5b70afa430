package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
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
import marlford.gateway.net.Sockets.Registry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An accept that fails costs that call alone: nobody who connects is left waiting, or reset with the listener. */
class FailedAcceptStopsAcceptingTest extends SocketTest {
    private static final int IN_A_ROW = 40; // a second each would be more than the test's patience
    private static final int WAITING = 60; // connections in the listener's queue

    private static final InetSocketAddress NOT_HERE = new InetSocketAddress("192.0.2.1", 0); // no address of any machine

    private final AtomicInteger failing = new AtomicInteger();
    private final AtomicInteger failingBinds = new AtomicInteger();
    private boolean hasSpare;
    private int opening; // sockets, of which every other one fails where accepts do
    private int port;

    /** TCP, whose next accepts fail with this. */
    private Transport failing(String error) {
        return new ForwardingTransport() {
            @Override
            ServerBootstrap server(EventLoopGroup group) {
                return new ServerBootstrap().group(group).channelFactory(() -> new NioServerSocketChannel() {
                    @Override
                    protected int doReadMessages(List<Object> accepted) throws Exception {
                        if (failing.get() > 0) {
                            failing.decrementAndGet();
                            throw new IOException(error);
                        }
                        return super.doReadMessages(accepted);
                    }
                });
            }

            @Override
            SocketChannel openSocket() throws IOException {
                if (!hasSpare || opening++ % 2 == 0) {
                    throw new IOException(error);
                }
                return super.openSocket();
            }

            @Override
            SocketAddress socketAddress(InetSocketAddress address) {
                return TCP.socketAddress(failingBinds.getAndUpdate(n -> Math.max(0, n - 1)) > 0 ? NOT_HERE : address);
            }
        };
    }

    private Node node(String error) throws Exception {
        return node(error, new Clock());
    }

    private Node node(String error, Clock clock) throws Exception {
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", startHost(SocketTest::echo).address(), "ready"))));
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(Sockets.config(registry.server.address(), "127.0.0.1:0"))),
                DecisionEngine::new, failing(error), new NioEventLoopGroup(1), clock);
        resources.push(node::stop);
        node.start();
        port = node.port();
        return node;
    }

    private Client connected() throws IOException {
        return closeAfterTest(new Client(new Socket(InetAddress.getLoopbackAddress(), port)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"Software caused connection abort", "Too many open files", "No buffer space available",
        "Cannot allocate memory"})
    void theNextIsTakenSoon(String error) throws Exception {
        node(error);
        failing.set(IN_A_ROW);
        assertEquals(200, connected().send(view("a", Sockets.PATIENCE_MS)).receive().status());
    }

    /** Who stands in the queue when the process is told to end, or another one takes its place, is heard. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoStandsInTheQueueAtTheListenersEndIsHeard(boolean replaced) throws Exception {
        Node node = node("Too many open files in system");
        node.loop.submit(node.clientServer::pauseAccepting).get();
        List<Client> waiting = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
            waiting.add(connected().send(view("w" + i, Sockets.PATIENCE_MS)));
        }
        failing.set(IN_A_ROW);
        node.loop.submit(replaced ? node.clientServer::closeForSuccessor : node.clientServer::stopAccepting).get();
        for (Client c : waiting) {
            assertEquals(200, c.receive().status());
        }
    }

    /** A successor that ends early hands the place back; a listener that can't be had at once was once given up for good. */
    @Test
    void aPlaceThatIsTakenBackIsListenedAtThoughTheFirstBindsFail() throws Exception {
        Node node = node("none");
        node.handoverSteps(() -> { }).handOver();
        node.handoverSteps(() -> { }).stopAccepting();
        failingBinds.set(3);
        node.handoverSteps(() -> { }).resume();
        Sockets.await(() -> node.loop.submit(() -> failingBinds.get() == 0 && node.clientServer.listener().isActive()).get(), "a listener");
        port = node.port();
        assertEquals(200, connected().send(view("a", Sockets.PATIENCE_MS)).receive().status());
    }

    /** An idle connection gives way where no descriptor is left, or all would wait for its end. */
    @Test
    void roomIsMadeWhereNoDescriptorIsLeft() throws Exception {
        Node node = node("Too many open files");
        Client idle = connected();
        assertEquals(200, idle.send(view("idle", Sockets.PATIENCE_MS)).receive().status());
        failing.set(2);
        assertEquals(200, connected().send(view("a", Sockets.PATIENCE_MS)).receive().status());
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "the idle connection gave way");
    }

    /** Half of the sockets can't be opened just then, either. One failure in ten, with hardly anyone connected, once shut out nearly all for seconds. */
    @Test
    void nobodyGivesWayWhereDescriptorsAreLeft() throws Exception {
        hasSpare = true;
        node("Too many open files in system", MovedClock.standing()); // no client is idle for too long, however busy the machine
        List<Client> idle = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
            idle.add(connected());
            assertEquals(200, idle.get(i).send(view("i" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        failing.set(IN_A_ROW);
        assertEquals(200, connected().send(view("a", Sockets.PATIENCE_MS)).receive().status());
        for (Client c : idle) {
            assertEquals(200, c.send(view("again" + idle.indexOf(c), Sockets.PATIENCE_MS)).receive().status());
        }
    }

    @Test
    void descriptorsAreLeftInATestOfFewSockets() {
        assertTrue(Transport.TCP.hasSpareDescriptors());
    }
}
