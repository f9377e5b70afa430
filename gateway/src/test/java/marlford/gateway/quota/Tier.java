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
import marlford.gateway.LatePolicy;

/**
 * A whole tier in virtual time: so many exchanges, a link with delay, loss, an intake and cuts, customers with true stores
 * that are charged when a request is sent on. It counts what went beyond a quota, what was refused with half of it or more
 * unused, how long decisions took, and how far below nothing a ceiling's true store ever was.
 */
final class Tier {
    static final QuotaTerms BASIC = new QuotaTerms(2, 7, 0, 0);
    static final QuotaTerms CAPPED = new QuotaTerms(15, 26, 35, 57);
    /** As CAPPED, without a ceiling. */
    static final QuotaTerms LARGE = new QuotaTerms(15, 26, 0, 0);
    static final QuotaTerms ONLY_CAPPED = new QuotaTerms(0, 0, 35, 57);
    static final double MOST_UNITS = 4;
    private static final List<QuotaTerms> PLANS = List.of(BASIC, CAPPED, ONLY_CAPPED, LARGE);
    private static final int INTAKE = 40;
    private static final double STEP_MS = 5;
    private static final double BEAT_MS = 20;
    static final double DEADLINE_MS = 1000;

    private record Mail(double at, int order, int from, int to, byte[] data) { }

    private record Sending(double at, int order, Customer customer, double units) { }

    private record Open(Customer customer, int gateway, double units, double at, boolean leased) { }

    /** One customer and the stores as they truly are. */
    static final class Customer {
        final QuotaMessage.Named named;
        final QuotaTerms terms;
        double perSecond; // units a second asked for
        double level;
        double ceiling;
        double at;
        double lowest = Double.POSITIVE_INFINITY;
        double sent;
        double allowed; // units that came into the quota's store, its first filling with them

        Customer(QuotaMessage.Named named, QuotaTerms terms, double now) {
            this.named = named;
            this.terms = terms;
            level = allowed = terms.burst();
            ceiling = terms.ceilingBurst();
            at = now;
        }

        void touch(double now) {
            double before = level;
            level = Math.min(terms.burst(), level + (now - at) / 1000 * terms.rate());
            allowed += level - before;
            ceiling = Math.min(terms.ceilingBurst(), ceiling + (now - at) / 1000 * terms.ceilingRate());
            at = now;
        }
    }

    final List<Customer> customers = new ArrayList<>();
    final List<Double> waits = new ArrayList<>();
    final List<Double> leasedWaits = new ArrayList<>(); // of tries at a gateway that held a lease of that customer's quota
    private final QuotaCoordinator[] gateways;
    private final double[] upAt;
    private final double[] room; // of the intake
    private final Random random;
    private final double loss;
    private final PriorityQueue<Mail> mail =
            new PriorityQueue<>(Comparator.comparingDouble(Mail::at).thenComparingInt(Mail::order));
    private final PriorityQueue<Sending> sendings =
            new PriorityQueue<>(Comparator.comparingDouble(Sending::at).thenComparingInt(Sending::order));
    private final Map<String, Open> open = new HashMap<>();
    private final Set<Integer> leaving = new HashSet<>();
    private final Set<Integer> older = new HashSet<>();
    private BiPredicate<Integer, Integer> cut = (a, b) -> false;
    private int order;
    private int asked;
    private double beatAt;
    double now = 1_000_000;
    int tries;
    int refusedWithRoom;
    int told;
    long bytes;
    double beyond;
    double sent;
    final Map<QuotaCoordinator.Why, Integer> refusedFor = new EnumMap<>(QuotaCoordinator.Why.class);
    final LatePolicy late = new LatePolicy();
    private ToIntFunction<Customer> through = c -> -1;

    Tier(int count, double loss, long seed) {
        this.loss = loss;
        random = new Random(seed);
        gateways = new QuotaCoordinator[count];
        upAt = new double[count];
        room = new double[count];
        for (int i = 0; i < count; i++) {
            start(i);
        }
        pass(3000);
    }

    /** A customer through {@code spread} gateways that asks for so many units a second. */
    Customer customer(QuotaTerms terms, int spread, double perSecond) {
        int plan = PLANS.indexOf(terms);
        int first = random.nextInt(gateways.length);
        Customer c = new Customer(new QuotaMessage.Named(customers.size() + 1, plan, first, spread), terms, now);
        c.perSecond = perSecond;
        customers.add(c);
        return c;
    }

