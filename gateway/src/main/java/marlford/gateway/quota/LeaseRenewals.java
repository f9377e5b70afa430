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
 * Renews this gateway's leases in batches. A message costs its receiver the same whatever it contains, so a message that
 * has to be sent also carries the renewals that would be due soon. The more owners there are, the less often each of them
 * receives a message, so that requests and answers together stay within half of the message budget.
 *
 * <p>Bound: {@value #MAX_OPEN_REQUESTS} unanswered requests. No I/O and no clock; not thread-safe.
 */
final class LeaseRenewals {
    private static final double MIN_GAP_MS = 100; // between two messages to one owner
    private static final double MESSAGE_BUDGET_SHARE = 0.5; // for requests and grants together
    private static final int MAX_REQUESTS_PER_MESSAGE = 16; // requests that fit into one message
    private static final int MAX_OPEN_REQUESTS = 1024;

    /** What the renewals need from their gateway. */
    interface Context {
        /** Returns the gateway to request a lease of these units from, or -1 if there is none. */
        int owner(double now, CustomerView customer, QuotaMessage.UnitScope scope);

        /** Returns a serial that was not used before. */
        int newSerial();

        /** Returns whether the message budget allows one more message, and takes it from the budget if so. */
        boolean takeMessage(double now);

        /** Enqueues the request for the next message to that peer. */
        void enqueue(int peer, QuotaMessage.LeaseRequest request);
    }

    /** A lease to renew now, or soon if it is not urgent. */
    private record Due(CustomerView customer, LeaseHolder lease, boolean urgent) { }

    /** A request that waits for its answer. */
    private record OpenRequest(CustomerView customer, LeaseHolder lease) { }

    private final double messagesPerMs;
    private final Set<CustomerView> active = new LinkedHashSet<>();
    private final Map<Integer, OpenRequest> openRequests = new LinkedHashMap<>();
    // Time of the last message by owner, for owners that had a renewal due recently.
    private final Map<Integer, Double> sentAt = new TreeMap<>();

    /** @param messagesPerSecond messages per second that a gateway accepts */
    LeaseRenewals(double messagesPerSecond) {
        messagesPerMs = Math.max(1, messagesPerSecond) * MESSAGE_BUDGET_SHARE / 1000;
    }

    /** Notes an attempt for the customer; from now on it gets leases if its demand calls for them. */
    void add(CustomerView customer) {
        active.add(customer);
    }

    /** Forgets all leases and open requests. */
    void clear() {
        openRequests.clear();
        active.clear();
    }

    /** Requests the leases that are needed and returns those that are not; to be called every few tens of milliseconds. */
    void tick(double now, Context context) {
        Map<Integer, List<Due>> due = new TreeMap<>();
        for (Iterator<CustomerView> it = active.iterator(); it.hasNext();) {
            CustomerView customer = it.next();
            boolean quota = collect(now, context, customer, customer.quotaLease, QuotaMessage.UnitScope.QUOTA, due);
            boolean ceiling = collect(now, context, customer, customer.ceilingLease, QuotaMessage.UnitScope.CEILING, due);
            if (!quota && !ceiling) {
                it.remove();
            }
        }
        sentAt.values().removeIf(at -> now - at >= LeaseLedger.HOLDER_TERM_MS);
        double gapMs = Math.max(MIN_GAP_MS, 2 * sentAt.size() / messagesPerMs);
        due.forEach((owner, leases) -> {
            Double last = sentAt.get(owner);
            boolean gapElapsed = last == null || now - last >= gapMs;
            boolean shouldSend = leases.stream().anyMatch(d -> d.urgent() && (gapElapsed || d.lease().openRequestOwner() == owner));
            if (shouldSend && context.takeMessage(now)) {
                sentAt.put(owner, now);
                send(now, context, owner, leases);
            }
        });
    }

    /** Returns false if there is no demand to lease for. */
    private boolean collect(double now, Context context, CustomerView customer, LeaseHolder lease, QuotaMessage.UnitScope scope,
            Map<Integer, List<Due>> due) {
        if (!lease.hasDemand(now)) {
            if (!lease.isIdle(now)) {
                endLease(now, context, customer, lease);
            }
            return false;
        }
        boolean urgent = lease.isUrgent(now);
        if (urgent || lease.isDueSoon(now)) {
            int owner = context.owner(now, customer, scope);
            if (owner >= 0) {
                due.computeIfAbsent(owner, o -> new ArrayList<>()).add(new Due(customer, lease, urgent));
            }
        }
        return true;
    }

    private static void endLease(double now, Context context, CustomerView customer, LeaseHolder lease) {
        int owner = lease.owner();
        QuotaMessage.LeaseRequest end = lease.end(now, context.newSerial(), customer.key);
        if (end != null) {
            context.enqueue(owner, end);
        }
    }

    private void send(double now, Context context, int owner, List<Due> leases) {
        List<Due> batch = new ArrayList<>(leases.stream().filter(Due::urgent).toList());
        leases.stream().filter(d -> !d.urgent()).limit(Math.max(0, MAX_REQUESTS_PER_MESSAGE - batch.size())).forEach(batch::add);
        for (Due d : batch) {
            QuotaMessage.LeaseRequest request = d.lease().nextRequest(now, context.newSerial(), owner, d.customer().key);
            if (request != null) {
                openRequests.put(request.serial(), new OpenRequest(d.customer(), d.lease()));
                context.enqueue(owner, request);
            }
        }
        while (openRequests.size() > MAX_OPEN_REQUESTS) {
            openRequests.remove(openRequests.keySet().iterator().next());
        }
    }

    /** Handles a grant. Returns the customer whose quota the grant reports on, or null if there is none. */
    CustomerView onGrant(double now, int from, int incarnation, QuotaMessage.LeaseGrant grant) {
        OpenRequest request = openRequests.remove(grant.serial());
        if (request == null) {
            return null;
        }
        request.lease().onGrant(now, from, incarnation, grant.serial(), grant.units());
        return request.lease() == request.customer().quotaLease ? request.customer() : null;
    }
}
