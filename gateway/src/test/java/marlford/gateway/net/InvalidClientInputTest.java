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
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send malformed input, or nothing: each gets an error or a close, and no host receives a request. */
class InvalidClientInputTest extends SocketTest {
    private static final String ORDER_HEAD = "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers("o", Sockets.TIMEOUT_MS)
            + "Idempotency-Key: k\r\n";
    private static final String HIDDEN_REQUEST = "GET /view/inner HTTP/1.1\r\n\r\n";

    /**
     * Request smuggling: where two parsers may disagree on the end of a request, a second one can be hidden in it.
     * None of these requests may be sent on, nor what follows them.
     */
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
    void aRequestOfAmbiguousLengthIsRejectedAndItsConnectionClosed(String headerEnd) throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host)).send(ORDER_HEAD + headerEnd + HIDDEN_REQUEST);
        Message response = c.receive();
        assertEquals(400, response.status());
        assertEquals("close", response.header("Connection"));
        assertNull(c.receive());
        assertEquals(List.of(), host.requests);
    }

    /** A request that is safe to repeat is sent on without a length, so a host would read its body as another request. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 28\r\n\r\n" + HIDDEN_REQUEST, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
    void aGetWithABodyIsRejected(String headerEnd) throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        String validRequest = view("v", Sockets.TIMEOUT_MS);
        assertEquals(400, c.send(validRequest.substring(0, validRequest.length() - 2) + headerEnd).receive().status());
        assertEquals(200, c.send(validRequest).receive().status());
        assertEquals(1, host.requests.size());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"units=1|units=5", "units=1|units=-1", "units=1|units=0", "units=1|units=NaN",
        "units=1|units=1e0", "units=1|units=0x1p0", "units=1|units=Infinity", "units=1|units=1d",
        "units=1|units=1,units=2", "spread=1|spread=0", "spread=1|spread=2", "spread=1|spread=4294967297",
        "spread=1|spread=1.0", "first=0|first=1", "first=0|first=-1", "b4d65521|b4d6552", "00000000b4|+0000000b4",
        "00000000b4|00000002b4", "In-Ms: 1000|In-Ms: 1e3", "In-Ms: 1000|In-Ms: -5", "In-Ms: 1000|In-Ms: 0",
        "In-Ms: 1000|In-Ms: 99999999999", "X-Trace-Id: v|X-Trace-Id: a b", "/view/|view/", "HTTP/1.1|HTTP/3.7"})
    void invalidRequestFieldsAreRejected(String good, String bad) throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        String validRequest = view("v", 1000);
        assertTrue(validRequest.contains(good));
        assertEquals(400, connectClient(startNodeWithHosts(host)).send(validRequest.replace(good, bad)).receive().status());
        assertEquals(List.of(), host.requests);
    }

    /** The class's limit bounds the time that is passed to the host, whatever the client claims. */
    @Test
    void theRequestTimeIsBoundedByItsClass() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        assertEquals(200, connectClient(startNodeWithHosts(host)).send(view("v", 999_999_999)).receive().status());
        assertTrue(Integer.parseInt(host.next().header("X-Expires-In-Ms")) <= 60_000);
    }

    /**
     * A request whose id is already open is rejected; under a new id it would reach a host with the id of another
     * request.
     */
    @Test
    void aRequestWithAnOpenIdIsRejected() throws Exception {
        CountDownLatch releaseResponse = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            releaseResponse.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client first = connectClient(node).send(view("same", Sockets.TIMEOUT_MS));
        assertNotNull(host.next());
        assertEquals(400, connectClient(node).send(view("same", Sockets.TIMEOUT_MS)).receive().status());
        releaseResponse.countDown();
        assertEquals("for same ", first.receive().text());
        assertEquals(1, host.requests.size());
        assertEquals("for same ", first.send(view("same", Sockets.TIMEOUT_MS)).receive().text());
    }

    /** The refusal precedes any byte of the body, and waits for the answer that is still due on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 60000000\r\n\r\n", "Content-Length: 60000000\r\nExpect: 100-continue\r\n\r\n"})
    void aBodyThatIsTooLongIsRefusedInOrder(String headerEnd) throws Exception {
        CountDownLatch requestsSent = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            requestsSent.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Client c = connectClient(startNodeWithHosts(host)).send(view("v", Sockets.TIMEOUT_MS) + ORDER_HEAD + headerEnd);
        assertNotNull(host.next());
        requestsSent.countDown();
        assertEquals("for v ", c.receive().text());
        assertEquals(413, c.receive().status());
        assertNull(c.receive());
        assertEquals(1, host.requests.size());
    }

    /** A part of the body has reached a host: both connections are closed, and the host has no complete request. */
    @Test
    void aChunkedBodyEndsItsConnectionOnceItIsTooLong() throws Exception {
        CountDownLatch bodyCutOff = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            try {
                LongResponseTest.readChunks(s.getInputStream());
            } catch (IOException | RuntimeException e) {
                bodyCutOff.countDown();
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(ORDER_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 100 * 16; i++) { // twice the limit
                c.send(chunk);
            }
        });
        assertTrue(bodyCutOff.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, host.requests.size());
    }

    @Test
    void aClientThatExpectsContinueReceivesIt() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        c.send(ORDER_HEAD + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(100, c.receive().status());
        assertEquals("for o body", c.send("body").receive().text());
    }

    /** A silent client or a truncated request once stayed open without limit; each must get an error or a close. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /view/x HT", "GET /view/x HTTP/1.1\r\n", "GET /view/x HTTP/1.1\r\nX-A: b\r\nX-",
        "POST /order/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"})
    void anUnfinishedRequestTimesOut(String input) throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        Client c = connectClient(node).send(input);
        Client used = connectClient(node).send(view("v", Sockets.TIMEOUT_MS));
        assertEquals(200, used.receive().status());
        used.send(input);
        Message response = c.receive();
        assertEquals(input.isEmpty() ? "closed" : "408", response == null ? "closed" : "" + response.status());
        if (!input.isEmpty()) {
            assertEquals(408, used.receive().status());
        }
    }

    @Test
    void anEndlessHeaderSectionIsRejected() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        c.send("GET /view/x HTTP/1.1\r\n" + "X-A: bcdefghijklmnopqrstuvwxyz\r\n".repeat(300));
        assertEquals(431, c.receive().status());
    }

    /** A node that accepts 25 clients. */
    private Node startNodeWithFewSockets() throws IOException {
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", startHost(SocketTest::echo).address(), "ready"))));
        return startNode(Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"sockets\": 1024", "\"sockets\": 60"));
    }

    /** Many silent connections must not evict those that send requests or are in use. */
    @Test
    void silentConnectionsEvictNoActiveConnection() throws Exception {
        Node node = startNodeWithFewSockets();
        List<Client> activeClients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            activeClients.add(connectClient(node));
            assertEquals(200, activeClients.get(i).send(view("r" + i, Sockets.TIMEOUT_MS)).receive().status());
        }
        List<Client> silentClients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silentClients.add(connectClient(node));
        }
        for (int i = 0; i < 8; i++) {
            assertEquals(200, activeClients.get(i).send(view("s" + i, Sockets.TIMEOUT_MS)).receive().status());
        }
        for (Client c : silentClients) {
            assertNull(receiveOrNull(c));
        }
    }

    /** Many health checks, each on a new connection, once evicted the connections that carry requests. */
    @Test
    void singleRequestConnectionsEvictNoActiveConnection() throws Exception {
        Node node = startNodeWithFewSockets();
        Client activeClient = connectClient(node);
        for (int i = 0; i < 2; i++) {
            assertEquals(200, activeClient.send(view("r" + i, Sockets.TIMEOUT_MS)).receive().status());
        }
        for (int i = 0; i < 60; i++) {
            Client once = connectClient(node);
            assertEquals(200, once.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status());
            assertEquals(200, connectClient(node).send(view("o" + i, Sockets.TIMEOUT_MS)).receive().status());
            if (i % 20 == 19) { // more connections than the limit were opened in between
                assertEquals("for p" + i + " ", activeClient.send(view("p" + i, Sockets.TIMEOUT_MS)).receive().text());
            }
        }
    }

    /** At the connection limit each new connection once evicted the previous one before its request could arrive. */
    @Test
    void newConnectionsAreServedAtTheConnectionLimit() throws Exception {
        Node node = startNodeWithFewSockets();
        for (int i = 0; i < 40; i++) {
            assertEquals(200, connectClient(node).send(view("o" + i, Sockets.TIMEOUT_MS)).receive().status());
        }
        List<Client> newClients = new ArrayList<>();
        for (int i = 0; i < 5; i++) { // fewer than a quarter of the 25 that fit
            newClients.add(connectClient(node));
        }
        // all connections have been accepted
        assertEquals(200, connectClient(node).send(view("last", Sockets.TIMEOUT_MS)).receive().status());
        for (int i = 0; i < newClients.size(); i++) {
            assertEquals("for n" + i + " ", newClients.get(i).send(view("n" + i, Sockets.TIMEOUT_MS)).receive().text());
        }
    }

    /** The next message, or null where the connection was closed or reset. */
    private static Message receiveOrNull(Client c) {
        try {
            return c.receive();
        } catch (IOException reset) {
            return null;
        }
    }

    /** Each of many malformed requests is answered, but reading from their client is throttled. */
    @Test
    void allMalformedRequestsAreAnswered() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        String bad = view("v", 1000).replace("units=1", "units=x");
        c.send(bad.repeat(40));
        for (int i = 0; i < 40; i++) {
            assertEquals(400, c.receive().status());
        }
        c.send(view("v", Sockets.TIMEOUT_MS));
        assertEquals(200, c.receive().status());
        assertFalse(c.socket.isClosed());
    }

    @Test
    void aKeyedRequestKeepsItsBody() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        c.send(ORDER_HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertEquals("for o abcde", c.receive().text());
        assertEquals("5", host.next().header("Content-Length"));
        assertEquals("for p b", c.send(order("p", "b")).receive().text());
    }
}
