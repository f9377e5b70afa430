package marlford.gateway.guard;

/**
 * Whether a connection leads to the process that discovery lists at an address. A host that resets a connection, ends it within an exchange
 * or refuses one may have ended, and another host may come up at its address before discovery says so. A connection that was open before
 * and still is leads to the same process. A newer one is certain only once discovery has confirmed the list without a change of the host, long
 * enough after the loss, or after the connection was opened. Time alone proves nothing, as discovery may be silent.
 *
 * <p>No clock and no I/O. Times are milliseconds on the caller's clock.
 */
final class HostIdentity {
    private final ListConfirmation confirmation;
    private double firstLossMs = Double.NEGATIVE_INFINITY; // of the present time of doubt
    private double lastLossMs = Double.NEGATIVE_INFINITY;

    HostIdentity(ListConfirmation confirmation) {
        this.confirmation = confirmation;
    }

    /** Records that the host reset, ended or refused a connection. */
    void recordLoss(double now) {
        if (isSettled()) {
            firstLossMs = now;
        }
        lastLossMs = now;
    }

    /** Whether a connection that is open now leads to the listed host. */
    boolean isCertain(double openedAtMs) {
        return isSettled() || openedAtMs < firstLossMs || confirmation.covers(openedAtMs);
    }

    private boolean isSettled() {
        return lastLossMs == Double.NEGATIVE_INFINITY || confirmation.covers(lastLossMs);
    }
}
