package marlford.storm.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Random;
import marlford.storm.soak.RequestLedger.Effect;
import marlford.storm.soak.SoakFindings.Count;

/** A client that asks one thing at a time over a connection that it keeps, until the gateway ends it; some leave early. */
final class SoakClient implements Runnable {
    static final String NO_ANSWER = "no answer";
    static final String CUSTOMER = "00000000b4d65521";
    static final long VIEW_DEADLINE_MS = 1500;
    static final long ORDER_DEADLINE_MS = 2500;
    static final long ANSWER_SLACK_MS = 550; // an answer this late still is one: half a second, and 50 ms of each limit
    private static final int CONNECT_MS = 2000;
    private static final int THINK_MS = 250;
    private static final int REST_MS = 3000;
    private static final int REST_ONE_IN = 40;
    private static final int LEAVE_ONE_IN = 25;
    private static final long IDLE_MS = 50;

    private final SoakFleet fleet;
    private final int number;
    private final Random random;
    private int asked;

    SoakClient(SoakFleet fleet, int number, long seed) {
        this.fleet = fleet;
        this.number = number;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        while (fleet.plays()) {
            SoakProcess process = fleet.anyUp(random);
            try {
                if (process == null) {
                    Thread.sleep(IDLE_MS);
                } else {
                    stay(process);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Asks over one connection for as long as it stays open. */
    private void stay(SoakProcess process) throws InterruptedException {
        int life = process.life();
        try (Socket socket = connect(process)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            while (open && fleet.plays()) {
                open = ask(process, life, socket, in);
                boolean rests = random.nextInt(REST_ONE_IN) == 0;
                Thread.sleep(random.nextInt(rests ? REST_MS : THINK_MS));
            }
        } catch (IOException e) {
            Thread.sleep(IDLE_MS); // it could not be made, or ended
        }
    }

    static Socket connect(SoakProcess process) throws IOException {
        return connect(process, 0);
    }

    /** Connects with a receive buffer of this size; 0 for the usual one. */
    static Socket connect(SoakProcess process, int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), process.port), CONNECT_MS);
        return socket;
    }

    /** One request and its end; whether the connection may carry another. */
    private boolean ask(SoakProcess process, int life, Socket socket, InputStream in) throws IOException {
        boolean order = random.nextInt(4) == 0;
        long deadline = order ? ORDER_DEADLINE_MS : VIEW_DEADLINE_MS;
        String id = "c" + number + "-" + ++asked;
        String text = order ? order(id, deadline, process.number) : view(id, deadline, process.number);
        RequestLedger.Entry entry = fleet.ledger().sent(id, deadline, order ? Effect.KEYED : Effect.REPEATABLE);
        try {
            socket.getOutputStream().write(HttpText.bytes(text));
            if (random.nextInt(LEAVE_ONE_IN) == 0) {
                Thread.sleep(random.nextInt(THINK_MS));
                socket.close();
                entry.leftNanos = System.nanoTime();
                return false;
            }
            socket.setSoTimeout(
                    (int) (deadline + ANSWER_SLACK_MS + fleet.lateness().ms()));
            HttpText.Message answer = HttpText.read(in);
            if (answer != null) {
                count(answer.status());
                return !"close".equals(answer.header("Connection"));
            }
            unanswered(process, life, id, "its connection ended");
        } catch (SocketTimeoutException e) {
            unanswered(process, life, id, NO_ANSWER + " within " + (deadline + ANSWER_SLACK_MS) + " ms");
        } catch (IOException e) {
            unanswered(process, life, id, "its connection broke: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        entry.leftNanos = System.nanoTime();
        return false;
    }

    private void count(int status) {
        boolean refused = status == 429 || status == 503;
        fleet.findings().count(status == 200 ? Count.SERVED : refused ? Count.REFUSED : Count.FAILED);
    }

    /** A request that the process has read is lost, unless it was killed. */
    private void unanswered(SoakProcess process, int life, String id, String how) throws IOException {
        if (process.life() != life) {
            fleet.findings().count(Count.CUT_BY_KILL);
        } else {
            fleet.suspect(process, life, id, how);
        }
    }

    static String view(String id, long deadlineMs, int process) {
        return "GET /view/" + id + " HTTP/1.1\r\nHost: h\r\n" + headers(id, deadlineMs, process) + "\r\n";
    }

    static String order(String id, long deadlineMs, int process) {
        return "POST /order/" + id + " HTTP/1.1\r\nHost: h\r\n" + headers(id, deadlineMs, process)
                + "Idempotency-Key: k" + id + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    private static String headers(String id, long deadlineMs, int process) {
        return "X-Trace-Id: " + id + "\r\nX-Plan: free\r\nX-Customer: " + CUSTOMER + "\r\nX-Expires-In-Ms: "
                + deadlineMs + "\r\nX-Quota: units=1,spread=1,first=" + process + "\r\n";
    }
}
