package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;

/** Request bodies that are too long to buffer: each is streamed to one host, once, as fast as that host reads it. */
class LongRequestBodyTest extends SocketTest {
    private static final int LONG_BYTES = 2 << 20;
    private static final int VERY_LONG_BYTES = 32 << 20;
    private static final int PART_BYTES = 1 << 16;
    private static final String REFUSING_ADDRESS = "127.0.0.1:1"; // a privileged port on which nothing listens

    private static byte[] content(int length) {
        byte[] content = new byte[length];
        for (int i = 0; i < length; i++) {
            content[i] = (byte) (i * 17 + (i >> 9));
        }
        return content;
    }

    private static String head(String id, String framing) {
        return Sockets.orderHead(id, Sockets.TIMEOUT_MS, framing);
    }

    private static void sendOrder(Client c, String id, byte[] body) throws IOException {
        c.send(head(id, "Content-Length: " + body.length));
        c.socket.getOutputStream().write(body);
    }

    private static void assertConnectionUsable(Client c) throws IOException {
        assertEquals("for next ", c.send(view("next", Sockets.TIMEOUT_MS)).receive().text());
    }

    @Test
    void aLongBodyPassesWholeAndItsConnectionsStayOpen() throws Exception {
        byte[] body = content(LONG_BYTES);
        RecordingServer host = startHost((m, s) -> s.getOutputStream().write(m.body().length == 0 ? ok("for next ") : ok("done")));
        Client c = connectClient(startNodeWithHosts(host));
        sendOrder(c, "o", body);
        assertEquals("done", c.receive().text());
        assertArrayEquals(body, host.next().body());
        assertConnectionUsable(c);
        assertTrue(host.endedConnections.isEmpty());
    }

