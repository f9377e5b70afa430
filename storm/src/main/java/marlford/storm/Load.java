package marlford.storm;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Clients: each asks its gateway at a steady pace, over a connection that it keeps, and the next one where that fails. */
final class Load {
    /** How many customers ask. */
    static final int CUSTOMERS = 20;

    private static final int PATIENCE_MS = 4000;
    private static final int CONNECT_MS = 500;
    private static final double NANOS_PER_MS = 1e6;
    private static final long NANOS_PER_S = 1_000_000_000L;

    /** How requests ended. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        CUT_OFF,
        NEVER,
        NO_GATEWAY
    }

    /** A request that was sent. */
    record Sent(String id, long customer, int units, long at, double tookMs, End end) {}

    private final List<Integer> ports;
    private final double perSecond;
    private final String prefix;
    private final List<Thread> clients = new ArrayList<>();
    private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    private final AtomicLong next = new AtomicLong();
    private volatile boolean over;

    /** @param prefix of the requests' names, which must differ from any other load's */
    Load(List<Integer> ports, int clients, double perSecond, String prefix) {
        this.ports = ports;
        this.perSecond = perSecond / clients;
        this.prefix = prefix;
        for (int i = 0; i < clients; i++) {
            int first = i;
            Thread t = new Thread(() -> ask(first), "client");
            t.setDaemon(true);
            this.clients.add(t);
        }
    }

    void start() {
        clients.forEach(Thread::start);
    }

    /** Ends it, once what is under way has ended. */
    List<Sent> stop() throws InterruptedException {
        over = true;
        for (Thread t : clients) {
            t.join();
        }
        return new ArrayList<>(sent);
    }

    private void ask(int first) {
        int at = first;
        long due = System.nanoTime() + (long) (first * NANOS_PER_S / perSecond / clients.size());
        Socket socket = null;
        InputStream in = null;
        while (!over) {
            LockSupport.parkNanos(due - System.nanoTime());
            due += (long) (NANOS_PER_S / perSecond);
            long n = next.incrementAndGet();
            String id = prefix + n;
            int units = 1 + (int) (n % 3);
            long began = System.nanoTime();
            End end = End.NO_GATEWAY;
            for (int tries = 0; socket == null && tries < ports.size(); tries++, at++) {
                socket = connect(ports.get(at % ports.size()));
            }
            if (socket != null) {
                try {
                    in = in == null ? new BufferedInputStream(socket.getInputStream()) : in;
                    socket.getOutputStream().write(request(id, n % CUSTOMERS, units));
                    end = read(in);
                } catch (SocketTimeoutException e) {
                    end = End.NEVER;
                } catch (IOException e) {
                    end = End.CUT_OFF;
                }
                if (end == End.CUT_OFF || end == End.NEVER) {
                    close(socket);
                    socket = null;
                    in = null;
                    at++;
                }
            }
            sent.add(new Sent(id, n % CUSTOMERS, units, began, (System.nanoTime() - began) / NANOS_PER_MS, end));
        }
        close(socket);
    }

    private static void close(Socket s) {
        try {
            if (s != null) {
                s.close();
            }
        } catch (IOException e) {
            // it is over either way
        }
    }

    private static Socket connect(int port) {
        Socket s = new Socket();
        try {
            s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
            s.setSoTimeout(PATIENCE_MS);
            s.setTcpNoDelay(true);
            return s;
        } catch (IOException e) {
            close(s);
            return null;
        }
    }

    private byte[] request(String id, long customer, int units) {
        return ("GET /view/" + id + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id + "\r\nX-Plan: free\r\nX-Customer: "
                        + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: 2000\r\nX-Quota: units=" + units
                        + ",spread=" + ports.size() + ",first=0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** The end that an answer tells. */
    private static End read(InputStream in) throws IOException {
        String status = line(in);
        if (status == null) {
            return End.CUT_OFF;
        }
        int length = 0;
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            if (l.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(l.substring(l.indexOf(':') + 1).trim());
            }
        }
        if (in.readNBytes(length).length < length) {
            return End.CUT_OFF;
        }
        return status.contains(" 200")
                ? End.SERVED
                : status.contains(" 429") || status.contains(" 503") ? End.REFUSED : End.FAILED;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder l = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return l.toString().stripTrailing();
            }
            l.append((char) b);
        }
        return null;
    }

    /** How many ended how. */
    static Map<End, Long> ends(List<Sent> sent) {
        Map<End, Long> ends = new TreeMap<>();
        sent.forEach(s -> ends.merge(s.end(), 1L, Long::sum));
        return ends;
    }
}
