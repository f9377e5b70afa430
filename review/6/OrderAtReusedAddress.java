import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A tile server dies, and one of another cell comes up at its address. Discovery tells of the new one after 0.5 s and of the end of the old
 * one after 3 s. In between orders are sent, and the server at that address resets connections under requests that it has run. No order may
 * run twice.
 */
final class OrderAtReusedAddress {
    private static final int ORDERS = 6;
    private static final int OLD_CELL = 1;
    private static final int NEW_CELL = 2;
    private static final int WORK_MS = 150;
    private static final int NEW_TOLD_AFTER_MS = 500;
    private static final int ORDERS_AFTER_MS = 500; // after the gateway was told of the new server
    private static final int OLD_TOLD_AFTER_MS = 2000; // after the orders
    private static final int EXPIRES_MS = 8000;
    private static final int ANSWER_SLACK_MS = 500;

    private final CaseRun run;
    private final DiscoveryAgent discovery;
    private final Map<Integer, Set<String>> keysOfCells = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();

    private OrderAtReusedAddress(CaseRun run) throws IOException {
        this.run = run;
        this.discovery = new DiscoveryAgent(run.recorder);
    }

    public static void main(String[] arguments) {
        CaseRun.main(arguments, run -> new OrderAtReusedAddress(run).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        TileServer first = new TileServer(0, (request, connection, input) -> runThenReset("a1", OLD_CELL, request, connection));
        TileServer second = new TileServer(0, (request, connection, input) -> runThenAnswer("a2", OLD_CELL, request, connection));
        discovery.set("a1", first.address(), "room-a", OLD_CELL, "ready");
        discovery.set("a2", second.address(), "room-a", OLD_CELL, "ready");
        GatewayProcess gateway = run.startGateway(new Configuration(discovery.address(), "cell"));
        if (run.trouble) {
            replace(first);
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            clients.add(Threads.start(() -> order(gateway)));
        }
        Thread.sleep(OLD_TOLD_AFTER_MS);
        if (run.trouble) {
            discovery.set("a1", first.address(), "room-a", OLD_CELL, "gone");
        }
        for (Thread client : clients) {
            client.join();
        }
        return noEffectTwice();
    }

    /** The process of a1 dies, b1 comes up at its address, and discovery tells of b1. */
    private void replace(TileServer first) throws IOException, InterruptedException {
        int port = first.port();
        first.die();
        new TileServer(port, (request, connection, input) -> runThenReset("b1", NEW_CELL, request, connection));
        long startedMs = System.currentTimeMillis();
        run.recorder.event("platform", "a1 has died, b1 of cell " + NEW_CELL + " listens at its address");
        Thread.sleep(NEW_TOLD_AFTER_MS);
        discovery.set("b1", first.address(), "room-a", NEW_CELL, "ready", startedMs);
        Thread.sleep(ORDERS_AFTER_MS);
    }

    private boolean noEffectTwice() {
        boolean holds = true;
        for (Map.Entry<String, AtomicInteger> effect : effects.entrySet()) {
            run.recorder.event("judge", "order " + effect.getKey() + " ran " + effect.getValue() + " times");
            holds &= effect.getValue().get() <= 1;
        }
        return holds;
    }

    /** Runs an order unless a server of the same cell has run it before. */
    private void work(String server, int cell, HttpMessage request) throws InterruptedException {
        String key = request.header("Idempotency-Key");
        boolean known = !keysOfCells.computeIfAbsent(cell, c -> ConcurrentHashMap.newKeySet()).add(key);
        run.recorder.event(server, (known ? "drops the repeat of " : "runs ") + key + " for request " + request.header("X-Trace-Id"));
        if (!known) {
            effects.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
        }
        Thread.sleep(WORK_MS);
    }

    private void runThenAnswer(String server, int cell, HttpMessage request, Socket connection) throws IOException, InterruptedException {
        work(server, cell, request);
        TileServer.answer(connection, "done " + request.header("X-Trace-Id"));
    }

    private void runThenReset(String server, int cell, HttpMessage request, Socket connection) throws IOException, InterruptedException {
        work(server, cell, request);
        run.recorder.event(server, "the connection is reset under request " + request.header("X-Trace-Id"));
        TileServer.reset(connection);
    }

    private void order(GatewayProcess gateway) throws IOException {
        String id = CaseRun.newId();
        String key = CaseRun.newId() + CaseRun.newId();
        try (Socket socket = new Socket()) {
            socket.connect(gateway.address());
            socket.setSoTimeout(EXPIRES_MS + ANSWER_SLACK_MS);
            socket.getOutputStream().write(HttpMessage.bytes(CaseRun.head("POST", "/copy-order", id, EXPIRES_MS,
                    List.of("Idempotency-Key: " + key + "\r\n", "Content-Length: 5\r\n")) + "order"));
            run.recorder.event("client", "sent request " + id + " with key " + key);
            InputStream input = socket.getInputStream();
            HttpMessage answer = HttpMessage.read(input);
            run.recorder.event("client", "request " + id + " is answered with " + (answer == null ? "an end" : answer.startLine()));
        }
    }
}
