package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Discovery agents that fail, are slow or send outdated lists: the gateway retries, does not apply older lists and keeps the
 * hosts that it knows.
 */
class DiscoveryTest extends SocketTest {
    private static final int FAILED_CALLS = 8;
    private static final int PART_BYTES = 20;
    private static final int PART_INTERVAL_MS = 40; // in total longer than the 200 ms without data that are allowed here

    /** Starts a node that uses a discovery agent. */
    private Node startNodeWithAgent(Server agent) throws IOException {
        return startNode(Sockets.config(agent.address(), "127.0.0.1:0"));
    }

    /** Returns a configuration with a list of hosts from before the start. */
    private static String configWithKnownList(String discovery, String known) {
        String config = Sockets.config(discovery, "127.0.0.1:0")
                .replace("{\"version\": 0, \"full\": true, \"servers\": []}", known);
        assertTrue(config.contains(known));
        return config;
    }

    private static void switchAgent(Node node, String to) throws IOException {
        node.reload(NodeConfig.of(new ObjectMapper().readTree(Sockets.config(to, "127.0.0.1:0"))));
    }

    /** Sends requests, which must all be answered by this host. */
    private void assertServedBy(Node node, Server host, int times) throws IOException {
        int before = host.asked.size();
        try (Client client = new Client(node)) {
            for (int i = 0; i < times; i++) {
                assertEquals(200, client.send(view("d" + before + i, Sockets.PATIENCE_MS)).receive().status());
            }
        }
        assertEquals(times, host.asked.size() - before);
    }

    /** Waits for a call whose request line contains a text. */
    private static void awaitCall(Server agent, String part) throws InterruptedException {
        for (Sockets.Message message = agent.next(); ; message = agent.next()) {
            assertNotNull(message, "agent received no call with: " + part);
            if (message.start().contains(part)) {
                return;
            }
        }
    }

