package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tells keepers what was let in and refused here without their word, in batches: one message to a keeper has all of its
 * customers that wait, and the customer that waits longest says who is written to next. So where a gateway has few tries of
 * each of many customers, their number does not add to the messages.
 *
 * <p>Bound: each customer waits once. Pure: no I/O and no clock. Not thread-safe.
 */
final class UsageReports {
    private static final double WAIT_MS = 500; // at least, for others that go along
    private static final double APART_MS = 100; // between two messages: other questions need some, too
    private static final int BATCH = 15; // reports that fit one message, beside another item

    /** What the reports need of their gateway. */
    interface Side {
        /** Who is in charge of the customer's book; -1 where nobody is there. */
        int keeper(double now, CustomerView customer);

        /** Whether one more message may leave; it counts as left. */
        boolean mayTell(double now);

        /** Tells that keeper, which may be this gateway. */
        void report(double now, int keeper, CustomerView customer);
    }

    private final Set<CustomerView> waiting = new LinkedHashSet<>();
    private double toldAt = Double.NEGATIVE_INFINITY;

    /** Something was decided for that customer that its keeper does not know of. */
    void add(double now, CustomerView customer) {
        if (waiting.add(customer)) {
            customer.unreportedSince = now;
        }
    }

    /** Tells what has waited long enough; due every some tens of milliseconds. */
    void beat(double now, Side side) {
        if (now - toldAt < APART_MS) {
            return;
        }
        toldAt = now;
        int to = -1;
        List<CustomerView> batch = new ArrayList<>();
        for (CustomerView c : waiting) {
            if (to < 0 && now - c.unreportedSince < WAIT_MS || batch.size() == BATCH) {
                break;
            }
            int keeper = side.keeper(now, c);
            if (to < 0 && keeper >= 0 && !side.mayTell(now)) {
                return;
            }
            to = to < 0 ? keeper : to;
            if (keeper >= 0 && keeper == to) {
                batch.add(c);
            }
        }
        for (CustomerView c : batch) {
            waiting.remove(c);
            side.report(now, to, c);
        }
    }
}
