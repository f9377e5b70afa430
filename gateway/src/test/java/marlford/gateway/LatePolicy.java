package marlford.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * One policy for a whole tier that sees every store as it truly was some time ago, whichever gateway a request comes
 * through: what no exchange of messages can do much better than. What passes beyond quotas is held against it.
 */
public final class LatePolicy {
    static final double LATE_MS = 100; // two ways of a message, and one that is lost in ten

    private record Seen(double at, double level) { }

    private final Map<Object, ArrayDeque<Seen>> seen = new HashMap<>();
    private final Map<Object, double[]> stores = new HashMap<>(); // level, and since when
    private double beyond;
    private double sent;

    /** A request of a customer, whose store fills by {@code rate} units a second up to {@code burst}. */
    public void ask(Object customer, double rate, double burst, double units, double now) {
        double[] store = stores.computeIfAbsent(customer, k -> new double[] {burst, now});
        store[0] = Math.min(burst, store[0] + (now - store[1]) / 1000 * rate);
        store[1] = now;
        ArrayDeque<Seen> past = seen.computeIfAbsent(customer, k -> new ArrayDeque<>());
        while (past.size() > 1 && second(past).at() <= now - LATE_MS) {
            past.poll();
        }
        boolean known = !past.isEmpty() && past.peek().at() <= now - LATE_MS;
        double level = known
                ? Math.min(burst, past.peek().level() + (now - LATE_MS - past.peek().at()) / 1000 * rate) : burst;
        if (level >= units) {
            sent += units;
            if (store[0] < units) {
                beyond += units;
            } else {
                store[0] -= units;
            }
            past.add(new Seen(now, store[0]));
        }
    }

    private static Seen second(ArrayDeque<Seen> past) {
        Iterator<Seen> it = past.iterator();
        it.next();
        return it.next();
    }

    /** Of each unit that it let in, what went beyond quotas. */
    public double cost() {
        return beyond / Math.max(1, sent);
    }

    /** Counts begin anew; the stores stay. */
    public void mark() {
        beyond = sent = 0;
    }
}
