package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static marlford.gateway.net.Sockets.orderHead;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against keyed orders that run twice where a host of another zone has come up at the address of one that has ended, and discovery tells of
 * both changes at different times. Host a1 has ended; the process at its address is b1's, of another zone.
 */
class SharedHostAddressTest extends SocketTest {
    private static final int ORDERS = 6;
    private static final int VIEWS = 60;
    private static final int SHORT_TIME_MS = 2500;
    private static final int LONG_ANSWER_BYTES = 24 << 20; // more than the sockets on its way hold
    private static final int SMALL_BUFFER_BYTES = 16 << 10;
    private static final double SILENCE_MS = 6500; // longer than discovery takes to tell of a change
    private static final double AGENT_CHANGE_MS = 4500; // longer than discovery takes to tell after a change of its agent
    private static final long LOOP_SETTLES_MS = 100; // after a jump of the clock
    private static final long STARTED_LATELY_MS = 1_790_000_000_000L;

    /** What discovery tells once the orders are at the address. */
    enum News { NEW_HOST, NEW_HOST_OF_UNKNOWN_STATE, END, END_THEN_NEW_HOST, LIST_WITH_BOTH, LIST_WITHOUT_THE_OLD_HOST }

    /** How the process at the address fails the orders that it has run. */
    enum Failure { RESET, CLOSE, ERROR, INVALID_ANSWER, HALF_ANSWER }

    private final CountDownLatch failing = new CountDownLatch(1);
    private Failure failure = Failure.RESET;
    private RecordingServer reused; // at the address
    private RecordingServer zoneA;
    private RecordingServer zoneB;

    @BeforeEach
    void startHosts() throws IOException {
        reused = startHost((message, socket) -> {
            if (message.startLine().contains("/view/")) {
                echo(message, socket);
                return;
            }
            failing.await();
            fail(socket);
        });
        zoneA = startHost(SocketTest::echo);
        zoneB = startHost(SocketTest::echo);
    }

    private void fail(Socket socket) throws IOException {
        switch (failure) {
            case RESET -> socket.setSoLinger(true, 0);
            case CLOSE -> { }
            case ERROR -> socket.getOutputStream().write(Sockets.bytes("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"));
            case INVALID_ANSWER -> socket.getOutputStream().write(Sockets.bytes("no answer\r\n\r\n"));
            case HALF_ANSWER -> socket.getOutputStream().write(Sockets.bytes("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"));
        }
        if (failure != Failure.ERROR) {
            socket.close();
        }
    }

    private static String inZoneB(String entry) {
        return entry.replace("\"zone\":\"a\"", "\"zone\":\"b\"");
    }

    private static String startedLately(String entry) {
        return entry.replace("\"started_ms\":0", "\"started_ms\":" + STARTED_LATELY_MS);
    }

    private String oldHost(String state) {
        return entry("a1", reused.address(), state);
    }

    private String newHost() {
        return inZoneB(entry("b1", reused.address(), "ready"));
    }

    private String[] others() {
        return new String[] {entry("a2", zoneA.address(), "ready"), inZoneB(entry("b2", zoneB.address(), "ready"))};
    }

    private static String[] with(String[] entries, String... more) {
        List<String> all = new ArrayList<>(List.of(entries));
        all.addAll(List.of(more));
        return all.toArray(String[]::new);
    }

