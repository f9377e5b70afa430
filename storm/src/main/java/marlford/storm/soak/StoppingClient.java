package marlford.storm.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import marlford.storm.soak.RequestLedger.Effect;
import marlford.storm.soak.SoakFindings.Count;

/** A client that stops somewhere inside a request and stays: it is owed an error or a close within 3 s. */
final class StoppingClient extends SoakVisitor {
    private static final long OWED_MS = 3000;
    private static final int PATIENCE_MS = 8000;
    private static final int PAUSE_MS = 500;
    private static final int SMALL_WINDOW = 4096;
    private static final int UNREAD = 200; // requests without an answer read
    private static final long DEADLINE_MS = SoakClient.VIEW_DEADLINE_MS;
    private static final double NANOS_PER_MS = 1e6;
    private static final String[] ERRORS = {" 400 ", " 408 ", " 413 ", " 431 "};

    /** Where it stops. */
    private enum Position {
        HEAD,
        KEPT_HEAD,
        BODY,
        CHUNK,
        LONG_BODY,
        BEHIND_ONE,
        BEHIND_TWENTY,
        BEHIND_FAULTS,
        EXPECT
    }

    StoppingClient(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException {
        stop(process, Position.values()[random.nextInt(Position.values().length)]);
    }

    @Override
    int restMs() {
        return random.nextInt(PAUSE_MS);
    }

    private void stop(SoakProcess process, Position position) throws IOException {
        int life = process.life();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(SMALL_WINDOW);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), process.port), PATIENCE_MS);
            if (position == Position.KEPT_HEAD) {
                socket.setSoTimeout(PATIENCE_MS);
                socket.getOutputStream().write(HttpText.bytes(sent(process, false)));
                if (HttpText.read(socket.getInputStream()) == null) {
                    return;
                }
            }
            socket.getOutputStream().write(HttpText.bytes(text(process, position)));
            long stopped = System.nanoTime();
            boolean ended = awaitEnd(socket);
            double took = (System.nanoTime() - stopped) / NANOS_PER_MS;
            if (process.life() != life) {
                fleet.findings().count(Count.STOPPED_CUT);
            } else if (!ended || took > OWED_MS + fleet.lateness().ms()) {
                fleet.findings()
                        .timed(
                                fleet.lateness().isMachineBusy(),
                                "stopped: " + position + " at process " + process.number + " got "
                                        + (ended ? "its end after " : "nothing in ") + Math.round(took) + " ms");
            } else {
                fleet.findings().stopped(took);
            }
        }
    }

    /** Reads until an error has come, or the connection has ended. */
    private static boolean awaitEnd(Socket socket) throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[SMALL_WINDOW];
        String seen = "";
        try {
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                seen = seen + new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
                for (String error : ERRORS) {
                    if (seen.contains("HTTP/1.1" + error) && !isOfFaults(seen, error)) {
                        return true;
                    }
                }
            }
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** The answers to bad requests are no end of what was stopped in. */
    private static boolean isOfFaults(String seen, String error) {
        return error.equals(" 400 ") && !seen.contains("lose");
    }

    private String sent(SoakProcess process, boolean order) {
        String id = nextId("s");
        fleet.ledger()
                .sent(id, order ? SoakClient.ORDER_DEADLINE_MS : DEADLINE_MS, order ? Effect.KEYED : Effect.REPEATABLE);
        return order
                ? SoakClient.order(id, SoakClient.ORDER_DEADLINE_MS, process.number)
                : SoakClient.view(id, DEADLINE_MS, process.number);
    }

    private String text(SoakProcess process, Position position) {
        String half = "GET /view/x HTTP/1.1\r\nHost: h\r\nX-Tr";
        String order = sent(process, true);
        String head = order.substring(0, order.indexOf("Content-Length"));
        return switch (position) {
            case HEAD, KEPT_HEAD -> half;
            case BODY -> head + "Content-Length: 9\r\n\r\nhalf";
            case CHUNK -> head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab";
            case LONG_BODY -> head + "Content-Length: 9000000\r\n\r\n" + "z".repeat(UNREAD * 1000);
            case BEHIND_ONE -> sent(process, false) + half;
            case BEHIND_TWENTY -> several(process, 20) + half;
            case BEHIND_FAULTS -> "GET /view/x HTTP/1.1\r\n\r\n".repeat(3) + half;
            case EXPECT -> head + "Content-Length: 9\r\nExpect: 100-continue\r\n\r\n";
        };
    }

    private String several(SoakProcess process, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(sent(process, false));
        }
        return all.toString();
    }
}
