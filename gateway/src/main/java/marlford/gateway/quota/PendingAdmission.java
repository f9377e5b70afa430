package marlford.gateway.quota;

import java.util.HashSet;
import java.util.Set;

/**
 * One request that waits for units: first of its customer's quota, then of the ceiling, each requested from one gateway at
 * a time.
 */
final class PendingAdmission {
    final String id;
    final CustomerView customer;
    final double units;
    final double deadlineMs;
    int replicaIndex = -1; // Index of the ledger replica that was queried last.
    int serial;
    int sendCount;
    double queriedAt;
    double replyDueAt;
    QuotaMessage.UnitScope scope = QuotaMessage.UnitScope.BOTH;
    QuotaCoordinator.Grant quotaGrant; // The quota units, while units of the ceiling are being sought.
    // Whether the quota part was admitted in degraded mode, that is, without the consent of a replica and without granted
    // units.
    boolean degraded;
    int peer; // The gateway that was queried last.
    final Set<Integer> triedLenders = new HashSet<>(); // Gateways already tried for units of the ceiling.
    private double queuedUntil = Double.POSITIVE_INFINITY; // Set when the query first waits for message budget.

    /** @param deadlineMs time at which the request must be decided at the latest */
    PendingAdmission(String id, CustomerView customer, double units, double deadlineMs) {
        this.id = id;
        this.customer = customer;
        this.units = units;
        this.deadlineMs = deadlineMs;
    }

    /** Notes that the query waits for message budget. The limit counts from the first call. */
    void markQueued(double now, double maxWaitMs) {
        queuedUntil = Math.min(queuedUntil, now + maxWaitMs);
    }

    /** Returns the time by which the query must have been sent; after it the request is refused. */
    double sendDeadline(double replyTimeoutMs) {
        return Math.min(queuedUntil, deadlineMs - replyTimeoutMs);
    }
}
