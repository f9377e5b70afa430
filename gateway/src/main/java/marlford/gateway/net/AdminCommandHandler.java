package marlford.gateway.net;

import java.util.Set;
import java.util.concurrent.Executor;
import marlford.gateway.console.AdminCommands;

/**
 * Passes commands of operators from the console's event loop to the node's. State that the console needs immediately is
 * published here by the node's event loop, so that no console request has to wait for it.
 */
final class AdminCommandHandler implements AdminCommands {
    private final Executor loop;
    private final Runnable quiesce;
    private final Runnable resume;
    private final Runnable applyExclusions;
    private volatile boolean ready;
    private volatile Set<String> listedHosts = Set.of();

    /** @param loop runs the other parameters, in the order in which the commands arrive */
    AdminCommandHandler(Executor loop, Runnable quiesce, Runnable resume, Runnable applyExclusions) {
        this.loop = loop;
        this.quiesce = quiesce;
        this.resume = resume;
        this.applyExclusions = applyExclusions;
    }

    /** Publishes whether the gateway serves clients. */
    void setReady(boolean now) {
        ready = now;
    }

    /** Publishes the hosts that discovery lists. */
    void setListedHosts(Set<String> hosts) {
        listedHosts = hosts;
    }

    int listedHostCount() {
        return listedHosts.size();
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public boolean isListedHost(String host) {
        return listedHosts.contains(host);
    }

    @Override
    public void quiesce() {
        loop.execute(quiesce);
    }

    @Override
    public void resume() {
        loop.execute(resume);
    }

    @Override
    public void excludedHostsChanged() {
        loop.execute(applyExclusions);
    }
}
