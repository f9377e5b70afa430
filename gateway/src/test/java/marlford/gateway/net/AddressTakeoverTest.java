package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.orderHead;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class of tests in which a host of another zone has come up at the address of one that has ended. Host a1 has ended; the process at its
 * address is b1's, of another zone, and fails the orders that it runs.
 */
abstract class AddressTakeoverTest extends SocketTest {
    static final int ORDERS = 6;
    static final int VIEWS = 60;

    /** What discovery tells once the orders are at the address. */
    enum News { NEW_HOST, NEW_HOST_OF_UNKNOWN_STATE, END, END_THEN_NEW_HOST, LIST_WITH_BOTH, LIST_WITHOUT_THE_OLD_HOST }

    /** How the process at the address fails the orders that it has run. */
    enum Failure { RESET, CLOSE, ERROR, INVALID_ANSWER, HALF_ANSWER }

    final CountDownLatch failing = new CountDownLatch(1);
    Failure failure = Failure.RESET;
    RecordingServer reused; // at the address
    RecordingServer zoneA;
    RecordingServer zoneB;

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

    void fail(Socket socket) throws IOException {
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

    static String inZoneB(String entry) {
        return entry.replace("\"zone\":\"a\"", "\"zone\":\"b\"");
    }

    String oldHost(String state) {
        return entry("a1", reused.address(), state);
    }

    String newHost() {
        return inZoneB(entry("b1", reused.address(), "ready"));
    }

    String[] others() {
        return new String[] {entry("a2", zoneA.address(), "ready"), inZoneB(entry("b2", zoneB.address(), "ready"))};
    }

    static String[] with(String[] entries, String... more) {
        List<String> all = new ArrayList<>(List.of(entries));
        all.addAll(List.of(more));
        return all.toArray(String[]::new);
    }

    List<Client> sendOrders(Node node, int expiresMs) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            clients.add(connectClient(node).send(orderHead("o" + i, expiresMs, "Content-Length: 4") + "body"));
        }
        return clients;
    }

    /** Starts a gateway that knows of the old host alone, and sends orders until the process at the address has them all. */
    List<Client> sendOrdersToTheAddress() throws Exception {
        Node node = startNodeWithEntries(oldHost("ready"));
        awaitDiscoveryWatches(1);
        List<Client> clients = sendOrders(node, Sockets.TIMEOUT_MS);
        Sockets.await(() -> reused.requests.size() == ORDERS, "the process at the address has all orders");
        return clients;
    }

    void tell(News news) throws InterruptedException {
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

    static List<String> ids(RecordingServer host) {
        return host.requests.stream().map(message -> message.header("X-Trace-Id")).toList();
    }

    void assertNotRepeated(List<Client> clients) throws IOException {
        for (Client client : clients) {
            assertEquals(502, client.receive().status());
        }
        assertEquals(List.of(), ids(zoneA));
        assertEquals(List.of(), ids(zoneB));
    }
}
