package marlford.gateway.net;

import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that were sent ahead on a connection and lost when it closed behind the next answer, as its client had to move. */
class PipelineShutdownTest extends SocketTest {
    private static final int MANY = 40; // more than are read ahead

    private final CountDownLatch answering = new CountDownLatch(1);

    private Node startNodeWithHeldAnswers() throws Exception {
        RecordingServer host = startHost((message, socket) -> {
            answering.await();
            echo(message, socket);
        });
        return startNodeWithHosts(host);
    }

    private static String views(int from, int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = from; i < from + count; i++) {
            requests.append(view("v" + i, Sockets.TIMEOUT_MS));
        }
        return requests.toString();
    }

    private static void assertAnswered(Client client, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            Message answer = client.receive();
            assertEquals(200, answer.status());
            assertEquals("for v" + i + " ", answer.text());
            assertEquals(i == count - 1 ? "close" : null, answer.header("Connection"));
        }
        assertNull(client.receive());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, MANY})
    void allRequestsThatWereSentAtOnceAreAnswered(int count) throws Exception {
        Node node = startNodeWithHeldAnswers();
        Client client = connectClient(node).send(views(0, count));
        Sockets.await(() -> node.openRequestCount() == 1, "the first request is open");
        node.loop.execute(node::drain);
        Sockets.await(node::isDraining, "the node drains");
        answering.countDown();
        assertAnswered(client, count);
    }

    /** A client that never stops to send ahead is moved all the same. */
    @Test
    void aClientThatGoesOnToSendAheadIsMovedInTheEnd() throws Exception {
        answering.countDown();
        Node node = startNodeWithHeldAnswers();
        Client client = connectClient(node).send(views(0, MANY));
        node.loop.execute(node::releaseClients);
        int answers = 0;
        for (Message answer = client.receive(); answer != null && answer.header("Connection") == null; answer = client.receive()) {
            assertEquals(200, answer.status());
            client.send(views(MANY + answers, 1));
            answers++;
        }
        assertTrue(answers > MANY);
    }

    /** They reach the socket while the first one is served, and are not read for their own sake. */
    @Test
    void requestsThatComeWhileTheNodeDrainsAreAnswered() throws Exception {
        Node node = startNodeWithHeldAnswers();
        Client client = connectClient(node).send(views(0, 1));
        Sockets.await(() -> node.openRequestCount() == 1, "the first request is open");
        node.loop.execute(node::drain);
        Sockets.await(node::isDraining, "the node drains");
        client.send(views(1, 2));
        answering.countDown();
        assertAnswered(client, 3);
    }
}
