package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against orders that ran for a client that had gone: the gateway took long to read them, a part in each turn, and did not look for
 * the end of the connection, which was right behind them.
 */
@Tag("exclusive") // its limits of time allow for no other work on the machine
class SlowlyReadDisconnectTest extends SocketTest {
    private static final int CLIENTS = 40;
    private static final int BODY_BYTES = 8000; // in chunks of one byte, which take the gateway long to read
    private static final int CLIENT_TIME_MS = 30_000;
    private static final long CLIENTS_STAY_MS = 1000;
    private static final long ALLOWED_MS = 150; // 100 ms, and 50 ms by which each limit is longer on sockets
    private static final long WATCHED_MS = 5000;

    @ParameterizedTest
    @EnumSource
    void noAttemptBeginsLate(Disconnect disconnect) throws Exception {
        Map<String, Long> begunNanos = new ConcurrentHashMap<>();
        RecordingServer host = startHost((m, s) -> {
            begunNanos.put(m.header("X-Trace-Id"), System.nanoTime());
            s.getOutputStream().write(Sockets.ok("done"));
        });
        Node node = createNode(HoldingEngine::new, Transport.TCP, new Clock(), ConnectionBuffers.ofProcess(),
                Sockets.entry("h0", host.address(), "ready"));
        node.start();
        Map<String, Client> clients = connectAndOrder(node);
        Thread.sleep(CLIENTS_STAY_MS);
        Map<String, Long> leftNanos = new ConcurrentHashMap<>();
        for (String id : clients.keySet()) {
            disconnect.apply(clients.get(id));
            leftNanos.put(id, System.nanoTime());
        }
        Thread.sleep(WATCHED_MS);
        List<String> late = new ArrayList<>();
        begunNanos.forEach((id, nanos) -> {
            long afterMs = TimeUnit.NANOSECONDS.toMillis(nanos - leftNanos.get(id));
            if (afterMs > ALLOWED_MS) {
                late.add(id + " " + afterMs + " ms after its client had left");
            }
        });
        assertEquals(List.of(), late);
    }

    /** Connects clients that send an order each; returns them by the ids of the orders. */
    private Map<String, Client> connectAndOrder(Node node) throws IOException {
        Map<String, Client> clients = new ConcurrentHashMap<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.put("now-" + i, connectClient(node));
        }
        for (Map.Entry<String, Client> client : clients.entrySet()) {
            client.getValue().socket.getOutputStream().write(Sockets.chunkedOrder(client.getKey(), CLIENT_TIME_MS, BODY_BYTES, 1));
        }
        return clients;
    }
}
