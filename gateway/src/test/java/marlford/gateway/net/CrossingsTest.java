package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import marlford.gateway.start.StartBudget;
import marlford.gateway.upgrade.Successor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two events that meet: each test brings the meeting about, and none waits for chance to do so. */
class CrossingsTest extends SocketTest {
    /** A host that notes on which connection each request comes. */
    private Server noting(List<Socket> used) throws IOException {
        return startHost((m, s) -> {
            used.add(s);
            echo(m, s);
        });
    }

    private static boolean known(Node node, String id) throws Exception {
        return node.loop.submit(() -> node.isRequestOpen(id)).get();
    }

    // ---- the end of an attempt, and what follows from it

    /** Sends what it is told once, and holds the loop at its end until the host has seen its connection end. */
    private static final class Holding implements Quiet {
        private final Actions act;
        private final Server host;
        private final AtomicReference<Outcome> ended;
        private final AtomicReference<Boolean> closedBefore;

        Holding(Actions act, Server host, AtomicReference<Outcome> ended, AtomicReference<Boolean> closedBefore) {
            this.act = act;
            this.host = host;
            this.ended = ended;
            this.closedBefore = closedBefore;
        }

        @Override
        public void onRequest(double now, Request r) {
            act.send(r.id(), "h0", 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            ended.set(r.outcome());
            try {
                closedBefore.set(host.ended.poll(CLOSES_WITHIN_S, TimeUnit.SECONDS) != null);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            act.fail(r.id());
        }
    }

    /** Sends the first request with this time limit; the second holds the loop until the first is answered and its time is up. */
    private static final class Late implements Quiet {
        private static final double LIMIT_MS = 300;
        private final Actions act;
        private final CountDownLatch held;
        private final CountDownLatch answered;
        private final AtomicReference<Outcome> ended;

        Late(Actions act, CountDownLatch held, CountDownLatch answered, AtomicReference<Outcome> ended) {
            this.act = act;
            this.held = held;
            this.answered = answered;
            this.ended = ended;
        }

        @Override
        public void onRequest(double now, Request r) {
            if (r.id().equals("a")) {
                act.send(r.id(), "h0", LIMIT_MS);
                return;
            }
            held.countDown();
            try {
                assertTrue(answered.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) LIMIT_MS); System.nanoTime() < end;) {
                Thread.onSpinWait();
            }
            act.refuse(r.id(), 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            ended.compareAndSet(null, r.outcome());
            act.fail(r.id()); // where it was answered, nobody is owed this
        }
    }

    /**
     * The loop reads a client while an answer comes and its time runs out; the limit's timer is then ahead of the answer. The
     * same holds for an answer whose first part came in time, and that then seemed to stand still.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerThatStandsInItsSocketIsNotTimedOutByALateLoop(boolean begun) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch first = new CountDownLatch(1);
        byte[] answer = ok("in time");
        int split = begun ? 10 : 0;
        Server host = startHost((m, s) -> {
            s.getOutputStream().write(answer, 0, split);
            first.countDown();
            held.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(answer, split, answer.length - split);
            answered.countDown();
        });
        AtomicReference<Outcome> ended = new AtomicReference<>();
        Node node = startNodeWithHosts(host, act -> new Late(act, held, answered, ended));
        Client waits = connectClient(node).send(view("a", Sockets.PATIENCE_MS));
        assertTrue(first.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        Client holds = connectClient(node).send(view("b", Sockets.PATIENCE_MS));
        assertEquals(200, waits.receive().status());
        Sockets.await(() -> ended.get() != null, "the module is told, just after the client is");
        assertEquals(Outcome.OK, ended.get());
        assertEquals(429, holds.receive().status());
    }

    private static final int LONG_MS = 60_000; // a client's patience, where the clock is moved
    private static final int CLOSES_WITHIN_S = 5; // on a busy machine; only a gateway at fault takes as long

    /**
     * The module was once told of a spoilt answer while its connection still stood, and what it sent in that call was a
     * second attempt out beside the first (rule 2, where settings allow no second copy).
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 twohundred\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nno length",
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nand no more", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n"})
    void anAttemptsConnectionEndsBeforeTheModuleHearsOfItsEnd(String spoilt) throws Exception {
        Server host = startHost((m, s) -> s.getOutputStream().write(bytes(spoilt)));
        AtomicReference<Outcome> ended = new AtomicReference<>();
        AtomicReference<Boolean> closedBefore = new AtomicReference<>();
        Node node = startNodeWithHosts(host, act -> new Holding(act, host, ended, closedBefore));
        // An answer that is too long goes nowhere with a client of before chunks and lengths.
        assertEquals(502, connectClient(node).send(view("v", Sockets.PATIENCE_MS)).receive().status());
        assertEquals(Outcome.SPOILT, ended.get());
        assertTrue(closedBefore.get(), "the first attempt was still out");
    }

    // ---- connections to hosts that come up late

    /** A drain's grace may be over by the time at which a connection comes up: nothing is written on it then. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "ready"})
    void whatWasComingUpForAHostThatGoesLeavesForAnother(String state) throws Exception {
        Door late = closeAfterTest(new Door());
        Server other = startHost(SocketTest::echo);
        Node node = startNodeWithEntries(entry("h0", late.address(), "ready"));
        awaitDiscoveryWatches(1);
        Client c = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        Sockets.await(() -> known(node, "v"), "the request is taken");
        String told = state.equals("ready") // in another life, elsewhere
                ? entry("h0", other.address(), state).replace("\"started_ms\":0", "\"started_ms\":1")
                : entry("h0", late.address(), state);
        registry.news.add(list(2, false, told, entry("h1", other.address(), "ready")));
        awaitDiscoveryWatches(2);
        late.open();
        assertEquals("for v ", c.receive().text());
        assertEquals(List.of(), late.asked);
        assertEquals(1, other.asked.size());
    }

    /** Also where the settings allow no attempt to be cancelled: what has not left never does. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestWhoseClientLeavesWhileItsConnectionComesUpIsNotSentOn(boolean reset) throws Exception {
        Door late = closeAfterTest(new Door());
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", late.address(), "ready"))));
        Node node = startNode(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"cancel\": true", "\"cancel\": false"));
        Client c = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        Sockets.await(() -> known(node, "v"), "the request is taken");
        if (reset) {
            c.socket.setSoLinger(true, 0);
        }
        c.close();
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has seen the client leave");
        late.open();
        Sockets.await(() -> !known(node, "v"), "its attempt is over");
        assertEquals(List.of(), late.asked);
    }

    // ---- clients that leave while their requests are held

    /** One, and 200 in one burst, by an end and by a reset: a place that is free later is for others. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void heldRequestsWhoseClientsLeftAreNotSentOn(boolean reset) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            if (m.header("X-Trace-Id").startsWith("first")) {
                left.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        List<Client> first = new ArrayList<>();
        for (int i = 0; i < 40; i++) { // more than the places of one gateway before one host
            first.add(connectClient(node).send(view("first" + i, Sockets.PATIENCE_MS)));
        }
        for (int i = 0; i < 40; i++) {
            String id = "first" + i;
            Sockets.await(() -> known(node, id), id);
        }
        List<Client> leaving = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            leaving.add(connectClient(node).send(view("left" + i, Sockets.PATIENCE_MS)));
        }
        Sockets.await(() -> known(node, "left199"), "the last of them is held");
        for (Client c : leaving) {
            if (reset) {
                c.socket.setSoLinger(true, 0);
            }
            c.close();
        }
        for (int i = 0; i < 200; i++) {
            String id = "left" + i;
            Sockets.await(() -> !known(node, id), id);
        }
        left.countDown();
        for (Client c : first) {
            assertEquals(200, c.receive().status());
        }
        assertTrue(host.asked.stream().noneMatch(m -> m.header("X-Trace-Id").startsWith("left")));
    }

    // ---- idle connections

    /** Its host may be closing it just now; the sweep had not come to it, and a short idle time is over before it does. */
    @Test
    void aConnectionThatWasIdleForTooLongIsNotUsedAgain() throws Exception {
        List<Socket> used = new ArrayList<>();
        Server host = noting(used);
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", host.address(), "ready"))));
        MovedClock clock = new MovedClock();
        Node node = startNodeWithClock(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"connect_timeout_ms\": 5000", "\"connect_timeout_ms\": 5000, \"conn_idle_ms\": 20000"), clock);
        Client c = connectClient(node);
        assertEquals(200, c.send(view("a", LONG_MS)).receive().status());
        node.loop.submit(() -> {
            clock.move(13_000); // in one turn of the loop with the request that follows: no sweep falls between
            try {
                c.send(view("b", LONG_MS));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).sync();
        assertEquals(200, c.receive().status());
        assertEquals(2, used.size());
        assertTrue(used.get(0) != used.get(1), "asked again on a connection that its host may be closing");
    }

    /** A second answer that a host sends while the next request is on its way was served to that request's client. */
    @Test
    void aSecondAnswerThatCrossesTheNextRequestReachesNobody() throws Exception {
        List<Socket> used = new ArrayList<>();
        Server host = startHost((m, s) -> {
            if (used.contains(s)) { // as if it had left just before this request came
                s.getOutputStream().write(ok("the answer of before, once more"));
            }
            used.add(s);
            echo(m, s);
        });
        MovedClock clock = MovedClock.standing();
        Node node = startNodeWithHosts(host, clock);
        Client c = connectClient(node);
        for (int i = 0; i < 5; i++) {
            assertEquals("for v" + i + " ", c.send(view("v" + i, LONG_MS)).receive().text());
            node.loop.submit(() -> clock.move(HostClient.MIN_REST_MS / 10)).sync();
        }
        assertEquals(5, used.size());
    }

    /** Once what a host may still have said would have come, its connection is used again. */
    @Test
    void aRestedConnectionIsUsedAgain() throws Exception {
        List<Socket> used = new ArrayList<>();
        Server host = noting(used);
        MovedClock clock = MovedClock.standing();
        Node node = startNodeWithHosts(host, clock);
        Client c = connectClient(node);
        for (int i = 0; i < 3; i++) {
            assertEquals(200, c.send(view("v" + i, LONG_MS)).receive().status());
            node.loop.submit(() -> clock.move(HostClient.MIN_REST_MS + 1)).sync(); // behind the turn in which it came to rest
        }
        assertEquals(1, used.stream().distinct().count());
    }

    // ---- clients that are not read

    /** Its end stands behind what it sent ahead, and the gateway reads only so much of that: none of it is sent on. */
    @ParameterizedTest
    @ValueSource(ints = {2, 16, 17, 40, 60})
    void requestsSentAheadByAClientThatLeftAreNotSentOn(int many) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            left.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < many; i++) {
            all.append(view("p" + i, Sockets.PATIENCE_MS));
        }
        Client c = connectClient(node).send(all.toString());
        assertNotNull(host.next());
        c.close();
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has seen the client leave");
        left.countDown();
        assertEquals("for w ", connectClient(node).send(view("w", Sockets.PATIENCE_MS)).receive().text());
        assertEquals(2, host.asked.size());
    }

