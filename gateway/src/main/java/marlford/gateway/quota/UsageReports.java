package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Reports to ledger replicas what was admitted and refused here without their consent, in batches: one message to a replica
 * carries all of its waiting customers, and the customer that has waited longest determines the next receiver. So for a
 * gateway with few attempts for each of many customers, the number of customers does not add to the number of messages.
 *
 * <p>Bound: each customer waits at most once. No I/O and no clock; not thread-safe.
 */
final class UsageReports {
    private static final double MIN_WAIT_MS = 500; // Minimum time for further reports to join the batch.
    private static final double MESSAGE_GAP_MS = 100; // Gap between two messages, which leaves message budget for other queries.
    private static final int MAX_REPORTS_PER_MESSAGE = 15; // Reports that fit into one message next to another item.

    /** What the reports need from their gateway. */
    interface Context {
        /** Returns the replica in charge of the customer's ledger, or -1 if none is reachable. */
        int replicaInCharge(double now, CustomerView customer);

        /** Returns whether the message budget allows one more message, and takes it from the budget if so. */
        boolean takeMessage(double now);

        /** Sends a report to the replica, which may be this gateway itself. */
        void report(double now, int replica, CustomerView customer);
    }

    private final Set<CustomerView> waiting = new LinkedHashSet<>();
    private double sentAt = Double.NEGATIVE_INFINITY;

    /** Enqueues a customer for which something was decided that its ledger replica does not know of. */
    void add(double now, CustomerView customer) {
        if (waiting.add(customer)) {
            customer.unreportedSince = now;
        }
    }

    /** Sends the reports that have waited long enough; to be called every few tens of milliseconds. */
    void tick(double now, Context context) {
        if (now - sentAt < MESSAGE_GAP_MS) {
            return;
        }
        sentAt = now;
        int to = -1;
        List<CustomerView> batch = new ArrayList<>();
        for (CustomerView customer : waiting) {
            if (to < 0 && now - customer.unreportedSince < MIN_WAIT_MS || batch.size() == MAX_REPORTS_PER_MESSAGE) {
                break;
            }
            int replica = context.replicaInCharge(now, customer);
            if (to < 0 && replica >= 0 && !context.takeMessage(now)) {
                return;
            }
            to = to < 0 ? replica : to;
            if (replica >= 0 && replica == to) {
                batch.add(customer);
            }
        }
        for (CustomerView customer : batch) {
            waiting.remove(customer);
            context.report(now, to, customer);
        }
    }
}
