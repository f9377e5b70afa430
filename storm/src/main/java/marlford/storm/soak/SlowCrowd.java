package marlford.storm.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import marlford.storm.soak.RequestLedger.Effect;

/**
 * Many clients at one gateway that ask for long answers, read nothing for seconds and leave, or that send heads of very many short
 * fields or bodies of very many tiny chunks without an end: together they would take more than a gateway's memory and time. The other
 * clients show whether it goes on.
 */
final class SlowCrowd extends SoakVisitor {
    private static final int CLIENTS = 140; // as many as a gateway may have connections to hosts
    private static final int SMALL_BUFFER_BYTES = 4096; // so that the sockets take little
    private static final int STAY_MS = 3000;
    private static final int GAP_MS = 1500;
    private static final String LINE_END = "\r\n";
    private static final String FIELDS = "a:b\r\n".repeat(1000);
    private static final String TINY_CHUNKS = "1\r\nx\r\n".repeat(10_000);

    /** What the clients of a crowd send. */
    private enum Form {
        /** Requests for long answers, which are not read. */
        LONG_ANSWERS,
        /** Heads of many short fields, without an end. */
        UNFINISHED_HEADS,
        /** Bodies of many tiny chunks, without an end. */
        UNFINISHED_CHUNKS
    }

    SlowCrowd(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws InterruptedException {
        fleet.findings().count(SoakFindings.Count.FAULTS);
        crowd(process, Form.values()[random.nextInt(Form.values().length)]);
    }

    @Override
    int restMs() {
        return random.nextInt(GAP_MS);
    }

    private void crowd(SoakProcess process, Form form) throws InterruptedException {
        List<Socket> sockets = new ArrayList<>();
        List<RequestLedger.Entry> entries = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS && process.isUp(); i++) {
                String id = nextId("d");
                Socket socket = SoakClient.connect(process, SMALL_BUFFER_BYTES);
                sockets.add(socket);
                entries.add(fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, Effect.REPEATABLE));
                socket.getOutputStream().write(HttpText.bytes(message(process, form, id)));
            }
        } catch (IOException e) {
            // as many as came
        }
        Thread.sleep(random.nextInt(STAY_MS));
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // ended before
            }
        }
        entries.forEach(entry -> entry.leftNanos = System.nanoTime());
    }

    private static String message(SoakProcess process, Form form, String id) {
        String request = SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number);
        String headers = request.substring(0, request.length() - LINE_END.length());
        return switch (form) {
            case LONG_ANSWERS -> request.replace("/view/", "/view/" + SoakHosts.LONG);
            case UNFINISHED_HEADS -> headers + FIELDS;
            case UNFINISHED_CHUNKS ->
                headers.replaceFirst("GET", "POST") + "Transfer-Encoding: chunked\r\n\r\n" + TINY_CHUNKS;
        };
    }
}
