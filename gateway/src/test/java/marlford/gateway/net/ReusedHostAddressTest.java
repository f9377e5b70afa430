package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import marlford.gateway.guard.ListConfirmation;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a new process at the address of a host that has ended, which was taken for that host. */
class ReusedHostAddressTest extends SocketTest {
    private static final int ORDERS = 6;
    private static final long WORK_MS = 300;
    private static final long NEWS_MS = 300; // after which discovery tells, or ahead of which it has told
    private static final int WINDOW_MS = 4000;
    private static final int IDLE_MS = 60_000; // for which hosts keep connections
    private static final long ANSWERED_WITHIN_MS = 6000;

    /** When discovery tells that the address belongs to a host of another zone. */
    enum News { BEFORE, AFTER, NEVER }

    /** Whether another host of the dead host's zone can serve the repeats. */
    enum Neighbour { NONE, SAME_ZONE }

    /** A host that ends under its requests, as a process that is killed does: it resets its connections. */
    private static final class EndingHost implements Closeable {
        final List<Message> requests = new CopyOnWriteArrayList<>();
        private final ServerSocket listener;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile boolean answers;

        EndingHost(int port, boolean answers) throws IOException {
            this.answers = answers;
            this.listener = listen(port);
            daemon(this::accept);
        }

        /** The listener before it closes only once its thread has left the accept call. */
        private static ServerSocket listen(int port) throws IOException {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.TIMEOUT_MS);
            while (true) {
                ServerSocket listener = new ServerSocket();
                try {
                    listener.setReuseAddress(true);
                    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    return listener;
                } catch (BindException e) {
                    listener.close();
                    if (System.nanoTime() > endNanos) {
                        throw e;
                    }
                }
            }
        }

        private static void daemon(Runnable work) {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                return; // ended
            }
        }

        private void serve(Socket socket) {
            try {
                for (Message m = Sockets.read(socket.getInputStream()); m != null; m = Sockets.read(socket.getInputStream())) {
                    requests.add(m);
                    if (answers) {
                        Thread.sleep(WORK_MS); // so that requests that come together have a connection each
                        socket.getOutputStream().write(Sockets.ok("done"));
                    }
                }
            } catch (IOException | InterruptedException e) {
                return; // ended
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void ordersAreNotRepeatedAtAnotherProcess(News news) throws Exception {
        play(news, Neighbour.NONE);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "BEFORE")
    void ordersAreRepeatedAtAnotherHostOfTheZone(News news) throws Exception {
        play(news, Neighbour.SAME_ZONE);
    }

    /** The news may be as old as discovery is late, so the orders' connections may lead to the new process. */
    @Test
    void ordersOnConnectionsThatMayBeNewerThanTheChangeAreNotRepeated() throws Exception {
        play(News.BEFORE, Neighbour.SAME_ZONE, 0, 502);
    }

    /** The connections are older than any change of which discovery can tell now. */
    @Test
    void ordersOnConnectionsFromBeforeTheChangeAreRepeated() throws Exception {
        play(News.BEFORE, Neighbour.SAME_ZONE, (long) ListConfirmation.TOLD_WITHIN_MS + NEWS_MS, 200);
    }

    /** Lets discovery say again and again that nothing has changed. */
    private void confirmListFor(long ms) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < endNanos) {
            int watches = watchCount();
            registry.updates.add(list(1, false));
            awaitDiscoveryWatches(watches + 1);
            Thread.sleep(NEWS_MS);
        }
    }

    private int watchCount() {
        return (int) registry.server.requests.stream().filter(call -> call.startLine().contains("from=")).count();
    }

    private List<Client> sendOrders(Node node, String name) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            clients.add(connectClient(node).send(order(name + i, "body")));
        }
        return clients;
    }

    private void play(News news, Neighbour neighbour) throws Exception {
        play(news, neighbour, 0, neighbour == Neighbour.SAME_ZONE ? 200 : 502);
    }

    /** @param connectionAgeMs for how long the orders' connections have been idle; 0 for new ones */
    private void play(News news, Neighbour neighbour, long connectionAgeMs, int expectedStatus) throws Exception {
        EndingHost ending = closeAfterTest(new EndingHost(0, false));
        String address = "127.0.0.1:" + ending.port();
        RecordingServer sameZone = startHost(SocketTest::echo);
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", address, "ready"))));
        Node node = startNode(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"window_ms\": 60000", "\"window_ms\": " + WINDOW_MS)
                .replace("\"connect_timeout_ms\": 5000", "\"connect_timeout_ms\": 5000, \"conn_idle_ms\": " + IDLE_MS));
        awaitDiscoveryWatches(1);
        if (connectionAgeMs > 0) {
            ending.answers = true;
            for (Client client : sendOrders(node, "earlier")) {
                assertEquals(200, client.receive().status());
            }
            ending.answers = false;
            ending.requests.clear();
            confirmListFor(connectionAgeMs);
        }
        int watches = watchCount();
        List<Client> clients = sendOrders(node, "o");
        Sockets.await(() -> ending.requests.size() == ORDERS, "the host has all orders");
        if (neighbour == Neighbour.SAME_ZONE) {
            registry.updates.add(list(2, false, entry("h1", sameZone.address(), "ready")));
            awaitDiscoveryWatches(watches + 1);
        }
        String told = list(3, false, entry("h0", address, "gone"),
                entry("h2", address, "ready").replace("\"zone\":\"a\"", "\"zone\":\"b\""));
        if (news == News.BEFORE) {
            registry.updates.add(told);
            Thread.sleep(NEWS_MS);
        }
        Thread.sleep(WORK_MS);
        long endedNanos = System.nanoTime();
        ending.close();
        EndingHost other = closeAfterTest(new EndingHost(ending.port(), true));
        if (news == News.AFTER) {
            Thread.sleep(NEWS_MS);
            registry.updates.add(told);
        }
        for (Client client : clients) {
            assertEquals(expectedStatus, client.receive().status());
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - endedNanos);
        assertTrue(tookMs < ANSWERED_WITHIN_MS, "answered after " + tookMs + " ms");
        assertEquals(List.of(), other.requests);
        assertEquals(expectedStatus == 200 ? ORDERS : 0, sameZone.requests.size());
    }
}
