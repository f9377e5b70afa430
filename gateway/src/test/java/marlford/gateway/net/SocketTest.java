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
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;

/** A node between real sockets, which all end with the test, and no buffer of which may be lost. */
abstract class SocketTest {
    private static final Logger LEAKS = Logger.getLogger("io.netty.util.ResourceLeakDetector");
    private static final List<String> LEAKED = new CopyOnWriteArrayList<>();
    private static final Handler NOTE = new Handler() {
        @Override
        public void publish(LogRecord r) {
            LEAKED.add(r.getMessage());
        }

        @Override
        public void flush() { }

        @Override
        public void close() { }
    };

    final Deque<Closeable> ends = new ArrayDeque<>();
    Registry registry;

    @BeforeAll
    static void noteLeaks() {
        LEAKS.addHandler(NOTE);
    }

    /** A buffer that was not released shows once it has been collected and another is taken. */
    @AfterAll
    static void noBufferWasLeaked() {
        for (int i = 0; i < 5; i++) {
            System.gc();
            PooledByteBufAllocator.DEFAULT.buffer(64).release();
        }
        LEAKS.removeHandler(NOTE);
        assertEquals(List.of(), LEAKED);
    }

    @AfterEach
    void close() throws IOException {
        for (Closeable c : ends) {
            c.close();
        }
    }

    <T extends Closeable> T kept(T end) {
        ends.push(end);
        return end;
    }

    Server host(Sockets.Answer answer) throws IOException {
        return kept(new Server(answer));
    }

    static void echo(Message m, java.net.Socket s) throws IOException {
        s.getOutputStream().write(ok("for " + m.header("X-Trace-Id") + " " + m.text()));
    }

    Node nodeWith(String... entries) throws IOException {
        registry = kept(new Registry(list(1, true, entries)));
        return running(Sockets.config(registry.server.address(), "127.0.0.1:0"));
    }

    /** A node of this configuration, which ends with the test. */
    Node running(String config) throws IOException {
        Node node = Sockets.node(config);
        ends.push(node::stop);
        return node;
    }

    /** The same, which goes by a clock of the test's own. */
    Node of(String config, MovedClock clock) throws IOException {
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)), DecisionEngine::new, Transport.TCP,
                new NioEventLoopGroup(1), clock);
        ends.push(node::stop);
        node.start();
        return node;
    }

    /** Before one host, by a clock of the test's own. */
    Node nodeBefore(Server host, MovedClock clock) throws IOException {
        return of(configBefore(host), clock);
    }

    /** Before one host, with a decision module of the test's own. */
    Node nodeBefore(Server host, Function<Actions, Events> module) throws IOException {
        Node node = Sockets.node(configBefore(host), module);
        ends.push(node::stop);
        return node;
    }

    private String configBefore(Server host) throws IOException {
        registry = kept(new Registry(list(1, true, entry("h0", host.address(), "ready"))));
        return Sockets.config(registry.server.address(), "127.0.0.1:0");
    }

    Node nodeBefore(Server... hosts) throws IOException {
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = entry("h" + i, hosts[i].address(), "ready");
        }
        return nodeWith(entries);
    }

    Client client(Node node) throws IOException {
        return kept(new Client(node));
    }

    void awaitWatches(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (registry.server.asked.stream().filter(m -> m.start().contains("from=")).count() < count) {
            assertTrue(System.nanoTime() < end, "no watch came");
            Thread.sleep(5);
        }
    }
}
