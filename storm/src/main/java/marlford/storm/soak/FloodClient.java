package marlford.storm.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import marlford.storm.soak.RequestLedger.Effect;

/** A client that sends at full speed for a while, over one connection or ever new ones. The other clients show what that costs them. */
final class FloodClient extends SoakVisitor {
    private static final int FLOOD_MS = 1000;
    private static final int REST_MS = 1500;
    private static final int REQUESTS_IN_ONE_WRITE = 50;
    private static final int MAX_SOUND_REQUESTS = 2000; // each is kept in the ledger
    private static final int CHUNKS = 200;
    private static final int SMALL_BUFFER_BYTES = 4096;
    private static final int READ_BYTES = 1 << 16;
    private static final long CUSTOMERS = 1L << 32;

    /** What it sends. */
    private enum Form {
        SOUND,
        SOUND_UNREAD,
        MISSING_FIELDS,
        TINY_CHUNKS,
        NEW_CONNECTIONS
    }

    private final List<RequestLedger.Entry> entries = new ArrayList<>();

    FloodClient(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException {
        Form form = Form.values()[random.nextInt(Form.values().length)];
        fleet.findings().count(SoakFindings.Count.FAULTS);
        entries.clear();
        long end = System.nanoTime() + random.nextInt(FLOOD_MS) * 1_000_000L;
        do {
            flood(process, form, end);
        } while (form == Form.NEW_CONNECTIONS && System.nanoTime() < end && entries.size() < MAX_SOUND_REQUESTS);
    }

    private void flood(SoakProcess process, Form form, long end) throws IOException {
        boolean unread = form == Form.SOUND_UNREAD;
        try (Socket socket = SoakClient.connect(process, unread ? SMALL_BUFFER_BYTES : 0)) {
            if (!unread) {
                Threads.start("flood reader", () -> readAll(socket));
            }
            do {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < (form == Form.NEW_CONNECTIONS ? 1 : REQUESTS_IN_ONE_WRITE); i++) {
                    text.append(request(process, form));
                }
                socket.getOutputStream().write(HttpText.bytes(text.toString()));
            } while (form != Form.NEW_CONNECTIONS && System.nanoTime() < end && entries.size() < MAX_SOUND_REQUESTS);
        } finally {
            entries.forEach(entry -> entry.leftNanos = entry.leftNanos == 0 ? System.nanoTime() : entry.leftNanos);
        }
    }

    private String request(SoakProcess process, Form form) {
        String id = nextId("f");
        if (form == Form.MISSING_FIELDS) {
            return "GET /view/x HTTP/1.1\r\nX-Trace-Id: " + id + "\r\n\r\n";
        }
        boolean order = form == Form.TINY_CHUNKS;
        long deadlineMs = order ? SoakClient.ORDER_DEADLINE_MS : SoakClient.VIEW_DEADLINE_MS;
        entries.add(fleet.ledger().sent(id, deadlineMs, order ? Effect.KEYED : Effect.REPEATABLE));
        String customer = String.format("%016x", random.nextLong(CUSTOMERS));
        String sound = order
                ? SoakClient.order(id, deadlineMs, process.number)
                        .replace(
                                "Content-Length: 4\r\n\r\nbody",
                                "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS) + "0\r\n\r\n")
                : SoakClient.view(id, deadlineMs, process.number);
        return sound.replace(SoakClient.CUSTOMER, customer);
    }

    private static void readAll(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[READ_BYTES];
            while (in.read(buffer) >= 0) {
                continue;
            }
        } catch (IOException e) {
            return; // ended
        }
    }

    @Override
    int restMs() {
        return random.nextInt(REST_MS);
    }
}