    private void start(int i) {
        QuotaCoordinator.Config config = new QuotaCoordinator.Config(i, gateways.length, INTAKE, MOST_UNITS, 20_000, PLANS);
        gateways[i] = new QuotaCoordinator(now, config, (int) (long) now, new Random(random.nextLong()), new QuotaCoordinator.Link() {
            @Override
            public void tell(int peer, byte[] data) {
                for (int to = 0; to < gateways.length; to++) {
                    if (to != i && (peer < 0 || peer == to)) {
                        post(i, to, data);
                    }
                }
            }

            @Override
            public void decided(double at, String id, QuotaCoordinator.Decision d) {
                settle(id, d);
            }
        });
        upAt[i] = now;
    }

    /** Down at once, up again after so long, as a new life. */
    void kill(int gateway, double awayMs) {
        gateways[gateway] = null;
        upAt[gateway] = now + awayMs;
        open.values().removeIf(o -> o.gateway() == gateway);
    }

    void leave(int gateway) {
        gateways[gateway].leave(now);
        leaving.add(gateway);
    }

    /** From now on these pairs do not hear each other. */
    void cut(BiPredicate<Integer, Integer> between) {
        cut = between;
    }

    int gateways() {
        return gateways.length;
    }

    QuotaCoordinator gateway(int i) {
        return gateways[i];
    }

    /** That gateway speaks as the version before leases: it neither says nor hears anything of them. */
    void older(int gateway) {
        older.add(gateway);
    }

    /** As the version before leases reads it: whatever is newer it must never get. */
    private static QuotaMessage readByOlder(QuotaMessage message) {
        List<QuotaMessage.Item> items = new ArrayList<>();
        for (QuotaMessage.Item item : message.items()) {
            if (item instanceof QuotaMessage.LeaseCapable) {
                items.add(new QuotaMessage.Presence(QuotaMessage.State.HERE));
                items.add(new QuotaMessage.Presence(QuotaMessage.State.HERE));
            } else if (isNew(item)) {
                throw new AssertionError("an older version can't read " + item);
            } else {
                items.add(item);
            }
        }
        return new QuotaMessage(message.life(), message.toLife(), message.count(), items);
    }

    private static boolean isNew(QuotaMessage.Item item) {
        return item instanceof QuotaMessage.LeaseRequest || item instanceof QuotaMessage.LeaseGrant || item instanceof QuotaMessage.UsageReport;
    }

    private static byte[] saidByOlder(byte[] data) {
        QuotaMessage message = QuotaMessage.read(data);
        List<QuotaMessage.Item> items = message.items().stream().filter(i -> !(i instanceof QuotaMessage.LeaseCapable)).toList();
        return new QuotaMessage(message.life(), message.toLife(), message.count(), items).bytes();
    }

    private void post(int from, int to, byte[] said) {
        byte[] data = older.contains(from) ? saidByOlder(said) : said;
        told++;
        bytes += data.length;
        if (random.nextDouble() >= loss && !cut.test(from, to)) {
            mail.add(new Mail(now + 1.2 + 7.3 * random.nextDouble(), order++, from, to, data));
        }
    }

    private void settle(String id, QuotaCoordinator.Decision d) {
        Open o = open.remove(id);
        if (o == null) {
            throw new AssertionError(id + " was decided twice, or never asked");
        }
        waits.add(now - o.at());
        if (o.leased()) {
            leasedWaits.add(now - o.at());
        }
        if (d.in()) {
            double wait = random.nextInt(10) == 0 ? 400 * random.nextDouble() : 5 * random.nextDouble();
            sendings.add(new Sending(Math.min(now + wait, Math.max(now, d.leaveBy())), order++, o.customer(), o.units()));
        } else {
            refusedFor.merge(d.why(), 1, Integer::sum);
            o.customer().touch(now);
            refusedWithRoom += o.customer().level >= o.customer().terms.burst() / 2 ? 1 : 0;
        }
    }

    private void arrive(Sending s) {
        Customer c = s.customer();
        c.touch(Math.max(c.at, s.at()));
        c.ceiling -= s.units();
        c.lowest = Math.min(c.lowest, c.ceiling);
        c.sent += s.units();
        sent += s.units();
        if (c.level < s.units()) {
            beyond += s.units();
        } else {
            c.level -= s.units();
        }
    }

