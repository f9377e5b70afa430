package marlford.storm.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import marlford.storm.soak.RequestLedger.Effect;
import marlford.storm.soak.SoakFindings.Count;

/**
 * A client that pauses within several answers when their hosts have given all, so that the ends of some wait in the gateway. Each must come
 * whole, also where the process is told to end meanwhile, unless that is killed.
 */
final class HeldAnswerReader extends SoakVisitor {
    private static final int WINDOW_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 10_000;
    private static final long PIECE_INTERVAL_MS = 5;
    private static final int ANSWERS = 6; // at once
    private static final int LEAST_BYTES = 200_000;
    private static final int SPREAD_BYTES = 700_000;
    private static final int PAUSE_MS = 4500;
    private static final int GIVE_UP_MS = 8000;
    private static final int REST_MS = 300;
    private static final int OK = 200;

    HeldAnswerReader(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    /** An answer that is being read. */
    private static final class Reading {
        final Socket socket;
        final String id;
        final int length;
        final RequestLedger.Entry entry;
        private int received;

        Reading(Socket socket, String id, int length, RequestLedger.Entry entry) {
            this.socket = socket;
            this.id = id;
            this.length = length;
            this.entry = entry;
        }

        /** Reads up to this many bytes more; whether the whole answer has come. */
        boolean read(int bytes) throws IOException {
            int due = Math.min(bytes, length - received);
            received += socket.getInputStream().readNBytes(due).length;
            return received == length;
        }

        /** Reads pieces until the gateway has taken the whole answer from its host. */
        void readUntilTaken() throws InterruptedException {
            try {
                while (!entry.answerTaken && !read(PIECE_BYTES)) {
                    Thread.sleep(PIECE_INTERVAL_MS);
                }
            } catch (IOException e) {
                // the rest won't come either
            }
        }

        boolean endsWhole() {
            try {
                return read(length);
            } catch (IOException e) {
                return false;
            } finally {
                entry.leftNanos = System.nanoTime();
                close(socket);
            }
        }
    }

    @Override
    void visit(SoakProcess process) throws InterruptedException {
        long began = System.nanoTime();
        List<Reading> readings = new ArrayList<>();
        for (int i = 0; i < ANSWERS; i++) {
            Reading reading = ask(process);
            if (reading != null) {
                readings.add(reading);
            }
        }
        for (Reading reading : readings) {
            reading.readUntilTaken();
        }
        Thread.sleep(random.nextInt(PAUSE_MS));
        for (Reading reading : readings) {
            if (reading.endsWhole()) {
                fleet.findings().count(Count.LONG_SERVED);
            } else {
                SlowClient.cutOff(fleet, process, began, reading.id, reading.entry);
            }
        }
    }

    /** Asks for an answer and reads its head; returns null if it gets another one, which the other clients judge. */
    private Reading ask(SoakProcess process) {
        String id = nextId("h");
        int length = LEAST_BYTES + random.nextInt(SPREAD_BYTES);
        RequestLedger.Entry entry = fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, Effect.REPEATABLE);
        Socket socket = null;
        try {
            socket = SoakClient.connect(process, WINDOW_BYTES);
            socket.setSoTimeout(GIVE_UP_MS);
            entry.written();
            String request = SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number);
            String path = "/view/" + SoakHosts.SIZED + length + "-";
            socket.getOutputStream().write(HttpText.bytes(request.replace("/view/", path)));
            HttpText.Message head = HttpText.readHead(socket.getInputStream());
            if (head != null && head.status() == OK) {
                return new Reading(socket, id, length, entry);
            }
        } catch (IOException e) {
            // it could not connect, or was cut while it got there
        }
        entry.leftNanos = System.nanoTime();
        close(socket);
        return null;
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // closed either way
        }
    }

    @Override
    int restMs() {
        return random.nextInt(REST_MS);
    }
}
