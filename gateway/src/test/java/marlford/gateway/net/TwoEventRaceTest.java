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
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import marlford.gateway.start.StartBudget;
import marlford.gateway.upgrade.HandoverServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Race conditions between two events. A test forces the order that once failed, unless its comment says otherwise. */
class TwoEventRaceTest extends SocketTest {
    /** A host that echoes and records the connection on which each request arrives. */
    private RecordingServer recordingHost(List<Socket> connections) throws IOException {
        return startHost((m, s) -> {
            connections.add(s);
            echo(m, s);
        });
    }

    private static boolean isOpenRequest(Node node, String id) throws Exception {
        return node.loop.submit(() -> node.isRequestOpen(id)).get();
    }

    // ---- the end of an attempt and what the engine does next

    /**
     * Sends each request once. When the attempt ends, blocks the event loop until the host has seen its connection
     * close.
     */
    private static final class BlockingUntilClose implements NoOpEngine {
        private final Actions actions;
        private final RecordingServer host;
        private final AtomicReference<Outcome> outcome;
        private final AtomicReference<Boolean> closedBeforeEvent;

        BlockingUntilClose(Actions actions, RecordingServer host, AtomicReference<Outcome> outcome,
                AtomicReference<Boolean> closedBeforeEvent) {
            this.actions = actions;
            this.host = host;
            this.outcome = outcome;
            this.closedBeforeEvent = closedBeforeEvent;
        }

        @Override
        public void onRequest(double now, Request r) {
            actions.send(r.id(), "h0", 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            outcome.set(r.outcome());
            try {
                closedBeforeEvent.set(host.endedConnections.poll(CLOSE_TIMEOUT_S, TimeUnit.SECONDS) != null);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            actions.fail(r.id());
        }
    }

    /**
     * Sends request {@code a} with a time limit. Any other request blocks the event loop until {@code a} is answered
     * and its time limit has expired.
     */
    private static final class BlockingPastTimeLimit implements NoOpEngine {
        private static final double TIME_LIMIT_MS = 300;
        private final Actions actions;
        private final CountDownLatch loopBlocked;
        private final CountDownLatch responseWritten;
        private final AtomicReference<Outcome> outcome;

        BlockingPastTimeLimit(Actions actions, CountDownLatch loopBlocked, CountDownLatch responseWritten,
                AtomicReference<Outcome> outcome) {
            this.actions = actions;
            this.loopBlocked = loopBlocked;
            this.responseWritten = responseWritten;
            this.outcome = outcome;
        }

        @Override
        public void onRequest(double now, Request r) {
            if (r.id().equals("a")) {
                actions.send(r.id(), "h0", TIME_LIMIT_MS);
                return;
            }
            loopBlocked.countDown();
            try {
                assertTrue(responseWritten.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) TIME_LIMIT_MS); System.nanoTime() < end;) {
                Thread.onSpinWait();
            }
            actions.refuse(r.id(), 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            outcome.compareAndSet(null, r.outcome());
            actions.fail(r.id()); // has no effect where the request was answered before
        }
    }

    /**
     * The event loop is busy while a response arrives and the time limit of its attempt expires, so the timer task is
     * queued ahead of the read. Neither a response that is completely in the socket nor one whose first part was read
     * in time may count as timed out.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseInTheSocketIsNotTimedOutByABusyEventLoop(boolean partial) throws Exception {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch responseWritten = new CountDownLatch(1);
        CountDownLatch firstPartWritten = new CountDownLatch(1);
        byte[] response = ok("in time");
        int split = partial ? 10 : 0;
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(response, 0, split);
            firstPartWritten.countDown();
            loopBlocked.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(response, split, response.length - split);
            responseWritten.countDown();
        });
        AtomicReference<Outcome> outcome = new AtomicReference<>();
        Node node = startNodeWithHosts(host, actions -> new BlockingPastTimeLimit(actions, loopBlocked, responseWritten, outcome));
        Client waitingClient = connectClient(node).send(view("a", Sockets.TIMEOUT_MS));
        assertTrue(firstPartWritten.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        Client blockingClient = connectClient(node).send(view("b", Sockets.TIMEOUT_MS));
        assertEquals(200, waitingClient.receive().status());
        Sockets.await(() -> outcome.get() != null, "the engine is notified, just after the client has the response");
        assertEquals(Outcome.OK, outcome.get());
        assertEquals(429, blockingClient.receive().status());
    }

    private static final int CLIENT_TIME_MS = 60_000; // remaining time that clients announce in tests that advance the clock
    private static final int CLOSE_TIMEOUT_S = 5; // allows for a busy machine; only a faulty gateway takes this long

    /**
     * The engine was once notified of a malformed response while the connection was still open. An attempt that it
     * sent from that notification then ran concurrently with the first one, which is forbidden unless the settings
     * allow concurrent attempts. The engine of this test only checks that the connection is closed; it sends no
     * second attempt.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 twohundred\r\n\r\n", "HTTP/1.1 500 Oops\r\n\r\nno length",
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nand no more", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n"})
    void anAttemptsConnectionIsClosedBeforeTheEngineIsNotified(String malformedResponse) throws Exception {
        RecordingServer host = startHost((m, s) -> s.getOutputStream().write(bytes(malformedResponse)));
        AtomicReference<Outcome> outcome = new AtomicReference<>();
        AtomicReference<Boolean> closedBeforeEvent = new AtomicReference<>();
        Node node = startNodeWithHosts(host, actions -> new BlockingUntilClose(actions, host, outcome, closedBeforeEvent));
        // None of these responses is passed on: the engine fails the request, and the client gets 502.
        assertEquals(502, connectClient(node).send(view("v", Sockets.TIMEOUT_MS)).receive().status());
        assertEquals(Outcome.SPOILT, outcome.get());
        assertTrue(closedBeforeEvent.get(), "the connection of the first attempt was still open");
    }

    // ---- connections to hosts that take long to be established

    /**
     * While a request waits for a connection, its host starts to drain, is gone, or has restarted at another address
     * (the case "ready"). Once the connection is established, nothing is written on it, and the request is sent to
     * another address. This includes a draining host because its grace period may have ended in the meantime.
     */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "ready"})
    void aRequestAwaitingAConnectionToARemovedHostIsSentToAnother(String state) throws Exception {
        BlockedHost blockedHost = closeAfterTest(new BlockedHost());
        RecordingServer other = startHost(SocketTest::echo);
        Node node = startNodeWithEntries(entry("h0", blockedHost.address(), "ready"));
        awaitDiscoveryWatches(1);
        Client c = connectClient(node).send(view("v", Sockets.TIMEOUT_MS));
        Sockets.await(() -> isOpenRequest(node, "v"), "the request is accepted");
        String updatedEntry = state.equals("ready") // restarted at another address
                ? entry("h0", other.address(), state).replace("\"started_ms\":0", "\"started_ms\":1")
                : entry("h0", blockedHost.address(), state);
        registry.updates.add(list(2, false, updatedEntry, entry("h1", other.address(), "ready")));
        awaitDiscoveryWatches(2);
        blockedHost.startAccepting();
        assertEquals("for v ", c.receive().text());
        assertEquals(List.of(), blockedHost.requestLines);
        assertEquals(1, other.requests.size());
    }

