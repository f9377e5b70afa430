package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;

/** Answers that are too long to be kept, and peers that take their time over them. */
class LongAnswersTest extends SocketTest {
    private static final int LONG = 2 << 20;
    private static final int VERY_LONG = 32 << 20;
    private static final int PART = 1 << 16;
    private static final String GO_ON = "GET /view/next HTTP/1.1\r\nHost: h\r\n"
            + Sockets.headers("next", Sockets.PATIENCE_MS) + "\r\n";

    private static byte[] content(int length) {
        byte[] content = new byte[length];
        for (int i = 0; i < length; i++) {
            content[i] = (byte) (i * 31 + (i >> 8));
        }
        return content;
    }

    private static byte[] head(String framing) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Type: image/png\r\n" + framing + "\r\n\r\n");
    }

    /** Answers the first request with what it is given, and any later one as its echo. */
    private static Sockets.Answer once(Sockets.Answer first) {
        AtomicInteger asked = new AtomicInteger();
        return (m, s) -> {
            if (asked.getAndIncrement() == 0) {
                first.to(m, s);
            } else {
                echo(m, s);
            }
        };
    }

    private static void awaitCurrent(Node node, long value) throws Exception {
        Sockets.await(() -> node.metrics.text().contains("svc.current=" + value + "\n"), "current is " + value);
    }

    /** The count once it no longer rises; it has to have risen. */
    static long settled(AtomicLong count) throws InterruptedException {
        long before = -1;
        while (count.get() != before || before == 0) {
            before = count.get();
            Thread.sleep(300);
        }
        return before;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n' && b >= 0; b = in.read()) {
            line.append((char) b);
        }
        return line.toString().trim();
    }

    static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int length = Integer.parseInt(line(in), 16); length > 0; length = Integer.parseInt(line(in), 16)) {
            all.write(in.readNBytes(length));
            line(in);
        }
        line(in);
        return all.toByteArray();
    }

    @Test
    void aLongAnswerPassesWholeAndItsConnectionsStay() throws Exception {
        byte[] content = content(LONG);
        Server host = startHost(once((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + LONG));
            s.getOutputStream().write(content);
        }));
        Client c = connectClient(startNodeWithHosts(host));
        Message answer = c.send(view("long", Sockets.PATIENCE_MS)).receive();
        assertEquals("image/png", answer.header("Content-Type"));
        assertArrayEquals(content, answer.body());
        assertEquals("for next ", c.send(GO_ON).receive().text());
        assertTrue(host.ended.isEmpty());
    }

    @Test
    void anAnswerOfUnknownLengthPassesWhole() throws Exception {
        byte[] content = content(LONG);
        Server host = startHost(once((m, s) -> {
            OutputStream out = s.getOutputStream();
            out.write(head("Transfer-Encoding: chunked"));
            for (int at = 0; at < LONG; at += 10_000) {
                byte[] part = Arrays.copyOfRange(content, at, Math.min(LONG, at + 10_000));
                out.write(bytes(Integer.toHexString(part.length) + "\r\n"));
                out.write(part);
                out.write(bytes("\r\n"));
            }
            out.write(bytes("0\r\n\r\n"));
        }));
        Client c = connectClient(startNodeWithHosts(host)).send(view("long", Sockets.PATIENCE_MS));
        InputStream in = c.socket.getInputStream();
        assertEquals("HTTP/1.1 200 OK", line(in));
        String framing = "";
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            framing += l.toLowerCase(java.util.Locale.ROOT) + ";";
        }
        assertTrue(framing.contains("transfer-encoding: chunked"), framing);
        assertArrayEquals(content, chunks(in));
        assertEquals("for next ", c.send(GO_ON).receive().text());
    }

    /** More at once than memory holds: what a client does not take stays with the host. */
    @Test
    void whatAClientDoesNotTakeIsNotRead() throws Exception {
        AtomicLong given = new AtomicLong();
        byte[] part = content(PART);
        Server host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + VERY_LONG));
            for (int at = 0; at < VERY_LONG; at += PART) {
                s.getOutputStream().write(part);
                given.addAndGet(PART);
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(view("long", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        long before = settled(given); // the host can give no more
        assertTrue(before < VERY_LONG - PART, "the host gave " + before);
        byte[] body = c.receive().body();
        assertEquals(VERY_LONG, body.length);
        for (int at = 0; at < VERY_LONG; at += PART) {
            assertTrue(Arrays.equals(part, 0, PART, body, at, at + PART), "wrong at " + at);
        }
    }

    /** The client is to see that this is not all; nothing may follow on that connection. */
    @Test
    void anAnswerThatBreaksOffEndsItsConnection() throws Exception {
        Server host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + LONG));
            s.getOutputStream().write(new byte[LONG / 2]);
            s.close();
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("long", Sockets.PATIENCE_MS) + GO_ON);
        InputStream in = c.socket.getInputStream();
        long got = 0;
        try {
            for (int n = in.read(new byte[PART]); n >= 0; n = in.read(new byte[PART])) {
                got += n;
            }
        } catch (IOException e) {
            got += 0; // reset is as good an end
        }
        assertTrue(got < LONG, "got " + got);
        awaitCurrent(node, 0);
        assertTrue(node.metrics.text().contains("svc.errored.view=1\n"), node.metrics.text());
        assertEquals(1, host.asked.size()); // what was begun is not asked for again
    }

    @Test
    void aClientThatLeavesEndsTheAnswerAtTheHost() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + VERY_LONG));
            s.getOutputStream().write(new byte[LONG / 8]);
            begun.countDown();
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("long", Sockets.PATIENCE_MS));
        assertTrue(begun.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals('H', c.socket.getInputStream().read());
        c.close();
        assertNotNull(host.ended.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        awaitCurrent(node, 0);
    }

    /** Its time is that of its first bytes: what is on its way is not cut off when the client's time is up. */
    @Test
    void aLongAnswerOutlastsTheClientsTime() throws Exception {
        byte[] content = content(LONG);
        CountDownLatch timeUp = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + LONG));
            s.getOutputStream().write(content, 0, LONG / 2);
            timeUp.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(content, LONG / 2, LONG / 2);
        });
        Node node = startNodeWithHosts(host);
        InputStream in = connectClient(node).send(view("long", Sockets.PATIENCE_MS)).socket.getInputStream();
        byte[] first = {(byte) in.read()}; // it goes to the client by now
        node.loop.submit(() -> node.onDeadline("long")).sync();
        timeUp.countDown();
        assertArrayEquals(content, Sockets.read(new SequenceInputStream(new ByteArrayInputStream(first), in)).body());
    }

    /** Only a good answer is passed on; a long error is an error, and another attempt follows. */
    @Test
    void aLongErrorIsAnError() throws Exception {
        Server host = startHost(once((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 500 Oops\r\nContent-Length: " + LONG + "\r\n\r\n"));
            s.getOutputStream().write(new byte[LONG]);
        }));
        assertEquals("for v ", connectClient(startNodeWithHosts(host)).send(view("v", Sockets.PATIENCE_MS)).receive().text());
        assertEquals(2, host.asked.size());
    }

    /** The clock moves on the loop, where it can't do so between a reading and the look at its time. */
    @Test
    void anAnswerInSlowPiecesIsServed() throws Exception {
        MovedClock clock = MovedClock.standing();
        AtomicReference<Node> gateway = new AtomicReference<>();
        Server host = startHost((m, s) -> {
            for (byte b : bytes("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")) {
                s.getOutputStream().write(b);
                gateway.get().loop.submit(() -> clock.move(10)).sync(); // in all far longer than a pause may be
            }
        });
        Node node = startNodeWithHosts(host, clock);
        gateway.set(node);
        assertEquals("abc", connectClient(node).send(view("v", Sockets.PATIENCE_MS)).receive().text());
        assertEquals(1, host.asked.size());
    }

    /** Room is made, and clients are sent away, while a request is on its way on a connection that asked before. */
    @Test
    void aConnectionOnWhichARequestIsComingIsNotIdle() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        Client c = connectClient(node).send(view("first", Sockets.PATIENCE_MS));
        assertEquals("for first ", c.receive().text());
        c.send(GO_ON.substring(0, 30));
        node.loop.submit(node::drain).sync();
        assertTrue(!node.awaitDrained(700)); // idle ones are closed by now
        assertEquals("for next ", c.send(GO_ON.substring(30)).receive().text());
        assertTrue(node.awaitDrained(Sockets.PATIENCE_MS));
    }

    @Test
    void aHeadMayTakeTwoSeconds() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        for (int at = 0; at < GO_ON.length(); at += GO_ON.length() / 4) {
            c.send(GO_ON.substring(at, Math.min(GO_ON.length(), at + GO_ON.length() / 4)));
            Thread.sleep(600);
        }
        assertEquals("for next ", c.receive().text());
    }
}
