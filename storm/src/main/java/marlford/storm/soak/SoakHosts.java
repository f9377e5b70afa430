package marlford.storm.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Hosts that hang, reset, answer late or drain when told to, and hold each attempt against what its client knows. */
final class SoakHosts implements Closeable {
    static final long DRAIN_GRACE_MS = 2000;
    /** Path of requests with a long answer, behind the class. */
    static final String LONG = "long-";

    /** Path of requests that a host works on for longer than on others. */
    static final String WORK = "work-";

    static final long WORK_MS = 500;

    /** Path of requests with a long answer, behind the class, and the number of its bytes behind it. */
    static final String SIZED = "sized-";

    /** The same with an answer of unknown length, in chunks or up to the end of its connection, written with pauses. */
    static final String LUMPS_CHUNKED = "lumps-c-";

    static final String LUMPS_UNBOUNDED = "lumps-e-";
    static final int LUMPS_BYTES = 160_000;
    static final double KEY_WINDOW_MS = 1500;
    private static final long DROP_MS = 30;
    private static final long NEWS_MS = 6000; // the longest that a list may take
    private static final int BACKLOG = 64;
    private static final int QUEUE_FULL_MS = 50; // a connect that takes longer finds the accept queue full
    static final int LONG_BYTES = 6_000_000; // more than the sockets on the way hold
    private static final int ZONES = 2;
    private static final int INPUT_BYTES = 64 * 1024;
    private static final long SLOW_READ_MS = 20; // for each piece of input of a slow host
    private static final long SLOW_BODY_MS = 500; // in which a slow host reads the longest body of a client that leaves
    private static final long SLACK_MS = 50; // of each time limit, by the protocol
    private static final long DEADLINE_SLACK_MS = 150;
    private static final long LEFT_MS = 100;
    private static final long LONGEST_WORK_MS = 40;
    private static final long SLOW_MS = 400;
    private static final long LOOK_MS = 5;
    private static final double NANOS_PER_MS = 1e6;

    /** One host. */
    final class Host implements Closeable {
        final String id;
        final String zone;
        volatile HostMood mood = HostMood.WELL;
        volatile boolean draining;
        volatile long drainingNanos; // since the list says so
        volatile long startedMs; // wall clock time as the list tells it; 0 for long ago
        private final ServerSocket listener;
        private final Random random;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final Map<Socket, RequestLedger.Entry> latest =
                new ConcurrentHashMap<>(); // its answer may still be on the way
        private final List<Socket> queued = new ArrayList<>(); // that fill its accept queue
        private volatile boolean ended;
        private volatile boolean listed = true;
        private volatile long droppingUntilNanos = System.nanoTime();

        Host(String id, String zone, ServerSocket listener, long seed) {
            this.id = id;
            this.zone = zone;
            this.listener = listener;
            this.random = new Random(seed);
            Threads.start("host", this::accept);
        }

        /** Its process ends at once: connections are reset, and what it works on fails. */
        void end() throws IOException {
            ended = true;
            close();
            for (Socket socket : sockets) {
                reset(socket);
            }
        }

        /** Accepts no connection from now on until {@link #acceptAgain}, and resets those that it has. */
        void acceptLate() throws IOException {
            mood = HostMood.ACCEPTS_LATE;
            for (int i = 0; i <= 2 * BACKLOG; i++) {
                Socket waiting = new Socket();
                queued.add(waiting);
                try {
                    waiting.connect(listener.getLocalSocketAddress(), QUEUE_FULL_MS);
                } catch (IOException e) {
                    break; // full
                }
            }
            for (Socket socket : sockets) {
                reset(socket);
            }
        }

        void acceptAgain() throws IOException {
            for (Socket waiting : queued) {
                waiting.close();
            }
            queued.clear();
            droppingUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DROP_MS);
            mood = HostMood.WELL;
        }

