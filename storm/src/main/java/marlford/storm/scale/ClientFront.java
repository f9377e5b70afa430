package marlford.storm.scale;

import java.io.Closeable;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients and the front that deals out each customer's requests among those gateways of its set that are up, in turn. Requests
 * leave at each customer's pace, whether or not earlier ones were answered.
 */
final class ClientFront implements Closeable {
    private static final long PATIENCE_MS = 4000;
    private static final int EXPIRES_IN_MS = 1000;
    private static final int SERVED = 200;
    private static final int REFUSED = 429;
    private static final int UNAVAILABLE = 503;
    private static final int MOST_OPEN = 10_000;
    private static final double NANOS_PER_S = 1e9;
    private static final double NANOS_PER_MS = 1e6;
    private static final int MOST_UNITS = 3;
    private static final String BETWEEN = "-";

    /** What an id says of its request. */
    record Asked(int customer, int units) {
        static Asked of(String id) {
            String[] parts = id.split(BETWEEN);
            return new Asked(Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
        }
    }

    private record Due(double nanos, int customer) {}

    /** How requests ended; guarded by itself. */
    static final class Ends {
        long sent;
        long served;
        long refused;
        long failed;
        final Samples tookMs = new Samples();
    }

    private final List<LoadedCustomer> customers;
    private final int[] ports;
    private final boolean[] up;
    private final int[] turns;
    private final Random random;
    private final Ends ends = new Ends();
    private final Semaphore open = new Semaphore(MOST_OPEN);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Thread pace = new Thread(this::run, "clients");
    private volatile boolean over;

    /** @param ports of the gateways, by number; all are taken to be up */
    ClientFront(List<LoadedCustomer> customers, int[] ports, long seed) {
        this.customers = customers;
        this.ports = ports.clone();
        up = new boolean[ports.length];
        Arrays.fill(up, true);
        turns = new int[customers.size()];
        random = new Random(seed);
    }

    void start() {
        pace.start();
    }

    /** The front has noticed that a gateway is up, or is not. */
    void setUp(int gateway, boolean isUp) {
        synchronized (up) {
            up[gateway] = isUp;
        }
    }

    /** Ends it, once all that is open has ended. */
    Ends stop() throws InterruptedException {
        over = true;
        pace.join();
        open.acquire(MOST_OPEN);
        return ends;
    }

    private void run() {
        PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Double.compare(a.nanos(), b.nanos()));
        for (int i = 0; i < customers.size(); i++) {
            due.add(new Due(System.nanoTime() + random.nextDouble() * gapNanos(i), i));
        }
        for (long number = 0; !over; number++) {
            Due next = due.poll();
            for (double left = wait(next); left > 0 && !over; left = wait(next)) {
                LockSupport.parkNanos((long) left);
            }
            send(next.customer(), number);
            due.add(new Due(next.nanos() + gapNanos(next.customer()), next.customer()));
        }
    }

    private static double wait(Due due) {
        return due.nanos() - System.nanoTime();
    }

    private double gapNanos(int customer) {
        return NANOS_PER_S / Workload.requestsPerSecond(customers.get(customer).unitsPerSecond());
    }

    private void send(int customer, long number) {
        int gateway = gateway(customer);
        int units = 1 + random.nextInt(MOST_UNITS);
        synchronized (ends) {
            ends.sent++;
            ends.failed += gateway < 0 ? 1 : 0;
        }
        if (gateway < 0) {
            return;
        }
        HttpRequest request = request(customer, units, number, ports[gateway]);
        long began = System.nanoTime();
        open.acquireUninterruptibly();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((answer, fault) -> {
            ended(answer == null ? 0 : answer.statusCode(), (System.nanoTime() - began) / NANOS_PER_MS);
            open.release();
        });
    }

    private void ended(int status, double tookMs) {
        synchronized (ends) {
            if (status == SERVED) {
                ends.served++;
            } else if (status == REFUSED || status == UNAVAILABLE) {
                ends.refused++;
            } else {
                ends.failed++;
                return;
            }
            ends.tookMs.add(tookMs);
        }
    }

    /** The next of the customer's set that is up; below 0 where none is. */
    private int gateway(int customer) {
        int first = customers.get(customer).named().first();
        int spread = customers.get(customer).named().spread();
        synchronized (up) {
            for (int i = 0; i < spread; i++) {
                int gateway = first + Math.floorMod(turns[customer]++, spread);
                if (up[gateway]) {
                    return gateway;
                }
            }
        }
        return -1;
    }

    private HttpRequest request(int customer, int units, long number, int port) {
        LoadedCustomer who = customers.get(customer);
        String id = "q" + BETWEEN + customer + BETWEEN + units + BETWEEN + number;
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/view/" + id))
                .timeout(Duration.ofMillis(PATIENCE_MS))
                .header("X-Trace-Id", id)
                .header("X-Plan", ProcessSettings.planName(who.named().plan()))
                .header("X-Customer", String.format("%016x", who.named().customer()))
                .header("X-Expires-In-Ms", Integer.toString(EXPIRES_IN_MS))
                .header(
                        "X-Quota",
                        "units=" + units + ",spread=" + who.named().spread() + ",first="
                                + who.named().first())
                .build();
    }

    @Override
    public void close() {
        over = true;
    }
}