    // ---- the last answer on a connection

    /** A client of few bytes at a time, which the system can't be sent a long answer ahead of its reading. */
    private Client narrow(Node node) throws IOException {
        Socket s = new Socket();
        s.setReceiveBufferSize(4096);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
        return closeAfterTest(new Client(s));
    }

    /** {@code v}, as the last of its connection, and as many others behind it as the gateway does not read. */
    private static String lastAndMore(int more) {
        StringBuilder all = new StringBuilder(view("v", LONG_MS).replace("Host: h", "Host: h\r\nConnection: close"));
        for (int i = 0; i < more; i++) {
            all.append(view("p" + i, LONG_MS));
        }
        return all.toString();
    }

    /**
     * The connection was closed over what stood unread, which resets it: the system then forgets what has not reached the
     * client of its answer. The client begins to read when the gateway has ended its part.
     */
    @Test
    void theLastAnswerIsWholeThoughItsClientSentMoreThanIsRead() throws Exception {
        String text = "x".repeat(60_000);
        Server host = startHost((m, s) -> s.getOutputStream().write(ok(text)));
        Node node = startNodeWithHosts(host);
        Client c = narrow(node).send(lastAndMore(1000));
        assertNotNull(host.next());
        Sockets.await(() -> !known(node, "v"), "its answer is on its way");
        for (int i = 0; i < 10; i++) { // a socket that the loop knows is closed for good in a later turn of it
            node.loop.submit(() -> { }).sync();
        }
        assertEquals(text, c.receive().text());
        assertNull(c.receive());
        assertEquals(1, host.asked.size());
    }

