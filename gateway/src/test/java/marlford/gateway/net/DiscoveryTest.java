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

/** A discovery that is in trouble: the gateway asks again, believes no older word and is never left without hosts. */
class DiscoveryTest extends SocketTest {
    private static final int CALLS_AWAY = 8;
    private static final int PART = 20; // bytes
    private static final int PART_MS = 40; // apart; together longer than the 200 ms that an answer may be silent here

    private Node nodeAsking(Server agent) throws IOException {
        return running(Sockets.config(agent.address(), "127.0.0.1:0"));
    }

    private static String knowing(String discovery, String known) {
        String config = Sockets.config(discovery, "127.0.0.1:0")
                .replace("{\"version\": 0, \"full\": true, \"servers\": []}", known);
        assertTrue(config.contains(known));
        return config;
    }

    private static void move(Node node, String to) throws IOException {
        node.reload(NodeConfig.of(new ObjectMapper().readTree(Sockets.config(to, "127.0.0.1:0"))));
    }

    private void serves(Node node, Server host, int times) throws IOException {
        int before = host.asked.size();
        try (Client c = new Client(node)) {
            for (int i = 0; i < times; i++) {
                assertEquals(200, c.send(view("d" + before + i, Sockets.PATIENCE_MS)).receive().status());
            }
        }
        assertEquals(times, host.asked.size() - before);
    }

    private static void await(Server agent, String part) throws InterruptedException {
        for (Sockets.Message m = agent.next(); ; m = agent.next()) {
            assertNotNull(m, "never asked: " + part);
            if (m.start().contains(part)) {
                return;
            }
        }
    }