        private void reset(Socket socket) throws IOException {
            RequestLedger.Entry entry = latest.get(socket);
            if (entry != null) {
                entry.hostFailed = true;
            }
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (SocketException e) {
                return; // closed already
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    if (System.nanoTime() < droppingUntilNanos) {
                        reset(socket); // it came up ahead of the others, and what it brought is older than it seems
                        continue;
                    }
                    sockets.add(socket);
                    Threads.start("host", () -> serve(socket));
                    awaitAccepting();
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void awaitAccepting() throws IOException {
            while (mood == HostMood.ACCEPTS_LATE) {
                Threads.pause(LOOK_MS);
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(new SlowInput(socket.getInputStream()), INPUT_BYTES);
                for (HttpText.Message m = HttpText.read(in); m != null; m = HttpText.read(in)) {
                    String id = m.header("X-Trace-Id");
                    if (id != null && ledger.of(id) != null) {
                        latest.put(socket, ledger.of(id));
                    }
                    if (id != null) {
                        judge(id, m);
                    }
                    if (!answer(socket, m)) {
                        return;
                    }
                }
            } catch (IOException | InterruptedException e) {
                // ended either way
            } finally {
                sockets.remove(socket);
                latest.remove(socket);
            }
        }

        /** Input that a slow host takes its time to read. */
        private final class SlowInput extends FilterInputStream {
            SlowInput(InputStream in) {
                super(in);
            }

            @Override
            public int read(byte[] buffer, int offset, int length) throws IOException {
                if (mood == HostMood.SLOW) {
                    Threads.pause(SLOW_READ_MS);
                }
                return super.read(buffer, offset, length);
            }
        }

        private boolean answer(Socket socket, HttpText.Message request) throws IOException, InterruptedException {
            while (mood == HostMood.HANGS && !ended) {
                Thread.sleep(LOOK_MS);
            }
            Thread.sleep(mood == HostMood.SLOW ? SLOW_MS : random.nextLong(LONGEST_WORK_MS));
            String id = request.header("X-Trace-Id"); // probes have none
            RequestLedger.Entry entry = id == null ? null : ledger.of(id);
            boolean fails =
                    mood == HostMood.RESETS || mood == HostMood.CUTS_ANSWERS || mood == HostMood.ACCEPTS_LATE || ended;
            if (entry != null && fails) {
                entry.hostFailed = true;
            }
            if (mood == HostMood.RESETS) {
                socket.setSoLinger(true, 0);
                return false;
            }
            if (mood == HostMood.CUTS_ANSWERS) {
                socket.getOutputStream().write(HttpText.bytes("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"));
                return false;
            }
            return answerInForm(socket, request, entry);
        }

        /** Gives the answer that the request's path asks for; returns whether the connection may carry another one. */
        private boolean answerInForm(Socket socket, HttpText.Message request, RequestLedger.Entry entry)
                throws IOException, InterruptedException {
            if (request.start().contains("/" + WORK)) {
                Thread.sleep(WORK_MS);
            }
            EndlessAnswer endless = EndlessAnswer.askedFor(request.start());
            if (endless != null) {
                endless.give(socket.getOutputStream(), random);
            }
            if (request.start().contains("/" + LONG)) {
                LongAnswer.writeLongest(socket.getOutputStream(), () -> mood == HostMood.SLOW ? SLOW_MS : 0);
            } else if (request.start().contains("/" + SIZED)) {
                LongAnswer.writeAsLast(socket, LongAnswer.sizeOf(request.start()));
                entry.answerTaken = true;
                return false;
            } else if (request.start().contains("/" + LUMPS_CHUNKED)) {
                answerInLumps(socket, entry, true);
            } else if (request.start().contains("/" + LUMPS_UNBOUNDED)) {
                answerInLumps(socket, entry, false);
                return false;
            } else {
                socket.getOutputStream().write(HttpText.bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
            }
            return true;
        }

        private void answerInLumps(Socket socket, RequestLedger.Entry entry, boolean chunked) throws IOException {
            OutputStream out = socket.getOutputStream();
            try {
                LongAnswer.writeLumps(out, chunked);
            } catch (IOException e) {
                entry.hostFailed |= ended || mood == HostMood.ACCEPTS_LATE;
                throw e;
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
            double readMs = entry.bodyOnTheWay && mood == HostMood.SLOW ? SLOW_BODY_MS : 0;
            if (entry.leftNanos != 0 && since > LEFT_MS + SLACK_MS + readMs + lateness.ms()) {
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
            judgeRepeat(request, entry, now);
        }

        private void judgeRepeat(String request, RequestLedger.Entry entry, long now) {
            double windowMs = KEY_WINDOW_MS + SLACK_MS + DEADLINE_SLACK_MS + lateness.ms();
            RequestLedger.Finding finding = entry.arrived(zone, listed, now, windowMs);
            String what = "duplicate: " + request + " at " + id + ": " + finding;
            if (finding == RequestLedger.Finding.AFTER_ITS_WINDOW) {
                findings.timed(lateness.isMachineBusy(), what);
            } else if (finding == RequestLedger.Finding.RAN_IN_TWO_ZONES && entry.ranUnlisted()) {
                repeatsAtUnlisted.add(request);
            } else if (finding != RequestLedger.Finding.NONE) {
                findings.broken(what);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private final RequestLedger ledger;
    private final SoakFindings findings;
    private final Lateness lateness;
    private final List<Host> hosts = new CopyOnWriteArrayList<>();
    /** Ids of orders that ran in two zones, one of them that of a host that was not listed yet. */
    private final Set<String> repeatsAtUnlisted = ConcurrentHashMap.newKeySet();

    private int started; // hosts that took the place of others

    SoakHosts(int count, long seed, RequestLedger ledger, SoakFindings findings, Lateness lateness) throws IOException {
        this.ledger = ledger;
        this.findings = findings;
        this.lateness = lateness;
        for (int i = 0; i < count; i++) {
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            hosts.add(new Host("h" + i, zone(i), listener, seed + i));
        }
    }

    private static String zone(int number) {
        return "z" + number % ZONES;
    }

    /** The process of a host ends, and one of another zone comes up at its address; the list still names the old one. */
    synchronized Host replace(Host old) throws IOException {
        int port = old.listener.getLocalPort();
        old.end();
        started++;
        String zone = zone(Integer.parseInt(old.zone.substring(1)) + 1);
        Host fresh = new Host("r" + started, zone, listen(port), started);
        fresh.listed = false;
        return fresh;
    }

    /** The closed listener gives its address free only once its thread has noticed. */
    private static ServerSocket listen(int port) throws IOException {
        while (true) {
            try {
                return new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
            } catch (BindException e) {
                Threads.pause(LOOK_MS);
            }
        }
    }

    /** The news takes its time to each gateway. */
    private static void listLater(Host fresh) {
        try {
            Thread.sleep(NEWS_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        fresh.listed = true;
    }

    /** From now on the list names the new host in place of the old one. */
    synchronized void list(Host old, Host fresh) {
        hosts.set(hosts.indexOf(old), fresh);
        Threads.start("listed", () -> listLater(fresh));
    }

    /** From now on the list names the new host too, ahead of the old one or behind it. */
    synchronized void listBeside(Host old, Host fresh, boolean ahead) {
        hosts.add(hosts.indexOf(old) + (ahead ? 0 : 1), fresh);
        Threads.start("listed", () -> listLater(fresh));
    }

    /** From now on the list names the old host no more. */
    synchronized void unlist(Host old) {
        hosts.remove(old);
    }

    /** Removes and returns the ids of orders that ran in two zones, one of them that of a host that was not listed yet. */
    Set<String> takeRepeatsAtUnlisted() {
        Set<String> taken = Set.copyOf(repeatsAtUnlisted);
        repeatsAtUnlisted.removeAll(taken);
        return taken;
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
