package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import marlford.gateway.start.StartBudget;
import marlford.gateway.upgrade.HandoverClient;
import marlford.gateway.upgrade.HandoverServer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two nodes at one address; the second takes over from the first, or fails to. */
class UpgradeTest extends SocketTest {
    private static final int CLIENTS = 8;
    private static final int UPGRADES = 5;

    @TempDir
    private Path dir;
    private int port;

    @BeforeEach
    void choosePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    private String config(String... peers) {
        String own = "127.0.0.1:" + port;
        return Sockets.config(registry.server.address(), peers.length == 0 ? "127.0.0.1:0" : own, peers)
                .replace("127.0.0.1:0\", \"disc", own + "\", \"disc");
    }

    private Path socketPath() {
        return dir.resolve("s");
    }

    private Node startOldNode(RecordingServer host) throws IOException {
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", host.address(), "ready"))));
        Node node = startNode(config());
        listenForSuccessor(node);
        return node;
    }

    private void listenForSuccessor(Node node) throws IOException {
        HandoverServer successor = closeAfterTest(new HandoverServer(socketPath(), node.handoverSteps(() -> { }), Node::log));
        successor.open();
    }

    /** The budget of a start that has just begun, independent of this machine's speed. */
    private static StartBudget freshBudget() {
        return new StartBudget(() -> 0);
    }

    private HandoverClient connectToOldNode() throws Exception {
        HandoverClient found = HandoverClient.find(socketPath(), Sockets.TIMEOUT_MS);
        assertNotNull(found);
        return closeAfterTest(found);
    }

    private Node startNewNode(String config) throws Exception {
        Node node = Sockets.createNode(config);
        resources.push(node::stop);
        node.start(connectToOldNode(), freshBudget());
        return node;
    }

    /** A client with a persistent connection; it reconnects when the connection was closed while idle. */
    private final class PersistentClient implements Callable<List<String>> {
        private final String name;
        private final AtomicBoolean stopped;
        private Socket socket;

        PersistentClient(String name, AtomicBoolean stopped) {
            this.name = name;
            this.stopped = stopped;
        }

        private Message exchange(String request) throws IOException {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(Sockets.TIMEOUT_MS);
            }
            Message response;
            try {
                socket.getOutputStream().write(Sockets.bytes(request));
                response = Sockets.read(socket.getInputStream());
            } catch (IOException e) {
                response = null; // closed, which is allowed between two requests
            }
            if (response == null || "close".equals(response.header("Connection"))) {
                socket.close();
                socket = null;
            }
            return response;
        }

