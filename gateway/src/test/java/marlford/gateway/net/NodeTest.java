package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.headers;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.order;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Function;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.Events;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A node between real sockets: each test is a failure that must not cost a request or break a rule. */
class NodeTest extends SocketTest {
    private static final String DEAD = "127.0.0.1:1"; // below the ports that the system gives out

    @Test
    void requestAndAnswerPassUnchanged() throws Exception {
        byte[] body = new byte[60_000];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31);
        }
        Server host = startHost((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            s.getOutputStream().write(body);
        });
        Client c = connectClient(startNodeWithHosts(host));
        Message answer = c.send(order("id-1", "two copies")).receive();
        assertEquals(200, answer.status());
        assertArrayEquals(body, answer.body());
        Message sent = host.next();
        assertEquals("POST /order/x HTTP/1.1", sent.start());
        assertEquals("id-1", sent.header("X-Trace-Id"));
        assertEquals("key-id-1", sent.header("Idempotency-Key"));
        assertEquals("two copies", sent.text());
        assertTrue(Integer.parseInt(sent.header("X-Expires-In-Ms")) <= Sockets.PATIENCE_MS);
        assertEquals(200, c.send(view("id-2", Sockets.PATIENCE_MS)).receive().status());
        assertEquals("GET /view/id-2?z=3 HTTP/1.1", host.next().start());
    }

    @Test
    void aHostThatRefusesConnectionsCostsNoRequest() throws Exception {
        Server host = startHost(NodeTest::echo);
        Node node = startNodeWithEntries(entry("dead", DEAD, "ready"), entry("live", host.address(), "ready"));
        for (int i = 0; i < 10; i++) {
            assertEquals("for o" + i + " b", connectClient(node).send(order("o" + i, "b")).receive().text());
        }
        assertEquals(10, host.asked.size());
    }

    /** It may have run, so the client must not be told that a further try is harmless (rule 2). */
    @Test
    void aKeyedRequestWhoseConnectionsBreakFailsAndIsNotRefused() throws Exception {
        Server host = startHost((m, s) -> s.close());
        int status = connectClient(startNodeWithHosts(host)).send(order("o", "b")).receive().status();
        assertEquals(502, status);
        assertEquals(3, host.asked.size());
    }

    @Test
    void aRequestThatNeverRanIsRefusedWithATimeToComeBack() throws Exception {
        Server host = startHost((m, s) -> s.getOutputStream()
                .write(bytes("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")));
        Message answer = connectClient(startNodeWithHosts(host)).send(order("o", "b")).receive();
        assertEquals(429, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
    }

    @Test
    void excessIsRefusedAtOnceWithATimeToComeBack() throws Exception {
        Server host = startHost(NodeTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        String tiny = view("t", Sockets.PATIENCE_MS).replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        Message answer = c.send(tiny).receive();
        assertEquals(429, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(1, host.asked.size());
    }

    /** Another plan in the same customer's name once opened new books, with a full store. */
    @Test
    void anotherPlanClaimedRefillsNoStore() throws Exception {
        Server host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        String free = view("t", Sockets.PATIENCE_MS);
        String tiny = free.replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        for (String again : List.of(tiny, free, tiny)) {
            assertEquals(429, c.send(again).receive().status());
        }
        assertEquals(1, host.asked.size());
    }

    @Test
    void halfAnAnswerIsNeverServed() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Server host = startHost((m, s) -> {
            if (asked.incrementAndGet() > 1) {
                echo(m, s);
                return;
            }
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
            s.close();
        });
        assertEquals("for v ", connectClient(startNodeWithHosts(host)).send(view("v", Sockets.PATIENCE_MS)).receive().text());
        assertEquals(2, asked.get());
    }

    @Test
    void anAttemptEndsWithItsClient() throws Exception {
        Server host = startHost((m, s) -> { });
        Client c = connectClient(startNodeWithHosts(host));
        c.send(view("v", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        c.close();
        assertNotNull(host.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
    }

    /** What comes after the client's time must reach nobody: not that client, nor the next request. */
    @Test
    void aLateAnswerReachesNoOtherRequest() throws Exception {
        CountDownLatch timeIsUp = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            if (m.header("X-Trace-Id").equals("slow")) {
                timeIsUp.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Client c = connectClient(startNodeWithHosts(host));
        assertNotEquals(200, c.send(view("slow", 300)).receive().status());
        timeIsUp.countDown();
        for (int i = 0; i < 5; i++) {
            assertEquals("for v" + i + " ", c.send(view("v" + i, Sockets.PATIENCE_MS)).receive().text());
        }
    }

    @Test
    void badRequestsAreToldSoAndReachNoHost() throws Exception {
        Server host = startHost(NodeTest::echo);
        Node node = startNodeWithHosts(host);
        String good = view("v", 1000);
        for (String bad : List.of(good.replace("X-Plan: free\r\n", ""), good.replace("X-Plan: free", "X-Plan: none"),
                good.replace("/view/", "/nothing/"), good.replace("units=1", "units=x"),
                good.replace("b4d65521", "zzd65521"), good.replace("In-Ms: 1000", "In-Ms: soon"),
                good.replace("spread=1,", ""), good.replace("GET", "POST").replace("\r\n\r\n",
                        "\r\nContent-Length: 0\r\n\r\n"),
                order("o", "b").replace("Idempotency-Key", "X-Other"), "nonsense\r\n\r\n")) {
            assertEquals(400, connectClient(node).send(bad).receive().status(), bad);
        }
        assertEquals(404, connectClient(node).send("GET /favicon.ico HTTP/1.1\r\nHost: h\r\n\r\n").receive().status());
        assertEquals(413, connectClient(node).send("POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers("o", 1000)
                + "Idempotency-Key: k\r\nContent-Length: 60000000\r\n\r\n").receive().status());
        assertEquals(200, connectClient(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status());
        assertEquals(List.of(), host.asked);
    }

    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(NodeTest::echo)));
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            all.append(view("p" + i, Sockets.PATIENCE_MS));
        }
        c.send(all.toString());
        for (int i = 0; i < 40; i++) {
            assertEquals("for p" + i + " ", c.receive().text());
        }
    }

    @Test
    void aDrainingHostGetsNothingNewAndAMovedOneIsFollowed() throws Exception {
        Server old = startHost(NodeTest::echo);
        Server fresh = startHost(NodeTest::echo);
        Node node = startNodeWithHosts(old);
        Client c = connectClient(node);
        assertEquals(200, c.send(view("a", Sockets.PATIENCE_MS)).receive().status());
        awaitDiscoveryWatches(1);
        registry.news.add(list(2, false, entry("h0", old.address(), "draining"),
                entry("h1", DEAD, "ready")));
        registry.news.add(list(3, false, entry("h1", fresh.address(), "ready")));
        awaitDiscoveryWatches(3);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, c.send(view("b" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        assertEquals(1, old.asked.size());
        assertEquals(5, fresh.asked.size());
    }

    @Test
    void aFullListDropsTheHostsThatItDoesNotName() throws Exception {
        Server old = startHost(NodeTest::echo);
        Server fresh = startHost(NodeTest::echo);
        Node node = startNodeWithHosts(old);
        awaitDiscoveryWatches(1);
        registry.news.add(list(9, true, entry("h1", fresh.address(), "ready")));
        awaitDiscoveryWatches(2);
        assertEquals(200, connectClient(node).send(view("a", Sockets.PATIENCE_MS)).receive().status());
        assertEquals(0, old.asked.size());
    }

    /** The first calls of a watch that is broken again and again, and still goes on from the version held. */
    @Test
    void aBrokenWatchGoesOnFromItsVersion() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Server broken = closeAfterTest(new Server((m, s) -> {
            if (!m.start().contains("from=")) {
                s.getOutputStream().write(ok(list(7, true)));
            } else if (calls.incrementAndGet() < 4) {
                s.close();
            }
        }));
        startNode(Sockets.config(broken.address(), "127.0.0.1:0"));
        for (int i = 0; i < 5; i++) {
            String call = broken.next().start();
            assertEquals(i > 0, call.contains("from=7&"), call);
        }
    }

    /** One entry that can't be read once threw the whole list away, and again each time it was asked for. */
    @Test
    void aMalformedEntryCostsOnlyItsOwnHost() throws Exception {
        Server known = startHost(NodeTest::echo);
        Server fresh = startHost(NodeTest::echo);
        Node node = startNodeWithHosts(known);
        awaitDiscoveryWatches(1);
        registry.news.add(list(2, false, entry("h0", known.address(), "resting"), entry("h7", "nowhere", "ready"),
                "{}", entry("h1", fresh.address(), "ready")));
        awaitDiscoveryWatches(2);
        Client c = connectClient(node);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, c.send(view("a" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        assertEquals(0, known.asked.size()); // what it wants is not known, so it gets nothing new
        assertEquals(5, fresh.asked.size());
    }

    /** The old agent may have an answer under way, whose hosts are those of before the move. */
    @Test
    void anAgentThatWasLeftIsNotHeard() throws Exception {
        Server gone = startHost(NodeTest::echo);
        Server fresh = startHost(NodeTest::echo);
        CountDownLatch moved = new CountDownLatch(1);
        Server old = closeAfterTest(new Server((m, s) -> {
            moved.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(ok(list(900, true, entry("h0", gone.address(), "ready"))));
        }));
        Node node = startNode(Sockets.config(old.address(), "127.0.0.1:0"));
        assertNotNull(old.next());
        registry = closeAfterTest(new Registry(list(1, true, entry("h1", fresh.address(), "ready"))));
        node.reload(NodeConfig.of(new com.fasterxml.jackson.databind.ObjectMapper()
                .readTree(Sockets.config(registry.server.address(), "127.0.0.1:0"))));
        awaitDiscoveryWatches(1);
        moved.countDown();
        assertNotNull(old.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        for (int i = 0; i < 5; i++) {
            assertEquals("for v" + i + " ", connectClient(node).send(view("v" + i, Sockets.PATIENCE_MS)).receive().text());
        }
        assertEquals(5, fresh.asked.size());
    }

    private static int freePort() throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    @Test
    void peersAreAskedInShortDatagramsAndStrangersPassedOver() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port = freePort();
            String mine = "127.0.0.1:" + port;
            Server host = startHost(NodeTest::echo);
            registry = closeAfterTest(new Registry(list(1, true, entry("h0", host.address(), "ready"))));
            Node node = startNode(Sockets.config(registry.server.address(), mine, mine,
                    "127.0.0.1:" + peer.getLocalPort()));
            InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            for (DatagramSocket from : List.of(stranger, peer)) {
                for (int size : new int[] {0, 1, 40, 256, 257, 4000}) {
                    from.send(new DatagramPacket(new byte[size], size, to));
                }
            }
            // Several customers, since the node itself keeps the books of some of them.
            for (int i = 0; i < 8; i++) {
                String shared = view("s" + i, Sockets.PATIENCE_MS).replace("spread=1", "spread=2")
                        .replace("b4d65521", "b4d6552" + i);
                assertEquals(200, connectClient(node).send(shared).receive().status());
            }
            peer.setSoTimeout(Sockets.PATIENCE_MS);
            DatagramPacket told = new DatagramPacket(new byte[1000], 1000);
            peer.receive(told);
            assertTrue(told.getLength() > 0 && told.getLength() <= 256);
        }
    }

    /** What waited in its socket while the loop was busy was once sent on as new, and answered to nobody. */
    @Test
    void whatABusyLoopReadsTooLateIsRefusedAtOnce() throws Exception {
        Server host = startHost(NodeTest::echo);
        Node node = startNodeWithHosts(host);
        Client client = connectClient(node);
        assertEquals(200, client.send(view("r1", Sockets.PATIENCE_MS)).receive().status());
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        node.loop.execute(() -> {
            busy.countDown();
            try {
                sent.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
                double end = node.clock.now() + 1500;
                while (node.clock.now() < end) {
                    Thread.sleep(1);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(busy.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        client.send(view("r2", 2000));
        sent.countDown();
        Message answer = client.receive();
        assertEquals(429, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(1, host.asked.size());
        assertEquals(200, client.send(view("r3", Sockets.PATIENCE_MS)).receive().status());
    }

    /** A longer absence from a fleet that serves costs more than a slow start; a fleet at rest can wait. */
    @Test
    void isMissedOnceAPeerHasSpoken() throws Exception {
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port = freePort();
            String mine = "127.0.0.1:" + port;
            registry = closeAfterTest(new Registry(list(1, true)));
            Node node = startNode(Sockets.config(registry.server.address(), mine, mine,
                    "127.0.0.1:" + peer.getLocalPort()));
            InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            stranger.send(new DatagramPacket(new byte[8], 8, to));
            assertFalse(node.hasHeardFromPeers());
            peer.send(new DatagramPacket(new byte[8], 8, to));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
            while (!node.hasHeardFromPeers()) {
                assertTrue(System.nanoTime() < end, "the peer was not heard");
                Thread.sleep(5);
            }
        }
    }

    @Test
    void whatIsOpenAtADrainIsAnsweredAndItsConnectionClosed() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            draining.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client busy = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        Client idle = connectClient(node);
        assertNotNull(host.next());
        node.loop.submit(node::drain).sync();
        Client late = connectClient(node).send(view("w", Sockets.PATIENCE_MS)); // clients still come for a while
        draining.countDown();
        for (Client c : List.of(busy, late)) {
            Message answer = c.receive();
            assertEquals(200, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertNull(c.receive());
        }
        assertNull(idle.receive());
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
    }

    /** Nobody has its place yet: who is connected is served, and only health says that an end is near. */
    @Test
    void aDrainAmongOthersServesWhoeverIsConnected() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        Client regular = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        assertEquals(200, regular.receive().status());
        node.loop.submit(() -> node.drainAfter(Sockets.PATIENCE_MS)).sync();
        assertEquals(503, connectClient(node).send("GET /healthz HTTP/1.1\r\n\r\n").receive().status());
        Message answer = regular.send(view("w", Sockets.PATIENCE_MS)).receive();
        assertEquals(200, answer.status());
        assertNull(answer.header("Connection"));
        node.loop.submit(node::releaseClients).sync();
        Client last = regular.send(view("x", Sockets.PATIENCE_MS));
        assertEquals("close", last.receive().header("Connection"));
        assertNull(last.receive());
    }

    /** Nothing may be left open when the process is killed: what still runs then is failed or refused before. */
    @Test
    void aDrainEndsWhatAHostNeverAnswers() throws Exception {
        Server host = startHost((m, s) -> { });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(order("o", "b"));
        assertNotNull(host.next());
        node.loop.submit(node::drain).sync();
        assertEquals(502, c.receive().status());
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
    }

    /** Effects come from the settings alone, also where two nodes of one process know a class by the same name. */
    @Test
    void oneNodesSettingsAreNotAnothers() throws Exception {
        Server host = startHost((m, s) -> s.close());
        Node repeats = startNodeWithHosts(host);
        String once = Sockets.config(registry.server.address(), "127.0.0.1:0").replace("repeatable", "once");
        Node never = startNode(once);
        String unsafe = view("u", Sockets.PATIENCE_MS).replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n");
        for (int i = 1; i <= 3; i++) {
            assertEquals(429, connectClient(repeats).send(view("v" + i, Sockets.PATIENCE_MS)).receive().status());
            assertEquals(4 * i - 1, host.asked.size(), "three attempts of what may be repeated");
            assertEquals(502, connectClient(never).send(unsafe.replace("/u?", "/u" + i + "?")).receive().status());
            assertEquals(4 * i, host.asked.size(), "one of what may not");
        }
        assertEquals(400, connectClient(repeats).send(unsafe).receive().status());
        assertEquals(400, connectClient(never).send(view("v", Sockets.PATIENCE_MS)).receive().status());
    }

    /** A module that does only what a test says of a request. */
    private record Scripted(BiConsumer<Double, Request> script) implements Quiet {
        @Override
        public void onRequest(double now, Request r) {
            script.accept(now, r);
        }
    }

    private Node scripted(Function<Actions, Events> module) throws IOException {
        registry = closeAfterTest(new Registry(list(1, true)));
        Node node = Sockets.node(Sockets.config(registry.server.address(), "127.0.0.1:0"), module);
        resources.push(node::stop);
        return node;
    }

    /** A request that the engine leaves open or throws on is answered with a failure, not a refusal, because it may have run. */
    @Test
    void aModuleThatThrowsStillCostsNoAnswer() throws Exception {
        Node node = scripted(act -> new Scripted((now, r) -> {
            if (r.requestClass().equals("view")) {
                throw new IllegalStateException("made up by the test");
            }
            act.refuse(r.id(), 100);
        }));
        Client c = connectClient(node);
        assertEquals(504, c.send(view("v", 300)).receive().status());
        assertEquals(429, c.send(order("o", "b")).receive().status());
    }

    /** Only the first final answer goes out; a second one would be taken for the next request's. */
    @Test
    void aModuleThatAnswersTwiceIsHeardOnce() throws Exception {
        Node node = scripted(act -> new Scripted((now, r) -> {
            if (r.requestClass().equals("view")) {
                act.fail(r.id());
            }
            act.refuse(r.id(), 100);
            act.refuse(r.id(), 100);
        }));
        Client c = connectClient(node);
        assertEquals(502, c.send(view("v", Sockets.PATIENCE_MS)).receive().status());
        assertEquals(429, c.send(order("o", "b")).receive().status());
        assertEquals(502, c.send(view("w", Sockets.PATIENCE_MS)).receive().status());
    }

    /** Idle clients may not use up the descriptors that others need, nor may a busy one be cut off for them. */
    @Test
    void idleConnectionsGiveWayBeforeDescriptorsRunOut() throws Exception {
        CountDownLatch crowded = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            if (m.header("X-Trace-Id").equals("held")) {
                crowded.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", host.address(), "ready"))));
        Node node = startNode(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"sockets\": 1024", "\"sockets\": 20"));
        Client held = connectClient(node).send(view("held", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        Client first = connectClient(node);
        for (int i = 0; i < 30; i++) {
            assertEquals("for v" + i + " ", connectClient(node).send(view("v" + i, Sockets.PATIENCE_MS)).receive().text());
        }
        assertNull(first.receive());
        crowded.countDown();
        assertEquals("for held ", held.receive().text());
    }

    /** Each was once taken as it stood, and showed only in what then happened to requests. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"\"hard_limit_ms\": 60000|\"hard_limit_ms\": 0|hard_limit_ms",
        "\"hard_limit_ms\": 60000|\"hard_limit_ms\": -5|hard_limit_ms", "\"goal_time_ms\": 20000|\"goal_time_ms\": -1|goal_time_ms",
        "\"goal_time_ms\": 20000, |''|goal_time_ms", "\"effect\": \"repeatable\"|\"effect\": \"seldom\"|effect",
        "\"effect\": \"repeatable\", |''|effect", "\"window_ms\": 60000|\"window_ms\": 0|window_ms",
        "\"connect_timeout_ms\": 5000|\"connect_timeout_ms\": 0|connect_timeout_ms",
        "\"connect_timeout_ms\": 5000|\"conn_idle_ms\": 0|conn_idle_ms",
        "\"connect_timeout_ms\": 5000|\"conn_idle_ms\": -3|conn_idle_ms", "\"max_attempts\": 3|\"max_attempts\": 0|max_attempts",
        "\"units_per_s\": 0.001|\"units_per_s\": -1|units_per_s", "\"ordinal\": 0|\"ordinal\": 1|ordinal",
        "\"cold_from\": 0.2|\"cold_from\": 1.5|cold_from", "\"name\": \"tiny\"|\"name\": \"free\"|plans.free.name",
        "\"max_units\": 4|\"max_units\": 0|max_units", "\"sockets\": 1024|\"sockets\": 0|sockets"})
    void settingsThatCannotBeAreNamed(String good, String bad, String named) {
        String config = Sockets.config("127.0.0.1:1", "127.0.0.1:0");
        assertTrue(config.contains(good));
        Exception e = assertThrows(RuntimeException.class, () -> NodeConfig.of(
                new com.fasterxml.jackson.databind.ObjectMapper().readTree(config.replace(good, bad))));
        assertTrue(e.getMessage().contains(named), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    @Test
    void aBadConfigurationIsOnePlainLine() {
        for (String bad : List.of("[]", "{}", Sockets.config("nowhere", "127.0.0.1:0"),
                Sockets.config("127.0.0.1:1", "127.0.0.1:0").replace("by_key", "by_luck"))) {
            Exception e = assertThrows(RuntimeException.class,
                    () -> NodeConfig.of(new com.fasterxml.jackson.databind.ObjectMapper().readTree(bad)));
            assertEquals(1, e.getMessage().lines().count());
        }
        NodeConfig.BadConfig missing = assertThrows(NodeConfig.BadConfig.class, () -> NodeConfig.readFile("/no/such/file"));
        assertEquals(1, missing.getMessage().lines().count());
    }
}
