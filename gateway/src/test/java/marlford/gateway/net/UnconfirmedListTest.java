package marlford.gateway.net;

import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
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
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against keyed orders that run twice where a host of another zone has come up at the address of one that has ended, while the gateway takes
 * silence, late input or the word of a previous agent for proof that nothing has changed.
 */
class UnconfirmedListTest extends AddressTakeoverTest {
    private static final int LONG_ANSWER_BYTES = 24 << 20; // more than the sockets on its way hold
    private static final int SMALL_BUFFER_BYTES = 16 << 10;
    private static final double SILENCE_MS = 6500; // longer than discovery takes to tell of a change
    private static final double AGENT_CHANGE_MS = 4500; // longer than discovery takes to tell after a change of its agent
    private static final long LOOP_SETTLES_MS = 100; // after a jump of the clock

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
        List<String> failed = sendOrdersUntilOneFails(node);
        assertEquals(confirmed, ids(zoneA).containsAll(failed));
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
        List<String> failed = sendOrdersUntilOneFails(node);
        assertTrue(ids(zoneA).stream().noneMatch(failed::contains));
    }

    /** Sends orders until the process at the address has run one; returns its id. */
    private List<String> sendOrdersUntilOneFails(Node node) throws IOException {
        for (int i = 0; i < 10 * ORDERS && ids(reused).isEmpty(); i++) {
            connectClient(node).send(order("o" + i, "body")).receive();
        }
        List<String> failed = ids(reused);
        assertFalse(failed.isEmpty());
        return failed;
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
}
