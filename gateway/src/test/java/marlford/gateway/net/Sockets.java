package marlford.gateway.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
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
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.Events;

/** The other ends of a node's sockets, on ports that the system chooses. */
final class Sockets {
    static final int PATIENCE_MS = 30_000; // how long a test waits for what must come

    private Sockets() { }

    /** An HTTP message as it came over a socket; {@code whole} is false where the connection ended inside it. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(java.util.Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** The next message, or null where the connection ends before or inside it. */
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

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] ok(String body) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** What a server does with a request; it may keep the socket, write to it or close it. */
    interface Answer {
        void to(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /** A server that notes what it is asked and answers by script. */
    static final class Server implements Closeable {
        final List<Message> asked = new CopyOnWriteArrayList<>();
        final BlockingQueue<Message> arrivals = new LinkedBlockingQueue<>();
        final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>(); // connections that the other side ended
        private final ServerSocket listener;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final Answer answer;

        Server(Answer answer) throws IOException {
            this.answer = answer;
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            thread(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private static void thread(Runnable work) {
            Thread t = new Thread(work);
            t.setDaemon(true);
            t.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket s = listener.accept();
                    sockets.add(s);
                    thread(() -> serve(s));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket s) {
            try {
                for (Message m = read(s.getInputStream()); m != null; m = read(s.getInputStream())) {
                    asked.add(m);
                    arrivals.add(m);
                    answer.to(m, s);
                }
            } catch (IOException | InterruptedException e) {
                // ended either way
            }
            ended.add(s);
        }

        Message next() throws InterruptedException {
            return arrivals.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    /** Discovery: one list, and watches that hold until a further answer is put in. */
    static final class Registry implements Closeable {
        final BlockingQueue<String> news = new LinkedBlockingQueue<>();
        final Server server;
        volatile String whole;

        Registry(String whole) throws IOException {
            this.whole = whole;
            server = new Server((m, s) -> {
                String body = m.start().contains("from=") ? news.take() : this.whole;
                s.getOutputStream().write(ok(body));
            });
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    static String list(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    static String entry(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket;

        Client(Node node) throws IOException {
            this(new Socket(InetAddress.getLoopbackAddress(), node.port()));
        }

        Client(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(PATIENCE_MS);
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

    static String view(String id, int expiresMs) {
        return "GET /view/" + id + "?z=3 HTTP/1.1\r\nHost: h\r\n" + headers(id, expiresMs) + "\r\n";
    }

    static String order(String id, String body) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers(id, PATIENCE_MS) + "Idempotency-Key: key-" + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String headers(String id, int expiresMs) {
        return "X-Trace-Id: " + id + "\r\nX-Plan: free\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: "
                + expiresMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n";
    }

    /** A node's configuration with one class that is safe to repeat and one keyed. */
    static String config(String discovery, String peerListen, String... peers) {
        List<String> quoted = new ArrayList<>();
        for (String p : peers) {
            quoted.add('"' + p + '"');
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
                """.formatted(discovery, peerListen, String.join(",", quoted), Math.max(1, peers.length));
    }

    static Node node(String config) throws IOException {
        return node(config, DecisionEngine::new);
    }

    static Node node(String config, Function<Actions, Events> module) throws IOException {
        Node node = unstarted(config, module);
        node.start();
        return node;
    }

    static Node unstarted(String config) throws IOException {
        return unstarted(config, DecisionEngine::new);
    }

    private static Node unstarted(String config, Function<Actions, Events> module) throws IOException {
        return new Node(NodeConfig.of(new ObjectMapper().readTree(config)), module);
    }

    /** Returns once it is so; a test that waits too long fails and says for what. */
    static void await(Callable<Boolean> so, String what) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!so.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("waited in vain: " + what);
            }
            Thread.sleep(5);
        }
    }
}
