package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.headers;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send what can't be read, or nothing: each gets an error or a close, and no host hears of it. */
class ClientReadingTest extends SocketTest {
    private static final String ORDER = "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers("o", Sockets.PATIENCE_MS)
            + "Idempotency-Key: k\r\n";
    private static final String INNER = "GET /view/inner HTTP/1.1\r\n\r\n";

    /** Where two readers may see another end, a second request hides: none of these may go on, nor what follows. */
    @ParameterizedTest
    @ValueSource(strings = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "Content-Length: 3, 3\r\n\r\nabc",
        "Content-Length: +3\r\n\r\nabc", "Content-Length: 03\r\n\r\nabc", "Content-Length: -3\r\n\r\n",
        "Content-Length: 0x3\r\n\r\nabc", "Content-Length: 99999999999999999999\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "X-Plan: tiny\r\nContent-Length: 0\r\n\r\n",
        "X-Quota: units=2,spread=1,first=0\r\nContent-Length: 0\r\n\r\n",
        "X-Trace-Id: other\r\nContent-Length: 0\r\n\r\n", "no colon here\r\nContent-Length: 0\r\n\r\n",
        "Content-Length : 3\r\n\r\nabc"})
    void aRequestOfUncertainEndIsRefusedAndItsConnectionClosed(String rest) throws Exception {
        Server host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host)).send(ORDER + rest + INNER);
        Message answer = c.receive();
        assertEquals(400, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertNull(c.receive());
        assertEquals(List.of(), host.asked);
    }

    /** A request that is safe to repeat goes on without a length, so a host would read its body as another one. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 28\r\n\r\n" + INNER, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
    void aGetWithABodyDoesNotGoOn(String rest) throws Exception {
        Server host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        String plain = view("v", Sockets.PATIENCE_MS);
        assertEquals(400, c.send(plain.substring(0, plain.length() - 2) + rest).receive().status());
        assertEquals(200, c.send(plain).receive().status());
        assertEquals(1, host.asked.size());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"units=1|units=5", "units=1|units=-1", "units=1|units=0", "units=1|units=NaN",
        "units=1|units=1e0", "units=1|units=0x1p0", "units=1|units=Infinity", "units=1|units=1d",
        "units=1|units=1,units=2", "spread=1|spread=0", "spread=1|spread=2", "spread=1|spread=4294967297",
        "spread=1|spread=1.0", "first=0|first=1", "first=0|first=-1", "b4d65521|b4d6552", "00000000b4|+0000000b4",
        "00000000b4|00000002b4", "In-Ms: 1000|In-Ms: 1e3", "In-Ms: 1000|In-Ms: -5", "In-Ms: 1000|In-Ms: 0",
        "In-Ms: 1000|In-Ms: 99999999999", "X-Trace-Id: v|X-Trace-Id: a b", "/view/|view/", "HTTP/1.1|HTTP/3.7"})
    void whatCantBeIsNotCounted(String good, String bad) throws Exception {
        Server host = startHost(SocketTest::echo);
        String plain = view("v", 1000);
        assertTrue(plain.contains(good));
        assertEquals(400, connectClient(startNodeWithHosts(host)).send(plain.replace(good, bad)).receive().status());
        assertEquals(List.of(), host.asked);
    }

    /** What its class allows bounds the time that is told to the host, whatever the client says. */
    @Test
    void noRequestWaitsLongerThanItsClassDoes() throws Exception {
        Server host = startHost(SocketTest::echo);
        assertEquals(200, connectClient(startNodeWithHosts(host)).send(view("v", 999_999_999)).receive().status());
        assertTrue(Integer.parseInt(host.next().header("X-Expires-In-Ms")) <= 60_000);
    }

    /** Renamed and served, it would reach a host under the id that somebody else's request has. */
    @Test
    void anIdThatIsOpenIsTurnedAway() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            told.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client first = connectClient(node).send(view("same", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        assertEquals(400, connectClient(node).send(view("same", Sockets.PATIENCE_MS)).receive().status());
        told.countDown();
        assertEquals("for same ", first.receive().text());
        assertEquals(1, host.asked.size());
        assertEquals("for same ", first.send(view("same", Sockets.PATIENCE_MS)).receive().text());
    }

    /** Before a byte of the body has come, and in its turn behind the answer that is still due. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 60000000\r\n\r\n", "Content-Length: 60000000\r\nExpect: 100-continue\r\n\r\n"})
    void aBodyTooLongIsRefusedInItsTurn(String rest) throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            sent.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Client c = connectClient(startNodeWithHosts(host)).send(view("v", Sockets.PATIENCE_MS) + ORDER + rest);
        assertNotNull(host.next());
        sent.countDown();
        assertEquals("for v ", c.receive().text());
        assertEquals(413, c.receive().status());
        assertNull(c.receive());
        assertEquals(1, host.asked.size());
    }

    /** A part of it is with a host by then: both ends are closed, and the host has no whole request. */
    @Test
    void aBodyOfManyChunksEndsItsConnectionOnceItIsTooLong() throws Exception {
        CountDownLatch cut = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            try {
                LongAnswersTest.chunks(s.getInputStream());
            } catch (IOException | RuntimeException e) {
                cut.countDown();
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(ORDER + "Transfer-Encoding: chunked\r\n\r\n");
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 100 * 16; i++) { // twice what may be
                c.send(chunk);
            }
        });
        assertTrue(cut.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, host.asked.size());
    }

    @Test
    void aClientThatAsksIsToldToSendItsBody() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        c.send(ORDER + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(100, c.receive().status());
        assertEquals("for o body", c.send("body").receive().text());
    }

    /** Neither silence nor half a request had an end; each is owed an error or a close. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /view/x HT", "GET /view/x HTTP/1.1\r\n", "GET /view/x HTTP/1.1\r\nX-A: b\r\nX-",
        "POST /order/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"})
    void anUnfinishedRequestIsGivenUp(String half) throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        Client c = connectClient(node).send(half);
        Client used = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        assertEquals(200, used.receive().status());
        used.send(half);
        Message answer = c.receive();
        assertEquals(half.isEmpty() ? "closed" : "408", answer == null ? "closed" : "" + answer.status());
        if (!half.isEmpty()) {
            assertEquals(408, used.receive().status());
        }
    }

    @Test
    void aHeadWithoutEndIsRefused() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        c.send("GET /view/x HTTP/1.1\r\n" + "X-A: bcdefghijklmnopqrstuvwxyz\r\n".repeat(300));
        assertEquals(431, c.receive().status());
    }

    /** A node with places for 25 clients. */
    private Node crampedNode() throws IOException {
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", startHost(SocketTest::echo).address(), "ready"))));
        return startNode(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"sockets\": 1024", "\"sockets\": 60"));
    }

    /** Hundreds that say nothing must not take the place of one that does, nor of those that are in use. */
    @Test
    void aSilentCrowdTakesNoUsedConnection() throws Exception {
        Node node = crampedNode();
        List<Client> regulars = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            regulars.add(connectClient(node));
            assertEquals(200, regulars.get(i).send(view("r" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silent.add(connectClient(node));
        }
        for (int i = 0; i < 8; i++) {
            assertEquals(200, regulars.get(i).send(view("s" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        for (Client c : silent) {
            assertNull(closedOr(c));
        }
    }

    /** Many that ask for health on ever new connections once pushed out those that bring the requests. */
    @Test
    void aCrowdThatAsksOnceTakesNoRegularsPlace() throws Exception {
        Node node = crampedNode();
        Client regular = connectClient(node);
        for (int i = 0; i < 2; i++) {
            assertEquals(200, regular.send(view("r" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        for (int i = 0; i < 60; i++) {
            Client once = connectClient(node);
            assertEquals(200, once.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status());
            assertEquals(200, connectClient(node).send(view("o" + i, Sockets.PATIENCE_MS)).receive().status());
            if (i % 20 == 19) { // more came in between than fit
                assertEquals("for p" + i + " ", regular.send(view("p" + i, Sockets.PATIENCE_MS)).receive().text());
            }
        }
    }

    /** In a full house each newcomer pushed out the one before, whose request had no time to come. */
    @Test
    void inAFullHouseNewcomersAreHeard() throws Exception {
        Node node = crampedNode();
        for (int i = 0; i < 40; i++) {
            assertEquals(200, connectClient(node).send(view("o" + i, Sockets.PATIENCE_MS)).receive().status());
        }
        List<Client> newcomers = new ArrayList<>();
        for (int i = 0; i < 5; i++) { // less than a quarter of the 25 that fit
            newcomers.add(connectClient(node));
        }
        assertEquals(200, connectClient(node).send(view("last", Sockets.PATIENCE_MS)).receive().status()); // all are taken in
        for (int i = 0; i < newcomers.size(); i++) {
            assertEquals("for n" + i + " ", newcomers.get(i).send(view("n" + i, Sockets.PATIENCE_MS)).receive().text());
        }
    }

    private static Message closedOr(Client c) {
        try {
            return c.receive();
        } catch (IOException reset) {
            return null;
        }
    }

    /** A flood of bad requests is answered whole, but read only now and then. */
    @Test
    void badRequestsAreAllAnswered() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        String bad = view("v", 1000).replace("units=1", "units=x");
        c.send(bad.repeat(40));
        for (int i = 0; i < 40; i++) {
            assertEquals(400, c.receive().status());
        }
        c.send(view("v", Sockets.PATIENCE_MS));
        assertEquals(200, c.receive().status());
        assertFalse(c.socket.isClosed());
    }

    @Test
    void aKeyedRequestKeepsItsBody() throws Exception {
        Server host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        c.send(ORDER + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertEquals("for o abcde", c.receive().text());
        assertEquals("5", host.next().header("Content-Length"));
        assertEquals("for p b", c.send(order("p", "b")).receive().text());
    }
}
