package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of operators over sockets while the gateway serves, its event loop is blocked, or connections flood the console. */
class ConsoleTest extends SocketTest {
    /** Connects to the console. */
    private Socket connect(Node node) throws IOException {
        Socket socket = closeAfterTest(new Socket(node.consoleAddress().getAddress(), node.consoleAddress().getPort()));
        socket.setSoTimeout(Sockets.PATIENCE_MS);
        return socket;
    }

    /** Sends a request to the console and checks that the connection closes after the response. */
    private Message call(Node node, String method, String path, String body) throws IOException {
        Socket socket = connect(node);
        socket.getOutputStream().write(bytes(method + " " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body));
        Message answer = Sockets.read(socket.getInputStream());
        assertEquals(-1, socket.getInputStream().read()); // one request per connection
        return answer;
    }

    private int post(Node node, String path, String body) throws IOException {
        return call(node, "POST", path, body).status();
    }

    /** Reads the values of /admin/stats by name. */
    private Map<String, Long> metrics(Node node) throws IOException {
        Map<String, Long> metrics = new HashMap<>();
        call(node, "GET", "/admin/stats", "").text().lines()
                .forEach(line -> metrics.put(line.split("=")[0], Long.parseLong(line.split("=")[1])));
        return metrics;
    }

    private void awaitMetric(Node node, String name, long value) throws Exception {
        Sockets.await(() -> metrics(node).get(name) == value, name + " is " + value);
    }

    /** Waits until the event loop has executed earlier commands. */
    private static void awaitCommands(Node node) throws InterruptedException {
        node.loop.submit(() -> { }).sync(); // what the console has submitted to the event loop was executed
    }

    /** Sends a request to the gateway on a new connection and returns the status. */
    private int sendRequest(Node node, String id) throws IOException {
        try (Client client = new Client(node)) {
            return client.send(view(id, Sockets.PATIENCE_MS)).receive().status();
        }
    }

