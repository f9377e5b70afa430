package marlford.storm.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import marlford.storm.soak.RequestLedger.Effect;
import marlford.storm.soak.SoakFindings.Count;

/** A client of answers of unknown length that their hosts write with pauses: one that has begun must come whole. */
final class LumpReader extends SoakVisitor {
    private static final int GIVE_UP_MS = 8000;
    private static final int REST_MS = 600;
    private static final int OK = 200;

    LumpReader(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException {
        String id = nextId("u");
        long began = System.nanoTime();
        String form = random.nextBoolean() ? SoakHosts.LUMPS_CHUNKED : SoakHosts.LUMPS_UNBOUNDED;
        RequestLedger.Entry entry = fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, Effect.REPEATABLE);
        try (Socket socket = SoakClient.connect(process)) {
            entry.written();
            String request = SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number);
            socket.getOutputStream().write(HttpText.bytes(request.replace("/view/", "/view/" + form)));
            socket.setSoTimeout(GIVE_UP_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpText.Message head = HttpText.readHead(in);
            if (head == null || head.status() != OK) {
                return; // ends without an answer are judged by the other clients
            }
            if (HttpText.readBody(head, in) == SoakHosts.LUMPS_BYTES) {
                fleet.findings().count(Count.LONG_SERVED);
                return;
            }
        } catch (IOException e) {
            // cut off, as judged below
        } finally {
            entry.leftNanos = System.nanoTime();
        }
        SlowClient.cutOff(fleet, process, began, id, entry);
    }

    @Override
    int restMs() {
        return random.nextInt(REST_MS);
    }
}
