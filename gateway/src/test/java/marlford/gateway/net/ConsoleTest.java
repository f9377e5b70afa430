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

/** What operators ask, over sockets, while the gateway serves, stands still or is beset. */
class ConsoleTest extends SocketTest {
    private Socket caller(Node node) throws IOException {
        Socket s = kept(new Socket(node.console().getAddress(), node.console().getPort()));
        s.setSoTimeout(Sockets.PATIENCE_MS);
        return s;
    }

    private Message call(Node node, String method, String path, String body) throws IOException {
        Socket s = caller(node);
        s.getOutputStream().write(bytes(method + " " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body));
        Message answer = Sockets.read(s.getInputStream());
        assertEquals(-1, s.getInputStream().read()); // one call on a connection
        return answer;
    }

    private int post(Node node, String path, String body) throws IOException {
        return call(node, "POST", path, body).status();
    }

    private Map<String, Long> figures(Node node) throws IOException {
        Map<String, Long> figures = new HashMap<>();
        call(node, "GET", "/admin/stats", "").text().lines()
                .forEach(l -> figures.put(l.split("=")[0], Long.parseLong(l.split("=")[1])));
        return figures;
    }

    private void awaitFigure(Node node, String name, long value) throws Exception {
        Sockets.await(() -> figures(node).get(name) == value, name + " is " + value);
    }

    private static void settled(Node node) throws InterruptedException {
        node.loop.submit(() -> { }).sync(); // what the console handed over was done
    }

    private int serve(Node node, String id) throws IOException {
        try (Client c = new Client(node)) {
            return c.send(view(id, Sockets.PATIENCE_MS)).receive().status();
        }
    }

