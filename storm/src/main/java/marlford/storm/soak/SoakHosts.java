package marlford.storm.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** Hosts that hang, reset, answer late or drain when told to, and hold each attempt against what its client knows. */
final class SoakHosts implements Closeable {
    static final long DRAIN_GRACE_MS = 2000;
    /** Path of requests with a long answer, behind the class. */
    static final String LONG = "long-";

    static final int LONG_BYTES = 6_000_000; // more than the sockets on the way hold
    private static final int PIECES = 4; // of a long answer
    private static final byte[] PIECE = new byte[LONG_BYTES / PIECES];
    private static final int INPUT_BYTES = 64 * 1024;
    private static final long SLOW_READ_MS = 20; // for each piece of input of a slow host
    private static final long SLACK_MS = 50; // of each time limit, by the protocol
    private static final long DEADLINE_SLACK_MS = 150;
    private static final long LEFT_MS = 100;
    private static final long LONGEST_WORK_MS = 40;
    private static final long SLOW_MS = 400;
    private static final long LOOK_MS = 5;
    private static final double NANOS_PER_MS = 1e6;

    /** What a host does with whoever asks it. */
    enum Mood {
        WELL,
        HANGS,
        SLOW,
        RESETS,
        CUTS_ANSWERS
    }

    /** One host. */
    final class Host implements Closeable {
        final String id;
        final String zone;
        volatile Mood mood = Mood.WELL;
        volatile boolean draining;
        volatile long drainingNanos; // since the list says so
        private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        private final Random random;

        Host(String id, String zone, long seed) throws IOException {
            this.id = id;
            this.zone = zone;
            this.random = new Random(seed);
            Threads.start("host", this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    Threads.start("host", () -> serve(socket));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(new SlowInput(socket.getInputStream()), INPUT_BYTES);
                for (HttpText.Message m = HttpText.read(in); m != null; m = HttpText.read(in)) {
                    String id = m.header("X-Trace-Id");
                    if (id != null) {
                        judge(id, m);
                    }
                    if (!answer(socket, m)) {
                        return;
                    }
                }
            } catch (IOException | InterruptedException e) {
                // ended either way
            }
        }

        /** Input that a slow host takes its time to read. */
        private final class SlowInput extends FilterInputStream {
            SlowInput(InputStream in) {
                super(in);
            }

            @Override
            public int read(byte[] buffer, int offset, int length) throws IOException {
                if (mood == Mood.SLOW) {
                    pause(SLOW_READ_MS);
                }
                return super.read(buffer, offset, length);
            }
        }

        private boolean answer(Socket socket, HttpText.Message request) throws IOException, InterruptedException {
            while (mood == Mood.HANGS) {
                Thread.sleep(LOOK_MS);
            }
            Thread.sleep(mood == Mood.SLOW ? SLOW_MS : random.nextLong(LONGEST_WORK_MS));
            String id = request.header("X-Trace-Id"); // probes have none
            RequestLedger.Entry entry = id == null ? null : ledger.of(id);
            if (entry != null && (mood == Mood.RESETS || mood == Mood.CUTS_ANSWERS)) {
                entry.hostFailed = true;
            }
            if (mood == Mood.RESETS) {
                socket.setSoLinger(true, 0);
                return false;
            }
            if (mood == Mood.CUTS_ANSWERS) {
                socket.getOutputStream().write(HttpText.bytes("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"));
                return false;
            }
            if (request.start().contains("/" + LONG)) {
                answerAtLength(socket);
            } else {
                socket.getOutputStream().write(HttpText.bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
            }
            return true;
        }

        private void answerAtLength(Socket socket) throws IOException {
            socket.getOutputStream()
                    .write(HttpText.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n"));
            for (int i = 0; i < PIECES; i++) {
                socket.getOutputStream().write(PIECE);
                if (mood == Mood.SLOW) {
                    pause(SLOW_MS);
                }
            }
        }

        private void judge(String request, HttpText.Message m) {
            RequestLedger.Entry entry = ledger.of(request);
            if (entry == null) {
                findings.broken("host " + id + ": nobody sent " + request);
                return;
            }
            long now = System.nanoTime();
            double elapsed = entry.bodyOnTheWay ? 0 : (now - entry.sentNanos) / NANOS_PER_MS;
            double left = entry.deadlineMs - elapsed;
            long told = Long.parseLong(m.header("X-Expires-In-Ms"));
            // The attempt was written some time before it is read here, and more was left then.
            if (told > left + DEADLINE_SLACK_MS + lateness.ms() + SLACK_MS) {
                findings.timed(
                        lateness.isMachineBusy(),
                        "deadline: " + request + " told " + told + " ms, left " + Math.round(left));
            }
            double since = (now - entry.leftNanos) / NANOS_PER_MS;
            if (entry.leftNanos != 0 && since > LEFT_MS + SLACK_MS + lateness.ms()) {
                findings.timed(
                        lateness.isMachineBusy(),
                        "lost: " + request + " came " + Math.round(since) + " ms after its client had left");
            }
            double drained = (now - drainingNanos) / NANOS_PER_MS;
            if (draining && drained > DRAIN_GRACE_MS + SLACK_MS + lateness.ms()) {
                findings.timed(
                        lateness.isMachineBusy(),
                        "drain: " + request + " came to " + id + " after " + Math.round(drained) + " ms");
            }
            if (entry.runsElsewhere(zone)) {
                findings.broken("duplicate: " + request + " ran in two zones");
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private final RequestLedger ledger;
    private final SoakFindings findings;
    private final Lateness lateness;
    private final List<Host> hosts = new CopyOnWriteArrayList<>();

    SoakHosts(int count, long seed, RequestLedger ledger, SoakFindings findings, Lateness lateness) throws IOException {
        this.ledger = ledger;
        this.findings = findings;
        this.lateness = lateness;
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("h" + i, "z" + i % 2, seed + i));
        }
    }

    List<Host> all() {
        return new ArrayList<>(hosts);
    }

    @Override
    public void close() throws IOException {
        for (Host host : hosts) {
            host.close();
        }
    }
}
