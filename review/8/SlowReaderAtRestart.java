import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Some clients read long answers in pieces, each with one pause of 4 s, while a planned restart begins. The platform sends no SIGKILL.
 * The clients must get their answers whole. A first transfer without a restart shows how much a client has read when its server has given
 * all; SIGTERM is sent so that the process ends by itself soon after all servers have given all, which is while the clients pause.
 */
final class SlowReaderAtRestart {
    private static final int CLIENTS = 20;
    private static final int SHORTEST_ANSWER_BYTES = 1_100_000;
    private static final int LENGTH_STEP_BYTES = 8_500;
    private static final int PIECE_BYTES = 16_000;
    private static final int PIECE_INTERVAL_MS = 100;
    private static final int BYTES_PER_MS = PIECE_BYTES / PIECE_INTERVAL_MS;
    private static final int PAUSE_MS = 4000; // of each client, once, when its server has given all
    private static final int CLIENT_WINDOW_BYTES = 64 * 1024;
    private static final int EXPIRES_MS = 2500;
    private static final int READ_LIMIT_MS = 10_000;
    /** SIGTERM is sent so long before the last server has given all: 3.7 s, the earliest SIGKILL, less the time that the case aims at. */
    private static final int RESTART_AHEAD_MS = 1900;
    private static final int TRANSFERS_LIMIT_MS = 40_000;

    private final CaseRun run;
    private final Map<String, Transfer> transfers = new ConcurrentHashMap<>();
    private GatewayProcess gateway;

    private SlowReaderAtRestart(CaseRun run) {
        this.run = run;
    }

    public static void main(String[] arguments) {
        CaseRun.main(arguments, run -> new SlowReaderAtRestart(run).holds());
    }

    private boolean holds() throws IOException, InterruptedException {
        DiscoveryAgent discovery = new DiscoveryAgent(run.recorder);
        for (String id : List.of("a1", "a2")) {
            TileServer server = new TileServer(0, (request, connection, input) -> serve(id, request, connection, input));
            discovery.set(id, server.address(), "room-a", 1, "ready");
        }
        gateway = run.startGateway(new Configuration(discovery.address(), "zone"));
        Transfer calibration = new Transfer(SHORTEST_ANSWER_BYTES);
        calibration.start().join(TRANSFERS_LIMIT_MS);
        if (!calibration.isWhole()) {
            throw new IOException("the transfer without a restart has failed");
        }
        return allWhole(SHORTEST_ANSWER_BYTES - calibration.clientBytesWhenGiven.get());
    }

    /** @param heldBytes how much of an answer the gateway and the sockets hold when the gateway has taken it whole */
    private boolean allWhole(long heldBytes) throws InterruptedException {
        List<Transfer> all = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            all.add(new Transfer(SHORTEST_ANSWER_BYTES + i * LENGTH_STEP_BYTES));
        }
        for (Transfer transfer : all) {
            clients.add(transfer.start());
        }
        if (run.trouble) {
            long lastGivenMs = (all.get(CLIENTS - 1).lengthBytes - heldBytes) / BYTES_PER_MS;
            Thread.sleep(Math.max(0, lastGivenMs - RESTART_AHEAD_MS));
            gateway.terminate();
        }
        boolean whole = true;
        for (int i = 0; i < CLIENTS; i++) {
            clients.get(i).join(TRANSFERS_LIMIT_MS);
            whole &= all.get(i).isWhole();
        }
        gateway.kill();
        return whole;
    }

    /** Answers at full speed, and closes the connection behind the answer, so that the gateway's close shows that it has read all. */
    private void serve(String server, HttpMessage request, Socket connection, InputStream input) throws IOException {
        Transfer transfer = transfers.get(request.header("X-Trace-Id"));
        run.recorder.event(server, "runs request " + transfer.id + ", answers with " + transfer.lengthBytes + " bytes");
        connection.getOutputStream().write(HttpMessage.bytes("HTTP/1.1 200 OK\r\nContent-Type: image/tiff\r\nConnection: close\r\nContent-Length: "
                + transfer.lengthBytes + "\r\n\r\n"));
        connection.getOutputStream().write(new byte[transfer.lengthBytes]);
        connection.getOutputStream().flush();
        input.read();
        transfer.given(server);
    }

    /** One long answer and the client that reads it. */
    private final class Transfer {
        final String id = CaseRun.newId();
        final int lengthBytes;
        final AtomicLong clientBytes = new AtomicLong();
        final AtomicLong clientBytesWhenGiven = new AtomicLong();
        private final AtomicBoolean pauseDue = new AtomicBoolean();

        Transfer(int lengthBytes) {
            this.lengthBytes = lengthBytes;
            transfers.put(id, this);
        }

        boolean isWhole() {
            return clientBytes.get() == lengthBytes;
        }

        void given(String server) {
            clientBytesWhenGiven.set(clientBytes.get());
            pauseDue.set(true);
            run.recorder.event(server, "the gateway has taken the whole answer to " + id + "; its client has read " + clientBytes.get());
        }

        Thread start() {
            return Threads.start(this::request);
        }

        private void request() throws IOException, InterruptedException {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(CLIENT_WINDOW_BYTES);
                socket.connect(gateway.address());
                socket.setSoTimeout(READ_LIMIT_MS);
                socket.getOutputStream().write(HttpMessage.bytes(CaseRun.head("GET", "/tile-view/7", id, EXPIRES_MS, List.of())));
                run.recorder.event("client", "sent request " + id);
                HttpMessage head = HttpMessage.readHead(socket.getInputStream());
                run.recorder.event("client", "request " + id + " is answered with " + head.startLine() + ", length "
                        + head.header("content-length"));
                String end = readInPieces(socket.getInputStream());
                run.recorder.event("client", "request " + id + " ended with " + end + ", " + clientBytes.get() + " of " + lengthBytes + " bytes");
            }
        }

        private String readInPieces(InputStream input) throws InterruptedException {
            while (!isWhole()) {
                try {
                    int due = (int) Math.min(PIECE_BYTES, lengthBytes - clientBytes.get());
                    int read = input.readNBytes(new byte[due], 0, due);
                    clientBytes.addAndGet(read);
                    if (read < due) {
                        return "a close within the answer";
                    }
                } catch (IOException e) {
                    return "a reset or no further byte (" + e.getMessage() + ")";
                }
                Thread.sleep(pauseDue.getAndSet(false) ? PAUSE_MS : PIECE_INTERVAL_MS);
            }
            return "a whole answer";
        }
    }
}
