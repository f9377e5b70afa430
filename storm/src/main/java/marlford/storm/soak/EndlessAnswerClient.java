package marlford.storm.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import marlford.storm.soak.RequestLedger.Effect;
import marlford.storm.soak.SoakFindings.Count;

/** A client of answers that their hosts never end: it gets a final answer, or an end of its connection, in its time all the same. */
final class EndlessAnswerClient extends SoakVisitor {
    private static final long DEADLINE_MS = 2500;
    private static final int REST_LEAST_MS = 500;
    private static final int REST_MS = 2000;

    EndlessAnswerClient(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException {
        String id = nextId("e");
        int life = process.life();
        EndlessAnswer form = EndlessAnswer.values()[random.nextInt(EndlessAnswer.values().length)];
        RequestLedger.Entry entry = fleet.ledger().sent(id, DEADLINE_MS, Effect.REPEATABLE);
        try (Socket socket = SoakClient.connect(process)) {
            entry.written();
            String request = SoakClient.view(id, DEADLINE_MS, process.number);
            socket.getOutputStream().write(HttpText.bytes(request.replace("/view/", "/view" + form.prefix())));
            long limitMs = DEADLINE_MS
                    + SoakClient.ANSWER_SLACK_MS
                    + form.extraTimeMs()
                    + (long) fleet.lateness().ms();
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
            socket.setSoTimeout((int) limitMs);
            awaitEnd(socket.getInputStream(), untilNanos);
            boolean ended = System.nanoTime() <= untilNanos;
            if (ended || process.life() != life) {
                fleet.findings().count(ended ? Count.ENDLESS_ENDED : Count.CUT_BY_KILL);
            } else {
                fleet.suspect(process, life, id, SoakClient.NO_ANSWER + " and no end of " + form + " in time");
            }
        } finally {
            entry.leftNanos = System.nanoTime();
        }
    }

    /** Reads up to the end of a final answer without a body, or of the connection, or up to the first input after the given time. */
    private static void awaitEnd(InputStream in, long untilNanos) {
        try {
            HttpText.Message head = HttpText.readHead(in);
            if (head == null || "0".equals(head.header("Content-Length"))) {
                return;
            }
            while (in.read() >= 0 && System.nanoTime() <= untilNanos) {
                continue;
            }
        } catch (IOException e) {
            // a reset is an end, and a time-out comes no sooner than the given time
        }
    }

    @Override
    int restMs() {
        return REST_LEAST_MS + random.nextInt(REST_MS);
    }
}