    private List<Client> sendOrders(Node node, int expiresMs) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            clients.add(connectClient(node).send(orderHead("o" + i, expiresMs, "Content-Length: 4") + "body"));
        }
        return clients;
    }

    /** Starts a gateway that knows of the old host alone, and sends orders until the process at the address has them all. */
    private List<Client> sendOrdersToTheAddress() throws Exception {
        Node node = startNodeWithEntries(oldHost("ready"));
        awaitDiscoveryWatches(1);
        List<Client> clients = sendOrders(node, Sockets.TIMEOUT_MS);
        Sockets.await(() -> reused.requests.size() == ORDERS, "the process at the address has all orders");
        return clients;
    }

    private void tell(News news) throws InterruptedException {
        List<String> updates = switch (news) {
            case NEW_HOST -> List.of(list(2, false, with(others(), newHost())));
            case NEW_HOST_OF_UNKNOWN_STATE -> List.of(list(2, false, with(others(), newHost().replace("ready", "starting"))));
            case END -> List.of(list(2, false, with(others(), oldHost("gone"))));
            case END_THEN_NEW_HOST -> List.of(list(2, false, with(others(), oldHost("gone"))), list(3, false, newHost()));
            case LIST_WITH_BOTH -> List.of(list(2, true, with(others(), oldHost("ready"), newHost())));
            case LIST_WITHOUT_THE_OLD_HOST -> List.of(list(2, true, with(others(), newHost())));
        };
        registry.updates.addAll(updates);
        awaitDiscoveryWatches(1 + updates.size());
    }

    private static List<String> ids(RecordingServer host) {
        return host.requests.stream().map(message -> message.header("X-Trace-Id")).toList();
    }

    private void assertNotRepeated(List<Client> clients) throws IOException {
        for (Client client : clients) {
            assertEquals(502, client.receive().status());
        }
        assertEquals(List.of(), ids(zoneA));
        assertEquals(List.of(), ids(zoneB));
    }

    /** Orders reach the address before discovery tells of the change, and fail after it has. */
    @ParameterizedTest
    @EnumSource
    void ordersUnderWayAreNotRepeatedAnywhere(News news) throws Exception {
        failUnderWay(news);
    }

    @ParameterizedTest
    @EnumSource
    void howeverTheyFailOrdersUnderWayAreNotRepeatedAnywhere(Failure how) throws Exception {
        failure = how;
        failUnderWay(News.NEW_HOST);
    }

    private void failUnderWay(News news) throws Exception {
        List<Client> clients = sendOrdersToTheAddress();
        tell(news);
        failing.countDown();
        assertNotRepeated(clients);
    }

    /** The process at the address never answers, so the gateway gives its orders up before their time is over. */
    @Test
    void ordersThatAreGivenUpAreNotRepeatedAnywhere() throws Exception {
        List<Client> clients = sendOrdersToTheAddress();
        tell(News.NEW_HOST);
        assertNotRepeated(clients);
    }

    /** Both hosts are listed when the orders come: the new one gets work at once, and its orders are repeated in its own zone. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void ordersOfTheNewHostAreRepeatedInItsZoneAlone(boolean atStart, boolean startKnown) throws Exception {
        failing.countDown();
        String newHost = startKnown || atStart ? startedLately(newHost()) : newHost();
        Node node = startNodeWithEntries(atStart ? with(others(), newHost, oldHost("ready")) : with(others(), oldHost("ready")));
        awaitDiscoveryWatches(1);
        if (!atStart) {
            registry.updates.add(startKnown ? list(2, true, with(others(), newHost, oldHost("ready"))) : list(2, false, newHost));
            awaitDiscoveryWatches(2);
        }
        AtomicInteger sent = new AtomicInteger();
        Sockets.await(() -> isRepeatedInItsZone(node, "o" + sent.getAndIncrement()), "an order of the new host is repeated in its zone");
    }

    /** Sends an order; returns whether the process at the address has run it and its repeat was answered. */
    private boolean isRepeatedInItsZone(Node node, String id) throws IOException {
        Message answer = connectClient(node).send(order(id, "body")).receive();
        boolean failed = ids(reused).contains(id);
        assertFalse(failed && ids(zoneA).contains(id), id + " ran in both zones");
        return failed && answer.status() == 200;
    }

    /** Two hosts come with the first list, with no word of which has ended: an order that may have run at either is not repeated. */
    @Test
    void ordersAtAnAddressOfTwoHostsAreNotRepeated() throws Exception {
        failing.countDown();
        Node node = startNodeWithEntries(with(others(), oldHost("ready"), newHost()));
        for (int i = 0; i < 10 * ORDERS; i++) {
            connectClient(node).send(order("o" + i, "body")).receive();
        }
        List<String> failed = ids(reused);
        assertFalse(failed.isEmpty());
        assertTrue(ids(zoneA).stream().noneMatch(failed::contains));
        assertTrue(ids(zoneB).stream().noneMatch(failed::contains));
    }

    /** The list of the configuration is older than the change, however long ago that was. */
    @Test
    void ordersThatFollowedTheConfiguredListAreNotRepeatedAnywhere() throws Exception {
        CountDownLatch listing = new CountDownLatch(1);
        RecordingServer agent = startHost((message, socket) -> {
            listing.await();
            if (!message.startLine().contains("from=")) {
                socket.getOutputStream().write(Sockets.ok(list(2, true, with(others(), newHost()))));
            }
        });
        Node node = startNode(Sockets.config(agent.address(), "127.0.0.1:0")
                .replace("\"servers\": []", "\"servers\": [" + oldHost("ready") + "]"));
        List<Client> clients = sendOrders(node, Sockets.TIMEOUT_MS);
        Sockets.await(() -> reused.requests.size() == ORDERS, "the process at the address has all orders");
        listing.countDown();
        Sockets.await(() -> agent.requests.stream().anyMatch(call -> call.startLine().contains("from=")), "the list has come");
        failing.countDown();
        assertNotRepeated(clients);
    }

    /** An order may have run at a host of zone a; the other host of that zone has lost its address to one of zone b. */
    @Test
    void noRepeatGoesToAHostThatHasLostItsAddress() throws Exception {
        RecordingServer first = startHost((message, socket) -> {
            failing.await();
            fail(socket);
        });
        Node node = startNodeWithEntries(entry("a0", first.address(), "ready"));
        awaitDiscoveryWatches(1);
        List<Client> clients = sendOrders(node, SHORT_TIME_MS);
        Sockets.await(() -> first.requests.size() == ORDERS, "the host has all orders");
        registry.updates.add(list(2, false, oldHost("ready")));
        registry.updates.add(list(3, false, newHost()));
        awaitDiscoveryWatches(3);
        failing.countDown();
        for (Client client : clients) {
            assertTrue(client.receive().status() >= 500);
        }
        assertEquals(List.of(), ids(reused));
    }

    /**
     * Discovery has been silent for longer than it takes to tell of a change, so that any host may have been replaced since. Once it has confirmed
     * the list, orders are repeated again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void ordersAreNotRepeatedWhileDiscoveryIsSilent(boolean confirmed) throws Exception {
        failing.countDown();
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, with(others(), oldHost("ready")))));
        ManualClock clock = new ManualClock();
        Node node = startNodeWithClock(Sockets.config(registry.server.address(), "127.0.0.1:0"), clock);
        awaitDiscoveryWatches(1);
        clock.advance(SILENCE_MS);
        Thread.sleep(LOOP_SETTLES_MS);
        if (confirmed) {
            registry.updates.add(list(1, false));
            awaitDiscoveryWatches(2);
        }
        for (int i = 0; i < 10 * ORDERS && ids(reused).isEmpty(); i++) {
            connectClient(node).send(order("o" + i, "body")).receive();
        }
        List<String> failed = ids(reused);
        assertFalse(failed.isEmpty());
        assertEquals(confirmed, ids(zoneA).containsAll(failed));
    }

    /**
     * What is read late of a long answer, which waited for its client, may have come from a process that has ended since: it does not show that a
     * newer connection leads to the same one.
     */
    @Test
    void bytesThatWaitedForTheirClientDoNotShowThatTheOldHostLivedOn() throws Exception {
        RecordingServer address = startHost((message, socket) -> {
            if (message.startLine().contains("/order/")) {
                failing.await();
                fail(socket);
            } else {
                int bytes = message.startLine().contains("long") ? LONG_ANSWER_BYTES : 1;
                socket.getOutputStream().write(Sockets.ok("x".repeat(bytes)));
            }
        });
        reused = address;
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, oldHost("ready"))));
        ManualClock clock = new ManualClock();
        Node node = startNodeWithClock(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"connect_timeout_ms\": 5000", "\"connect_timeout_ms\": 5000, \"conn_idle_ms\": " + Sockets.TIMEOUT_MS), clock);
        assertEquals(200, connectClient(node).send(Sockets.view("short", Sockets.TIMEOUT_MS)).receive().status());
        clock.advance(SILENCE_MS + LOOP_SETTLES_MS); // the connection is older than any change that is told from now on
        Thread.sleep(LOOP_SETTLES_MS);
        registry.updates.add(list(1, false));
        awaitDiscoveryWatches(2);
        Client slow = sendLongView(node);
        Sockets.await(() -> address.requests.size() == 2, "the host has the long request");
        Thread.sleep(5 * LOOP_SETTLES_MS); // the sockets fill up, and the gateway pauses
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS / 2; i++) {
            clients.add(connectClient(node).send(order("o" + i, "body")));
        }
        Sockets.await(() -> address.requests.size() == 2 + ORDERS / 2, "the process at the address has all orders");
        Thread.sleep(2 * LOOP_SETTLES_MS);
        slow.socket.getInputStream().readNBytes(LONG_ANSWER_BYTES / 2);
        Thread.sleep(LOOP_SETTLES_MS);
        tell(News.NEW_HOST);
        awaitDiscoveryWatches(3);
        failing.countDown();
        assertNotRepeated(clients);
    }

    private Client sendLongView(Node node) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()));
        return closeAfterTest(new Client(socket)).send(Sockets.view("long", Sockets.TIMEOUT_MS));
    }

    /** Connections that were opened under the old host's name are lost after the news: the new host may have ended as well. */
    @Test
    void ordersOfTheNewHostAreNotRepeatedOnceConnectionsFromBeforeTheNewsAreLost() throws Exception {
        Node node = startNodeWithEntries(oldHost("ready"));
        awaitDiscoveryWatches(1);
        List<Client> clients = sendOrders(node, Sockets.TIMEOUT_MS);
        Sockets.await(() -> reused.requests.size() == ORDERS, "the process at the address has all orders");
        tell(News.NEW_HOST);
        failing.countDown();
        assertNotRepeated(clients);
        Client viewer = connectClient(node);
        for (int i = 0; i < VIEWS; i++) { // so that the gateway may repeat requests
            assertEquals(200, viewer.send(Sockets.view("v" + i, Sockets.TIMEOUT_MS)).receive().status());
        }
        int requestsBefore = reused.requests.size();
        for (int i = 0; i < 10 * ORDERS && reused.requests.size() == requestsBefore; i++) {
            connectClient(node).send(order("later" + i, "body")).receive();
        }
        List<String> failed = ids(reused).subList(requestsBefore, reused.requests.size());
        assertFalse(failed.isEmpty());
        assertTrue(ids(zoneB).stream().noneMatch(failed::contains));
    }

    /**
     * "A change of the list is told when discovery has written it to the api gateway" (the platform's protocol), also where the event loop was late and
     * reads of the failed orders first.
     */
    @Test
    void newsThatIsUnreadWhenARepeatIsDecidedCounts() throws Exception {
        Node node = startNodeWithEntries(oldHost("ready"));
        awaitDiscoveryWatches(1);
        List<Client> clients = sendOrders(node, Sockets.TIMEOUT_MS);
        Sockets.await(() -> reused.requests.size() == ORDERS, "the process at the address has all orders");
        registry.updates.add(list(2, false, others()));
        awaitDiscoveryWatches(2);
        keepConnectionsToAllHosts(node);
        CountDownLatch late = new CountDownLatch(1);
        CountDownLatch again = new CountDownLatch(1);
        node.loop.execute(() -> {
            late.countDown();
            awaitUninterruptibly(again);
        });
        late.await();
        failing.countDown();
        Sockets.await(() -> reused.endedConnections.size() >= ORDERS, "all orders have failed");
        registry.updates.add(list(3, false, newHost()));
        Thread.sleep(LOOP_SETTLES_MS); // the news is in its socket
        again.countDown();
        for (Client client : clients) {
            assertEquals(502, client.receive().status());
        }
        assertTrue(ids(zoneA).stream().noneMatch(id -> id.startsWith("o")));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void keepConnectionsToAllHosts(Node node) throws IOException, InterruptedException {
        List<Client> viewers = new ArrayList<>();
        for (int i = 0; i < VIEWS; i++) {
            viewers.add(connectClient(node).send(Sockets.view("v" + i, Sockets.TIMEOUT_MS)));
        }
        for (Client viewer : viewers) {
            assertEquals(200, viewer.receive().status());
        }
        Thread.sleep(LOOP_SETTLES_MS); // a connection rests after a response
    }

    /** The agent that the gateway has been told to leave says that nothing has changed; the new one, which knows better, does not answer. */
    @Test
    void theWordOfAnAgentThatWasReplacedDoesNotConfirmTheList() throws Exception {
        failing.countDown();
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, with(others(), oldHost("ready")))));
        RecordingServer silent = startHost((message, socket) -> { });
        String config = Sockets.config(registry.server.address(), "127.0.0.1:0");
        ManualClock clock = new ManualClock();
        Node node = startNodeWithClock(config, clock);
        awaitDiscoveryWatches(1);
        node.reload(NodeConfig.of(new ObjectMapper().readTree(config.replace(registry.server.address(), silent.address()))));
        Sockets.await(() -> !silent.requests.isEmpty(), "the new agent is called");
        clock.advance(AGENT_CHANGE_MS);
        Thread.sleep(LOOP_SETTLES_MS);
        registry.updates.add(list(1, false));
        awaitDiscoveryWatches(2);
        for (int i = 0; i < 10 * ORDERS && ids(reused).isEmpty(); i++) {
            connectClient(node).send(order("o" + i, "body")).receive();
        }
        List<String> failed = ids(reused);
        assertFalse(failed.isEmpty());
        assertTrue(ids(zoneA).stream().noneMatch(failed::contains));
    }

    /** A new host of the same zone drops the repeats of the old one's orders, so nothing stands in their way. */
    @Test
    void ordersAreRepeatedWhereTheNewHostIsOfTheSameZone() throws Exception {
        List<Client> clients = sendOrdersToTheAddress();
        registry.updates.add(list(2, false, with(others(), entry("a3", reused.address(), "draining")))); // so that repeats go to a2
        awaitDiscoveryWatches(2);
        failing.countDown();
        for (Client client : clients) {
            assertEquals(200, client.receive().status());
        }
    }
}