        @Override
        public List<String> call() throws Exception {
            List<String> failures = new ArrayList<>();
            for (int i = 0; !stopped.get(); i++) {
                String id = name + "-" + i;
                String request = i % 3 == 0 ? order(id, "b") : view(id, Sockets.TIMEOUT_MS);
                Message response = exchange(request);
                if (response == null) {
                    response = exchange(request); // retries on a new connection, as HTTP allows for a closed idle one
                }
                if (response == null || response.status() != 200 || !response.text().startsWith("for " + id)) {
                    failures.add(id + ": " + (response == null ? "no answer" : response.startLine()));
                }
                Thread.sleep(1);
            }
            return failures;
        }
    }

    /** Every request gets its own answer, and no order runs twice, while processes take over from each other. */
    @Test
    void noRequestIsLostThroughConsecutiveUpgrades() throws Exception {
        AtomicInteger orders = new AtomicInteger();
        RecordingServer host = startHost((m, s) -> {
            if (m.startLine().startsWith("POST")) {
                orders.incrementAndGet();
            }
            echo(m, s);
        });
        startOldNode(host);
        AtomicBoolean stopped = new AtomicBoolean();
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<List<String>>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(threads.submit(new PersistentClient("c" + i, stopped)));
            }
            for (int i = 0; i < UPGRADES; i++) {
                int requestsBefore = host.requests.size();
                while (host.requests.size() < requestsBefore + 10 * CLIENTS) {
                    Thread.sleep(1); // load precedes each upgrade
                }
                listenForSuccessor(startNewNode(config()));
            }
            stopped.set(true);
            for (Future<List<String>> c : clients) {
                assertEquals(List.of(), c.get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            }
        } finally {
            stopped.set(true);
            threads.shutdown();
        }
        long distinct = host.requests.stream().filter(m -> m.startLine().startsWith("POST"))
                .map(m -> m.header("Idempotency-Key")).distinct().count();
        assertEquals(distinct, orders.get());
    }

    @Test
    void openRequestsAreAnsweredByTheOldProcess() throws Exception {
        CountDownLatch releaseResponse = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            if (m.startLine().startsWith("POST")) {
                releaseResponse.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Node oldNode = startOldNode(host);
        Client busy = connectClient(oldNode).send(order("o", "b"));
        Client idle = connectClient(oldNode).send(view("v", Sockets.TIMEOUT_MS));
        assertEquals(200, idle.receive().status());
        Client silent = connectClient(oldNode); // has not sent a request yet
        assertNotNull(host.next());
        while (oldNode.loop.submit(oldNode::connectionCount).sync().getNow() < 3) {
            Thread.sleep(1);
        }
        Node newNode = startNewNode(config());
        assertNull(idle.receive());
        assertEquals("for late ", silent.send(view("late", Sockets.TIMEOUT_MS)).receive().text());
        assertNull(silent.receive());
        assertEquals("for new ", connectClient(newNode).send(view("new", Sockets.TIMEOUT_MS)).receive().text());
        releaseResponse.countDown();
        Message response = busy.receive();
        assertEquals("for o b", response.text());
        assertEquals("close", response.header("Connection"));
        assertEquals(1, host.requests.stream().filter(m -> m.startLine().startsWith("POST")).count());
        oldNode.stop();
        assertEquals("for on ", connectClient(newNode).send(view("on", Sockets.TIMEOUT_MS)).receive().text());
    }

    @Test
    void aNewProcessThatStopsReturnsTheServingRole() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Node oldNode = startOldNode(host);
        Node newNode = Sockets.createNode(config());
        HandoverClient link = connectToOldNode();
        newNode.start(link, freshBudget());
        assertEquals("for a ", connectClient(newNode).send(view("a", Sockets.TIMEOUT_MS)).receive().text());
        newNode.stop();
        link.close();
        Sockets.await(() -> serves("b"), "the old process serves again");
        Client kept = connectClient(oldNode).send(view("c", Sockets.TIMEOUT_MS));
        assertNull(kept.receive().header("Connection")); // connections are persistent again
        assertEquals(200, kept.send(view("d", Sockets.TIMEOUT_MS)).receive().status());
    }

    private boolean serves(String id) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(Sockets.TIMEOUT_MS);
            s.getOutputStream().write(Sockets.bytes(view(id, Sockets.TIMEOUT_MS)));
            Message response = Sockets.read(s.getInputStream());
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Datagrams to the shared address reach the process that decides, also after the serving role has been returned. */
    @Test
    void peerMessagesReachTheServingProcess() throws Exception {
        registry = closeAfterTest(new DiscoveryAgent(list(1, true)));
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            String config = config("127.0.0.1:" + port, "127.0.0.1:" + peer.getLocalPort());
            Node oldNode = startNode(config);
            listenForSuccessor(oldNode);
            Node newNode = Sockets.createNode(config);
            HandoverClient link = connectToOldNode();
            newNode.start(link, freshBudget());
            awaitPeerMessageAt(peer, newNode);
            assertTrue(!oldNode.hasHeardFromPeers());
            newNode.stop();
            link.close();
            awaitPeerMessageAt(peer, oldNode);
        }
    }

    private void awaitPeerMessageAt(DatagramSocket peer, Node node) throws Exception {
        Sockets.await(() -> {
            peer.send(new DatagramPacket(new byte[] {1}, 1, InetAddress.getLoopbackAddress(), port));
            return node.hasHeardFromPeers();
        }, "the peer's message is received");
    }

    /** The socket option that lets two processes of one gateway share an address must not let two gateways share it. */
    @Test
    void anAddressInUseIsNotShared() throws Exception {
        startOldNode(startHost(SocketTest::echo));
        Node otherNode = Sockets.createNode(config());
        resources.push(otherNode::stop);
        IOException e = assertThrows(IOException.class, otherNode::start);
        assertTrue(e.getMessage().contains("another process uses the address"), e.getMessage());
        assertTrue(serves("v"));
    }
}
