package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against keyed orders that run twice where a host of another zone has come up at the address of one that has ended, and discovery tells of
 * both changes at different times.
 */
class SharedHostAddressTest extends AddressTakeoverTest {
    private static final int SHORT_TIME_MS = 2500;
    private static final long STARTED_LATELY_MS = 1_790_000_000_000L;

    private static String startedLately(String entry) {
        return entry.replace("\"started_ms\":0", "\"started_ms\":" + STARTED_LATELY_MS);
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
