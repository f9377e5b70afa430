import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * While all servers are busy, a client sends two long orders at once and goes. No attempt for it may begin more than 0.1 s after its close.
 */
final class LeaverWithTwoLongOrders {
    private static final int USUAL_ORDERS = 8;
    private static final int USUAL_WORK_MS = 550;
    private static final int LONG_ORDER_BYTES = 400_000;
    private static final int LONG_ORDERS = 2;
    private static final int EXPIRES_MS = 12_000;
    private static final int LEAVER_STARTS_AFTER_MS = 50;
    private static final int WATCHED_MS = 6000;
    private static final int ALLOWED_MS = 150; // after the close: 100 ms, and 50 ms by which each limit is longer on sockets
    private static final long NOT_YET = Long.MAX_VALUE;

    private final CaseRun run;
    private final Map<String, Long> begunMs = new ConcurrentHashMap<>();
    private volatile long closedMs = NOT_YET;

    private LeaverWithTwoLongOrders(CaseRun run) {
        this.run = run;
    }

    public static void main(String[] arguments) {
        CaseRun.main(arguments, run -> new LeaverWithTwoLongOrders(run).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        DiscoveryAgent discovery = new DiscoveryAgent(run.recorder);
        for (String id : List.of("a1", "a2")) {
            TileServer server = new TileServer(0, (request, connection, input) -> serve(id, request, connection));
            discovery.set(id, server.address(), "room-a", 1, "ready");
        }
        GatewayProcess gateway = run.startGateway(new Configuration(discovery.address(), "zone"));
        Socket leaver = new Socket();
        leaver.connect(gateway.address());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_ORDERS; i++) {
            clients.add(Threads.start(() -> order(gateway)));
        }
        Thread.sleep(LEAVER_STARTS_AFTER_MS);
        List<String> ids = sendLongOrders(leaver);
        Thread.sleep(WATCHED_MS);
        for (Thread client : clients) {
            client.join();
        }
        boolean holds = true;
        for (String id : ids) {
            holds &= isInTime(id);
        }
        return holds;
    }

    private boolean isInTime(String id) {
        Long begun = begunMs.get(id);
        if (begun == null) {
            run.recorder.event("judge", "request " + id + " was not run");
            return run.trouble;
        }
        boolean late = run.trouble && begun - closedMs > ALLOWED_MS;
        run.recorder.event("judge", "request " + id + " was begun " + (run.trouble ? (begun - closedMs) + " ms after the close" : "in time"));
        return !late;
    }

    private void serve(String server, HttpMessage request, Socket connection) throws IOException, InterruptedException {
        String id = request.header("X-Trace-Id");
        begunMs.put(id, run.recorder.nowMs());
        run.recorder.event(server, "runs request " + id + " with a body of " + request.body().length + " bytes");
        Thread.sleep(USUAL_WORK_MS);
        TileServer.answer(connection, "done " + id);
    }

    private static String orderHead(String id, int bodyBytes) {
        return CaseRun.head("POST", "/copy-order", id, EXPIRES_MS,
                List.of("Idempotency-Key: " + CaseRun.newId() + CaseRun.newId() + "\r\n", "Content-Length: " + bodyBytes + "\r\n"));
    }

    private void order(GatewayProcess gateway) throws IOException {
        String id = CaseRun.newId();
        try (Socket socket = new Socket()) {
            socket.connect(gateway.address());
            socket.getOutputStream().write(HttpMessage.bytes(orderHead(id, 5) + "order"));
            HttpMessage answer = HttpMessage.read(socket.getInputStream());
            run.recorder.event("client", "request " + id + " is answered with " + (answer == null ? "an end" : answer.startLine()));
        }
    }

    /** Sends two long orders at once and, with the disruption, closes the connection at once. Returns their ids. */
    private List<String> sendLongOrders(Socket socket) throws IOException {
        List<String> ids = List.of(CaseRun.newId(), CaseRun.newId());
        OutputStream output = socket.getOutputStream();
        for (String id : ids) {
            output.write(HttpMessage.bytes(orderHead(id, LONG_ORDER_BYTES)));
            output.write(new byte[LONG_ORDER_BYTES]);
        }
        output.flush();
        run.recorder.event("leaver", "sent at once the requests " + ids);
        if (run.trouble) {
            socket.close();
            closedMs = run.recorder.nowMs();
            run.recorder.event("leaver", "closed its connection");
        } else {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < LONG_ORDERS; i++) {
                run.recorder.event("leaver", "request " + ids.get(i) + " is answered with " + HttpMessage.read(input).startLine());
            }
        }
        return ids;
    }
}
