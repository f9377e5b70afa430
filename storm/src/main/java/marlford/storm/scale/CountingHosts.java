package marlford.storm.scale;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-ins for hosts. They note which requests came to any of them, and when; of each its first attempt alone. */
final class CountingHosts implements Closeable {
    private static final int OK = 200;
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.US_ASCII);
    private static final String TRACE_ID = "X-Trace-Id";

    /** A request's first attempt that came whole to a host. */
    record Arrival(long nanos, String id) {}

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "host");
        thread.setDaemon(true);
        return thread;
    });
    private final List<HttpServer> servers = new ArrayList<>();
    private final Set<String> seen = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    CountingHosts(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.setExecutor(threads);
            server.createContext("/", this::serve);
            server.start();
            servers.add(server);
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        long now = System.nanoTime();
        String id = exchange.getRequestHeaders().getFirst(TRACE_ID);
        if (id != null && seen.add(id)) { // a probe has none
            arrivals.add(new Arrival(now, id));
        }
        exchange.sendResponseHeaders(OK, BODY.length);
        exchange.getResponseBody().write(BODY);
        exchange.close();
    }

    List<String> addresses() {
        return servers.stream()
                .map(server -> "127.0.0.1:" + server.getAddress().getPort())
                .toList();
    }

    /** All up to now, by time. */
    List<Arrival> arrivals() {
        return arrivals.stream()
                .sorted(Comparator.comparingLong(Arrival::nanos))
                .toList();
    }

    @Override
    public void close() {
        threads.shutdownNow();
        servers.forEach(server -> server.stop(0));
    }
}