    @Test
    void aCordonedHostGetsNoRequestsUntilItIsUncordoned() throws Exception {
        Server one = startHost(SocketTest::echo);
        Server two = startHost(SocketTest::echo);
        Node node = startNodeWithHosts(one, two);
        assertEquals(200, post(node, "/admin/cordon", "h0"));
        assertEquals(200, post(node, "/admin/cordon", "h0")); // a repeated cordon is undone by one uncordon
        awaitCommands(node);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, sendRequest(node, "out" + i));
        }
        assertEquals(List.of(), one.asked);
        awaitMetric(node, "svc.cluster_unhealthy", 1);
        awaitDiscoveryWatches(1);
        registry.news.add(list(2, true, entry("h0", one.address(), "ready"), entry("h1", two.address(), "ready")));
        awaitDiscoveryWatches(2);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, sendRequest(node, "still" + i));
        }
        assertEquals(List.of(), one.asked);
        assertEquals(200, post(node, "/admin/uncordon", "h0"));
        assertEquals(200, post(node, "/admin/cordon", "h1"));
        awaitCommands(node);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, sendRequest(node, "back" + i));
        }
        assertEquals(20, one.asked.size());
        awaitMetric(node, "svc.cluster_size", 2);
        awaitMetric(node, "svc.cluster_unhealthy", 1);
    }

    /** A cordoned host that restarts may be missing from the list for a while; it can be uncordoned all the same. */
    @Test
    void aCordonedHostThatIsNoLongerListedCanBeUncordoned() throws Exception {
        Server one = startHost(SocketTest::echo);
        Node node = startNodeWithHosts(one);
        assertEquals(200, post(node, "/admin/cordon", "h0"));
        awaitMetric(node, "svc.cluster_size", 1);
        awaitDiscoveryWatches(1);
        registry.news.add(list(2, true));
        awaitMetric(node, "svc.cluster_size", 0);
        assertEquals(200, post(node, "/admin/uncordon", "h0"));
        assertEquals(404, post(node, "/admin/uncordon", "h0"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"POST /admin/cordon nobody", "POST /admin/uncordon nobody", "POST /admin/cordon ",
        "POST /admin/unknown h0", "GET /admin/cordon h0", "POST /admin/stats h0", "GET / h0"})
    void unknownHostsAndCommandsAreNotFound(String command) throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        String[] call = command.split(" ", -1);
        assertEquals(404, call(node, call[0], call[1], call[2]).status());
    }

    @Test
    void invalidAndTooLargeRequestsAreRejected() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        Socket socket = connect(node);
        socket.getOutputStream().write(bytes("POST /admin/cordon HTTP/1.1\r\nContent-Length: x\r\n\r\n"));
        Message answer = Sockets.read(socket.getInputStream());
        assertTrue(answer == null || answer.status() == 400);
        assertEquals(413, post(node, "/admin/cordon", "h".repeat(10_000)));
    }

    @Test
    void theMetricsCountTheResultOfEachRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Server host = startHost((message, socket) -> {
            if (message.start().contains("slow")) {
                release.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            if (message.start().contains("/order/")) {
                socket.close();
            } else {
                echo(message, socket);
            }
        });
        Node node = startNodeWithHosts(host);
        assertEquals(200, sendRequest(node, "a"));
        assertEquals(200, sendRequest(node, "b"));
        assertEquals(502, connectClient(node).send(order("o", "body")).receive().status());
        String tinyPlanRequest = view("t", Sockets.PATIENCE_MS).replace("X-Plan: free", "X-Plan: tiny")
                .replace("b4d65521", "b4d65522");
        assertEquals(200, connectClient(node).send(tinyPlanRequest).receive().status());
        assertEquals(429, connectClient(node).send(tinyPlanRequest.replace("t?", "u?")).receive().status());
        Client slow = connectClient(node).send(view("slow", Sockets.PATIENCE_MS));
        awaitMetric(node, "svc.current", 1);
        Map<String, Long> all = metrics(node);
        assertEquals(3, all.get("svc.answered.view"));
        assertEquals(1, all.get("svc.deferred.view"));
        assertEquals(0, all.get("svc.errored.view"));
        assertEquals(1, all.get("svc.errored.order"));
        assertEquals(0, all.get("svc.answered.order"));
        // Accepting, sending and the host's recording are not simultaneous, so the recorded requests are read again each time.
        Sockets.await(() -> host.asked.stream().anyMatch(message -> "slow".equals(message.header("X-Trace-Id"))),
                "the host has received the request slow");
        Sockets.await(() -> metrics(node).get("svc.sends") == host.asked.size(),
                "svc.sends equals the number of requests that the host has received");
        release.countDown();
        assertEquals(200, slow.receive().status());
        awaitMetric(node, "svc.current", 0);
        Client disconnecting = connectClient(node).send(view("slow2", Sockets.PATIENCE_MS));
        disconnecting.close();
        awaitMetric(node, "svc.current", 0);
    }

    /** Operators must get a response within a second under any load, even if the event loop that serves clients is blocked. */
    @Test
    void theConsoleRespondsWhileTheEventLoopIsBlocked() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        CountDownLatch unblock = new CountDownLatch(1);
        node.loop.execute(() -> {
            try {
                unblock.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            assertEquals(200, call(node, "GET", "/admin/health", "").status());
            assertEquals(200, post(node, "/admin/cordon", "h0"));
            assertNotNull(metrics(node).get("svc.sends"));
        } finally {
            unblock.countDown();
        }
    }

    @Test
    void connectionsWithoutARequestDoNotBlockTheConsole() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket socket = connect(node);
            socket.getOutputStream().write(bytes("GET /admin/he"));
            silent.add(socket);
        }
        assertEquals(200, call(node, "GET", "/admin/health", "").status());
        assertEquals(-1, silent.get(0).getInputStream().read()); // the oldest connection was evicted
    }

    /** Quiesce: open and late requests are still answered, all connections are then closed; resume serves clients again. */
    @Test
    void quiesceClosesConnectionsWithoutLosingRequestsAndResumeServesAgain() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Server host = startHost((message, socket) -> {
            if (message.start().contains("held")) {
                release.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(message, socket);
        });
        Node node = startNodeWithHosts(host);
        Client busy = connectClient(node).send(view("held", Sockets.PATIENCE_MS));
        Client used = connectClient(node).send(view("used", Sockets.PATIENCE_MS));
        assertEquals(200, used.receive().status());
        Client silent = connectClient(node);
        assertNotNull(host.next());
        assertEquals(200, post(node, "/admin/quiesce", ""));
        assertEquals(200, post(node, "/admin/quiesce", ""));
        awaitCommands(node);
        assertEquals(503, call(node, "GET", "/admin/health", "").status());
        Message refused = connectClient(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive();
        assertEquals(503, refused.status());
        assertEquals("close", refused.header("Connection"));
        Client late = connectClient(node).send(view("late", Sockets.PATIENCE_MS));
        assertEquals("close", late.receive().header("Connection"));
        assertNull(late.receive());
        assertNull(used.receive());
        assertNull(silent.receive());
        release.countDown();
        Message answer = busy.receive();
        assertEquals(200, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertNull(busy.receive());
        assertEquals(200, post(node, "/admin/resume", ""));
        awaitCommands(node);
        assertEquals(200, call(node, "GET", "/admin/health", "").status());
        Client again = connectClient(node).send(view("again", Sockets.PATIENCE_MS));
        assertNull(again.receive().header("Connection"));
        assertEquals(200, again.send(view("again2", Sockets.PATIENCE_MS)).receive().status());
    }

    /** A resume does not cancel a shutdown. */
    @Test
    void resumeDoesNotCancelAShutdown() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        node.loop.submit(node::drain).sync();
        assertEquals(200, post(node, "/admin/resume", ""));
        awaitCommands(node);
        assertEquals(503, call(node, "GET", "/admin/health", "").status());
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
    }

    /** A resume does not cancel a shutdown while connected clients are still served. */
    @Test
    void resumeDoesNotCancelADelayedShutdown() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        node.loop.submit(() -> node.drainAfter(Sockets.PATIENCE_MS)).sync();
        assertEquals(200, post(node, "/admin/resume", ""));
        awaitCommands(node);
        assertEquals(503, call(node, "GET", "/admin/health", "").status());
    }
}
