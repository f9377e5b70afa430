package marlford.gateway.console;

/** Commands of operators to a gateway. The methods do not block and may be called from any thread. */
public interface AdminCommands {
    /** Returns whether clients are served: false until the listener is open, while quiesced, and once a shutdown was requested. */
    boolean isReady();

    /** Returns whether discovery lists this host. */
    boolean isListedHost(String host);

    /** Releases all clients to other gateways until {@link #resume} is called; a second call has no effect. */
    void quiesce();

    /** Ends {@link #quiesce}: clients are served again, unless a shutdown or an upgrade in progress prevents it. */
    void resume();

    /** The set of excluded hosts has changed. */
    void excludedHostsChanged();
}
