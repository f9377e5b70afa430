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
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;

/** Responses that are too long to buffer, and slow clients and hosts. */
class LongResponseTest extends SocketTest {
    private static final int LONG_BYTES = 2 << 20;
    private static final int VERY_LONG_BYTES = 32 << 20;
    private static final int PART_BYTES = 1 << 16;
    private static final String NEXT_REQUEST = "GET /view/next HTTP/1.1\r\nHost: h\r\n"
            + Sockets.headers("next", Sockets.TIMEOUT_MS) + "\r\n";

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

    /** Passes the first request to the handler and echoes all later ones. */
    private static Sockets.RequestHandler firstThenEcho(Sockets.RequestHandler firstHandler) {
        AtomicInteger requests = new AtomicInteger();
        return (m, s) -> {
            if (requests.getAndIncrement() == 0) {
                firstHandler.handle(m, s);
            } else {
                echo(m, s);
            }
        };
    }

    private static void awaitOpenRequests(Node node, long value) throws Exception {
        Sockets.await(() -> node.metrics.text().contains("svc.current=" + value + "\n"), "svc.current is " + value);
    }

    /** Waits until a positive count no longer rises, and returns it. */
    static long awaitSteady(AtomicLong count) throws InterruptedException {
        long previous = -1;
        while (count.get() != previous || previous == 0) {
            previous = count.get();
            Thread.sleep(300);
        }
        return previous;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n' && b >= 0; b = in.read()) {
            line.append((char) b);
        }
        return line.toString().trim();
    }

    /** Reads a chunked body to its end and returns its content. */
    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int length = Integer.parseInt(readLine(in), 16); length > 0; length = Integer.parseInt(readLine(in), 16)) {
            all.write(in.readNBytes(length));
            readLine(in);
        }
        readLine(in);
        return all.toByteArray();
    }

    @Test
    void aLongResponsePassesWholeAndItsConnectionsStayOpen() throws Exception {
        byte[] content = content(LONG_BYTES);
        RecordingServer host = startHost(firstThenEcho((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + LONG_BYTES));
            s.getOutputStream().write(content);
        }));
        Client c = connectClient(startNodeWithHosts(host));
        Message response = c.send(view("long", Sockets.TIMEOUT_MS)).receive();
        assertEquals("image/png", response.header("Content-Type"));
        assertArrayEquals(content, response.body());
        assertEquals("for next ", c.send(NEXT_REQUEST).receive().text());
        assertTrue(host.endedConnections.isEmpty());
    }

    @Test
    void aResponseOfUnknownLengthPassesWhole() throws Exception {
        byte[] content = content(LONG_BYTES);
        RecordingServer host = startHost(firstThenEcho((m, s) -> {
            OutputStream out = s.getOutputStream();
            out.write(head("Transfer-Encoding: chunked"));
            for (int at = 0; at < LONG_BYTES; at += 10_000) {
                byte[] part = Arrays.copyOfRange(content, at, Math.min(LONG_BYTES, at + 10_000));
                out.write(bytes(Integer.toHexString(part.length) + "\r\n"));
                out.write(part);
                out.write(bytes("\r\n"));
            }
            out.write(bytes("0\r\n\r\n"));
        }));
        Client c = connectClient(startNodeWithHosts(host)).send(view("long", Sockets.TIMEOUT_MS));
        InputStream in = c.socket.getInputStream();
        assertEquals("HTTP/1.1 200 OK", readLine(in));
        String framing = "";
        for (String l = readLine(in); !l.isEmpty(); l = readLine(in)) {
            framing += l.toLowerCase(java.util.Locale.ROOT) + ";";
        }
        assertTrue(framing.contains("transfer-encoding: chunked"), framing);
        assertArrayEquals(content, readChunks(in));
        assertEquals("for next ", c.send(NEXT_REQUEST).receive().text());
    }

    /** The response exceeds the memory: what the client does not read stays with the host. */
    @Test
    void aResponseIsReadOnlyAsFastAsItsClientReads() throws Exception {
        AtomicLong writtenBytes = new AtomicLong();
        byte[] part = content(PART_BYTES);
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + VERY_LONG_BYTES));
            for (int at = 0; at < VERY_LONG_BYTES; at += PART_BYTES) {
                s.getOutputStream().write(part);
                writtenBytes.addAndGet(PART_BYTES);
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(view("long", Sockets.TIMEOUT_MS));
        assertNotNull(host.next());
        long steadyBytes = awaitSteady(writtenBytes); // until flow control blocks the host
        assertTrue(steadyBytes < VERY_LONG_BYTES - PART_BYTES, "bytes written by the host: " + steadyBytes);
        byte[] body = c.receive().body();
        assertEquals(VERY_LONG_BYTES, body.length);
        for (int at = 0; at < VERY_LONG_BYTES; at += PART_BYTES) {
            assertTrue(Arrays.equals(part, 0, PART_BYTES, body, at, at + PART_BYTES), "content differs after byte " + at);
        }
    }

    /** The client must be able to tell that the response is incomplete; nothing may follow on that connection. */
    @Test
    void aTruncatedResponseClosesTheClientConnection() throws Exception {
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + LONG_BYTES));
            s.getOutputStream().write(new byte[LONG_BYTES / 2]);
            s.close();
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("long", Sockets.TIMEOUT_MS) + NEXT_REQUEST);
        InputStream in = c.socket.getInputStream();
        long receivedBytes = 0;
        try {
            for (int n = in.read(new byte[PART_BYTES]); n >= 0; n = in.read(new byte[PART_BYTES])) {
                receivedBytes += n;
            }
        } catch (IOException e) {
            receivedBytes += 0; // a reset ends the connection as well
        }
        assertTrue(receivedBytes < LONG_BYTES, "bytes received: " + receivedBytes);
        awaitOpenRequests(node, 0);
        assertTrue(node.metrics.text().contains("svc.errored.view=1\n"), node.metrics.text());
        assertEquals(1, host.requests.size()); // a response that has begun is not requested again
    }

    @Test
    void aClientThatDisconnectsEndsTheResponseAtTheHost() throws Exception {
        CountDownLatch responseBegun = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + VERY_LONG_BYTES));
            s.getOutputStream().write(new byte[LONG_BYTES / 8]);
            responseBegun.countDown();
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("long", Sockets.TIMEOUT_MS));
        assertTrue(responseBegun.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals('H', c.socket.getInputStream().read());
        c.close();
        assertNotNull(host.endedConnections.poll(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        awaitOpenRequests(node, 0);
    }

    /** A response must begin within the client's time; one that has begun is not cut off when that time expires. */
    @Test
    void aLongResponseMayOutlastTheClientsTime() throws Exception {
        byte[] content = content(LONG_BYTES);
        CountDownLatch deadlinePassed = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            s.getOutputStream().write(head("Content-Length: " + LONG_BYTES));
            s.getOutputStream().write(content, 0, LONG_BYTES / 2);
            deadlinePassed.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(content, LONG_BYTES / 2, LONG_BYTES / 2);
        });
        Node node = startNodeWithHosts(host);
        InputStream in = connectClient(node).send(view("long", Sockets.TIMEOUT_MS)).socket.getInputStream();
        byte[] first = {(byte) in.read()}; // the client has received the first byte
        node.loop.submit(() -> node.onDeadline("long")).sync();
        deadlinePassed.countDown();
        assertArrayEquals(content, Sockets.read(new SequenceInputStream(new ByteArrayInputStream(first), in)).body());
    }

    /** Only a successful response is streamed; a long error response is an error, and another attempt follows. */
    @Test
    void aLongErrorResponseIsRetried() throws Exception {
        RecordingServer host = startHost(firstThenEcho((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 500 Oops\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n"));
            s.getOutputStream().write(new byte[LONG_BYTES]);
        }));
        assertEquals("for v ", connectClient(startNodeWithHosts(host)).send(view("v", Sockets.TIMEOUT_MS)).receive().text());
        assertEquals(2, host.requests.size());
    }

    /** The clock advances on the event loop, so never between a read and the check of its time. */
    @Test
    void aResponseInSlowPiecesIsServed() throws Exception {
        ManualClock clock = ManualClock.stopped();
        AtomicReference<Node> gateway = new AtomicReference<>();
        RecordingServer host = startHost((m, s) -> {
            for (byte b : bytes("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")) {
                s.getOutputStream().write(b);
                gateway.get().loop.submit(() -> clock.advance(10)).sync(); // in total far longer than a single pause may be
            }
        });
        Node node = startNodeWithHosts(host, clock);
        gateway.set(node);
        assertEquals("abc", connectClient(node).send(view("v", Sockets.TIMEOUT_MS)).receive().text());
        assertEquals(1, host.requests.size());
    }

    /**
     * Idle connections are evicted and clients are disconnected while a request is arriving on a connection that has
     * been used before.
     */
    @Test
    void aConnectionOnWhichARequestArrivesIsNotIdle() throws Exception {
        Node node = startNodeWithHosts(startHost(SocketTest::echo));
        Client c = connectClient(node).send(view("first", Sockets.TIMEOUT_MS));
        assertEquals("for first ", c.receive().text());
        c.send(NEXT_REQUEST.substring(0, 30));
        node.loop.submit(node::drain).sync();
        assertTrue(!node.awaitDrained(700)); // idle connections are closed within this time
        assertEquals("for next ", c.send(NEXT_REQUEST.substring(30)).receive().text());
        assertTrue(node.awaitDrained(Sockets.TIMEOUT_MS));
    }

    @Test
    void aRequestHeadMayTakeTwoSeconds() throws Exception {
        Client c = connectClient(startNodeWithHosts(startHost(SocketTest::echo)));
        for (int at = 0; at < NEXT_REQUEST.length(); at += NEXT_REQUEST.length() / 4) {
            c.send(NEXT_REQUEST.substring(at, Math.min(NEXT_REQUEST.length(), at + NEXT_REQUEST.length() / 4)));
            Thread.sleep(600);
        }
        assertEquals("for next ", c.receive().text());
    }
}
