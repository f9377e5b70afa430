import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four answers is spoilt: it never ends. Its server goes on to send a few bytes twice a second. Each request must have its end, a
 * whole answer or a close, in its time and half a second; thirty seconds more are given here.
 */
final class AnswerWithoutEnd {
    private static final int REQUESTS = 4;
    private static final int SPOILT_ANSWERS = 1;
    private static final int EXPIRES_MS = 2500;
    private static final int JUDGED_AFTER_MS = EXPIRES_MS + 30_000;
    private static final int PIECE_INTERVAL_MS = 500;
    private static final int WORK_MS = 120;
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PIECE = "c\r\npiece of it \r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final CaseRun run;
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger requestsWithoutEnd = new AtomicInteger();

    private AnswerWithoutEnd(CaseRun run) {
        this.run = run;
    }

    public static void main(String[] arguments) {
        CaseRun.main(arguments, run -> new AnswerWithoutEnd(run).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        DiscoveryAgent discovery = new DiscoveryAgent(run.recorder);
        for (String id : List.of("a1", "a2")) {
            TileServer server = new TileServer(0, (request, connection, input) -> serve(id, request, connection));
            discovery.set(id, server.address(), "room-a", 1, "ready");
        }
        GatewayProcess gateway = run.startGateway(new Configuration(discovery.address(), "zone"));
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(Threads.start(() -> ask(gateway)));
        }
        for (Thread client : clients) {
            client.join();
        }
        return requestsWithoutEnd.get() == 0;
    }

    private void serve(String server, HttpMessage request, Socket connection) throws IOException, InterruptedException {
        boolean spoilt = run.trouble && answers.getAndIncrement() < SPOILT_ANSWERS;
        run.recorder.event(server, "runs request " + request.header("X-Trace-Id") + (spoilt ? ", its answer is spoilt" : ""));
        Thread.sleep(WORK_MS);
        write(connection, CHUNKED_HEAD + PIECE);
        while (spoilt) {
            Thread.sleep(PIECE_INTERVAL_MS);
            write(connection, PIECE);
        }
        write(connection, PIECE + LAST_CHUNK);
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(HttpMessage.bytes(text));
        connection.getOutputStream().flush();
    }

    private void ask(GatewayProcess gateway) throws IOException {
        String id = CaseRun.newId();
        try (Socket socket = new Socket()) {
            socket.connect(gateway.address());
            write(socket, CaseRun.head("GET", "/tile-view/7", id, EXPIRES_MS, List.of()));
            long sentMs = run.recorder.nowMs();
            run.recorder.event("client", "sent request " + id + " with " + EXPIRES_MS + " ms");
            String end = awaitEnd(socket, sentMs + JUDGED_AFTER_MS);
            if (end == null) {
                requestsWithoutEnd.incrementAndGet();
            }
            run.recorder.event("client", "request " + id + (end == null ? " has no end, but a part of an answer" : " ended with " + end)
                    + ", " + (run.recorder.nowMs() - sentMs) + " ms after it was sent");
        }
    }

    /** Reads to the end of the answer or of the connection; returns null where neither has come by the given time. */
    private String awaitEnd(Socket socket, long untilMs) throws IOException {
        StringBuilder received = new StringBuilder();
        InputStream input = socket.getInputStream();
        while (run.recorder.nowMs() < untilMs) {
            socket.setSoTimeout((int) Math.max(1, untilMs - run.recorder.nowMs()));
            try {
                int next = input.read();
                if (next < 0) {
                    return "a close within the answer";
                }
                received.append((char) next);
            } catch (SocketTimeoutException e) {
                return null;
            } catch (IOException e) {
                return "a reset within the answer";
            }
            if (isWhole(received.toString())) {
                return "a whole answer, " + received.substring(0, received.indexOf("\r\n"));
            }
        }
        return null;
    }

    private static boolean isWhole(String received) {
        int headEnd = received.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return false;
        }
        String head = received.substring(0, headEnd).toLowerCase(java.util.Locale.ROOT);
        if (head.contains("transfer-encoding: chunked")) {
            return received.endsWith("\r\n" + LAST_CHUNK);
        }
        int lengthAt = head.indexOf("content-length:") + "content-length:".length();
        int lineEnd = head.indexOf("\r\n", lengthAt);
        int length = Integer.parseInt(head.substring(lengthAt, lineEnd < 0 ? head.length() : lineEnd).trim());
        return received.length() >= headEnd + "\r\n\r\n".length() + length;
    }
}
