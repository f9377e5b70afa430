package marlford.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates a tier of few gateways in virtual time: whole decision engines, messages that are delayed or lost, and the true
 * state of customers' token buckets.
 */
final class SmallTierSimulation {
    private static final double STEP_MS = 5;
    private static final int MESSAGES_PER_SECOND = 60; // that a gateway accepts, as in the settings
    private static final double MIN_TRANSIT_MS = 1.2; // of a message; some take several times as long
    private static final double SERVICE_MS = 5;

    /** A message between gateways that is in transit. */
    private record Message(double arrivesAt, int order, int from, int to, byte[] data) { }

    /** A customer, the true state of its token buckets, and the gateways of its set that it uses. */
    private static final class Customer {
        final long number;
        final EngineApi.Plan plan;
        final int first;
        final int spread;
        final double perSecond;
        int onlyPlace = -1; // index of the gateway in its set that it uses; below 0 for any
        double level;
        double ceiling;
        double refilledAt;

        Customer(long number, EngineApi.Plan plan, int first, int spread, double perSecond, double now) {
            this.number = number;
            this.plan = plan;
            this.first = first;
            this.spread = spread;
            this.perSecond = perSecond;
            this.level = plan.burst();
            this.ceiling = plan.ceilingBurst();
            this.refilledAt = now;
        }

        /** Fills the token buckets up to this time. */
        void refill(double now) {
            level = Math.min(plan.burst(), level + (now - refilledAt) / 1000 * plan.rate());
            ceiling = Math.min(plan.ceilingBurst(), ceiling + (now - refilledAt) / 1000 * plan.ceilingRate());
            refilledAt = now;
        }
    }

    /** A request that was sent to a gateway. */
    private record PendingRequest(Customer customer, double units) { }