    @Test
    void anAgentThatAcceptsButDoesNotRespondIsCalledAgain() throws Exception {
        Server host = startHost(SocketTest::echo);
        AtomicInteger calls = new AtomicInteger();
        Server agent = closeAfterTest(new Server((message, socket) -> {
            if (calls.incrementAndGet() == 2) {
                socket.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        Node node = startNodeWithAgent(agent);
        awaitCall(agent, "from=1&");
        assertServedBy(node, host, 3);
    }

    @Test
    void anAgentThatResetsConnectionsIsCalledUntilItResponds() throws Exception {
        Server host = startHost(SocketTest::echo);
        AtomicInteger calls = new AtomicInteger();
        Server agent = closeAfterTest(new Server((message, socket) -> {
            if (calls.incrementAndGet() < 6) {
                socket.setSoLinger(true, 0);
                socket.close();
            } else if (!message.start().contains("from=")) {
                socket.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        Node node = startNodeWithAgent(agent);
        awaitCall(agent, "from=1&");
        assertServedBy(node, host, 3);
    }

    /**
     * Guards against calls that end for good, without a log line, when the shared fetch of lists throws; the cause was a class
     * that could not be loaded for lack of a descriptor.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theAgentIsCalledAgainAfterTheSharedFetchFails(boolean getsTurn) throws Exception {
        AtomicBoolean unavailable = new AtomicBoolean(true);
        Server agent = closeAfterTest(new Server((message, socket) -> {
            if (unavailable.get()) {
                socket.setSoLinger(true, 0);
                socket.close();
            } else if (!message.start().contains("from=")) {
                socket.getOutputStream().write(ok(list(1, true)));
            }
        }));
        Node node = startNodeWithAgent(agent);
        node.loop.submit(() -> node.extensions = new GatewayExtensions(Map.of(), UsageRecorder.NONE, new FailingTurn(getsTurn),
                serving -> { })).sync();
        for (int i = 0; i < FAILED_CALLS; i++) {
            assertNotNull(agent.next(), "no further call after a failure");
        }
        unavailable.set(false);
        awaitCall(agent, "from=1&");
    }

    /** Throws when a turn is requested, or else when the result of a failed call is reported. */
    private record FailingTurn(boolean getsTurn) implements SharedListFetch {
        @Override
        public void requestTurn(String agent, Consumer<FetchedList> next) {
            if (!getsTurn) {
                throw new NoClassDefFoundError("planted");
            }
            next.accept(null);
        }

        @Override
        public void reportResult(String agent, boolean answered, String wholeList) {
            if (!answered) {
                throw new NoClassDefFoundError("planted");
            }
        }
    }

    /** An outdated list must not undo a drain, but an agent that has restarted its versions is accepted in the end. */
    @Test
    void anOlderListOfTheSameAgentDoesNotReopenADrainingHost() throws Exception {
        Server draining = startHost(SocketTest::echo);
        Server ready = startHost(SocketTest::echo);
        AtomicInteger calls = new AtomicInteger();
        Server agent = closeAfterTest(new Server((message, socket) -> {
            String h0 = entry("h0", draining.address(), calls.get() == 0 ? "draining" : "ready");
            if (calls.getAndIncrement() == 0) {
                socket.getOutputStream().write(ok(list(9, true, h0, entry("h1", ready.address(), "ready"))));
            } else if (!message.start().contains("from=2&")) {
                socket.getOutputStream().write(ok(list(2, true, h0, entry("h1", ready.address(), "ready"))));
            }
        }));
        Node node = startNodeWithAgent(agent);
        assertServedBy(node, ready, 5);
        awaitCall(agent, "from=2&"); // the list was accepted, except that the drain is kept
        assertServedBy(node, ready, 5);
        assertEquals(0, draining.asked.size());
    }

    /**
     * While a new agent does not respond, the watch at the previous one goes on. A drain that the previous agent has reported is
     * not undone by the new one, whose list may be older.
     */
    @Test
    void theOldWatchGoesOnUntilTheNewAgentResponds() throws Exception {
        Server first = startHost(SocketTest::echo);
        Server second = startHost(SocketTest::echo);
        Node node = startNodeWithHosts(first);
        awaitDiscoveryWatches(1);
        Registry oldRegistry = registry;
        Server silent = closeAfterTest(new Server((message, socket) -> { }));
        switchAgent(node, silent.address());
        assertNotNull(silent.next());
        oldRegistry.news.add(list(2, false, entry("h0", first.address(), "draining"),
                entry("h1", second.address(), "ready")));
        awaitDiscoveryWatches(2);
        assertServedBy(node, second, 5);
        assertEquals(0, first.asked.size());
        Registry newRegistry = closeAfterTest(new Registry(list(1, true, entry("h0", first.address(), "ready"),
                entry("h1", second.address(), "ready"))));
        switchAgent(node, newRegistry.server.address());
        awaitCall(newRegistry.server, "from=1&");
        oldRegistry.news.add(list(3, true, entry("h0", first.address(), "ready"))); // too late: the old agent is no longer watched
        assertNotNull(oldRegistry.server.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertServedBy(node, second, 5); // the new agent's list does not undo the drain
        assertEquals(0, first.asked.size());
    }

    /** The listener opens only with the agent's current list; a list from before the start is not used if the agent responds. */
    @Test
    void theListenerOpensWithTheCurrentList() throws Exception {
        Server stale = startHost(SocketTest::echo);
        Server current = startHost(SocketTest::echo);
        registry = closeAfterTest(new Registry(list(4, true, entry("h1", current.address(), "ready"))));
        String known = list(1, true, entry("h0", stale.address(), "ready"));
        Node node = startNode(configWithKnownList(registry.server.address(), known));
        assertServedBy(node, current, 3);
        assertEquals(0, stale.asked.size());
    }

    /** Without discovery, the gateway uses the list from before its start. */
    @Test
    void aStartWithoutDiscoveryUsesTheKnownList() throws Exception {
        Server host = startHost(SocketTest::echo);
        String known = list(1, true, entry("h0", host.address(), "ready"));
        Node node = startNode(configWithKnownList("127.0.0.1:1", known));
        assertServedBy(node, host, 3);
        assertFalse(host.asked.isEmpty());
    }

    /** A gateway without hosts would refuse all requests, so it reports unhealthy until it has a list. */
    @Test
    void aGatewayWithoutAListIsUnhealthy() throws Exception {
        Server host = startHost(SocketTest::echo);
        AtomicBoolean unavailable = new AtomicBoolean(true);
        Server agent = closeAfterTest(new Server((message, socket) -> {
            if (!unavailable.get() && !message.start().contains("from=")) {
                socket.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        Node node = startNodeWithAgent(agent);
        assertEquals(503, healthStatus(node));
        unavailable.set(false);
        awaitCall(agent, "from=1&");
        assertEquals(200, healthStatus(node));
        assertServedBy(node, host, 1);
    }

    /** The response takes longer than the timeout, but parts keep arriving, each of which shows that the agent is alive. */
    @Test
    void aSlowResponseIsAwaitedWhilePartsArrive() throws Exception {
        Server host = startHost(SocketTest::echo);
        Server agent = closeAfterTest(new Server((message, socket) -> {
            if (message.start().contains("from=")) {
                return;
            }
            byte[] whole = ok(list(1, true, entry("h0", host.address(), "ready")));
            for (int from = 0; from < whole.length; from += PART_BYTES) {
                socket.getOutputStream().write(whole, from, Math.min(PART_BYTES, whole.length - from));
                Thread.sleep(PART_INTERVAL_MS);
            }
        }));
        String settings = Sockets.config(agent.address(), "127.0.0.1:0")
                .replace("\"rules\": {", "\"rules\": {\"drain_grace_ms\": 400, ");
        Node node = startNode(settings);
        awaitCall(agent, "from=1&");
        assertServedBy(node, host, 1);
    }

    private int healthStatus(Node node) throws IOException {
        return connectClient(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status();
    }
}