    /** Who neither ends the connection nor stops sending is ended, by time or by what came. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatStaysAfterItsLastAnswerIsEnded(boolean sends) throws Exception {
        MovedClock clock = new MovedClock();
        Node node = startNodeWithHosts(startHost(SocketTest::echo), clock);
        Client c = connectClient(node).send(lastAndMore(0));
        assertEquals("for v ", c.receive().text());
        assertNull(c.receive());
        assertEquals(1, (int) node.loop.submit(node::connectionCount).get());
        if (sends) {
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    c.send("x".repeat(64 * 1024));
                }
            });
        } else {
            clock.move(LONG_MS / 10.0);
        }
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway ends it");
    }

    // ---- the end of a process

    /** A request that comes when all has been given up once waited for its time, which the process did not outlive. */
    @Test
    void whatComesAfterTheEndOfADrainIsAnsweredAtOnce() throws Exception {
        Server host = startHost(SocketTest::echo);
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node);
        assertEquals(200, c.send(view("a", Sockets.PATIENCE_MS)).receive().status());
        node.loop.submit(node::endAllRequests).sync();
        Message answer = c.send(view("b", Sockets.PATIENCE_MS)).receive();
        assertEquals(503, answer.status());
        assertNotNull(answer.header("Retry-After"));
        assertEquals(1, host.asked.size());
    }