    @Test
    void anAgentThatAcceptsAndIsSilentIsAskedAgain() throws Exception {
        Server host = host(SocketTest::echo);
        AtomicInteger calls = new AtomicInteger();
        Server agent = kept(new Server((m, s) -> {
            if (calls.incrementAndGet() == 2) {
                s.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        Node node = nodeAsking(agent);
        await(agent, "from=1&");
        serves(node, host, 3);
    }

    @Test
    void anAgentThatResetsEveryCallIsAskedAgainAndAgain() throws Exception {
        Server host = host(SocketTest::echo);
        AtomicInteger calls = new AtomicInteger();
        Server agent = kept(new Server((m, s) -> {
            if (calls.incrementAndGet() < 6) {
                s.setSoLinger(true, 0);
                s.close();
            } else if (!m.start().contains("from=")) {
                s.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        Node node = nodeAsking(agent);
        await(agent, "from=1&");
        serves(node, host, 3);
    }

    /** A class that could not be loaded for want of a descriptor once ended the calls for good, without a line. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void discoveryIsNeverCalledAgainAfterAFailedTurn(boolean hasTurn) throws Exception {
        AtomicBoolean away = new AtomicBoolean(true);
        Server agent = kept(new Server((m, s) -> {
            if (away.get()) {
                s.setSoLinger(true, 0);
                s.close();
            } else if (!m.start().contains("from=")) {
                s.getOutputStream().write(ok(list(1, true)));
            }
        }));
        Node node = nodeAsking(agent);
        node.loop.submit(() -> node.extras = new GatewayExtensions(Map.of(), UsageRecorder.NONE, new FailingTurn(hasTurn), inside -> { })).sync();
        for (int i = 0; i < CALLS_AWAY; i++) {
            assertNotNull(agent.next(), "calls ended");
        }
        away.set(false);
        await(agent, "from=1&");
    }

    /** Fails where a turn is asked for, or else where what came of it is told. */
    private record FailingTurn(boolean hasTurn) implements SharedListFetch {
        @Override
        public void due(String agent, Consumer<Told> next) {
            if (!hasTurn) {
                throw new NoClassDefFoundError("planted");
            }
            next.accept(null);
        }

        @Override
        public void called(String agent, boolean answered, String whole) {
            if (!answered) {
                throw new NoClassDefFoundError("planted");
            }
        }
    }

    /** A drain must not be undone by a word from before it, and an agent that counts anew is heard in the end. */
    @Test
    void anOlderListOfTheSameAgentReopensNobody() throws Exception {
        Server draining = host(SocketTest::echo);
        Server ready = host(SocketTest::echo);
        AtomicInteger calls = new AtomicInteger();
        Server agent = kept(new Server((m, s) -> {
            String d = entry("h0", draining.address(), calls.get() == 0 ? "draining" : "ready");
            if (calls.getAndIncrement() == 0) {
                s.getOutputStream().write(ok(list(9, true, d, entry("h1", ready.address(), "ready"))));
            } else if (!m.start().contains("from=2&")) {
                s.getOutputStream().write(ok(list(2, true, d, entry("h1", ready.address(), "ready"))));
            }
        }));
        Node node = nodeAsking(agent);
        serves(node, ready, 5);
        await(agent, "from=2&"); // it was believed, in all but the drain
        serves(node, ready, 5);
        assertEquals(0, draining.asked.size());
    }

    /** A move to an address where nobody answers leaves the watch that there was; a drain it tells is kept. */
    @Test
    void theOldWatchGoesOnUntilTheNewAgentSpeaks() throws Exception {
        Server first = host(SocketTest::echo);
        Server second = host(SocketTest::echo);
        Node node = nodeBefore(first);
        awaitWatches(1);
        Registry old = registry;
        Server silent = kept(new Server((m, s) -> { }));
        move(node, silent.address());
        assertNotNull(silent.next());
        old.news.add(list(2, false, entry("h0", first.address(), "draining"),
                entry("h1", second.address(), "ready")));
        awaitWatches(2);
        serves(node, second, 5);
        assertEquals(0, first.asked.size());
        Registry fresh = kept(new Registry(list(1, true, entry("h0", first.address(), "ready"),
                entry("h1", second.address(), "ready"))));
        move(node, fresh.server.address());
        await(fresh.server, "from=1&");
        old.news.add(list(3, true, entry("h0", first.address(), "ready"))); // a word too late, to nobody
        assertNotNull(old.server.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        serves(node, second, 5); // another agent's word, which may be older, does not undo the drain
        assertEquals(0, first.asked.size());
    }

    /** Configuration, list and listener are of one moment: the list of an earlier life serves nobody. */
    @Test
    void theListenerOpensWithTheListOfNow() throws Exception {
        Server stale = host(SocketTest::echo);
        Server now = host(SocketTest::echo);
        registry = kept(new Registry(list(4, true, entry("h1", now.address(), "ready"))));
        String known = list(1, true, entry("h0", stale.address(), "ready"));
        Node node = running(knowing(registry.server.address(), known));
        serves(node, now, 3);
        assertEquals(0, stale.asked.size());
    }

    /** Discovery that is away leaves a gateway the list of before its start, rather than none. */
    @Test
    void aStartWithoutDiscoveryServesByTheListItHas() throws Exception {
        Server host = host(SocketTest::echo);
        String known = list(1, true, entry("h0", host.address(), "ready"));
        Node node = running(knowing("127.0.0.1:1", known));
        serves(node, host, 3);
        assertFalse(host.asked.isEmpty());
    }

    /** A gateway that knows of no host would refuse all that it gets: it says so until it has a list. */
    @Test
    void withoutAnyListItIsNotHealthy() throws Exception {
        Server host = host(SocketTest::echo);
        AtomicBoolean away = new AtomicBoolean(true);
        Server agent = kept(new Server((m, s) -> {
            if (!away.get() && !m.start().contains("from=")) {
                s.getOutputStream().write(ok(list(1, true, entry("h0", host.address(), "ready"))));
            }
        }));
        Node node = nodeAsking(agent);
        assertEquals(503, health(node));
        away.set(false);
        await(agent, "from=1&");
        assertEquals(200, health(node));
        serves(node, host, 1);
    }

    /** It comes in parts, for longer than an answer may be silent: each part shows that the agent is there. */
    @Test
    void anAnswerThatComesInPartsIsWaitedFor() throws Exception {
        Server host = host(SocketTest::echo);
        Server agent = kept(new Server((m, s) -> {
            if (m.start().contains("from=")) {
                return;
            }
            byte[] whole = ok(list(1, true, entry("h0", host.address(), "ready")));
            for (int from = 0; from < whole.length; from += PART) {
                s.getOutputStream().write(whole, from, Math.min(PART, whole.length - from));
                Thread.sleep(PART_MS);
            }
        }));
        String settings = Sockets.config(agent.address(), "127.0.0.1:0")
                .replace("\"rules\": {", "\"rules\": {\"drain_grace_ms\": 400, ");
        Node node = running(settings);
        await(agent, "from=1&");
        serves(node, host, 1);
    }

    private int health(Node node) throws IOException {
        return client(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status();
    }
}
