package marlford.storm.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import marlford.storm.soak.RequestLedger.Effect;
import marlford.storm.soak.SoakFindings.Count;

/**
 * A client with long messages: it reads a long answer in pieces, with pauses of seconds, or sends a long body, at once or in pieces. A
 * long answer that has begun must come whole, and a long order gets its final answer in time from its last byte on.
 */
final class SlowClient extends SoakVisitor {
    private static final int PAUSES_MS = 8000; // of one reader in all, so that it ends before the judgement
    private static final int MAX_PAUSES = 3;
    private static final int FIRST_PIECE_BYTES = 64 * 1024;
    private static final int BODY_LEAST_BYTES = 100_000;
    private static final int BODY_BYTES = 300_000;
    private static final int BODY_PIECES = 4;
    private static final int BODY_PAUSE_MS = 300;
    private static final int GIVE_UP_MS = 8000;
    private static final int REST_MS = 500;
    private static final int OK = 200;

    SlowClient(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException, InterruptedException {
        if (random.nextBoolean()) {
            read(process);
        } else {
            order(process);
        }
    }

    @Override
    int restMs() {
        return random.nextInt(REST_MS);
    }

    private void read(SoakProcess process) throws IOException, InterruptedException {
        String id = nextId("l");
        long began = System.nanoTime();
        RequestLedger.Entry entry = fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, Effect.REPEATABLE);
        try (Socket socket = SoakClient.connect(process)) {
            entry.written();
            String request = SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number);
            socket.getOutputStream().write(HttpText.bytes(request.replace("/view/", "/view/" + SoakHosts.LONG)));
            socket.setSoTimeout(GIVE_UP_MS);
            InputStream in = socket.getInputStream();
            HttpText.Message head = HttpText.readHead(in);
            if (head == null || head.status() != OK) {
                return; // ends without an answer are judged by the other clients
            }
            if (readInPieces(in) == SoakHosts.LONG_BYTES) {
                fleet.findings().count(Count.LONG_SERVED);
                return;
            }
        } catch (IOException e) {
            // cut off, as judged below
        } finally {
            entry.leftNanos = System.nanoTime();
        }
        cutOff(fleet, process, began, id, entry);
    }

    private int readInPieces(InputStream in) throws IOException, InterruptedException {
        int pauses = 1 + random.nextInt(MAX_PAUSES);
        int received = 0;
        for (int i = 0; i < pauses; i++) {
            received += in.readNBytes(FIRST_PIECE_BYTES).length;
            Thread.sleep(random.nextInt(PAUSES_MS / pauses));
        }
        return received + in.readNBytes(SoakHosts.LONG_BYTES - received).length;
    }

    /** Judges an answer that has begun and has not come whole. */
    static void cutOff(SoakFleet fleet, SoakProcess process, long began, String id, RequestLedger.Entry entry) {
        if (process.wasKilledSince(began)) {
            fleet.findings().count(Count.CUT_BY_KILL);
        } else if (!entry.hostFailed) {
            fleet.findings().broken("cut off: the answer of " + id + " at process " + process.number);
        }
    }

    private void order(SoakProcess process) throws IOException, InterruptedException {
        String id = nextId("w");
        int length = BODY_LEAST_BYTES + random.nextInt(BODY_BYTES);
        int life = process.life();
        RequestLedger.Entry entry = fleet.ledger().sent(id, SoakClient.ORDER_DEADLINE_MS, Effect.KEYED);
        entry.bodyOnTheWay = true;
        boolean whole = false;
        try (Socket socket = SoakClient.connect(process)) {
            entry.written();
            String order = SoakClient.order(id, SoakClient.ORDER_DEADLINE_MS, process.number);
            String head = order.substring(0, order.indexOf("Content-Length"));
            socket.getOutputStream().write(HttpText.bytes(head + "Content-Length: " + length + "\r\n\r\n"));
            writeInPieces(socket, length);
            whole = true;
            long answerMs = SoakClient.ORDER_DEADLINE_MS
                    + SoakClient.ANSWER_SLACK_MS
                    + (long) fleet.lateness().ms();
            socket.setSoTimeout((int) answerMs);
            long written = System.nanoTime();
            HttpText.Message answer = HttpText.read(socket.getInputStream());
            if (answer == null) {
                unanswered(process, life, id, "its connection ended");
            } else if (System.nanoTime() - written > TimeUnit.MILLISECONDS.toNanos(answerMs)) {
                unanswered(process, life, id, SoakClient.NO_ANSWER + " in time");
            } else {
                fleet.findings().count(answer.status() == OK ? Count.LONG_SERVED : Count.REFUSED);
            }
        } catch (SocketTimeoutException e) {
            unanswered(process, life, id, SoakClient.NO_ANSWER + " to a long order");
        } catch (IOException e) {
            if (whole) {
                unanswered(process, life, id, "its connection broke: " + e.getMessage());
            }
        } finally {
            entry.leftNanos = System.nanoTime();
        }
    }

    private void writeInPieces(Socket socket, int length) throws IOException, InterruptedException {
        boolean slow = random.nextBoolean();
        int piece = length / BODY_PIECES;
        for (int i = 0; i < BODY_PIECES; i++) {
            socket.getOutputStream().write(new byte[i < BODY_PIECES - 1 ? piece : length - i * piece]);
            if (slow && i < BODY_PIECES - 1) {
                Thread.sleep(random.nextInt(BODY_PAUSE_MS));
            }
        }
    }

    private void unanswered(SoakProcess process, int life, String id, String how) {
        if (process.life() != life) {
            fleet.findings().count(Count.CUT_BY_KILL);
        } else {
            fleet.suspect(process, life, id, how);
        }
    }
}
