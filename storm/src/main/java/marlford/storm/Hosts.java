package marlford.storm;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * The hosts behind the gateways, and the discovery that lists them. A host may hang, and the discovery may be away; when it
 * is back it counts its list's versions from anew, as one that was started again does, and knows of no change.
 */
final class Hosts implements Closeable {
    private static final int OK = 200;
    private static final long WORK_MS = 2;
    private static final long LOOK_MS = 5;
    private static final int VERSION_FIRST = 1000;

    private final List<HttpServer> servers = new ArrayList<>();
    private final HttpServer discovery;
    private final Set<String> seen = ConcurrentHashMap.newKeySet();
    private final Set<String> hanging = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> probes = new ConcurrentHashMap<>();
    private final AtomicInteger wholes = new AtomicInteger();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile boolean away;
    private volatile int version = VERSION_FIRST;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work, "host");
        t.setDaemon(true);
        return t;
    });

    Hosts(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String id = "h" + i;
            probes.put(id, new AtomicInteger());
            servers.add(server(x -> serve(id, x)));
        }
        discovery = server(this::list);
    }

    private HttpServer server(com.sun.net.httpserver.HttpHandler handler) throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        s.setExecutor(threads);
        s.createContext("/", handler);
        s.start();
        return s;
    }

    private void serve(String id, HttpExchange x) throws IOException {
        x.getRequestBody().readAllBytes();
        if (x.getRequestURI().getPath().equals("/healthz")) {
            probes.get(id).incrementAndGet();
        } else {
            seen.add(x.getRequestHeaders().getFirst("X-Trace-Id"));
        }
        while (hanging.contains(id)) {
            pause(LOOK_MS);
        }
        pause(WORK_MS);
        answer(x, "ok");
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A whole list at once; a watch has news only where it goes on from another numbering. */
    private void list(HttpExchange x) throws IOException {
        calls.incrementAndGet();
        int now = version;
        while (!away && x.getRequestURI().toString().contains("from=" + now + "&") && now == version) {
            pause(LOOK_MS);
        }
        if (away) {
            x.close();
            return;
        }
        wholes.incrementAndGet();
        answer(x, "{\"version\":" + version + ",\"full\":true,\"servers\":" + entries() + "}");
    }

    /** Nothing that this host is asked is answered, until it is let go. */
    void hang(String id, boolean hangs) {
        if (hangs) {
            hanging.add(id);
        } else {
            hanging.remove(id);
        }
    }

    /** Discovery closes each call without an answer, until it is back. */
    void away(boolean goes) {
        if (!goes) {
            version = version / 2;
            calls.set(0);
            wholes.set(0);
        }
        away = goes;
    }

    /** The version of the list that discovery tells now. */
    int version() {
        return version;
    }

    /** How often discovery was called, and how often it told its whole list, since it was last back. */
    int calls() {
        return calls.get();
    }

    int wholes() {
        return wholes.get();
    }

    /** How often a host was probed. */
    int probes(String id) {
        return probes.get(id).get();
    }

    private static void answer(HttpExchange x, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(OK, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    /** The list's entries, as JSON. */
    String entries() {
        return servers.stream()
                .map(
                        s -> "{\"id\":\"h" + servers.indexOf(s) + "\",\"addr\":\"" + address(s)
                                + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,\"state\":\"ready\",\"weight\":1.0,\"started_ms\":0}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static String address(HttpServer s) {
        return "127.0.0.1:" + s.getAddress().getPort();
    }

    String discovery() {
        return address(discovery);
    }

    /** Whether a request of this id came to any host. */
    boolean saw(String id) {
        return seen.contains(id);
    }

    /** What a gateway is told at its start. */
    String settings(String name, int ordinal, int gateways, int port, int console) {
        Map<String, String> values = Map.of(
                "NAME",
                name,
                "ORDINAL",
                Integer.toString(ordinal),
                "ALL",
                Integer.toString(gateways),
                "PORT",
                Integer.toString(port),
                "CONSOLE",
                Integer.toString(console),
                "DISCOVERY",
                discovery(),
                "HOSTS",
                entries());
        String text = """
                {"name": "NAME", "console": "127.0.0.1:CONSOLE", "listen": "127.0.0.1:PORT", "discovery": "DISCOVERY",
                 "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "known": {"version": 0, "full": true, "servers": HOSTS},
                 "settings": {"ordinal": ORDINAL, "balancers": ALL, "az": "a",
                  "limits": {"max_attempts": 3, "cancel": true, "probes": true, "peer_messages": false, "retry_after": true,
                   "max_retry_after_ms": 500, "connect_timeout_ms": 1000},
                  "rules": {"warm_within_ms": 1000, "cold_from": 0.2, "fall_multiple": 2},
                  "specifics": {"max_units": 4, "mail_per_s": 40},
                  "classes": [{"name": "view", "effect": "repeatable", "goal_time_ms": 2000, "hard_limit_ms": 4000}],
                  "plans": [{"name": "free", "units_per_s": 1000000, "depth": 1000000}]}}
                """;
        for (Map.Entry<String, String> v : values.entrySet()) {
            text = text.replace(v.getKey(), v.getValue());
        }
        return text;
    }

    @Override
    public void close() {
        threads.shutdownNow();
        servers.forEach(s -> s.stop(0));
        discovery.stop(0);
    }
}
