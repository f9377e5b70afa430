package marlford.storm.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import marlford.storm.soak.RequestLedger.Effect;

/**
 * A client that sends a long order and more behind it at once, and closes or resets its connection: the gateway has to read all of that
 * before it can see the end. Before that it may keep all places of the gateway busy, so that its order waits. Hosts judge whether an
 * order comes to them after its client has left.
 */
final class LeavingClient extends SoakVisitor {
    private static final int BODY_LEAST_BYTES = 70_000; // more than a gateway reads of a body before it decides
    private static final int BODY_BYTES = 300_000;
    private static final int CHUNK_BYTES = 8000;
    private static final int TINY_CHUNK_BYTES = 10; // such a body takes the gateway long to read
    private static final int BUSY_REQUESTS = 12; // more than a gateway has places
    private static final int MAX_ORDERS = 3;
    private static final int MAX_VIEWS = 400;
    private static final int STAY_MS = 150;
    private static final int REST_MS = 600;

    private final List<RequestLedger.Entry> sent = new ArrayList<>();

    LeavingClient(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException, InterruptedException {
        sent.clear();
        List<Socket> busy = new ArrayList<>();
        try {
            if (random.nextBoolean()) {
                occupy(process, busy);
            }
            sendAndLeave(process);
            Thread.sleep(busy.isEmpty() ? 0 : SoakHosts.WORK_MS);
        } finally {
            for (Socket socket : busy) {
                socket.close();
            }
        }
    }

    /** Sends requests that hosts take their time for; their answers are not read. */
    private void occupy(SoakProcess process, List<Socket> busy) throws IOException {
        for (int i = 0; i < BUSY_REQUESTS; i++) {
            Socket socket = SoakClient.connect(process);
            busy.add(socket);
            String id = nextId("g");
            fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, Effect.REPEATABLE);
            String request = SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number);
            socket.getOutputStream().write(HttpText.bytes(request.replace("/view/", "/view/" + SoakHosts.WORK)));
        }
    }

    private void sendAndLeave(SoakProcess process) throws IOException, InterruptedException {
        Socket socket = SoakClient.connect(process);
        try (socket) {
            OutputStream out = socket.getOutputStream();
            for (int orders = 1 + random.nextInt(MAX_ORDERS); orders > 0; orders--) {
                out.write(order(process, random.nextBoolean()));
            }
            if (random.nextBoolean()) {
                out.write(views(process, random.nextInt(MAX_VIEWS)));
            }
            Thread.sleep(random.nextInt(STAY_MS));
            if (random.nextBoolean()) {
                socket.setSoLinger(true, 0);
            }
        } finally {
            long leftNanos = System.nanoTime();
            sent.forEach(entry -> entry.leftNanos = leftNanos);
        }
    }

    private byte[] order(SoakProcess process, boolean chunked) {
        String id = nextId("g");
        int length = BODY_LEAST_BYTES + random.nextInt(BODY_BYTES);
        RequestLedger.Entry entry = fleet.ledger().sent(id, SoakClient.ORDER_DEADLINE_MS, Effect.KEYED);
        entry.bodyOnTheWay = true;
        sent.add(entry);
        String order = SoakClient.order(id, SoakClient.ORDER_DEADLINE_MS, process.number);
        String head = order.substring(0, order.indexOf("Content-Length"));
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        if (!chunked) {
            message.writeBytes(HttpText.bytes(head + "Content-Length: " + length + "\r\n\r\n"));
            message.writeBytes(new byte[length]);
            return message.toByteArray();
        }
        message.writeBytes(HttpText.bytes(head + "Transfer-Encoding: chunked\r\n\r\n"));
        int chunkBytes = random.nextBoolean() ? CHUNK_BYTES : TINY_CHUNK_BYTES;
        for (int written = 0; written < length; written += chunkBytes) {
            message.writeBytes(HttpText.chunk(Math.min(chunkBytes, length - written)));
        }
        message.writeBytes(HttpText.bytes("0\r\n\r\n"));
        return message.toByteArray();
    }

    private byte[] views(SoakProcess process, int count) {
        ByteArrayOutputStream messages = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            String id = nextId("g");
            sent.add(fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, Effect.REPEATABLE));
            messages.writeBytes(HttpText.bytes(SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number)));
        }
        return messages.toByteArray();
    }

    @Override
    int restMs() {
        return random.nextInt(REST_MS);
    }
}
