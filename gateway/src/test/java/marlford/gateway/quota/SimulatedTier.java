package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;
import marlford.gateway.DelayedViewPolicy;

/**
 * A whole tier simulated in virtual time: coordinators; a network with delay, loss, partitions and a limit on received
 * messages; and customers with true buckets that are charged when a request is sent on. The tier counts the units beyond a
 * quota, the refusals with half of the quota or more unused, the time that decisions take, and the lowest level of each
 * ceiling's true bucket.
 */
final class SimulatedTier {
    static final QuotaTerms BASIC = new QuotaTerms(2, 7, 0, 0);
    static final QuotaTerms CAPPED = new QuotaTerms(15, 26, 35, 57);
    /** Like CAPPED, without a ceiling. */
    static final QuotaTerms LARGE = new QuotaTerms(15, 26, 0, 0);
    static final QuotaTerms ONLY_CAPPED = new QuotaTerms(0, 0, 35, 57);
    static final double MAX_REQUEST_UNITS = 4;
    private static final List<QuotaTerms> PLANS = List.of(BASIC, CAPPED, ONLY_CAPPED, LARGE);
    private static final int MESSAGES_ACCEPTED_PER_S = 40;
    private static final double STEP_MS = 5;
    private static final double TICK_MS = 20;
    static final double DEADLINE_MS = 1000;

    private record Datagram(double at, int order, int from, int to, byte[] data) { }

    private record SentRequest(double at, int order, Customer customer, double units) { }

    private record OpenRequest(Customer customer, int gateway, double units, double at, boolean leased) { }

    /** One customer with the true state of its buckets. */
    static final class Customer {
        final QuotaMessage.CustomerKey key;
        final QuotaTerms terms;
        double unitsPerSecond;
        double quotaLevel;
        double ceilingLevel;
        double at;
        double lowestCeiling = Double.POSITIVE_INFINITY;
        double sent;
        double allowed; // Units that entered the quota bucket, including its initial contents.

        Customer(QuotaMessage.CustomerKey key, QuotaTerms terms, double now) {
            this.key = key;
            this.terms = terms;
            quotaLevel = allowed = terms.burst();
            ceilingLevel = terms.ceilingBurst();
            at = now;
        }

        void advanceTo(double now) {
            double before = quotaLevel;
            quotaLevel = Math.min(terms.burst(), quotaLevel + (now - at) / 1000 * terms.rate());
            allowed += quotaLevel - before;
            ceilingLevel = Math.min(terms.ceilingBurst(), ceilingLevel + (now - at) / 1000 * terms.ceilingRate());
            at = now;
        }
    }

    final List<Customer> customers = new ArrayList<>();
    final List<Double> decisionTimesMs = new ArrayList<>();
    // The same for attempts at a gateway that held a lease of that customer's quota.
    final List<Double> leasedDecisionTimesMs = new ArrayList<>();
    private final QuotaCoordinator[] gateways;
    private final double[] startsAt;
    private final double[] messageBudget; // Remaining message budget of each gateway.
    private final Random random;
    private final double loss;
    private final PriorityQueue<Datagram> datagrams =
            new PriorityQueue<>(Comparator.comparingDouble(Datagram::at).thenComparingInt(Datagram::order));
    private final PriorityQueue<SentRequest> sentRequests =
            new PriorityQueue<>(Comparator.comparingDouble(SentRequest::at).thenComparingInt(SentRequest::order));
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final Set<Integer> shuttingDown = new HashSet<>();
    private final Set<Integer> olderVersionGateways = new HashSet<>();
    private BiPredicate<Integer, Integer> partitioned = (a, b) -> false;
    private int order;
    private int requestCount;
    private double tickedAt;
    double now = 1_000_000;
    int attempts;
    int refusedWithRoom;
    int messagesSent;
    long bytesSent;
    double unitsBeyondQuota;
    double sent;
    final Map<QuotaCoordinator.Reason, Integer> refusalsByReason = new EnumMap<>(QuotaCoordinator.Reason.class);
    final DelayedViewPolicy late = new DelayedViewPolicy();
    private ToIntFunction<Customer> pinnedPosition = customer -> -1;

