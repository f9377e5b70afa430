package marlford.gateway.net;

import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;

/**
 * A request's time runs while it waits behind others on its connection: the remaining time sent to a host never
 * exceeds that of the client.
 */
class QueuedRequestDeadlineTest extends SocketTest {
    private static final int CLIENT_TIME_MS = 20_000;
    private static final double WAIT_MS = 5000;
    private static final int QUEUED_CONNECTIONS = 20; // more than one accept pass takes
    private static final long LOOP_TICK_WAIT_MS = 100;
    private static final double SLACK_MS = 150;

    @Test
    void aPipelinedRequestIsSentWithItsRemainingTime() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        RecordingServer host = startHost((m, s) -> {
            if (m.header("X-Trace-Id").equals("held")) {
                released.await(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        ManualClock clock = ManualClock.stopped();
        Node node = startNodeWithHosts(host, clock);
        Client c = connectClient(node).send(view("held", CLIENT_TIME_MS) + view("waits", CLIENT_TIME_MS));
        assertNotNull(host.next());
        for (int i = 0; i < 2; i++) {
            node.loop.submit(() -> { }).get();
        }
        clock.advance(WAIT_MS);
        // otherwise the clock step looks like a stalled event loop
        node.loop.schedule(() -> { }, LOOP_TICK_WAIT_MS, TimeUnit.MILLISECONDS).get();
        released.countDown();
        assertEquals("for held ", c.receive().text());
        assertEquals("for waits ", c.receive().text());
        int expiresInMs = Integer.parseInt(host.next().header("X-Expires-In-Ms"));
        assertTrue(expiresInMs <= CLIENT_TIME_MS - WAIT_MS + SLACK_MS, "X-Expires-In-Ms: " + expiresInMs);
    }

    /** Connections that arrive faster than they are accepted wait in the queue, and their requests with them. */
    @Test
    void aRequestInTheAcceptQueueIsSentWithItsRemainingTime() throws Exception {
        RecordingServer host = startHost(SocketTest::echo);
        ManualClock clock = ManualClock.stopped();
        Node node = startNodeWithHosts(host, clock);
        node.loop.submit(node.clientServer::pauseAccepting).get();
        for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
            connectClient(node);
        }
        Client last = connectClient(node).send(view("waits", CLIENT_TIME_MS));
        node.loop.submit(() -> Transport.readNow(node.clientServer.listener())).get(); // accepts a part of the waiting connections
        clock.advance(WAIT_MS);
        node.loop.schedule(() -> { }, LOOP_TICK_WAIT_MS, TimeUnit.MILLISECONDS).get(); // so that the event loop does not appear stalled
        node.loop.submit(() -> Transport.readNow(node.clientServer.listener())).get();
        assertEquals("for waits ", last.receive().text());
        int expiresInMs = Integer.parseInt(host.next().header("X-Expires-In-Ms"));
        assertTrue(expiresInMs <= CLIENT_TIME_MS - WAIT_MS + SLACK_MS, "X-Expires-In-Ms: " + expiresInMs);
    }
}
