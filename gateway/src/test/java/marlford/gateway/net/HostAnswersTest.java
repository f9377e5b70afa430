package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.order;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What hosts send beside or in place of the answer: it must reach no client, and cost no more than its attempt. */
class HostAnswersTest extends SocketTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    /** Each once reached the client as its answer, or held the request until its time was up. */
    @ParameterizedTest
    @ValueSource(strings = {
        "noise with no end", "noise\r\n\r\nmore of it",
        OK + "no colon here\r\nContent-Length: 4\r\n\r\nspam",
        OK + "Content-Length: -1\r\nContent-Length: 4\r\n\r\nspam",
        OK + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nspam",
        OK + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nspam\r\n0\r\n\r\n",
        OK + "Content-Length: 3000000000\r\n\r\nspam",
        OK + "Content-Length: 40\r\n\r\nspam", OK + "Content-Le",
        OK + "Transfer-Encoding: chunked\r\n\r\nzz\r\nspam\r\n", OK + "\r\nspam",
        "HTTP/1.1 101 Go\r\n\r\nspam"})
    void aSpoiltAnswerFailsItsAttemptAtOnceAndItsConnectionCloses(String spoilt) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Server host = host((m, s) -> {
            if (asked.incrementAndGet() > 1) {
                echo(m, s);
                return;
            }
            s.getOutputStream().write(bytes(spoilt)); // and the connection stays open
        });
        Client c = client(nodeBefore(host));
        assertEquals("for o b", c.send(order("o", "b")).receive().text());
        assertNotNull(host.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals(2, asked.get());
    }

    /** It may have run: a keyed request whose answers all come spoilt is failed and never refused (rule 2). */
    @Test
    void aRequestWhoseAnswersAllComeSpoiltFails() throws Exception {
        Server host = host((m, s) -> s.getOutputStream().write(bytes("HTTP/1.1 twohundred\r\n\r\n")));
        assertEquals(502, client(nodeBefore(host)).send(order("o", "b")).receive().status());
        assertEquals(3, host.asked.size());
    }

    /** A connection that holds more than its answer once went back to its pool, and the rest to the next client. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 2",
        "noise", "\r\n"})
    void whatComesBehindAnAnswerReachesNobody(String behind) throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        Server host = host((m, s) -> {
            assertTrue(used.add(s), "asked again on a connection that holds more than its answer");
            String answer = "for " + m.header("X-Trace-Id");
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n"
                    + answer + behind));
        });
        Client c = client(nodeBefore(host));
        for (int i = 0; i < 10; i++) {
            assertEquals("for v" + i, c.send(view("v" + i, Sockets.PATIENCE_MS)).receive().text());
        }
        assertEquals(10, used.size());
    }

    /** The host speaks up only when the connection is idle again; the next request must not get that. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond", "HTTP/1.1 200 OK\r\nContent-"})
    void whatAnIdleConnectionBringsClosesIt(String unasked) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Server host = host((m, s) -> {
            echo(m, s);
            if (asked.incrementAndGet() == 1) {
                Thread.sleep(50); // the answer is read by then, and the connection back in its pool
                s.getOutputStream().write(bytes(unasked));
            }
        });
        Client c = client(nodeBefore(host));
        assertEquals("for v ", c.send(view("v", Sockets.PATIENCE_MS)).receive().text());
        assertNotNull(host.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals("for w ", c.send(view("w", Sockets.PATIENCE_MS)).receive().text());
    }

    /** Both are good answers: 1xx ahead is no answer yet, and a load report is only worth what it can be read for. */
    @Test
    void interimAnswersAndAReportThatCantBeReadCostNothing() throws Exception {
        Server host = host((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT util=NaN,\u0001\u00ff=\r\n"
                    + "Content-Type: \u0001\r\nContent-Length: 3\r\n\r\n"));
            s.getOutputStream().write(bytes("abc"));
        });
        Client c = client(nodeBefore(host));
        for (int i = 0; i < 3; i++) {
            assertEquals("abc", c.send(order("o" + i, "b")).receive().text());
        }
        assertEquals(3, host.asked.size());
    }

    @Test
    void anAnswerInManyPiecesIsServedWhole() throws Exception {
        Server host = host((m, s) -> {
            for (byte b : ok("for " + m.header("X-Trace-Id"))) {
                s.getOutputStream().write(b);
            }
        });
        Client c = client(nodeBefore(host));
        for (int i = 0; i < 3; i++) {
            assertEquals("for v" + i, c.send(view("v" + i, Sockets.PATIENCE_MS)).receive().text());
        }
    }
}
