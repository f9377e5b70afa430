package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.Events;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;

/**
 * Base class of tests that run a node between real sockets. All resources are closed after each test, and each class checks
 * that no Netty buffer has leaked.
 */
abstract class SocketTest {
    private static final Logger LEAK_LOGGER = Logger.getLogger("io.netty.util.ResourceLeakDetector");
    private static final List<String> LEAK_REPORTS = new CopyOnWriteArrayList<>();
    private static final Handler LEAK_HANDLER = new Handler() {
        @Override
        public void publish(LogRecord record) {
            LEAK_REPORTS.add(record.getMessage());
        }

        @Override
        public void flush() { }

        @Override
        public void close() { }
    };

    final Deque<Closeable> resources = new ArrayDeque<>();
    DiscoveryAgent registry;

    @BeforeAll
    static void recordLeakReports() {
        LEAK_LOGGER.addHandler(LEAK_HANDLER);
    }

    /** Netty reports a leaked buffer after it was garbage-collected and another one is allocated. */
    @AfterAll
    static void noBufferWasLeaked() {
        for (int i = 0; i < 5; i++) {
            System.gc();
            PooledByteBufAllocator.DEFAULT.buffer(64).release();
        }
        LEAK_LOGGER.removeHandler(LEAK_HANDLER);
        assertEquals(List.of(), LEAK_REPORTS);
    }

    @AfterEach
    void close() throws IOException {
        for (Closeable resource : resources) {
            resource.close();
        }
    }

    /** Closes a resource after the test; the latest is closed first. */
    <T extends Closeable> T closeAfterTest(T resource) {
        resources.push(resource);
        return resource;
    }

    /** Starts a host with scripted responses. */
    RecordingServer startHost(Sockets.RequestHandler answer) throws IOException {
        return closeAfterTest(new RecordingServer(answer));
    }

    /** Responds with the request's trace id and body. */
    static void echo(Message message, java.net.Socket socket) throws IOException {
        socket.getOutputStream().write(ok("for " + message.header("X-Trace-Id") + " " + message.text()));
    }

    /** Starts a node whose discovery lists these entries. */
    Node startNodeWithEntries(String... entries) throws IOException {
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entries)));
        return startNode(Sockets.config(registry.server.address(), "127.0.0.1:0"));
    }

    /** Starts a node with this configuration. */
    Node startNode(String config) throws IOException {
        Node node = Sockets.startNode(config);
        resources.push(node::stop);
        return node;
    }

    /** Starts a node with this configuration and a test clock. */
    Node startNodeWithClock(String config, ManualClock clock) throws IOException {
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)), DecisionEngine::new, Transport.TCP,
                new NioEventLoopGroup(1), clock);
        resources.push(node::stop);
        node.start();
        return node;
    }

    /** Creates a node whose discovery lists these entries, with test doubles in place of usual parts; the test starts it. */
    Node createNode(Function<Actions, Events> engine, Transport transport, Clock clock, ConnectionBuffers buffers, String... entries)
            throws IOException {
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entries)));
        String config = Sockets.config(registry.server.address(), "127.0.0.1:0");
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)), engine, transport, new NioEventLoopGroup(1), clock, buffers);
        resources.push(node::stop);
        return node;
    }

    /** Starts a node with one host and a test clock. */
    Node startNodeWithHosts(RecordingServer host, ManualClock clock) throws IOException {
        return startNodeWithClock(configFor(host), clock);
    }

    /** Starts a node with one host and a test decision engine. */
    Node startNodeWithHosts(RecordingServer host, Function<Actions, Events> engine) throws IOException {
        Node node = Sockets.startNode(configFor(host), engine);
        resources.push(node::stop);
        return node;
    }

    /** Returns a configuration whose discovery lists one host. */
    private String configFor(RecordingServer host) throws IOException {
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        return Sockets.config(registry.server.address(), "127.0.0.1:0");
    }

    /** Starts a node with these hosts, with the ids h0, h1 and so on. */
    Node startNodeWithHosts(RecordingServer... hosts) throws IOException {
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = entry("h" + i, hosts[i].address(), "ready");
        }
        return startNodeWithEntries(entries);
    }

    /** Connects a client to a node. */
    Client connectClient(Node node) throws IOException {
        return closeAfterTest(new Client(node));
    }

    /** Waits until discovery has received this many watches for changes. */
    void awaitDiscoveryWatches(int count) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.TIMEOUT_MS);
        while (registry.server.requests.stream().filter(message -> message.startLine().contains("from=")).count() < count) {
            assertTrue(System.nanoTime() < deadline, "discovery received fewer than " + count + " watches");
            Thread.sleep(5);
        }
    }
}