    private final Random random;
    private final double lossShare;
    private final FakeGateway[] gateways; // null while one is down
    private final double[] upAt;
    private final double[] capacity; // messages that each gateway can accept now
    private final List<ArrayDeque<FakeGateway.SentAttempt>> serving = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private final DelayedViewPolicy delayedView = new DelayedViewPolicy();
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingDouble(Message::arrivesAt).thenComparingInt(Message::order));
    private double now = 1000;
    private int nextNumber;
    private double admitted;
    private double overrun;
    private double lowestCeiling = Double.POSITIVE_INFINITY;

    private SmallTierSimulation(int gatewayCount, double lossShare, long seed) {
        this.lossShare = lossShare;
        random = new Random(seed);
        gateways = new FakeGateway[gatewayCount];
        upAt = new double[gatewayCount];
        capacity = new double[gatewayCount];
        for (int i = 0; i < gatewayCount; i++) {
            serving.add(new ArrayDeque<>());
            start(i);
        }
    }

    /**
     * A tier after five seconds of load. Most customers stay below their quota, some request several times as much; a quarter has
     * a ceiling as well.
     */
    static SmallTierSimulation tier(int gatewayCount, double lossShare, long seed) {
        SmallTierSimulation t = new SmallTierSimulation(gatewayCount, lossShare, seed);
        for (int i = 0; i < 8 * gatewayCount; i++) {
            EngineApi.Plan plan = i % 4 == 0 ? FakeGateway.CAPPED : FakeGateway.SMALL;
            double rate = i % 4 == 0 ? plan.ceilingRate() : plan.rate();
            double loadShare = i % 10 == 0 ? 3 : i % 5 == 0 ? 0.95 : 0.45;
            t.customers.add(new Customer(i + 1, plan, t.random.nextInt(gatewayCount), Math.min(gatewayCount, 4), loadShare * rate, t.now));
        }
        t.run(5000);
        t.delayedView.resetCounts();
        t.admitted = t.overrun = 0;
        return t;
    }

    private void start(int i) {
        gateways[i] = new FakeGateway(now, FakeGateway.settings(i, gateways.length, random.nextLong())).withHosts("a1", "a2", "a3");
        serving.get(i).clear();
    }

    private void sendRequest(Customer c, double units) {
        if (c.plan.ceilingRate() == 0) { // customers with a ceiling have quotas far above it
            delayedView.request(c, c.plan.rate(), c.plan.burst(), units, now);
        }
        int place = c.onlyPlace < 0 ? random.nextInt(c.spread) : c.onlyPlace;
        for (int i = 0; i < c.spread; i++) {
            FakeGateway g = gateways[(c.first + place + i) % gateways.length];
            if (g != null) {
                String id = "r" + nextNumber++;
                pendingRequests.put(id, new PendingRequest(c, units));
                g.engine.onRequest(g.now, new EngineApi.Request(id, g.now + 3000, g.now, false, "read", c.number,
                        c.plan.name(), units, c.first, c.spread));
                return;
            }
        }
    }

    /** Advances the time. */
    void run(double ms) {
        for (double end = now + ms; now < end;) {
            now += STEP_MS;
            for (int i = 0; i < gateways.length; i++) {
                capacity[i] = Math.min(MESSAGES_PER_SECOND, capacity[i] + MESSAGES_PER_SECOND * STEP_MS / 1000);
                if (gateways[i] == null && now >= upAt[i]) {
                    start(i);
                } else if (gateways[i] != null) {
                    gateways[i].advanceTo(now);
                }
            }
            while (!messages.isEmpty() && messages.peek().arrivesAt() <= now) {
                Message m = messages.poll();
                if (gateways[m.to()] != null && capacity[m.to()] >= 1) {
                    capacity[m.to()]--;
                    gateways[m.to()].engine.onPeerMessage(now, m.from(), m.data());
                }
            }
            for (Customer c : customers) {
                if (random.nextDouble() < c.perSecond * STEP_MS / 1000 / 2) { // requests of one to three units
                    sendRequest(c, 1 + random.nextInt(3));
                }
            }
            for (int i = 0; i < gateways.length; i++) {
                if (gateways[i] != null) {
                    deliver(i);
                }
            }
        }
    }

    /** Puts a gateway's messages on the link; counts the requests that it admitted, and serves them after a short time. */
    private void deliver(int i) {
        FakeGateway g = gateways[i];
        for (FakeGateway.PeerMessage t : List.copyOf(g.peerMessages)) {
            for (int to = 0; to < gateways.length; to++) {
                if (to != i && (t.peer() < 0 || t.peer() == to) && random.nextDouble() >= lossShare) {
                    messages.add(new Message(now + MIN_TRANSIT_MS + 7.3 * random.nextDouble(), nextNumber++, i, to, t.data()));
                }
            }
        }
        g.peerMessages.clear();
        for (FakeGateway.SentAttempt s : g.sent) {
            PendingRequest a = pendingRequests.remove(s.id());
            if (a != null) {
                count(a, s.at());
                serving.get(i).add(s);
            }
        }
        ArrayDeque<FakeGateway.SentAttempt> queue = serving.get(i);
        while (!queue.isEmpty() && queue.peek().at() + SERVICE_MS <= now) {
            g.endAttempt(queue.poll().id(), 0, EngineApi.Outcome.OK, SERVICE_MS);
        }
        if (queue.isEmpty()) {
            g.sent.clear();
            g.actions.clear();
        }
    }

    /** Charges an admitted request to the true token buckets. */
    private void count(PendingRequest a, double at) {
        Customer c = a.customer();
        c.refill(Math.max(c.refilledAt, at));
        if (c.plan.ceilingRate() > 0) {
            c.ceiling -= a.units();
            lowestCeiling = Math.min(lowestCeiling, c.ceiling);
            return;
        }
        admitted += a.units();
        if (c.level < a.units()) {
            overrun += a.units();
        } else {
            c.level -= a.units();
        }
    }

    /** One gateway sends its farewell, ends, and returns without any state. */
    void restart(int gateway, double farewellMs, double downMs) {
        gateways[gateway].engine.onShutdown(now);
        run(farewellMs);
        gateways[gateway] = null;
        upAt[gateway] = now + downMs;
        run(downMs + farewellMs);
    }

    /** From now on every second customer uses only the gateway at this index of its set. */
    void moveCustomers(int place) {
        customers.stream().filter(c -> c.number % 2 == 0).forEach(c -> c.onlyPlace = place);
    }

    /** The share of all admitted units that exceeded quotas. */
    double overrunShare() {
        return overrun / admitted;
    }

    /** The same share for a policy that sees the true state after a delay. */
    double delayedViewOverrunShare() {
        return delayedView.overrunShare();
    }

    /** The lowest true level of a ceiling's token bucket. */
    double lowestCeiling() {
        return lowestCeiling;
    }
}
