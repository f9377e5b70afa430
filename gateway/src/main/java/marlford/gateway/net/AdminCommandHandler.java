package marlford.gateway.net;

import java.util.Set;
import java.util.concurrent.Executor;
import marlford.gateway.console.AdminCommands;

/**
 * What operators ask of a node, handed from the console's loop to the node's own. What the console must know at once is
 * published here by the node's loop, so that no answer waits for it.
 */
final class AdminCommandHandler implements AdminCommands {
    private final Executor loop;
    private final Runnable quiesce;
    private final Runnable resume;
    private final Runnable leaveOut;
    private volatile boolean ready;
    private volatile Set<String> listed = Set.of();

    /** @param loop runs the others, in their order */
    AdminCommandHandler(Executor loop, Runnable quiesce, Runnable resume, Runnable leaveOut) {
        this.loop = loop;
        this.quiesce = quiesce;
        this.resume = resume;
        this.leaveOut = leaveOut;
    }

    void ready(boolean now) {
        ready = now;
    }

    void listed(Set<String> hosts) {
        listed = hosts;
    }

    int listedCount() {
        return listed.size();
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public boolean knows(String host) {
        return listed.contains(host);
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
    public void leftOutChanged() {
        loop.execute(leaveOut);
    }
}