    /**
     * Holds even where the settings do not allow to cancel attempts: a request that has not been written is never
     * sent.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestIsNotSentWhenItsClientDisconnectsDuringConnect(boolean reset) throws Exception {
        BlockedHost blockedHost = closeAfterTest(new BlockedHost());
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", blockedHost.address(), "ready"))));
        Node node = startNode(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"cancel\": true", "\"cancel\": false"));
        Client c = connectClient(node).send(view("v", Sockets.TIMEOUT_MS));
        Sockets.await(() -> isOpenRequest(node, "v"), "the request is accepted");
        if (reset) {
            c.socket.setSoLinger(true, 0);
        }
        c.close();
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has noticed that the client disconnected");
        blockedHost.startAccepting();
        Sockets.await(() -> !isOpenRequest(node, "v"), "the attempt has ended");
        assertEquals(List.of(), blockedHost.requestLines);
    }

    // ---- clients that disconnect while their requests are queued

    /**
     * 200 clients whose requests are queued disconnect in one burst, all by FIN or all by RST. None of their requests
     * is sent when concurrency slots are released later.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void queuedRequestsOfDisconnectedClientsAreNotSent(boolean reset) throws Exception {
        CountDownLatch clientsGone = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            if (m.header("X-Trace-Id").startsWith("first")) {
                clientsGone.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        List<Client> earlierClients = new ArrayList<>();
        for (int i = 0; i < 40; i++) { // more than the concurrency slots of one gateway at one host
            earlierClients.add(connectClient(node).send(view("first" + i, Sockets.TIMEOUT_MS)));
        }
        for (int i = 0; i < 40; i++) {
            String id = "first" + i;
            Sockets.await(() -> isOpenRequest(node, id), id);
        }
        List<Client> disconnectingClients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            disconnectingClients.add(connectClient(node).send(view("left" + i, Sockets.TIMEOUT_MS)));
        }
        Sockets.await(() -> isOpenRequest(node, "left199"), "the last request is queued");
        for (Client c : disconnectingClients) {
            if (reset) {
                c.socket.setSoLinger(true, 0);
            }
            c.close();
        }
        for (int i = 0; i < 200; i++) {
            String id = "left" + i;
            Sockets.await(() -> !isOpenRequest(node, id), id);
        }
        clientsGone.countDown();
        for (Client c : earlierClients) {
            assertEquals(200, c.receive().status());
        }
        assertTrue(host.requests.stream().noneMatch(m -> m.header("X-Trace-Id").startsWith("left")));
    }

    // ---- idle connections

    /**
     * A connection that has been idle for more than 0.6 of {@code conn_idle_ms} (here 12 of 20 s) is not reused,
     * because the host may be closing it. The periodic sweep has not closed it yet.
     */
    @Test
    void aConnectionIdleForTooLongIsNotReused() throws Exception {
        List<Socket> connections = new ArrayList<>();
        RecordingServer host = recordingHost(connections);
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        ManualClock clock = new ManualClock();
        Node node = startNodeWithClock(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"connect_timeout_ms\": 5000", "\"connect_timeout_ms\": 5000, \"conn_idle_ms\": 20000"), clock);
        Client c = connectClient(node);
        assertEquals(200, c.send(view("a", CLIENT_TIME_MS)).receive().status());
        node.loop.submit(() -> {
            clock.advance(13_000); // same event loop task as the request that follows, so no sweep runs in between
            try {
                c.send(view("b", CLIENT_TIME_MS));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).sync();
        assertEquals(200, c.receive().status());
        assertEquals(2, connections.size());
        assertTrue(connections.get(0) != connections.get(1), "request sent on a connection that the host may be closing");
    }

    /**
     * A second response that a host sends while the next request is on its way was once served to the client of that
     * request. Here less than {@link HostConnectionPool#MIN_REST_MS} passes between the first and the last request, so each
     * one needs a new connection. The test checks the text of each response and the number of requests that the host
     * received; it does not count distinct connections.
     */
    @Test
    void aSecondResponseThatCrossesTheNextRequestIsDiscarded() throws Exception {
        List<Socket> connections = new ArrayList<>();
        RecordingServer host = startHost((m, s) -> {
            if (connections.contains(s)) { // as if it had been sent just before this request arrived
                s.getOutputStream().write(ok("the previous response, repeated"));
            }
            connections.add(s);
            echo(m, s);
        });
        ManualClock clock = ManualClock.stopped();
        Node node = startNodeWithHosts(host, clock);
        Client c = connectClient(node);
        for (int i = 0; i < 5; i++) {
            assertEquals("for v" + i + " ", c.send(view("v" + i, CLIENT_TIME_MS)).receive().text());
            node.loop.submit(() -> clock.advance(HostConnectionPool.MIN_REST_MS / 10)).sync();
        }
        assertEquals(5, connections.size());
    }

    /** A connection is reused once any late response on it would have arrived. */
    @Test
    void aConnectionIsReusedAfterItsRestTime() throws Exception {
        List<Socket> connections = new ArrayList<>();
        RecordingServer host = recordingHost(connections);
        ManualClock clock = ManualClock.stopped();
        Node node = startNodeWithHosts(host, clock);
        Client c = connectClient(node);
        for (int i = 0; i < 3; i++) {
            assertEquals(200, c.send(view("v" + i, CLIENT_TIME_MS)).receive().status());
            node.loop.submit(() -> clock.advance(HostConnectionPool.MIN_REST_MS + 1)).sync(); // after the event loop task in which it became idle
        }
        assertEquals(1, connections.stream().distinct().count());
    }

    // ---- clients from which the gateway does not read

    /**
     * The client's FIN follows pipelined requests, of which the gateway reads ahead only a limited number. Of these
     * requests only the first, which is in flight when the client disconnects, reaches the host.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 16, 17, 40, 60})
    void pipelinedRequestsOfADisconnectedClientAreNotSent(int requestCount) throws Exception {
        CountDownLatch clientsGone = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            clientsGone.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < requestCount; i++) {
            all.append(view("p" + i, Sockets.TIMEOUT_MS));
        }
        Client c = connectClient(node).send(all.toString());
        assertNotNull(host.next());
        c.close();
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has noticed that the client disconnected");
        clientsGone.countDown();
        assertEquals("for w ", connectClient(node).send(view("w", Sockets.TIMEOUT_MS)).receive().text());
        assertEquals(2, host.requests.size());
    }

    // ---- the last response on a connection

    /** A client with a small receive buffer, so that the system can't send it a long response before it reads. */
    private Client clientWithSmallBuffer(Node node) throws IOException {
        Socket s = new Socket();
        s.setReceiveBufferSize(4096);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
        return closeAfterTest(new Client(s));
    }

    /** The request {@code v} with {@code Connection: close}, followed by more requests than the gateway reads. */
    private static String lastRequestAndMore(int extraRequests) {
        StringBuilder all = new StringBuilder(view("v", CLIENT_TIME_MS).replace("Host: h", "Host: h\r\nConnection: close"));
        for (int i = 0; i < extraRequests; i++) {
            all.append(view("p" + i, CLIENT_TIME_MS));
        }
        return all.toString();
    }

    /**
     * The connection was once closed with unread input, which sends RST, and the system then discards the part of the
     * response that has not reached the client. The client starts to read when the gateway has shut down its output.
     */
    @Test
    void theLastResponseIsCompleteDespiteUnreadInput() throws Exception {
        String text = "x".repeat(60_000);
        RecordingServer host = startHost((m, s) -> s.getOutputStream().write(ok(text)));
        Node node = startNodeWithHosts(host);
        Client c = clientWithSmallBuffer(node).send(lastRequestAndMore(1000));
        assertNotNull(host.next());
        Sockets.await(() -> !isOpenRequest(node, "v"), "the response is on its way");
        for (int i = 0; i < 10; i++) { // the event loop closes a registered socket for good only in a later iteration
            node.loop.submit(() -> { }).sync();
        }
        assertEquals(text, c.receive().text());
        assertNull(c.receive());
        assertEquals(1, host.requests.size());
    }

    /**
     * A client that leaves its connection open after the last response is disconnected: after a time limit if it
     * sends nothing, after a number of bytes if it keeps sending.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatStaysAfterItsLastResponseIsDisconnected(boolean keepsSending) throws Exception {
        ManualClock clock = new ManualClock();
        Node node = startNodeWithHosts(startHost(SocketTest::echo), clock);
        Client c = connectClient(node).send(lastRequestAndMore(0));
        assertEquals("for v ", c.receive().text());
        assertNull(c.receive());
        assertEquals(1, (int) node.loop.submit(node::connectionCount).get());
        if (keepsSending) {
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    c.send("x".repeat(64 * 1024));
                }
            });
        } else {
            clock.advance(CLIENT_TIME_MS / 10.0); // 6 s, beyond LingeringClose.MAX_LINGER_MS
        }
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway closes the connection");
    }

    // ---- shutdown of the process

    /**
     * A request that arrives after the drain has ended all requests is refused with 503. It was once kept open until
     * its deadline, but the process exited before that.
     */
    @Test
    void aRequestAfterTheEndOfADrainIsAnsweredAtOnce() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node);
        assertEquals(200, c.send(view("a", Sockets.TIMEOUT_MS)).receive().status());
        node.loop.submit(node::endAllRequests).sync();
        Message response = c.send(view("b", Sockets.TIMEOUT_MS)).receive();
        assertEquals(503, response.status());
        assertNotNull(response.header("Retry-After"));
        assertEquals(1, host.requests.size());
    }

    /**
     * A queued request that was never sent can be retried at another gateway; it was once answered as failed. The
     * requests that the host received and did not answer get the same response, 429, here.
     */
    @Test
    void requestsQueuedAtShutdownAreRefusedWithRetryAfter() throws Exception {
        RecordingServer host = startHost((m, s) -> { });
        Node node = startNodeWithHosts(host);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(connectClient(node).send(view("v" + i, Sockets.TIMEOUT_MS)));
            String id = "v" + i;
            Sockets.await(() -> isOpenRequest(node, id), id);
        }
        node.loop.submit(node::endAllRequests).sync();
        for (Client c : clients) {
            Message response = c.receive();
            assertEquals(429, response.status());
            assertNotNull(response.header("Retry-After"));
        }
        assertTrue(host.requests.size() < 40, "no request was queued");
    }

    /** Connections in the accept queue were once reset when the listener closed. */
    @Test
    void aConnectionInTheQueueOfAClosingListenerIsServed() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        int port = node.port();
        Socket waiting = node.loop.submit(() -> {
            node.clientServer.stopAccepting();
            Socket s = new Socket(InetAddress.getLoopbackAddress(), port); // made on the event loop, which accepts it only afterwards
            s.setSoTimeout(Sockets.TIMEOUT_MS);
            s.getOutputStream().write(bytes(view("q", Sockets.TIMEOUT_MS)));
            return s;
        }).get();
        closeAfterTest(waiting);
        assertEquals("for q ", Sockets.read(waiting.getInputStream()).text());
        assertFalse(node.loop.submit(() -> node.clientServer.listener().isOpen()).get());
    }

    /** A new connection is about to carry a request; it was once closed as idle while the request was on its way. */
    @Test
    void aNewConnectionIsNotIdle() throws Exception {
        ManualClock clock = new ManualClock();
        Node node = startNodeWithHosts(startHost(SocketTest::echo), clock);
        Client c = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 1, "the connection is accepted");
        node.loop.submit(node.clientServer::closeIdleConnections).sync();
        assertEquals("for v ", c.send(view("v", Sockets.TIMEOUT_MS)).receive().text());
        Client silent = connectClient(node);
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 2, "the connection is accepted");
        clock.advance(1000);
        node.loop.submit(node.clientServer::closeIdleConnections).sync();
        assertNull(silent.receive());
    }

    /** A listener that opened after the shutdown had closed it once stayed open until the process exited. */
    @Test
    void shutdownDuringTheStartOpensNoListener() throws Exception {
        CountDownLatch called = new CountDownLatch(1);
        CountDownLatch releaseResponse = new CountDownLatch(1);
        RecordingServer agent = closeAfterTest(new RecordingServer((m, s) -> {
            called.countDown();
            if (!m.startLine().contains("from=")) {
                releaseResponse.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                s.getOutputStream().write(ok(list(1, true)));
            }
        }));
        Node node = Sockets.createNode(Sockets.config(agent.address(), "127.0.0.1:0"));
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
        assertTrue(called.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the start waits for the first discovery response");
        node.loop.submit(() -> {
            node.drain();
            node.clientServer.stopAccepting(); // as if the time to stop accepting had come
        }).sync();
        releaseResponse.countDown();
        start.join();
        assertEquals(false, served.get());
        assertNull(node.clientServer.listener());
        assertTrue(node.awaitDrained(Sockets.TIMEOUT_MS));
    }

    /**
     * Whether shutdown or the handover to another process stops accepting first, a connection in the accept queue is
     * served and the node has no listener afterwards.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shutdownAndUpgradeCloseTheListenerOnce(boolean shutdownFirst) throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        int port = node.port();
        HandoverServer.ServingProcess place = node.handoverSteps(() -> { });
        Socket waiting = closeAfterTest(new Socket());
        node.loop.submit(() -> {
            node.clientServer.pauseAccepting();
            waiting.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            if (shutdownFirst) {
                node.clientServer.stopAccepting();
            }
            return null;
        }).sync();
        place.stopAccepting();
        if (!shutdownFirst) {
            node.loop.submit(node.clientServer::stopAccepting).sync();
        }
        waiting.setSoTimeout(Sockets.TIMEOUT_MS);
        waiting.getOutputStream().write(bytes(view("q", Sockets.TIMEOUT_MS)));
        assertEquals("for q ", Sockets.read(waiting.getInputStream()).text());
        assertNull(node.clientServer.listener());
    }

    // ---- the host list

    /**
     * After a stall the event loop finds both that the discovery response is in the socket and that the time limit of
     * the call to the discovery agent has expired: the response is used. The test does not force the order in which
     * the event loop handles the two.
     */
    @Test
    void aDiscoveryResponseReadLateIsNotTimedOut() throws Exception {
        CountDownLatch called = new CountDownLatch(1);
        CountDownLatch releaseResponse = new CountDownLatch(1);
        List<Integer> connections = new ArrayList<>();
        RecordingServer agent = closeAfterTest(new RecordingServer((m, s) -> {
            connections.add(s.getPort());
            called.countDown();
            if (!m.startLine().contains("from=")) {
                releaseResponse.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                s.getOutputStream().write(ok(list(1, true)));
            }
        }));
        Node node = Sockets.createNode(Sockets.config(agent.address(), "127.0.0.1:0"));
        resources.push(node::stop);
        Thread start = new Thread(() -> {
            try {
                node.start();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        start.start();
        assertTrue(called.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        node.loop.submit(() -> {
            releaseResponse.countDown();
            double end = node.clock.now() + 1500; // beyond the time limit of a call for a full list, see PollingBackoff
            while (node.clock.now() < end) {
                Thread.onSpinWait();
            }
        }).sync();
        Sockets.await(() -> connections.size() == 2, "the watch follows the full list");
        assertEquals(connections.get(0), connections.get(1), "the call was abandoned while its response was unread");
        start.join();
    }
}
