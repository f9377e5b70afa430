package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against answers that come after the client's time: the deadline of a request with a long body once included the time that the
 * body might have taken, although it had arrived at once.
 */
class LongBodyDeadlineTest extends SocketTest {
    private static final int BODY_BYTES = 1_000_000;
    private static final int CLIENT_TIME_MS = 6000;
    private static final double ANSWER_SLACK_MS = 500;
    private static final double TOLD_SLACK_MS = 150;
    private static final double CLOCK_STEP_MS = 250;
    private static final long TICK_WAIT_MS = 60; // in which the event loop runs its timers, and one step looks like no stall
    private static final int RECEIVE_TIMEOUT_MS = 5000;
    private static final int SLOW_PARTS = 5;
    private static final int PART_BYTES = 64_000; // in each second, the slowest that clients may be

    /** How the length of the body is told. */
    enum Framing { LENGTH, CHUNKED }

    private final ManualClock clock = ManualClock.stopped();

    private static String head(Framing framing) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + Sockets.headers("o", CLIENT_TIME_MS) + "Idempotency-Key: k\r\n"
                + (framing == Framing.LENGTH ? "Content-Length: " + BODY_BYTES : "Transfer-Encoding: chunked") + "\r\n\r\n";
    }

    private static void sendWhole(Client client, Framing framing) throws IOException {
        client.send(head(framing));
        if (framing == Framing.CHUNKED) {
            client.send(Integer.toHexString(BODY_BYTES) + "\r\n");
        }
        client.socket.getOutputStream().write(new byte[BODY_BYTES]);
        client.send(framing == Framing.CHUNKED ? "\r\n0\r\n\r\n" : "");
    }

    /** Lets the node's time pass in steps. */
    private void pass(Node node, double ms) throws Exception {
        for (double passed = 0; passed < ms; passed += CLOCK_STEP_MS) {
            clock.advance(CLOCK_STEP_MS);
            node.loop.schedule(() -> { }, TICK_WAIT_MS, TimeUnit.MILLISECONDS).get();
        }
    }

    private static void assertAnswered(Client client) throws IOException {
        client.socket.setSoTimeout(RECEIVE_TIMEOUT_MS);
        Message answer = client.receive();
        assertNotNull(answer, "closed without an answer");
        assertTrue(answer.status() >= 400, "status " + answer.status());
    }

    @ParameterizedTest
    @EnumSource
    void aHostThatHangsAfterTheBodyCostsNoAnswer(Framing framing) throws Exception {
        RecordingServer host = startHost((m, s) -> {
            if (framing == Framing.CHUNKED) {
                LongResponseTest.readChunks(s.getInputStream());
            }
        });
        Node node = startNodeWithHosts(host, clock);
        Client client = connectClient(node);
        sendWhole(client, framing);
        Message received = host.next();
        int toldMs = Integer.parseInt(received.header("X-Expires-In-Ms"));
        assertTrue(toldMs <= CLIENT_TIME_MS + TOLD_SLACK_MS, "the host was told " + toldMs + " ms");
        pass(node, CLIENT_TIME_MS + ANSWER_SLACK_MS);
        assertAnswered(client);
    }

    /** The gateway reads no more either, so it can't see that the client has sent everything. */
    @Test
    void aHostThatReadsNoBodyCostsNoAnswer() throws Exception {
        ServerSocket host = closeAfterTest(new ServerSocket()); // the accept queue completes the connection
        host.setReceiveBufferSize(PART_BYTES);
        host.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", "127.0.0.1:" + host.getLocalPort(), "ready"))));
        Node node = startNodeWithClock(Sockets.config(registry.server.address(), "127.0.0.1:0"), clock);
        Client client = connectClient(node);
        Thread writer = new Thread(() -> {
            try {
                sendWhole(client, Framing.LENGTH);
            } catch (IOException e) {
                return; // the connection was closed
            }
        });
        writer.setDaemon(true);
        writer.start();
        writer.join(TICK_WAIT_MS);
        pass(node, CLIENT_TIME_MS + ANSWER_SLACK_MS);
        assertAnswered(client);
    }

    /** A client that sends slowly has its whole time from the last byte on. */
    @Test
    void aBodyThatArrivesSlowlyMayOutlastTheClientsTime() throws Exception {
        RecordingServer host = startHost((m, s) -> s.getOutputStream().write(ok("done")));
        Node node = startNodeWithHosts(host, clock);
        Client client = connectClient(node);
        client.send(head(Framing.LENGTH));
        int sent = 2 * PART_BYTES;
        client.socket.getOutputStream().write(new byte[sent]);
        for (int part = 0; part < 2 * SLOW_PARTS; part++) {
            pass(node, 1000);
            client.socket.getOutputStream().write(new byte[PART_BYTES]);
            sent += PART_BYTES;
        }
        client.socket.getOutputStream().write(new byte[BODY_BYTES - sent]);
        client.socket.setSoTimeout(RECEIVE_TIMEOUT_MS);
        assertEquals("done", client.receive().text());
    }

    /** Orders must not go on to a host that hangs. */
    @Test
    void aHostThatHangsAfterLongBodiesIsAvoided() throws Exception {
        RecordingServer hanging = startHost((m, s) -> { });
        RecordingServer other = startHost((m, s) -> s.getOutputStream().write(ok("done")));
        Node node = startNodeWithHosts(hanging, other);
        int orders = 40;
        for (int i = 0; i < orders; i++) {
            Client client = connectClient(node);
            client.send(head(Framing.LENGTH).replace("X-Trace-Id: o", "X-Trace-Id: o" + i));
            client.socket.getOutputStream().write(bytes("z".repeat(BODY_BYTES)));
            Thread.sleep(50);
        }
        Sockets.await(() -> hanging.requests.size() + other.requests.size() == orders, "each order has come to a host");
        assertTrue(hanging.requests.size() < orders / 3, hanging.requests.size() + " of " + orders + " went to the hanging host");
    }
}
