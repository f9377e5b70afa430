package marlford.gateway.net;

import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;

/** A request's time runs while it waits behind others of its connection: no host is told more than its client has left. */
class QueuedRequestOutlivesItsClientTest extends SocketTest {
    private static final int PATIENCE_MS = 20_000;
    private static final double HELD_MS = 5000;
    private static final int BEFORE = 20; // more than are accepted at once
    private static final long BEATS_MS = 100;
    private static final double SLACK_MS = 150;

    @Test
    void whatWaitsBehindAnotherIsToldWhatIsLeft() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        Server host = startHost((m, s) -> {
            if (m.header("X-Trace-Id").equals("held")) {
                released.await(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        MovedClock clock = MovedClock.standing();
        Node node = startNodeWithHosts(host, clock);
        Client c = connectClient(node).send(view("held", PATIENCE_MS) + view("waits", PATIENCE_MS));
        assertNotNull(host.next());
        for (int i = 0; i < 2; i++) {
            node.loop.submit(() -> { }).get();
        }
        clock.move(HELD_MS);
        node.loop.schedule(() -> { }, BEATS_MS, TimeUnit.MILLISECONDS).get(); // or the jump looks like a loop that is late
        released.countDown();
        assertEquals("for held ", c.receive().text());
        assertEquals("for waits ", c.receive().text());
        int told = Integer.parseInt(host.next().header("X-Expires-In-Ms"));
        assertTrue(told <= PATIENCE_MS - HELD_MS + SLACK_MS, "told " + told);
    }

    /** Connections that come faster than they are accepted wait behind each other, and their requests with them. */
    @Test
    void whatWaitsToBeAcceptedIsToldWhatIsLeft() throws Exception {
        Server host = startHost(SocketTest::echo);
        MovedClock clock = MovedClock.standing();
        Node node = startNodeWithHosts(host, clock);
        node.loop.submit(node.clientServer::pauseAccepting).get();
        for (int i = 0; i < BEFORE; i++) {
            connectClient(node);
        }
        Client last = connectClient(node).send(view("waits", PATIENCE_MS));
        node.loop.submit(() -> Transport.readNow(node.clientServer.listener())).get(); // a part of those that wait
        clock.move(HELD_MS);
        node.loop.schedule(() -> { }, BEATS_MS, TimeUnit.MILLISECONDS).get(); // the loop itself is not late
        node.loop.submit(() -> Transport.readNow(node.clientServer.listener())).get();
        assertEquals("for waits ", last.receive().text());
        int told = Integer.parseInt(host.next().header("X-Expires-In-Ms"));
        assertTrue(told <= PATIENCE_MS - HELD_MS + SLACK_MS, "told " + told);
    }
}