    SimulatedTier(int count, double loss, long seed) {
        this.loss = loss;
        random = new Random(seed);
        gateways = new QuotaCoordinator[count];
        startsAt = new double[count];
        messageBudget = new double[count];
        for (int i = 0; i < count; i++) {
            start(i);
        }
        advance(3000);
    }

    /** Adds a customer that requests this many units per second through {@code spread} gateways. */
    Customer addCustomer(QuotaTerms terms, int spread, double unitsPerSecond) {
        int plan = PLANS.indexOf(terms);
        int first = random.nextInt(gateways.length);
        Customer customer = new Customer(new QuotaMessage.CustomerKey(customers.size() + 1, plan, first, spread), terms, now);
        customer.unitsPerSecond = unitsPerSecond;
        customers.add(customer);
        return customer;
    }

    private void start(int i) {
        QuotaCoordinator.Config config = new QuotaCoordinator.Config(
                i, gateways.length, MESSAGES_ACCEPTED_PER_S, MAX_REQUEST_UNITS, 20_000, PLANS);
        gateways[i] = new QuotaCoordinator(now, config, (int) (long) now, new Random(random.nextLong()), new QuotaCoordinator.Callbacks() {
            @Override
            public void sendToPeer(int peer, byte[] data) {
                for (int to = 0; to < gateways.length; to++) {
                    if (to != i && (peer < 0 || peer == to)) {
                        post(i, to, data);
                    }
                }
            }

            @Override
            public void onDecision(double at, String id, QuotaCoordinator.Decision decision) {
                settleDecision(id, decision);
            }
        });
        startsAt[i] = now;
    }

    /** Stops a gateway at once; it starts again after the given time as a new incarnation. */
    void kill(int gateway, double awayMs) {
        gateways[gateway] = null;
        startsAt[gateway] = now + awayMs;
        openRequests.values().removeIf(request -> request.gateway() == gateway);
    }

    /** Announces the shutdown of a gateway; it takes no further requests, but keeps running until it is killed. */
    void leave(int gateway) {
        gateways[gateway].prepareShutdown(now);
        shuttingDown.add(gateway);
    }

    /** Partitions the network: from now on messages between these pairs are lost. */
    void partition(BiPredicate<Integer, Integer> between) {
        partitioned = between;
    }

    int gateways() {
        return gateways.length;
    }

    QuotaCoordinator gateway(int i) {
        return gateways[i];
    }

    /** Makes a gateway speak the version before leases: it neither sends nor receives anything about them. */
    void runOlderVersion(int gateway) {
        olderVersionGateways.add(gateway);
    }

