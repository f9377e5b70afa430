package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Renews this gateway's leases in batches: a message costs its receiver the same whatever it holds, so one that must leave
 * takes along what would have to be renewed soon. The more owners there are, the rarer each is written to, so that requests
 * and answers together stay within half of the intake.
 *
 * <p>Bound: {@value #OPEN_MAX} requests whose answer is waited for. Pure: no I/O and no clock. Not thread-safe.
 */
final class LeaseRenewals {
    private static final double GAP_MS = 100; // at least, between two messages to one owner
    private static final double INTAKE_SHARE = 0.5; // of the messages taken in, for requests and grants
    private static final int BATCH = 16; // requests that fit one message
    private static final int OPEN_MAX = 1024;

    /** What the renewals need of their gateway. */
    interface Side {
        /** Who is to be asked for a lease of these units; -1 for nobody. */
        int owner(double now, CustomerView customer, QuotaMessage.Of of);

        /** A serial that was not used before. */
        int serial();

        /** Whether one more message may leave; it counts as left. */
        boolean mayAsk(double now);

        void say(int peer, QuotaMessage.LeaseRequest request);
    }

    private record Due(CustomerView customer, LeaseHolder lease, boolean urgent) { }

    private record Open(CustomerView customer, LeaseHolder lease) { }

    private final double messagesPerMs;
    private final Set<CustomerView> active = new LinkedHashSet<>();
    private final Map<Integer, Open> open = new LinkedHashMap<>();
    private final Map<Integer, Double> writtenAt = new TreeMap<>(); // by owner, of those with something due lately

    /** @param mailPerSecond messages that a gateway takes in */
    LeaseRenewals(double mailPerSecond) {
        messagesPerMs = Math.max(1, mailPerSecond) * INTAKE_SHARE / 1000;
    }

    /** That customer was tried: from now on it has leases where its demand calls for them. */
    void add(CustomerView customer) {
        active.add(customer);
    }

    /** All leases are gone. */
    void clear() {
        open.clear();
        active.clear();
    }

    /** Asks for what is needed, and gives back what is not; due every some tens of milliseconds. */
    void beat(double now, Side side) {
        Map<Integer, List<Due>> due = new TreeMap<>();
        for (Iterator<CustomerView> it = active.iterator(); it.hasNext();) {
            CustomerView c = it.next();
            boolean quota = collect(now, side, c, c.quotaLease, QuotaMessage.Of.STORE, due);
            boolean ceiling = collect(now, side, c, c.ceilingLease, QuotaMessage.Of.CEILING, due);
            if (!quota && !ceiling) {
                it.remove();
            }
        }
        writtenAt.values().removeIf(at -> now - at >= LeaseLedger.USE_MS);
        double gapMs = Math.max(GAP_MS, 2 * writtenAt.size() / messagesPerMs);
        due.forEach((owner, leases) -> {
            Double last = writtenAt.get(owner);
            boolean rested = last == null || now - last >= gapMs;
            boolean leaves = leases.stream().anyMatch(d -> d.urgent() && (rested || d.lease().asked() == owner));
            if (leaves && side.mayAsk(now)) {
                writtenAt.put(owner, now);
                write(now, side, owner, leases);
            }
        });
    }

    /** False where there is nothing to lease for, and nothing leased. */
    private boolean collect(double now, Side side, CustomerView c, LeaseHolder lease, QuotaMessage.Of of,
            Map<Integer, List<Due>> due) {
        if (!lease.active(now)) {
            if (!lease.idle(now)) {
                end(now, side, c, lease);
            }
            return false;
        }
        boolean urgent = lease.urgent(now);
        if (urgent || lease.soon(now)) {
            int owner = side.owner(now, c, of);
            if (owner >= 0) {
                due.computeIfAbsent(owner, o -> new ArrayList<>()).add(new Due(c, lease, urgent));
            }
        }
        return true;
    }

    private static void end(double now, Side side, CustomerView c, LeaseHolder lease) {
        int owner = lease.owner();
        QuotaMessage.LeaseRequest end = lease.end(now, side.serial(), c.named);
        if (end != null) {
            side.say(owner, end);
        }
    }

    private void write(double now, Side side, int owner, List<Due> leases) {
        List<Due> first = new ArrayList<>(leases.stream().filter(Due::urgent).toList());
        leases.stream().filter(d -> !d.urgent()).limit(Math.max(0, BATCH - first.size())).forEach(first::add);
        for (Due d : first) {
            QuotaMessage.LeaseRequest request = d.lease().request(now, side.serial(), owner, d.customer().named);
            if (request != null) {
                open.put(request.serial(), new Open(d.customer(), d.lease()));
                side.say(owner, request);
            }
        }
        while (open.size() > OPEN_MAX) {
            open.remove(open.keySet().iterator().next());
        }
    }

    /** A grant; gives the customer whose quota it tells of, null where there is none. */
    CustomerView granted(double now, int from, int life, QuotaMessage.LeaseGrant grant) {
        Open o = open.remove(grant.serial());
        if (o == null) {
            return null;
        }
        o.lease().granted(now, from, life, grant.serial(), grant.units());
        return o.lease() == o.customer().quotaLease ? o.customer() : null;
    }
}
