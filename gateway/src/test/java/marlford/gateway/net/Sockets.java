package marlford.gateway.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.Events;

/**
 * Test doubles for the peers of a node (hosts, discovery agent, clients) and helpers to build nodes. All ports are
 * chosen by the system.
 */
final class Sockets {
    static final int TIMEOUT_MS = 30_000; // longest wait for an event that must occur; also the time of requests that must not expire

    static final String CUSTOMER = "00000000b4d65521"; // of the requests that the helpers build

    private Sockets() { }

    /** An HTTP message as received: its start line, its headers under lower-case names, and its body. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(java.util.Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads the next message; returns null where the connection ends before or inside it. */
    static Message read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Message(lines[0], headers, body);
    }

    /** Reads a head up to its empty line; fails if it is not whole. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("no whole head: " + head);
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Returns the length of a body; fails if it is not whole. */
    static int readBody(String head, InputStream in) throws IOException {
        if (!head.contains("chunked")) {
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            return in.readNBytes(length).length;
        }
        int total = 0;
        while (true) {
            String line = readLine(in);
            int length = Integer.parseInt(line, 16);
            if (in.readNBytes(length).length < length) {
                throw new EOFException("cut within a chunk");
            }
            readLine(in);
            if (length == 0) {
                return total;
            }
            total += length;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("cut within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A 200 response with this body, as bytes on the wire. */
    static byte[] ok(String body) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** A body of zero bytes in chunks, with the last one, as bytes on the wire. */
    static byte[] chunked(int bodyBytes, int chunkBytes) {
        ByteArrayOutputStream chunks = new ByteArrayOutputStream();
        for (int sent = 0; sent < bodyBytes; sent += chunkBytes) {
            int length = Math.min(chunkBytes, bodyBytes - sent);
            chunks.writeBytes(bytes(Integer.toHexString(length) + "\r\n"));
            chunks.writeBytes(new byte[length]);
            chunks.writeBytes(bytes("\r\n"));
        }
        chunks.writeBytes(bytes("0\r\n\r\n"));
        return chunks.toByteArray();
    }

    /** Handles a request that a server received; it may keep the socket open, write to it or close it. */
    interface RequestHandler {
        void handle(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /**
     * A server that records the requests it receives and passes each to a handler, with one daemon thread per
     * connection.
     */
    static final class RecordingServer implements Closeable {
        final List<Message> requests = new CopyOnWriteArrayList<>();
        final BlockingQueue<Message> arrivals = new LinkedBlockingQueue<>();
        // connections that are no longer served, normally because the peer closed them
        final BlockingQueue<Socket> endedConnections = new LinkedBlockingQueue<>();
        private final ServerSocket listener;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final RequestHandler handler;

        RecordingServer(RequestHandler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            startDaemonThread(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private static void startDaemonThread(Runnable work) {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket s = listener.accept();
                    sockets.add(s);
                    startDaemonThread(() -> serve(s));
                }
            } catch (IOException e) {
                // the listener was closed
            }
        }

        private void serve(Socket s) {
            try {
                for (Message m = read(s.getInputStream()); m != null; m = read(s.getInputStream())) {
                    requests.add(m);
                    arrivals.add(m);
                    handler.handle(m, s);
                }
            } catch (IOException | InterruptedException e) {
                // the connection was closed or the handler was interrupted
            }
            endedConnections.add(s);
        }

        /** Waits for the next request; returns null when the test timeout expires. */
        Message next() throws InterruptedException {
            return arrivals.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    /**
     * A discovery agent with one full host list. A watch, which is a request with {@code from=}, is answered when a test
     * queues an update.
     */
    static final class DiscoveryAgent implements Closeable {
        final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
        final RecordingServer server;
        volatile String fullList;

        DiscoveryAgent(String fullList) throws IOException {
            this.fullList = fullList;
            server = new RecordingServer((m, s) -> {
                String body = m.startLine().contains("from=") ? updates.take() : this.fullList;
                s.getOutputStream().write(ok(body));
            });
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A discovery response: the full host list, or the changes since an earlier version. */
    static String list(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** One host of a discovery response. */
    static String entry(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** Hosts of a discovery response that are several names of one, so that requests that are held there leave others a slot. */
    static String[] entries(int count, String address) {
        return IntStream.range(0, count).mapToObj(i -> entry("h" + i, address, "ready")).toArray(String[]::new);
    }

    /** A client connection whose reads time out after the test timeout. */
    static final class Client implements Closeable {
        final Socket socket;

        Client(Node node) throws IOException {
            this(new Socket(InetAddress.getLoopbackAddress(), node.port()));
        }

        Client(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_MS);
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(bytes(text));
            return this;
        }

        Message receive() throws IOException {
            return read(socket.getInputStream());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A GET request of the class {@code view}, which is safe to repeat. */
    static String view(String id, int expiresMs) {
        return "GET /view/" + id + "?z=3 HTTP/1.1\r\nHost: h\r\n" + headers(id, expiresMs) + "\r\n";
    }

    /** A POST request of the class {@code order}, with an idempotency key. */
    static String order(String id, String body) {
        return orderHead(id, TIMEOUT_MS, "Content-Length: " + body.length()) + body;
    }

    /**
     * The head of a POST request of the class {@code order}, with an idempotency key.
     *
     * @param framing the header that tells the length of the body
     */
    static String orderHead(String id, int expiresMs, String framing) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers(id, expiresMs) + "Idempotency-Key: key-" + id + "\r\n" + framing
                + "\r\n\r\n";
    }

    /** A POST request of the class {@code order} whose body has chunks of this length. */
    static byte[] chunkedOrder(String id, int expiresMs, int bodyBytes, int chunkBytes) {
        ByteArrayOutputStream order = new ByteArrayOutputStream();
        order.writeBytes(bytes(orderHead(id, expiresMs, "Transfer-Encoding: chunked")));
        order.writeBytes(chunked(bodyBytes, chunkBytes));
        return order.toByteArray();
    }

    /** The gateway's request headers: trace id, plan, customer, remaining time and quota. */
    static String headers(String id, int expiresMs) {
        return "X-Trace-Id: " + id + "\r\nX-Plan: free\r\nX-Customer: " + CUSTOMER + "\r\nX-Expires-In-Ms: "
                + expiresMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n";
    }

    /**
     * Gateway configuration with a class that is safe to repeat ({@code view}), a keyed class ({@code order}) and the
     * plans {@code free} and {@code tiny}; the peers are addresses of the form host:port.
     */
    static String config(String discovery, String peerListen, String... peers) {
        List<String> quotedPeers = new ArrayList<>();
        for (String p : peers) {
            quotedPeers.add('"' + p + '"');
        }
        return """
                {"name": "n0", "console": "127.0.0.1:0", "listen": "127.0.0.1:0", "discovery": "%s", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "peer_listen": "%s", "peers": [%s], "known": {"version": 0, "full": true, "servers": []},
                 "settings": {"ordinal": 0, "balancers": %d, "az": "a",
                  "limits": {"max_attempts": 3, "cancel": true, "peer_messages": true, "retry_after": true,
                   "max_retry_after_ms": 500, "connect_timeout_ms": 5000},
                  "rules": {"warm_within_ms": 1000, "cold_from": 0.2, "fall_multiple": 2},
                  "specifics": {"max_units": 4, "mail_per_s": 40},
                  "classes": [{"name": "view", "effect": "repeatable", "goal_time_ms": 20000, "hard_limit_ms": 60000},
                   {"name": "order", "effect": "by_key", "key_scope": "zone", "window_ms": 60000,
                    "goal_time_ms": 20000, "hard_limit_ms": 60000}],
                  "plans": [{"name": "free", "units_per_s": 100000, "depth": 100000},
                   {"name": "tiny", "units_per_s": 0.001, "depth": 1}]}}
                """.formatted(discovery, peerListen, String.join(",", quotedPeers), Math.max(1, peers.length));
    }

    /** A started node with the real decision engine. */
    static Node startNode(String config) throws IOException {
        return startNode(config, DecisionEngine::new);
    }

    static Node startNode(String config, Function<Actions, Events> engineFactory) throws IOException {
        Node node = createNode(config, engineFactory);
        node.start();
        return node;
    }

    /** A node with the real decision engine that the test starts by itself. */
    static Node createNode(String config) throws IOException {
        return createNode(config, DecisionEngine::new);
    }

    private static Node createNode(String config, Function<Actions, Events> engineFactory) throws IOException {
        return new Node(NodeConfig.of(new ObjectMapper().readTree(config)), engineFactory);
    }

    /** Polls until the condition holds; fails with the description when the test timeout expires. */
    static void await(Callable<Boolean> condition, String description) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.call()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met in time: " + description);
            }
            Thread.sleep(5);
        }
    }
}