    /** Decodes a message as the version before leases does, and fails on items that such a gateway must never receive. */
    private static QuotaMessage decodeAsOlderVersion(QuotaMessage message) {
        List<QuotaMessage.Item> items = new ArrayList<>();
        for (QuotaMessage.Item item : message.items()) {
            if (item instanceof QuotaMessage.LeaseCapable) {
                items.add(new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.PROBE_REPLY));
                items.add(new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.PROBE_REPLY));
            } else if (isUnknownToOlderVersion(item)) {
                throw new AssertionError("an older version cannot decode " + item);
            } else {
                items.add(item);
            }
        }
        return new QuotaMessage(message.incarnation(), message.answeredIncarnation(), message.sequence(), items);
    }

    private static boolean isUnknownToOlderVersion(QuotaMessage.Item item) {
        return item instanceof QuotaMessage.LeaseRequest || item instanceof QuotaMessage.LeaseGrant
                || item instanceof QuotaMessage.UsageReport;
    }

    private static byte[] encodeAsOlderVersion(byte[] data) {
        QuotaMessage message = QuotaMessage.decode(data);
        List<QuotaMessage.Item> items = message.items().stream().filter(i -> !(i instanceof QuotaMessage.LeaseCapable)).toList();
        return new QuotaMessage(message.incarnation(), message.answeredIncarnation(), message.sequence(), items).encode();
    }

    private void post(int from, int to, byte[] sentData) {
        byte[] data = olderVersionGateways.contains(from) ? encodeAsOlderVersion(sentData) : sentData;
        messagesSent++;
        bytesSent += data.length;
        if (random.nextDouble() >= loss && !partitioned.test(from, to)) {
            datagrams.add(new Datagram(now + 1.2 + 7.3 * random.nextDouble(), order++, from, to, data));
        }
    }

    private void settleDecision(String id, QuotaCoordinator.Decision decision) {
        OpenRequest request = openRequests.remove(id);
        if (request == null) {
            throw new AssertionError(id + " was decided twice or never requested");
        }
        decisionTimesMs.add(now - request.at());
        if (request.leased()) {
            leasedDecisionTimesMs.add(now - request.at());
        }
        if (decision.admitted()) {
            double sendDelayMs = random.nextInt(10) == 0 ? 400 * random.nextDouble() : 5 * random.nextDouble();
            sentRequests.add(new SentRequest(Math.min(now + sendDelayMs, Math.max(now, decision.sendBy())), order++,
                    request.customer(), request.units()));
        } else {
            refusalsByReason.merge(decision.reason(), 1, Integer::sum);
            request.customer().advanceTo(now);
            refusedWithRoom += request.customer().quotaLevel >= request.customer().terms.burst() / 2 ? 1 : 0;
        }
    }

    private void charge(SentRequest request) {
        Customer customer = request.customer();
        customer.advanceTo(Math.max(customer.at, request.at()));
        customer.ceilingLevel -= request.units();
        customer.lowestCeiling = Math.min(customer.lowestCeiling, customer.ceilingLevel);
        customer.sent += request.units();
        sent += request.units();
        if (customer.quotaLevel < request.units()) {
            unitsBeyondQuota += request.units();
        } else {
            customer.quotaLevel -= request.units();
        }
    }

    /**
     * From now on a customer's requests come through the gateway at this position of its set; a negative position means any
     * gateway.
     */
    void pinTo(ToIntFunction<Customer> position) {
        pinnedPosition = position;
    }

    /** Sends one request to a running gateway of the set; clients have noticed which ones are running. */
    void request(Customer customer, double units) {
        int position = pinnedPosition.applyAsInt(customer);
        int pinned = position < 0 ? -1 : Math.floorMod(customer.key.first() + position, gateways.length);
        if (pinned >= 0 && gateways[pinned] != null && !shuttingDown.contains(pinned)) {
            requestAt(pinned, customer, units);
            return;
        }
        for (int i = 0; i < gateways.length; i++) {
            int gateway = Math.floorMod(customer.key.first() + random.nextInt(customer.key.spread()), gateways.length);
            if (gateways[gateway] != null && !shuttingDown.contains(gateway)) {
                requestAt(gateway, customer, units);
                return;
            }
        }
    }

    /** Sends one request to the given gateway, which must be running. */
    void requestAt(int gateway, Customer customer, double units) {
        attempts++;
        if (customer.terms.rate() > 0) {
            late.request(customer, customer.terms.rate(), customer.terms.burst(), units, now);
        }
        String id = "r" + requestCount++;
        boolean leased = gateways[gateway].holdsLease(now, customer.key.customer());
        openRequests.put(id, new OpenRequest(customer, gateway, units, now, leased));
        gateways[gateway].requestAdmission(now, id, customer.key, units, now + DEADLINE_MS);
    }

    /** Advances the virtual time: delivers messages, runs ticks, sends requests and starts killed gateways again. */
    void advance(double ms) {
        for (double end = now + ms; now < end;) {
            now += STEP_MS;
            for (int i = 0; i < gateways.length; i++) {
                messageBudget[i] = Math.min(MESSAGES_ACCEPTED_PER_S, messageBudget[i] + MESSAGES_ACCEPTED_PER_S * STEP_MS / 1000);
                if (gateways[i] == null && now >= startsAt[i]) {
                    shuttingDown.remove(i);
                    start(i);
                }
            }
            while (!datagrams.isEmpty() && datagrams.peek().at() <= now) {
                deliver(datagrams.poll());
            }
            if (now - tickedAt >= TICK_MS) {
                tickedAt = now;
                for (QuotaCoordinator g : gateways) {
                    if (g != null) {
                        g.tick(now);
                    }
                }
            }
            for (Customer customer : customers) {
                double due = customer.unitsPerSecond * STEP_MS / 1000 / 2; // requests of one to three units
                if (random.nextDouble() < due) {
                    request(customer, 1 + random.nextInt(3));
                }
            }
            while (!sentRequests.isEmpty() && sentRequests.peek().at() <= now) {
                charge(sentRequests.poll());
            }
        }
    }

    private void deliver(Datagram datagram) {
        if (gateways[datagram.to()] == null || messageBudget[datagram.to()] < 1) {
            return;
        }
        messageBudget[datagram.to()]--;
        QuotaMessage message = QuotaMessage.decode(datagram.data());
        if (message == null) {
            throw new AssertionError("a message cannot be decoded");
        }
        gateways[datagram.to()].onMessage(now, datagram.from(),
                olderVersionGateways.contains(datagram.to()) ? decodeAsOlderVersion(message) : message);
    }

    /** Returns, per unit that was sent on, the full price of the units beyond quotas, and the same for the late policy. */
    double[] costs() {
        return new double[] {unitsBeyondQuota / Math.max(1, sent), late.overrunShare()};
    }

    /** Resets all counts. */
    void resetCounts() {
        late.resetCounts();
        attempts = 0;
        refusedWithRoom = 0;
        messagesSent = 0;
        bytesSent = 0;
        unitsBeyondQuota = 0;
        sent = 0;
        decisionTimesMs.clear();
        leasedDecisionTimesMs.clear();
        refusalsByReason.clear();
        customers.forEach(customer -> customer.advanceTo(now));
        customers.forEach(customer -> customer.sent = 0);
        customers.forEach(customer -> customer.allowed = customer.quotaLevel);
    }

    /** Returns the share of attempts that were refused with half of the quota or more unused. */
    double refusedWithRoomShare() {
        return (double) refusedWithRoom / Math.max(1, attempts);
    }

    /** Returns a quantile of the time from a request to its decision. */
    double decisionTimeMs(double quantile) {
        return quantile(decisionTimesMs, quantile);
    }

    /** Returns the same quantile for attempts at gateways that held a lease of the customer's quota at the time. */
    double leasedDecisionTimeMs(double quantile) {
        return leasedDecisionTimesMs.isEmpty() ? Double.NaN : quantile(leasedDecisionTimesMs, quantile);
    }

    private static double quantile(List<Double> values, double quantile) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    /** Returns the lowest level that the true bucket of any ceiling ever had; below zero the ceiling was exceeded. */
    double lowestCeiling() {
        return customers.stream().filter(customer -> customer.terms.ceilingRate() > 0)
                .mapToDouble(customer -> customer.lowestCeiling).min().orElse(0);
    }

    @Override
    public String toString() {
        return String.format("%d attempts, %.1f%% refused with room, %.1f%% of the units beyond quotas, wait p50 %.0f p99 %.0f ms,"
                + " %d messages, %d bytes, lowest ceiling %.1f", attempts, 100 * refusedWithRoomShare(),
                100 * unitsBeyondQuota / Math.max(1, sent),
                decisionTimeMs(0.5), decisionTimeMs(0.99), messagesSent, bytesSent, lowestCeiling());
    }
}