    @Test
    void aHostThatIsLeftOutGetsNothingUntilItIsCalledBack() throws Exception {
        Server one = host(SocketTest::echo);
        Server two = host(SocketTest::echo);
        Node node = nodeBefore(one, two);
        assertEquals(200, post(node, "/admin/cordon", "h0"));
        assertEquals(200, post(node, "/admin/cordon", "h0")); // two calls out need one call back
        settled(node);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, serve(node, "out" + i));
        }
        assertEquals(List.of(), one.asked);
        awaitFigure(node, "svc.cluster_unhealthy", 1);
        awaitWatches(1);
        registry.news.add(list(2, true, entry("h0", one.address(), "ready"), entry("h1", two.address(), "ready")));
        awaitWatches(2);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, serve(node, "still" + i));
        }
        assertEquals(List.of(), one.asked);
        assertEquals(200, post(node, "/admin/uncordon", "h0"));
        assertEquals(200, post(node, "/admin/cordon", "h1"));
        settled(node);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, serve(node, "back" + i));
        }
        assertEquals(20, one.asked.size());
        awaitFigure(node, "svc.cluster_size", 2);
        awaitFigure(node, "svc.cluster_unhealthy", 1);
    }

    /** Restarted while it is out, a host may be off the list for a while: it is still the operators' to call back. */
    @Test
    void aHostThatLeftTheListCanBeCalledBack() throws Exception {
        Server one = host(SocketTest::echo);
        Node node = nodeBefore(one);
        assertEquals(200, post(node, "/admin/cordon", "h0"));
        awaitFigure(node, "svc.cluster_size", 1);
        awaitWatches(1);
        registry.news.add(list(2, true));
        awaitFigure(node, "svc.cluster_size", 0);
        assertEquals(200, post(node, "/admin/uncordon", "h0"));
        assertEquals(404, post(node, "/admin/uncordon", "h0"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"POST /admin/cordon nobody", "POST /admin/uncordon nobody", "POST /admin/cordon ",
        "POST /admin/unknown h0", "GET /admin/cordon h0", "POST /admin/stats h0", "GET / h0"})
    void whatCantBeDoneIsNo(String wrong) throws Exception {
        Node node = nodeBefore(host(SocketTest::echo));
        String[] call = wrong.split(" ", -1);
        assertEquals(404, call(node, call[0], call[1], call[2]).status());
    }

    @Test
    void whatCantBeReadIsNo() throws Exception {
        Node node = nodeBefore(host(SocketTest::echo));
        Socket s = caller(node);
        s.getOutputStream().write(bytes("POST /admin/cordon HTTP/1.1\r\nContent-Length: x\r\n\r\n"));
        Message answer = Sockets.read(s.getInputStream());
        assertTrue(answer == null || answer.status() == 400);
        assertEquals(413, post(node, "/admin/cordon", "h".repeat(10_000)));
    }

    @Test
    void figuresSayWhatBecameOfEachRequest() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        Server host = host((m, s) -> {
            if (m.start().contains("slow")) {
                held.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            if (m.start().contains("/order/")) {
                s.close();
            } else {
                echo(m, s);
            }
        });
        Node node = nodeBefore(host);
        assertEquals(200, serve(node, "a"));
        assertEquals(200, serve(node, "b"));
        assertEquals(502, client(node).send(order("o", "body")).receive().status());
        String tiny = view("t", Sockets.PATIENCE_MS).replace("X-Plan: free", "X-Plan: tiny")
                .replace("b4d65521", "b4d65522");
        assertEquals(200, client(node).send(tiny).receive().status());
        assertEquals(429, client(node).send(tiny.replace("t?", "u?")).receive().status());
        Client slow = client(node).send(view("slow", Sockets.PATIENCE_MS));
        awaitFigure(node, "svc.current", 1);
        Map<String, Long> all = figures(node);
        assertEquals(3, all.get("svc.answered.view"));
        assertEquals(1, all.get("svc.deferred.view"));
        assertEquals(0, all.get("svc.errored.view"));
        assertEquals(1, all.get("svc.errored.order"));
        assertEquals(0, all.get("svc.answered.order"));
        // Taken is not yet sent, and sent not yet noted by the host: what it was asked is looked at anew each time.
        Sockets.await(() -> host.asked.stream().anyMatch(m -> "slow".equals(m.header("X-Trace-Id"))), "slow is asked");
        Sockets.await(() -> figures(node).get("svc.sends") == host.asked.size(), "each attempt counts once");
        held.countDown();
        assertEquals(200, slow.receive().status());
        awaitFigure(node, "svc.current", 0);
        Client leaves = client(node).send(view("slow2", Sockets.PATIENCE_MS));
        leaves.close();
        awaitFigure(node, "svc.current", 0);
    }

    /** An answer is due within a second under any load, also where the loop that serves clients does nothing at all. */
    @Test
    void aGatewayThatStandsStillAnswersItsOperators() throws Exception {
        Node node = nodeBefore(host(SocketTest::echo));
        CountDownLatch still = new CountDownLatch(1);
        node.loop.execute(() -> {
            try {
                still.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            assertEquals(200, call(node, "GET", "/admin/health", "").status());
            assertEquals(200, post(node, "/admin/cordon", "h0"));
            assertNotNull(figures(node).get("svc.sends"));
        } finally {
            still.countDown();
        }
    }

    @Test
    void callersThatNeverSpeakKeepNobodyOut() throws Exception {
        Node node = nodeBefore(host(SocketTest::echo));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket s = caller(node);
            s.getOutputStream().write(bytes("GET /admin/he"));
            silent.add(s);
        }
        assertEquals(200, call(node, "GET", "/admin/health", "").status());
        assertEquals(-1, silent.get(0).getInputStream().read()); // the oldest gave way
    }

    /** Sent away, clients lose nothing: what is open is answered, what still comes too, and no connection stays. */
    @Test
    void clientsAreSentAwayAndTakenBack() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        Server host = host((m, s) -> {
            if (m.start().contains("held")) {
                held.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Node node = nodeBefore(host);
        Client busy = client(node).send(view("held", Sockets.PATIENCE_MS));
        Client used = client(node).send(view("used", Sockets.PATIENCE_MS));
        assertEquals(200, used.receive().status());
        Client silent = client(node);
        assertNotNull(host.next());
        assertEquals(200, post(node, "/admin/quiesce", ""));
        assertEquals(200, post(node, "/admin/quiesce", ""));
        settled(node);
        assertEquals(503, call(node, "GET", "/admin/health", "").status());
        Message no = client(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive();
        assertEquals(503, no.status());
        assertEquals("close", no.header("Connection"));
        Client late = client(node).send(view("late", Sockets.PATIENCE_MS));
        assertEquals("close", late.receive().header("Connection"));
        assertNull(late.receive());
        assertNull(used.receive());
        assertNull(silent.receive());
        held.countDown();
        Message answer = busy.receive();
        assertEquals(200, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertNull(busy.receive());
        assertEquals(200, post(node, "/admin/resume", ""));
        settled(node);
        assertEquals(200, call(node, "GET", "/admin/health", "").status());
        Client again = client(node).send(view("again", Sockets.PATIENCE_MS));
        assertNull(again.receive().header("Connection"));
        assertEquals(200, again.send(view("again2", Sockets.PATIENCE_MS)).receive().status());
    }

    /** Back to work is no way out of an end that was asked for. */
    @Test
    void anEndThatWasAskedForIsNotTakenBack() throws Exception {
        Node node = nodeBefore(host(SocketTest::echo));
        node.loop.submit(node::drain).sync();
        assertEquals(200, post(node, "/admin/resume", ""));
        settled(node);
        assertEquals(503, call(node, "GET", "/admin/health", "").status());
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
    }

    /** Nor while whoever is connected is still served. */
    @Test
    void anEndIsNotTakenBackWhileClientsStay() throws Exception {
        Node node = nodeBefore(host(SocketTest::echo));
        node.loop.submit(() -> node.drainAfter(Sockets.PATIENCE_MS)).sync();
        assertEquals(200, post(node, "/admin/resume", ""));
        settled(node);
        assertEquals(503, call(node, "GET", "/admin/health", "").status());
    }
}
