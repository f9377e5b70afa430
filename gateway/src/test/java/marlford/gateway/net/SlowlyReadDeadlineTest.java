package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that were told more time than their client had left: the gateway took long to read its order, a part in each turn, and
 * counted the time from the last of these.
 */
@Tag("exclusive") // its limits of time allow for no other work on the machine
class SlowlyReadDeadlineTest extends SocketTest {
    private static final int CLIENTS = 40;
    private static final int BODY_BYTES = 8000; // in chunks of one byte, which take the gateway long to read
    private static final int CLIENT_TIME_MS = 30_000;
    private static final long SLACK_MS = 200; // 150 ms, and 50 ms by which each limit is longer on sockets

    @Test
    void aHostIsToldWhatItsClientHasLeft() throws Exception {
        Map<String, Long> arrivedNanos = new ConcurrentHashMap<>();
        Map<String, Integer> toldMs = new ConcurrentHashMap<>();
        RecordingServer host = startHost((m, s) -> {
            arrivedNanos.put(m.header("X-Trace-Id"), System.nanoTime());
            toldMs.put(m.header("X-Trace-Id"), Integer.parseInt(m.header("X-Expires-In-Ms")));
            s.getOutputStream().write(Sockets.ok("done"));
        });
        Node node = createNode(HoldingEngine::new, Transport.TCP, new Clock(), ConnectionBuffers.ofProcess(),
                Sockets.entry("h0", host.address(), "ready"));
        node.start();
        Map<String, Long> sentNanos = connectAndOrder(node);
        Sockets.await(() -> toldMs.size() == CLIENTS, "all orders run");
        List<String> wrong = new ArrayList<>();
        for (String id : sentNanos.keySet()) {
            long leftMs = CLIENT_TIME_MS - TimeUnit.NANOSECONDS.toMillis(arrivedNanos.get(id) - sentNanos.get(id));
            if (toldMs.get(id) > leftMs + SLACK_MS) {
                wrong.add(id + ": told " + toldMs.get(id) + " ms, left " + leftMs);
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** Connects clients that send an order each; returns when each has sent its last byte, by the ids of the orders. */
    private Map<String, Long> connectAndOrder(Node node) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(connectClient(node));
        }
        Map<String, Long> sentNanos = new HashMap<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.get(i).socket.getOutputStream().write(Sockets.chunkedOrder("now-" + i, CLIENT_TIME_MS, BODY_BYTES, 1));
            sentNanos.put("now-" + i, System.nanoTime());
        }
        return sentNanos;
    }
}
