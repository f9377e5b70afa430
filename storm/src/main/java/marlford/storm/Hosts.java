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
import java.util.stream.Collectors;

/** The hosts behind the gateways, and the discovery that lists them. */
final class Hosts implements Closeable {
    private static final int OK = 200;
    private static final long WORK_MS = 2;

    private final List<HttpServer> servers = new ArrayList<>();
    private final HttpServer discovery;
    private final Set<String> seen = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work, "host");
        t.setDaemon(true);
        return t;
    });

    Hosts(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            servers.add(server(this::serve));
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

    private void serve(HttpExchange x) throws IOException {
        x.getRequestBody().readAllBytes();
        seen.add(x.getRequestHeaders().getFirst("X-Trace-Id"));
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

    /** A whole list at once; a watch never has news. */
    private void list(HttpExchange x) throws IOException {
        if (x.getRequestURI().toString().contains("from=")) {
            pause(Long.MAX_VALUE);
        }
        answer(x, "{\"version\":1,\"full\":true,\"servers\":" + entries() + "}");
    }

    private static void answer(HttpExchange x, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(OK, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    /** The list's entries, as JSON. */
    String entries() {
        return servers.stream().map(s -> "{\"id\":\"h" + servers.indexOf(s) + "\",\"addr\":\"" + address(s)
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
        Map<String, String> values = Map.of("NAME", name, "ORDINAL", Integer.toString(ordinal), "ALL",
                Integer.toString(gateways), "PORT", Integer.toString(port), "CONSOLE", Integer.toString(console),
                "DISCOVERY", discovery(), "HOSTS", entries());
        String text = """
                {"name": "NAME", "console": "127.0.0.1:CONSOLE", "listen": "127.0.0.1:PORT", "discovery": "DISCOVERY",
                 "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "known": {"version": 0, "full": true, "servers": HOSTS},
                 "settings": {"ordinal": ORDINAL, "balancers": ALL, "az": "a",
                  "limits": {"max_attempts": 3, "cancel": true, "peer_messages": false, "retry_after": true,
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