    /** What was held and never sent is another gateway's to try: it was once answered as failed. */
    @Test
    void whatIsStillHeldAtTheEndIsRefusedWithATimeToComeBack() throws Exception {
        Server host = startHost((m, s) -> { });
        Node node = startNodeWithHosts(host);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(connectClient(node).send(view("v" + i, Sockets.PATIENCE_MS)));
            String id = "v" + i;
            Sockets.await(() -> known(node, id), id);
        }
        node.loop.submit(node::endAllRequests).sync();
        for (Client c : clients) {
            Message answer = c.receive();
            assertEquals(429, answer.status());
            assertNotNull(answer.header("Retry-After"));
        }
        assertTrue(host.asked.size() < 40, "none was held");
    }

    /** Who stands in the listener's queue when it closes was once reset with it. */
    @Test
    void whoConnectedBeforeTheListenerClosedIsServed() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        int port = node.port();
        Socket waiting = node.loop.submit(() -> {
            node.clientServer.stopAccepting();
            Socket s = new Socket(InetAddress.getLoopbackAddress(), port); // the loop does not come to it before
            s.setSoTimeout(Sockets.PATIENCE_MS);
            s.getOutputStream().write(bytes(view("q", Sockets.PATIENCE_MS)));
            return s;
        }).get();
        closeAfterTest(waiting);
        assertEquals("for q ", Sockets.read(waiting.getInputStream()).text());
        assertFalse(node.loop.submit(() -> node.clientServer.listener().isOpen()).get());
    }

    /** A connection that was just made is about to ask, and its request once met the end of its connection. */
    @Test
    void whoHasJustConnectedIsNotIdle() throws Exception {
        MovedClock clock = new MovedClock();
        Node node = startNodeWithHosts(startHost(SocketTest::echo), clock);
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "it is accepted");
        node.loop.submit(node.clientServer::closeIdleConnections).sync();
        assertEquals("for v ", c.send(view("v", Sockets.PATIENCE_MS)).receive().text());
        Client silent = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 2, "it is accepted");
        clock.move(1000);
        node.loop.submit(node.clientServer::closeIdleConnections).sync();
        assertNull(silent.receive());
    }

    /** A listener that opens when the end has closed it already stood open for clients until the process was gone. */
    @Test
    void anEndDuringTheStartOpensNoListener() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        Server agent = closeAfterTest(new Server((m, s) -> {
            asked.countDown();
            if (!m.start().contains("from=")) {
                answer.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
                s.getOutputStream().write(ok(list(1, true)));
            }
        }));
        Node node = Sockets.unstarted(Sockets.config(agent.address(), "127.0.0.1:0"));
        resources.push(node::stop);
        AtomicReference<Boolean> served = new AtomicReference<>();
        Thread start = new Thread(() -> {
            try {
                served.set(node.start(null, new StartBudget(() -> 0)));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        start.start();
        assertTrue(asked.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS), "the start waits for a first word");
        node.loop.submit(() -> {
            node.drain();
            node.clientServer.stopAccepting(); // as if its time had come
        }).sync();
        answer.countDown();
        start.join();
        assertEquals(false, served.get());
        assertNull(node.clientServer.listener());
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
    }

    /** Told to end and to make room for another process, in either order: what stands in the queue is served once. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anEndAndAnUpgradeCloseTheListenerOnce(boolean endFirst) throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        int port = node.port();
        Successor.ServingProcess place = node.handoverSteps(() -> { });
        Socket waiting = closeAfterTest(new Socket());
        node.loop.submit(() -> {
            node.clientServer.pauseAccepting();
            waiting.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            if (endFirst) {
                node.clientServer.stopAccepting();
            }
            return null;
        }).sync();
        place.stopAccepting();
        if (!endFirst) {
            node.loop.submit(node.clientServer::stopAccepting).sync();
        }
        waiting.setSoTimeout(Sockets.PATIENCE_MS);
        waiting.getOutputStream().write(bytes(view("q", Sockets.PATIENCE_MS)));
        assertEquals("for q ", Sockets.read(waiting.getInputStream()).text());
        assertNull(node.clientServer.listener());
    }

    // ---- the list

    /** A late loop finds the answer in the socket and the time limit of its call due, in either order. */
    @Test
    void anAnswerThatStandsInTheSocketIsNotLateForBeingReadLate() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        List<Integer> connections = new ArrayList<>();
        Server agent = closeAfterTest(new Server((m, s) -> {
            connections.add(s.getPort());
            asked.countDown();
            if (!m.start().contains("from=")) {
                answer.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
                s.getOutputStream().write(ok(list(1, true)));
            }
        }));
        Node node = Sockets.unstarted(Sockets.config(agent.address(), "127.0.0.1:0"));
        resources.push(node::stop);
        Thread start = new Thread(() -> {
            try {
                node.start();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        start.start();
        assertTrue(asked.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        node.loop.submit(() -> {
            answer.countDown();
            double end = node.clock.now() + 1500; // beyond the patience of a call for a whole list
            while (node.clock.now() < end) {
                Thread.onSpinWait();
            }
        }).sync();
        Sockets.await(() -> connections.size() == 2, "the watch follows the list");
        assertEquals(connections.get(0), connections.get(1), "the call was given up with its answer unread");
        start.join();
    }
}
