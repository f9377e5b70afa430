package marlford.gateway.guard;

import marlford.gateway.EngineApi.Scope;

/**
 * The process at the other end of a connection to a host.
 *
 * @param tenure of the host for whose address the connection was opened
 * @param openedAtMs when the connection came up
 */
public record ReachedProcess(AddressTenure tenure, double openedAtMs) {
    /**
     * Whether it certainly is the listed host, or one that shares its idempotency keys. To be asked right before the first byte of an
     * attempt: a connection that is lost later may have been lost with this process.
     */
    public boolean isListedHost(double now, Scope scope) {
        return scope == Scope.ALL || tenure.isUndisturbed(openedAtMs) && tenure.leadsToHost(now, openedAtMs, scope);
    }

    /**
     * Whether by what discovery has told since it was the listed host, or one that shares its idempotency keys. To be asked for each attempt that
     * may have run, when another one is decided and when it is written.
     */
    public boolean wasListedHost(double now, Scope scope) {
        return tenure.leadsToHost(now, openedAtMs, scope);
    }
}
