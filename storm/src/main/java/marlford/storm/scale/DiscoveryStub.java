package marlford.storm.scale;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A stand-in for discovery: one list of hosts, which may be names only. It tells the whole list at once
 * and holds watches.
 */
final class DiscoveryStub implements Closeable {
    private static final int OK = 200;
    private static final int SERVICES = 820;
    private static final int VERSION = 1000;
    private static final int HOST_PORT = 9; // nobody answers there
    private static final int HOSTS_PER_BYTE = 250;
    private static final String HOLD = "hold_ms=";

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final byte[] whole;
    private final byte[] nothing = answer(false, "");
    private final AtomicLong calls = new AtomicLong();

    /** @param hosts that are on the list as names only */
    DiscoveryStub(int hosts) throws IOException {
        this(IntStream.range(0, hosts).mapToObj(DiscoveryStub::nobody).toList());
    }

    /** @param addresses of the hosts on the list */
    DiscoveryStub(List<String> addresses) throws IOException {
        whole = answer(
                true,
                IntStream.range(0, addresses.size())
                        .mapToObj(i -> entry(i, addresses.get(i)))
                        .collect(Collectors.joining(",")));
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::tell);
        server.start();
    }

    private static byte[] answer(boolean full, String entries) {
        String text = "{\"version\":" + VERSION + ",\"full\":" + full + ",\"servers\":[" + entries + "]}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String nobody(int number) {
        return "127.1." + number / HOSTS_PER_BYTE + "." + (1 + number % HOSTS_PER_BYTE) + ":" + HOST_PORT;
    }

    /** Some 120 bytes, as an agent's entries are. */
    private static String entry(int number, String address) {
        return "{\"id\":\"h" + number + "\",\"addr\":\"" + address + "\",\"zone\":\"z" + FaultPlan.zone(number)
                + "\",\"kind\":\"service-" + number % SERVICES
                + "\",\"cell\":0,\"state\":\"ready\",\"weight\":1.0,\"started_ms\":0}";
    }

    private void tell(HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        String query = exchange.getRequestURI().toString();
        byte[] said = whole;
        if (query.contains("from=" + VERSION + "&")) {
            hold(query);
            said = nothing;
        }
        exchange.sendResponseHeaders(OK, said.length);
        exchange.getResponseBody().write(said);
        exchange.close();
    }

    /** Nothing changes, so a watch is held for as long as it may be. */
    private static void hold(String query) {
        int at = query.indexOf(HOLD);
        long ms =
                at < 0 ? 0 : Long.parseLong(query.substring(at + HOLD.length()).replaceAll("\\D.*", ""));
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    int listBytes() {
        return whole.length;
    }

    long calls() {
        return calls.get();
    }

    @Override
    public void close() {
        threads.shutdownNow();
        server.stop(0);
    }
}
