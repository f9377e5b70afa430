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
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import marlford.gateway.start.StartBudget;
import marlford.gateway.upgrade.Predecessor;
import marlford.gateway.upgrade.Successor;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two nodes at one address, of which the second takes the first one's place, or fails to. */
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

    private Path path() {
        return dir.resolve("s");
    }

    private Node before(Server host) throws IOException {
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", host.address(), "ready"))));
        Node node = startNode(config());
        waitingForNext(node);
        return node;
    }

    private void waitingForNext(Node node) throws IOException {
        Successor successor = closeAfterTest(new Successor(path(), node.handoverSteps(() -> { }), Node::log));
        successor.open();
    }

    /** Of a start that has just begun, whatever this machine's speed. */
    private static StartBudget inTime() {
        return new StartBudget(() -> 0);
    }

    private Predecessor predecessor() throws Exception {
        Predecessor old = Predecessor.find(path(), Sockets.PATIENCE_MS);
        assertNotNull(old);
        return closeAfterTest(old);
    }

    private Node after(String config) throws Exception {
        Node node = Sockets.unstarted(config);
        resources.push(node::stop);
        node.start(predecessor(), inTime());
        return node;
    }

    /** Clients as they are: connections are kept, and one that was closed while idle makes them connect anew. */
    private final class Regular implements Callable<List<String>> {
        private final String name;
        private final AtomicBoolean over;
        private Socket socket;

        Regular(String name, AtomicBoolean over) {
            this.name = name;
            this.over = over;
        }

        private Message ask(String request) throws IOException {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(Sockets.PATIENCE_MS);
            }
            Message answer;
            try {
                socket.getOutputStream().write(Sockets.bytes(request));
                answer = Sockets.read(socket.getInputStream());
            } catch (IOException e) {
                answer = null; // closed, as between two requests it may be
            }
            if (answer == null || "close".equals(answer.header("Connection"))) {
                socket.close();
                socket = null;
            }
            return answer;
        }

        @Override
        public List<String> call() throws Exception {
            List<String> wrong = new ArrayList<>();
            for (int i = 0; !over.get(); i++) {
                String id = name + "-" + i;
                String request = i % 3 == 0 ? order(id, "b") : view(id, Sockets.PATIENCE_MS);
                Message answer = ask(request);
                if (answer == null) {
                    answer = ask(request); // once more on a new one, as the protocol has it
                }
                if (answer == null || answer.status() != 200 || !answer.text().startsWith("for " + id)) {
                    wrong.add(id + ": " + (answer == null ? "no answer" : answer.start()));
                }
                Thread.sleep(1);
            }
            return wrong;
        }
    }

    /** Every request gets its own answer, and no order runs twice, while one process after another takes over. */
    @Test
    void noRequestIsLostThroughUpgradesInARow() throws Exception {
        AtomicInteger orders = new AtomicInteger();
        Server host = startHost((m, s) -> {
            if (m.start().startsWith("POST")) {
                orders.incrementAndGet();
            }
            echo(m, s);
        });
        before(host);
        AtomicBoolean over = new AtomicBoolean();
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<List<String>>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(threads.submit(new Regular("c" + i, over)));
            }
            for (int i = 0; i < UPGRADES; i++) {
                int had = host.asked.size();
                while (host.asked.size() < had + 10 * CLIENTS) {
                    Thread.sleep(1); // there is load before each
                }
                waitingForNext(after(config()));
            }
            over.set(true);
            for (Future<List<String>> c : clients) {
                assertEquals(List.of(), c.get(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            }
        } finally {
            over.set(true);
            threads.shutdown();
        }
        long distinct = host.asked.stream().filter(m -> m.start().startsWith("POST"))
                .map(m -> m.header("Idempotency-Key")).distinct().count();
        assertEquals(distinct, orders.get());
    }

    @Test
    void whatTheOldProcessHoldsIsAnsweredThere() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            if (m.start().startsWith("POST")) {
                held.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Node old = before(host);
        Client busy = connectClient(old).send(order("o", "b"));
        Client idle = connectClient(old).send(view("v", Sockets.PATIENCE_MS));
        assertEquals(200, idle.receive().status());
        Client silent = connectClient(old); // it has yet to ask
        assertNotNull(host.next());
        while (old.loop.submit(old::connectionCount).sync().getNow() < 3) {
            Thread.sleep(1);
        }
        Node fresh = after(config());
        assertNull(idle.receive());
        assertEquals("for late ", silent.send(view("late", Sockets.PATIENCE_MS)).receive().text());
        assertNull(silent.receive());
        assertEquals("for new ", connectClient(fresh).send(view("new", Sockets.PATIENCE_MS)).receive().text());
        held.countDown();
        Message answer = busy.receive();
        assertEquals("for o b", answer.text());
        assertEquals("close", answer.header("Connection"));
        assertEquals(1, host.asked.stream().filter(m -> m.start().startsWith("POST")).count());
        old.stop();
        assertEquals("for on ", connectClient(fresh).send(view("on", Sockets.PATIENCE_MS)).receive().text());
    }

    @Test
    void aNewProcessThatDiesGivesThePlaceBack() throws Exception {
        Server host = startHost(SocketTest::echo);
        Node old = before(host);
        Node fresh = Sockets.unstarted(config());
        Predecessor link = predecessor();
        fresh.start(link, inTime());
        assertEquals("for a ", connectClient(fresh).send(view("a", Sockets.PATIENCE_MS)).receive().text());
        fresh.stop();
        link.close();
        Sockets.await(() -> serves("b"), "somebody serves");
        Client kept = connectClient(old).send(view("c", Sockets.PATIENCE_MS));
        assertNull(kept.receive().header("Connection")); // and connections stay again
        assertEquals(200, kept.send(view("d", Sockets.PATIENCE_MS)).receive().status());
    }

    private boolean serves(String id) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(Sockets.PATIENCE_MS);
            s.getOutputStream().write(Sockets.bytes(view(id, Sockets.PATIENCE_MS)));
            Message answer = Sockets.read(s.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Datagrams to the shared address reach the process that decides, also after it has fallen back. */
    @Test
    void peersAreHeardByTheProcessThatServes() throws Exception {
        registry = closeAfterTest(new Registry(list(1, true)));
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            String config = config("127.0.0.1:" + port, "127.0.0.1:" + peer.getLocalPort());
            Node old = startNode(config);
            waitingForNext(old);
            Node fresh = Sockets.unstarted(config);
            Predecessor link = predecessor();
            fresh.start(link, inTime());
            awaitMissed(peer, fresh);
            assertTrue(!old.hasHeardFromPeers());
            fresh.stop();
            link.close();
            awaitMissed(peer, old);
        }
    }

    private void awaitMissed(DatagramSocket peer, Node node) throws Exception {
        Sockets.await(() -> {
            peer.send(new DatagramPacket(new byte[] {1}, 1, InetAddress.getLoopbackAddress(), port));
            return node.hasHeardFromPeers();
        }, "the peer is heard");
    }

    /** The option that two processes of one gateway need must not let two gateways share an address. */
    @Test
    void anAddressThatSomebodyElseHasIsNotShared() throws Exception {
        before(startHost(SocketTest::echo));
        Node stranger = Sockets.unstarted(config());
        resources.push(stranger::stop);
        IOException e = assertThrows(IOException.class, stranger::start);
        assertTrue(e.getMessage().contains("another process uses the address"), e.getMessage());
        assertTrue(serves("v"));
    }
}