    /** From now on a customer's requests come through the gateway at this place of its set; below 0: through any. */
    void through(ToIntFunction<Customer> place) {
        through = place;
    }

    /** One request at some gateway of the set that is there; clients have noticed which are. */
    void ask(Customer c, double units) {
        int place = through.applyAsInt(c);
        int only = place < 0 ? -1 : Math.floorMod(c.named.first() + place, gateways.length);
        if (only >= 0 && gateways[only] != null && !leaving.contains(only)) {
            askAt(only, c, units);
            return;
        }
        for (int i = 0; i < gateways.length; i++) {
            int g = Math.floorMod(c.named.first() + random.nextInt(c.named.spread()), gateways.length);
            if (gateways[g] != null && !leaving.contains(g)) {
                askAt(g, c, units);
                return;
            }
        }
    }

    void askAt(int gateway, Customer c, double units) {
        tries++;
        if (c.terms.rate() > 0) {
            late.ask(c, c.terms.rate(), c.terms.burst(), units, now);
        }
        String id = "r" + asked++;
        boolean leased = gateways[gateway].holdsLease(now, c.named.customer());
        open.put(id, new Open(c, gateway, units, now, leased));
        gateways[gateway].want(now, id, c.named, units, now + DEADLINE_MS);
    }

    void pass(double ms) {
        for (double end = now + ms; now < end;) {
            now += STEP_MS;
            for (int i = 0; i < gateways.length; i++) {
                room[i] = Math.min(INTAKE, room[i] + INTAKE * STEP_MS / 1000);
                if (gateways[i] == null && now >= upAt[i]) {
                    leaving.remove(i);
                    start(i);
                }
            }
            while (!mail.isEmpty() && mail.peek().at() <= now) {
                deliver(mail.poll());
            }
            if (now - beatAt >= BEAT_MS) {
                beatAt = now;
                for (QuotaCoordinator g : gateways) {
                    if (g != null) {
                        g.beat(now);
                    }
                }
            }
            for (Customer c : customers) {
                double due = c.perSecond * STEP_MS / 1000 / 2; // requests of one to three units
                if (random.nextDouble() < due) {
                    ask(c, 1 + random.nextInt(3));
                }
            }
            while (!sendings.isEmpty() && sendings.peek().at() <= now) {
                arrive(sendings.poll());
            }
        }
    }

    private void deliver(Mail m) {
        if (gateways[m.to()] == null || room[m.to()] < 1) {
            return;
        }
        room[m.to()]--;
        QuotaMessage message = QuotaMessage.read(m.data());
        if (message == null) {
            throw new AssertionError("a message that can't be read");
        }
        gateways[m.to()].heard(now, m.from(), older.contains(m.to()) ? readByOlder(message) : message);
    }

    /** Of each unit that was sent on, what went beyond quotas at the full price of it; the same of the late policy. */
    double[] costs() {
        return new double[] {beyond / Math.max(1, sent), late.cost()};
    }

    /** Counts begin anew. */
    void mark() {
        late.mark();
        tries = 0;
        refusedWithRoom = 0;
        told = 0;
        bytes = 0;
        beyond = 0;
        sent = 0;
        waits.clear();
        leasedWaits.clear();
        refusedFor.clear();
        customers.forEach(c -> c.touch(now));
        customers.forEach(c -> c.sent = 0);
        customers.forEach(c -> c.allowed = c.level);
    }

    double share() {
        return (double) refusedWithRoom / Math.max(1, tries);
    }

    double wait(double quantile) {
        return quantile(waits, quantile);
    }

    /** Of tries at gateways that held a lease of the customer's quota when they came. */
    double leasedWait(double quantile) {
        return leasedWaits.isEmpty() ? Double.NaN : quantile(leasedWaits, quantile);
    }

    private static double quantile(List<Double> values, double quantile) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    /** The least that any ceiling's true store ever had; below nothing is what was passed. */
    double lowestCeiling() {
        return customers.stream().filter(c -> c.terms.ceilingRate() > 0).mapToDouble(c -> c.lowest).min().orElse(0);
    }

    @Override
    public String toString() {
        return String.format("%d tries, %.1f%% refused with room, %.1f%% of the units beyond quotas, wait p50 %.0f p99 %.0f ms,"
                + " %d messages, %d bytes, lowest ceiling %.1f", tries, 100 * share(), 100 * beyond / Math.max(1, sent),
                wait(0.5), wait(0.99), told, bytes, lowestCeiling());
    }
}
