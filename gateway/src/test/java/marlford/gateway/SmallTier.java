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
 * A tier of few gateways: whole decision modules in virtual time, messages that are late or lost, and customers' stores as
 * they truly are.
 */
final class SmallTier {
    private static final double STEP_MS = 5;
    private static final int INTAKE = 60; // messages a second, as in the settings
    private static final double WAY_MS = 1.2; // of a message at least; some take several times as long
    private static final double SERVES_MS = 5;

    private record Mail(double at, int order, int from, int to, byte[] data) { }

    /** A customer, its stores as they truly are, and through which gateways of its set it comes. */
    private static final class Customer {
        final long number;
        final EngineApi.Plan plan;
        final int first;
        final int spread;
        final double perSecond;
        int only = -1; // place in its set; below 0: any
        double level;
        double ceiling;
        double at;

        Customer(long number, EngineApi.Plan plan, int first, int spread, double perSecond, double now) {
            this.number = number;
            this.plan = plan;
            this.first = first;
            this.spread = spread;
            this.perSecond = perSecond;
            this.level = plan.burst();
            this.ceiling = plan.ceilingBurst();
            this.at = now;
        }

        void touch(double now) {
            level = Math.min(plan.burst(), level + (now - at) / 1000 * plan.rate());
            ceiling = Math.min(plan.ceilingBurst(), ceiling + (now - at) / 1000 * plan.ceilingRate());
            at = now;
        }
    }

    private record Asked(Customer customer, double units) { }

    private final Random random;
    private final double loss;
    private final FakeGateway[] all; // null while it is away
    private final double[] upAt;
    private final double[] room;
    private final List<ArrayDeque<FakeGateway.Sent>> serving = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final Map<String, Asked> asked = new HashMap<>();
    private final LatePolicy late = new LatePolicy();
    private final PriorityQueue<Mail> mail =
            new PriorityQueue<>(Comparator.comparingDouble(Mail::at).thenComparingInt(Mail::order));
    private double now = 1000;
    private int serial;
    private double sent;
    private double beyond;
    private double lowest = Double.POSITIVE_INFINITY;

    private SmallTier(int gateways, double loss, long seed) {
        this.loss = loss;
        random = new Random(seed);
        all = new FakeGateway[gateways];
        upAt = new double[gateways];
        room = new double[gateways];
        for (int i = 0; i < gateways; i++) {
            serving.add(new ArrayDeque<>());
            start(i);
        }
    }

    /** Most customers stay under their quota, some ask for several times it; a quarter has a ceiling as well. */
    static SmallTier tier(int gateways, double loss, long seed) {
        SmallTier t = new SmallTier(gateways, loss, seed);
        for (int i = 0; i < 8 * gateways; i++) {
            EngineApi.Plan plan = i % 4 == 0 ? FakeGateway.CAPPED : FakeGateway.SMALL;
            double rate = i % 4 == 0 ? plan.ceilingRate() : plan.rate();
            double share = i % 10 == 0 ? 3 : i % 5 == 0 ? 0.95 : 0.45;
            t.customers.add(new Customer(i + 1, plan, t.random.nextInt(gateways), Math.min(gateways, 4), share * rate, t.now));
        }
        t.pass(5000);
        t.late.mark();
        t.sent = t.beyond = 0;
        return t;
    }

    private void start(int i) {
        all[i] = new FakeGateway(now, FakeGateway.settings(i, all.length, random.nextLong())).withHosts("a1", "a2", "a3");
        serving.get(i).clear();
    }

    private void ask(Customer c, double units) {
        if (c.plan.ceilingRate() == 0) { // the others' quotas are far wider than their ceilings
            late.ask(c, c.plan.rate(), c.plan.burst(), units, now);
        }
        int place = c.only < 0 ? random.nextInt(c.spread) : c.only;
        for (int i = 0; i < c.spread; i++) {
            FakeGateway g = all[(c.first + place + i) % all.length];
            if (g != null) {
                String id = "r" + serial++;
                asked.put(id, new Asked(c, units));
                g.engine.onRequest(g.now, new EngineApi.Request(id, g.now + 3000, g.now, false, "read", c.number,
                        c.plan.name(), units, c.first, c.spread));
                return;
            }
        }
    }

    void pass(double ms) {
        for (double end = now + ms; now < end;) {
            now += STEP_MS;
            for (int i = 0; i < all.length; i++) {
                room[i] = Math.min(INTAKE, room[i] + INTAKE * STEP_MS / 1000);
                if (all[i] == null && now >= upAt[i]) {
                    start(i);
                } else if (all[i] != null) {
                    all[i].runTo(now);
                }
            }
            while (!mail.isEmpty() && mail.peek().at() <= now) {
                Mail m = mail.poll();
                if (all[m.to()] != null && room[m.to()] >= 1) {
                    room[m.to()]--;
                    all[m.to()].engine.onPeerMessage(now, m.from(), m.data());
                }
            }
            for (Customer c : customers) {
                if (random.nextDouble() < c.perSecond * STEP_MS / 1000 / 2) { // requests of one to three units
                    ask(c, 1 + random.nextInt(3));
                }
            }
            for (int i = 0; i < all.length; i++) {
                if (all[i] != null) {
                    carry(i);
                }
            }
        }
    }

    /** What it told goes on its way; what it sent is counted, and served a little later. */
    private void carry(int i) {
        FakeGateway g = all[i];
        for (FakeGateway.Told t : List.copyOf(g.told)) {
            for (int to = 0; to < all.length; to++) {
                if (to != i && (t.peer() < 0 || t.peer() == to) && random.nextDouble() >= loss) {
                    mail.add(new Mail(now + WAY_MS + 7.3 * random.nextDouble(), serial++, i, to, t.data()));
                }
            }
        }
        g.told.clear();
        for (FakeGateway.Sent s : g.sent) {
            Asked a = asked.remove(s.id());
            if (a != null) {
                count(a, s.at());
                serving.get(i).add(s);
            }
        }
        ArrayDeque<FakeGateway.Sent> queue = serving.get(i);
        while (!queue.isEmpty() && queue.peek().at() + SERVES_MS <= now) {
            g.end(queue.poll().id(), 0, EngineApi.Outcome.OK, SERVES_MS);
        }
        if (queue.isEmpty()) {
            g.sent.clear();
            g.log.clear();
        }
    }

    private void count(Asked a, double at) {
        Customer c = a.customer();
        c.touch(Math.max(c.at, at));
        if (c.plan.ceilingRate() > 0) {
            c.ceiling -= a.units();
            lowest = Math.min(lowest, c.ceiling);
            return;
        }
        sent += a.units();
        if (c.level < a.units()) {
            beyond += a.units();
        } else {
            c.level -= a.units();
        }
    }

    /** One gateway says farewell, ends, and comes back knowing nothing. */
    void restart(int gateway, double farewellMs, double awayMs) {
        all[gateway].engine.onShutdown(now);
        pass(farewellMs);
        all[gateway] = null;
        upAt[gateway] = now + awayMs;
        pass(awayMs + farewellMs);
    }

    /** Every second customer's requests come through the gateway at this place of its set from now on. */
    void shift(int place) {
        customers.stream().filter(c -> c.number % 2 == 0).forEach(c -> c.only = place);
    }

    /** Of each unit that was sent on, what went beyond quotas. */
    double cost() {
        return beyond / sent;
    }

    /** The same of a policy that sees the true state late. */
    double lateCost() {
        return late.cost();
    }

    /** The least that a ceiling's true store held. */
    double lowestCeiling() {
        return lowest;
    }
}
