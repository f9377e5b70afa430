package marlford.gateway.guard;

import java.util.ArrayList;
import java.util.List;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.Scope;

/**
 * The time during which one listed host has an address, and what is known of the processes that may have answered there under its name.
 * Discovery tells of an end and of a new host late, in either order, and a connection that was opened since the change leads to another
 * process than the listed host. Which side of the change a connection is on follows from when it was opened:
 *
 * <ul>
 * <li>A change that is told now happened after the last time the list was confirmed, less the longest delay of discovery.
 * <li>A response on a connection shows that its process was alive all the time from when that was opened up to the request, so other
 * connections that were opened in between lead to the same process.
 * </ul>
 *
 * <p>No clock and no I/O. Times are milliseconds on the caller's clock.
 */
public final class AddressTenure {
    /** A host that was told of at the address later, and the earliest time at which its process can have come up. */
    private record Successor(Host host, double earliestMs) { }

    private final Host host;
    private final ListConfirmation confirmation;
    private HostIdentity losses; // at the address; null until the first one, as lists may be long and most hosts have none
    private List<Successor> successors = List.of();
    private KeyGroups sharedWith; // hosts of which any may be at the address, this one among them; null if it is this one
    private double aliveSinceMs = Double.NEGATIVE_INFINITY; // one process had the address from here
    private double aliveUntilMs = Double.NEGATIVE_INFINITY; // to here, by its responses
    private double endToldAtMs = Double.POSITIVE_INFINITY;
    private double endedAfterMs = Double.POSITIVE_INFINITY; // another process can have the address from here on

    /** @param losses at the address so far, which the tenure does not explain; null if there are none */
    AddressTenure(Host host, ListConfirmation confirmation, HostIdentity losses) {
        this.host = host;
        this.confirmation = confirmation;
        this.losses = losses;
    }

    /** Takes over the losses at the address, of which there were none before. */
    void setLosses(HostIdentity first) {
        losses = first;
    }

    /**
     * Records a response.
     *
     * @param openedAtMs when its connection was opened
     * @param aliveAtMs when the process was certainly alive: the time of the request, as the response may have waited to be read
     */
    public void recordResponse(double openedAtMs, double aliveAtMs) {
        double untilMs = Math.max(openedAtMs, aliveAtMs);
        if (openedAtMs > aliveUntilMs) {
            aliveSinceMs = openedAtMs;
            aliveUntilMs = untilMs;
        } else if (untilMs >= aliveSinceMs) {
            aliveSinceMs = Math.min(aliveSinceMs, openedAtMs);
            aliveUntilMs = Math.max(aliveUntilMs, untilMs);
        }
    }

    /** Records that discovery has told of the end of the host, or of a host that has taken over its address. */
    void recordEnd(double now, double earliestMs) {
        endToldAtMs = now;
        endedAfterMs = aliveSinceMs < earliestMs ? Math.max(earliestMs, aliveUntilMs) : earliestMs;
    }

    /** Records a host that discovery has told of at this address after the end. */
    void recordSuccessor(Host successor, double earliestMs) {
        double sinceMs = Math.max(earliestMs, endedAfterMs);
        boolean known = successors.stream().anyMatch(
                other -> other.earliestMs() <= sinceMs && Scope.CELL.sharesKeys(other.host(), successor));
        if (!known) {
            successors = new ArrayList<>(successors);
            successors.add(new Successor(successor, sinceMs));
        }
    }

    /** Records that any of these hosts may be the one at the address. */
    void shareWith(KeyGroups others) {
        sharedWith = others;
    }

    double endToldAtMs() {
        return endToldAtMs;
    }

    /** Whether no connection was lost that leaves it in doubt which process a newer one, opened at this time, leads to. */
    boolean isUndisturbed(double openedAtMs) {
        return losses == null || losses.isCertain(openedAtMs);
    }

    /**
     * Whether by all that discovery has told, or counts as having told, a connection that was opened at this time leads to a host that drops the
     * repeats of this host: to this one, or to one that shares its idempotency keys.
     */
    boolean leadsToHost(double now, double openedAtMs, Scope scope) {
        if (scope == Scope.ALL) {
            return true;
        }
        if (!confirmation.isCurrent(now) && !confirmation.covers(openedAtMs)) {
            return false;
        }
        if (sharedWith != null && !sharedWith.allShareKeysWith(host, scope)) {
            return false;
        }
        for (Successor successor : successors) {
            if (openedAtMs >= successor.earliestMs() && !scope.sharesKeys(host, successor.host())) {
                return false;
            }
        }
        boolean successorsAreTold = !successors.isEmpty() || confirmation.covers(endToldAtMs);
        return openedAtMs < endedAfterMs || successorsAreTold;
    }
}
