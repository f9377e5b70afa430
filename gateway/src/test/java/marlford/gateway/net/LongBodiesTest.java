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
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;

/** Bodies that are too long to be kept: each goes to one host, once, as fast as that takes it. */
class LongBodiesTest extends SocketTest {
    private static final int LONG = 2 << 20;
    private static final int VERY_LONG = 32 << 20;
    private static final int PART = 1 << 16;
    private static final String DEAD = "127.0.0.1:1"; // below the ports that the system gives out

    private static byte[] content(int length) {
        byte[] content = new byte[length];
        for (int i = 0; i < length; i++) {
            content[i] = (byte) (i * 17 + (i >> 9));
        }
        return content;
    }

    private static String head(String id, String framing) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + Sockets.headers(id, Sockets.PATIENCE_MS)
                + "Idempotency-Key: key-" + id + "\r\n" + framing + "\r\n\r\n";
    }

    private static void order(Client c, String id, byte[] body) throws IOException {
        c.send(head(id, "Content-Length: " + body.length));
        c.socket.getOutputStream().write(body);
    }

    private static void goesOn(Client c) throws IOException {
        assertEquals("for next ", c.send(view("next", Sockets.PATIENCE_MS)).receive().text());
    }

    @Test
    void aLongBodyPassesWholeAndItsConnectionsStay() throws Exception {
        byte[] body = content(LONG);
        Server host = startHost((m, s) -> s.getOutputStream().write(m.body().length == 0 ? ok("for next ") : ok("done")));
        Client c = connectClient(startNodeWithHosts(host));
        order(c, "o", body);
        assertEquals("done", c.receive().text());
        assertArrayEquals(body, host.next().body());
        goesOn(c);
        assertTrue(host.ended.isEmpty());
    }

    @Test
    void aBodyOfUnknownLengthPassesWhole() throws Exception {
        byte[] body = content(LONG);
        CompletableFuture<byte[]> got = new CompletableFuture<>();
        Server host = startHost((m, s) -> {
            if ("chunked".equals(m.header("Transfer-Encoding"))) {
                got.complete(LongAnswersTest.chunks(s.getInputStream()));
                s.getOutputStream().write(ok("done"));
            } else {
                echo(m, s);
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(head("o", "Transfer-Encoding: chunked"));
        OutputStream out = c.socket.getOutputStream();
        for (int at = 0; at < LONG; at += 9_000) {
            byte[] part = Arrays.copyOfRange(body, at, Math.min(LONG, at + 9_000));
            out.write(bytes(Integer.toHexString(part.length) + ";ext=1\r\n"));
            out.write(part);
            out.write(bytes("\r\n"));
        }
        out.write(bytes("0\r\nTrailer: t\r\n\r\n"));
        assertEquals("done", c.receive().text());
        assertArrayEquals(body, got.get(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        goesOn(c);
    }

    /** More at once than memory holds: what a host does not take stays with the client. */
    @Test
    void whatAHostDoesNotTakeIsNotRead() throws Exception {
        CountDownLatch reads = new CountDownLatch(1);
        CompletableFuture<Integer> read = new CompletableFuture<>();
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread host = new Thread(() -> {
                try (Socket s = slow.accept()) {
                    reads.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
                    Message m = Sockets.read(s.getInputStream());
                    s.getOutputStream().write(ok("done"));
                    read.complete(m.body().length);
                    s.getInputStream().read();
                } catch (IOException | InterruptedException e) {
                    read.completeExceptionally(e);
                }
            });
            host.start();
            Client c = connectClient(startNodeWithEntries(entry("h", "127.0.0.1:" + slow.getLocalPort(), "ready")));
            AtomicLong sent = new AtomicLong();
            Thread writer = new Thread(() -> {
                try {
                    c.send(head("o", "Content-Length: " + VERY_LONG));
                    byte[] part = new byte[PART];
                    for (int at = 0; at < VERY_LONG; at += PART) {
                        c.socket.getOutputStream().write(part);
                        sent.addAndGet(PART);
                    }
                } catch (IOException e) {
                    sent.set(Long.MIN_VALUE);
                }
            });
            writer.start();
            long before = LongAnswersTest.settled(sent); // the client can send no more
            assertTrue(before < VERY_LONG - PART, "the client sent " + before);
            reads.countDown();
            assertEquals("done", c.receive().text());
            assertEquals(VERY_LONG, read.get(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** A host that can't be had has taken nothing, so another may have it all. */
    @Test
    void aHostThatRefusesConnectionsCostsNoLongBody() throws Exception {
        byte[] body = content(LONG);
        Server host = startHost((m, s) -> s.getOutputStream().write(ok("done")));
        Node node = startNodeWithEntries(entry("dead", DEAD, "ready"), entry("live", host.address(), "ready"));
        for (int i = 0; i < 6; i++) {
            Client c = connectClient(node);
            order(c, "o" + i, body);
            assertEquals("done", c.receive().text());
            assertArrayEquals(body, host.next().body());
        }
    }

    /** It never had the last byte, so it never ran, and a further try of the client's does no harm; ours can't be. */
    @Test
    void aHostThatBreaksOffWithinABodyIsARefusal() throws Exception {
        CountDownLatch broken = new CountDownLatch(1);
        AtomicLong connections = new AtomicLong();
        try (ServerSocket breaking = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread host = new Thread(() -> {
                try {
                    while (true) {
                        try (Socket s = breaking.accept()) {
                            connections.incrementAndGet();
                            s.getInputStream().readNBytes(4 * PART);
                            broken.countDown();
                        }
                    }
                } catch (IOException e) {
                    // the test's end
                }
            });
            host.start();
            Client c = connectClient(startNodeWithEntries(entry("h", "127.0.0.1:" + breaking.getLocalPort(), "ready")));
            c.send(head("o", "Content-Length: " + LONG));
            c.socket.getOutputStream().write(new byte[LONG / 2]);
            assertTrue(broken.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
            c.socket.getOutputStream().write(new byte[LONG / 2]);
            Message answer = c.receive();
            assertEquals(429, answer.status());
            assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
            assertEquals(1, connections.get());
        }
    }

    /** It may have run: the client gets no refusal, and no host gets the order again. */
    @Test
    void aHostThatResetsAfterTheLastByteIsAFailure() throws Exception {
        Server host = startHost((m, s) -> s.close());
        Server other = startHost((m, s) -> s.close());
        Client c = connectClient(startNodeWithHosts(host, other));
        order(c, "o", content(LONG));
        assertEquals(502, c.receive().status());
        assertEquals(1, host.asked.size() + other.asked.size());
    }

    @Test
    void aClientThatLeavesWithinItsBodyEndsTheAttempt() throws Exception {
        CompletableFuture<Integer> got = new CompletableFuture<>();
        try (ServerSocket waiting = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread host = new Thread(() -> {
                try (Socket s = waiting.accept()) {
                    InputStream in = s.getInputStream();
                    got.complete(in.readNBytes(LONG).length);
                } catch (IOException e) {
                    got.complete(-1); // reset is as good an end
                }
            });
            host.start();
            Client c = connectClient(startNodeWithEntries(entry("h", "127.0.0.1:" + waiting.getLocalPort(), "ready")));
            c.send(head("o", "Content-Length: " + LONG));
            c.socket.getOutputStream().write(new byte[LONG / 2]);
            c.close();
            assertTrue(got.get(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS) < LONG);
        }
    }

    /** Chunks that can't be read end the connection, and no host takes the half of it for all. */
    @Test
    void aBodyThatBecomesUnreadableEndsItsConnection() throws Exception {
        CompletableFuture<Integer> got = new CompletableFuture<>();
        Server host = startHost((m, s) -> {
            try {
                got.complete(LongAnswersTest.chunks(s.getInputStream()).length);
            } catch (IOException | RuntimeException e) {
                got.complete(-1);
            }
        });
        Client c = connectClient(startNodeWithHosts(host)).send(head("o", "Transfer-Encoding: chunked"));
        c.send(Integer.toHexString(2 * PART) + "\r\n");
        c.socket.getOutputStream().write(new byte[2 * PART]);
        c.send("\r\n");
        assertNotNull(host.next());
        c.send("zz\r\n");
        assertEquals(-1, got.get(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS));
    }

    /** Clients may send all before they read: what nobody wants is read, and the connection goes on behind it. */
    @Test
    void aLongBodyBeyondTheQuotaIsRefusedAndItsConnectionStays() throws Exception {
        Server host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        for (int i = 0; i < 3; i++) {
            c.send(head("o" + i, "Content-Length: " + LONG).replace("X-Plan: free", "X-Plan: tiny")
                    .replace("units=1", "units=4"));
            c.socket.getOutputStream().write(new byte[LONG]);
            assertEquals(429, c.receive().status());
        }
        goesOn(c);
        assertEquals(1, host.asked.size());
    }

    @Test
    void aLongBodyWhereNoneMayBeIsTurnedAwayAndItsConnectionStays() throws Exception {
        Server host = startHost(SocketTest::echo);
        Client c = connectClient(startNodeWithHosts(host));
        String get = view("v", Sockets.PATIENCE_MS);
        c.send(get.substring(0, get.length() - 2) + "Content-Length: " + LONG + "\r\n\r\n");
        c.socket.getOutputStream().write(new byte[LONG]);
        assertEquals(400, c.receive().status());
        goesOn(c);
        assertEquals(1, host.asked.size());
    }

    private static final int WAITS = ClientServer.MAX_BUFFERED_BODY_BYTES + 20_000; // long, and all of it is read while it waits its turn

    /** What is behind the kept part of a body that waits came to nobody, and was once never released. */
    @Test
    void aLongBodyThatWaitsEndsWithItsClient() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            left.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        order(c, "o", content(WAITS));
        c.close();
        Sockets.await(() -> node.loop.submit(node::connectionCount).get() == 0, "the gateway has seen the client leave");
        left.countDown();
        goesOn(connectClient(node));
    }

    /** The same where it is refused in its turn, all of it being there. */
    @Test
    void aLongBodyThatWaitedAndIsRefusedIsReleased() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            read.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = startNodeWithHosts(host);
        Client c = connectClient(node).send(view("v", Sockets.PATIENCE_MS));
        assertNotNull(host.next());
        c.send(head("o", "Content-Length: " + WAITS)
                .replace("X-Plan: free", "X-Plan: tiny").replace("b4d65521", "b4d65522").replace("units=1", "units=4"));
        c.socket.getOutputStream().write(content(WAITS));
        for (int i = 0; i < 100; i++) {
            node.loop.submit(() -> { }).sync(); // each turn of the loop reads of it what there is
        }
        read.countDown();
        assertEquals("for v ", c.receive().text());
        assertEquals(429, c.receive().status());
        goesOn(c);
        assertEquals(2, host.asked.size());
    }
}