    @Test
    void aBodyOfUnknownLengthPassesWhole() throws Exception {
        byte[] body = content(LONG_BYTES);
        CompletableFuture<byte[]> received = new CompletableFuture<>();
        RecordingServer host = startHost((m, s) -> {
            if ("chunked".equals(m.header("Transfer-Encoding"))) {
                received.complete(LongResponseTest.readChunks(s.getInputStream()));
                s.getOutputStream().write(ok("done"));
            } else {
                echo(m, s);
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(head("o", "Transfer-Encoding: chunked"));
        OutputStream out = c.socket.getOutputStream();
        for (int at = 0; at < LONG_BYTES; at += 9_000) {
            byte[] part = Arrays.copyOfRange(body, at, Math.min(LONG_BYTES, at + 9_000));
            out.write(bytes(Integer.toHexString(part.length) + ";ext=1\r\n"));
            out.write(part);
            out.write(bytes("\r\n"));
        }
        out.write(bytes("0\r\nTrailer: t\r\n\r\n"));
        assertEquals("done", c.receive().text());
        assertArrayEquals(body, received.get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertConnectionUsable(c);
    }

    /** The body exceeds the memory: what the host does not read stays with the client. */
    @Test
    void aBodyIsReadOnlyAsFastAsItsHostReads() throws Exception {
        CountDownLatch hostMayRead = new CountDownLatch(1);
        CompletableFuture<Integer> bodyLength = new CompletableFuture<>();
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread host = new Thread(() -> {
                try (Socket s = slow.accept()) {
                    hostMayRead.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                    Message m = Sockets.read(s.getInputStream());
                    s.getOutputStream().write(ok("done"));
                    bodyLength.complete(m.body().length);
                    s.getInputStream().read();
                } catch (IOException | InterruptedException e) {
                    bodyLength.completeExceptionally(e);
                }
            });
            host.start();
            Client c = connectClient(startNodeWithEntries(entry("h", "127.0.0.1:" + slow.getLocalPort(), "ready")));
            AtomicLong sentBytes = new AtomicLong();
            Thread writer = new Thread(() -> {
                try {
                    c.send(head("o", "Content-Length: " + VERY_LONG_BYTES));
                    byte[] part = new byte[PART_BYTES];
                    for (int at = 0; at < VERY_LONG_BYTES; at += PART_BYTES) {
                        c.socket.getOutputStream().write(part);
                        sentBytes.addAndGet(PART_BYTES);
                    }
                } catch (IOException e) {
                    sentBytes.set(Long.MIN_VALUE);
                }
            });
            writer.start();
            long steadyBytes = LongResponseTest.awaitSteady(sentBytes); // until flow control blocks the client
            assertTrue(steadyBytes < VERY_LONG_BYTES - PART_BYTES, "bytes sent by the client: " + steadyBytes);
            hostMayRead.countDown();
            assertEquals("done", c.receive().text());
            assertEquals(VERY_LONG_BYTES, bodyLength.get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** A host that refuses the connection has received nothing, so the whole body can go to another one. */
    @Test
    void aHostThatRefusesConnectionsLosesNoLongBody() throws Exception {
        byte[] body = content(LONG_BYTES);
        RecordingServer host = startHost((m, s) -> s.getOutputStream().write(ok("done")));
        Node node = startNodeWithEntries(entry("dead", REFUSING_ADDRESS, "ready"), entry("live", host.address(), "ready"));
        for (int i = 0; i < 6; i++) {
            Client c = connectClient(node);
            sendOrder(c, "o" + i, body);
            assertEquals("done", c.receive().text());
            assertArrayEquals(body, host.next().body());
        }
    }

    /**
     * The host never received the last byte, so the request never ran and the client may safely retry. The gateway
     * can't retry, since it no longer has the whole body.
     */
    @Test
    void aHostThatClosesWithinABodyCausesARefusal() throws Exception {
        CountDownLatch brokenOff = new CountDownLatch(1);
        AtomicLong connections = new AtomicLong();
        try (ServerSocket breaking = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread host = new Thread(() -> {
                try {
                    while (true) {
                        try (Socket s = breaking.accept()) {
                            connections.incrementAndGet();
                            s.getInputStream().readNBytes(4 * PART_BYTES);
                            brokenOff.countDown();
                        }
                    }
                } catch (IOException e) {
                    // closed at the end of the test
                }
            });
            host.start();
            Client c = connectClient(startNodeWithEntries(entry("h", "127.0.0.1:" + breaking.getLocalPort(), "ready")));
            c.send(head("o", "Content-Length: " + LONG_BYTES));
            c.socket.getOutputStream().write(new byte[LONG_BYTES / 2]);
            assertTrue(brokenOff.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            c.socket.getOutputStream().write(new byte[LONG_BYTES / 2]);
            Message response = c.receive();
            assertEquals(429, response.status());
            assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
            assertEquals(1, connections.get());
        }
    }

    /** The request may have run: the client gets no refusal, and no host receives the order again. */
    @Test
    void aHostThatClosesAfterTheLastByteCausesAFailure() throws Exception {
        RecordingServer host = startHost((m, s) -> s.close());
        RecordingServer other = startHost((m, s) -> s.close());
        Client c = connectClient(startNodeWithHosts(host, other));
        sendOrder(c, "o", content(LONG_BYTES));
        assertEquals(502, c.receive().status());
        assertEquals(1, host.requests.size() + other.requests.size());
    }

    @Test
    void aClientThatDisconnectsWithinItsBodyEndsTheAttempt() throws Exception {
        CompletableFuture<Integer> received = new CompletableFuture<>();
        try (ServerSocket waiting = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread host = new Thread(() -> {
                try (Socket s = waiting.accept()) {
                    InputStream in = s.getInputStream();
                    received.complete(in.readNBytes(LONG_BYTES).length);
                } catch (IOException e) {
                    received.complete(-1); // a reset ends the connection as well
                }
            });
            host.start();
            Client c = connectClient(startNodeWithEntries(entry("h", "127.0.0.1:" + waiting.getLocalPort(), "ready")));
            c.send(head("o", "Content-Length: " + LONG_BYTES));
            c.socket.getOutputStream().write(new byte[LONG_BYTES / 2]);
            c.close();
            assertTrue(received.get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS) < LONG_BYTES);
        }
    }

    /** Malformed chunks end the connection, and no host takes the part received for the whole body. */
    @Test
    void malformedChunksEndTheConnection() throws Exception {
        CompletableFuture<Integer> received = new CompletableFuture<>();
        RecordingServer host = startHost((m, s) -> {
            try {
                received.complete(LongResponseTest.readChunks(s.getInputStream()).length);
            } catch (IOException | RuntimeException e) {
                received.complete(-1);
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(head("o", "Transfer-Encoding: chunked"));
        c.send(Integer.toHexString(2 * PART_BYTES) + "\r\n");
        c.socket.getOutputStream().write(new byte[2 * PART_BYTES]);
        c.send("\r\n");
        assertNotNull(host.next());
        c.send("zz\r\n");
        assertEquals(-1, received.get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /**
     * Clients may send the whole body before they read: the body of a refused request is read and discarded, and the
     * connection stays usable.
     */
    @Test
    void aLongBodyBeyondTheQuotaIsRefusedAndItsConnectionStaysOpen() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        for (int i = 0; i < 3; i++) {
            c.send(head("o" + i, "Content-Length: " + LONG_BYTES).replace("X-Plan: free", "X-Plan: tiny")
                    .replace("units=1", "units=4"));
            c.socket.getOutputStream().write(new byte[LONG_BYTES]);
            assertEquals(429, c.receive().status());
        }
        assertConnectionUsable(c);
        assertEquals(1, host.requests.size());
    }

    @Test
    void aLongBodyWhereNoneIsAllowedIsRejectedAndItsConnectionStaysOpen() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        String get = view("v", Sockets.TIMEOUT_MS);
        c.send(get.substring(0, get.length() - 2) + "Content-Length: " + LONG_BYTES + "\r\n\r\n");
        c.socket.getOutputStream().write(new byte[LONG_BYTES]);
        assertEquals(400, c.receive().status());
        assertConnectionUsable(c);
        assertEquals(1, host.requests.size());
    }

    // too long to buffer whole, yet read completely while the request waits
    private static final int WAITING_BODY_BYTES = ConnectionBuffers.MAX_WINDOW_BYTES + 20_000;

    /** The data behind the buffered part of a waiting body had no consumer, and was once never released. */
    @Test
    void aWaitingLongBodyIsReleasedWhenItsClientDisconnects() throws Exception {
        CountDownLatch clientGone = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            clientGone.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("v", Sockets.TIMEOUT_MS));
        assertNotNull(host.next());
        sendOrder(c, "o", content(WAITING_BODY_BYTES));
        c.close();
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has noticed that the client disconnected");
        clientGone.countDown();
        assertConnectionUsable(connectClient(node));
    }

    /** The same where the request is refused after it has waited and the whole body has arrived. */
    @Test
    void aWaitingLongBodyIsReleasedWhenItsRequestIsRefused() throws Exception {
        CountDownLatch bodyRead = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            bodyRead.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("v", Sockets.TIMEOUT_MS));
        assertNotNull(host.next());
        c.send(head("o", "Content-Length: " + WAITING_BODY_BYTES)
                .replace("X-Plan: free", "X-Plan: tiny").replace("b4d65521", "b4d65522").replace("units=1", "units=4"));
        c.socket.getOutputStream().write(content(WAITING_BODY_BYTES));
        for (int i = 0; i < 100; i++) {
            node.loop.submit(() -> { }).sync(); // each event loop iteration reads what has arrived of it
        }
        bodyRead.countDown();
        assertEquals("for v ", c.receive().text());
        assertEquals(429, c.receive().status());
        assertConnectionUsable(c);
        assertEquals(2, host.requests.size());
    }
}
