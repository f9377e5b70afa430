package marlford.gateway.quota;

import java.util.HashSet;
import java.util.Set;

/** One request that waits for units: of its customer's quota, then of the ceiling, each of one gateway at a time. */
final class PendingAdmission {
    final String id;
    final CustomerView customer;
    final double units;
    final double lastMs;
    int place = -1; // of the keeper that was asked last
    int serial;
    int sends;
    double askedAt;
    double answerBy;
    QuotaMessage.Of of = QuotaMessage.Of.BOTH;
    QuotaCoordinator.Grant quota; // the store's units, while the ceiling's are looked for
    boolean guessed; // in place of them: let in without a keeper's word
    int peer; // that was asked last
    final Set<Integer> lenders = new HashSet<>(); // that had none
    private double queuedUntil = Double.POSITIVE_INFINITY; // set as it first waits for a message to leave

    /** @param lastMs when it must be decided at the latest */
    PendingAdmission(String id, CustomerView customer, double units, double lastMs) {
        this.id = id;
        this.customer = customer;
        this.units = units;
        this.lastMs = lastMs;
    }

    /** It waits for a message to leave; counted from the first time, until so long after it. */
    void queued(double now, double mostMs) {
        queuedUntil = Math.min(queuedUntil, now + mostMs);
    }

    /** When it must have left, or is given up. */
    double leavesBy(double answerMs) {
        return Math.min(queuedUntil, lastMs - answerMs);
    }
}
