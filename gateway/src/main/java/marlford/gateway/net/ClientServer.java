package marlford.gateway.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import marlford.gateway.accept.AcceptRetry;
import marlford.gateway.guard.Rule;

/** Accepts client connections and checks them at a regular interval. Used on the event loop. */
final class ClientServer {
    private static final long SWEEP_INTERVAL_MS = 100;
    private static final double SWEEP_SHARE_MS = 5; // longest part of a sweep in one iteration of the event loop
    private static final double FIRST_REQUEST_GRACE_MS = 200; // from connecting: longest round trip plus event loop lag

    private final Node node;
    private final RequestParser requestParser;
    private final ClientConnectionRegistry connections;
    private Channel listener;
    private AcceptRetry acceptRetry; // of the current listener
    private long acceptedCount; // connections since the start of the process
    private boolean acceptingBacklog; // the pending connections are being accepted before the listener closes
    private boolean sweepStarted;

    ClientServer(Node node) {
        this.node = node;
        this.requestParser = new RequestParser(node.config.settings());
        this.connections = new ClientConnectionRegistry(node.config.maxDescriptors());
    }

    /** Opens the listener; clients are served once the returned future has succeeded. */
    ChannelFuture start() {
        if (node.isDraining()) {
            node.ruleCounter.countBreach(Rule.LISTENED_WHILE_ENDING);
        }
        AcceptRetry retry = new AcceptRetry(Node::log, this::onDescriptorShortage, node.clock::now,
                () -> node.clock.now() - node.lag.ms());
        ChannelFuture bound = node.transport.server(node.group)
                .handler(retry)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        new ClientConnection(node, connections, requestParser, ch, ++acceptedCount, retry.backlogWaitMs())
                                .addTo(ch.pipeline());
                    }
                }).bind(node.transport.socketAddress(node.config.listen()));
        boolean failed = bound.isDone() && !bound.isSuccess(); // for example, no socket could be created
        listener = failed ? null : bound.channel();
        acceptRetry = retry;
        if (!sweepStarted) {
            sweepStarted = true;
            node.loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return bound;
    }

    /** Closes the listener. Connections that are pending at that time are still accepted, even when the event loop lags. */
    void stopAccepting() {
        pauseAccepting();
        node.loop.schedule(() -> {
            if (listener != null) { // null when a successor process took over meanwhile
                acceptBacklog();
                listener.close();
            }
        }, Node.LOOP_ITERATION_MS, TimeUnit.MILLISECONDS);
    }

    /** Handles a failed accept. While the listener is closing, all pending connections are accepted regardless. */
    private void onDescriptorShortage() {
        if (!acceptingBacklog && !node.transport.hasSpareDescriptors()) {
            connections.onDescriptorShortage(node.clock.now());
        }
    }

    private void acceptBacklog() {
        if (!listener.isOpen()) {
            return; // already done: shutdown and handover to a successor may both close the listener
        }
        acceptingBacklog = true;
        for (int i = 0; i <= Transport.BACKLOG; i++) { // each call accepts at least one connection unless all calls fail
            long callsBefore = acceptRetry.acceptCalls();
            listener.config().setAutoRead(true); // a failed accept may have paused it; one connection is accepted per call then
            Transport.readNow(listener);
            if (acceptRetry.acceptCalls() == callsBefore) {
                break;
            }
        }
        acceptingBacklog = false;
    }

    /** Closes idle connections. A connection that was just opened is kept, because its first request may be under way. */
    void closeIdleConnections() {
        connections.closeAllIdle(node.clock.now() - FIRST_REQUEST_GRACE_MS);
    }

    /**
     * Stops accepting until the listener is closed. Must be called at least one iteration of the event loop before that: the
     * system closes a socket that is still registered only in the next iteration, and it accepts connections until then.
     */
    void pauseAccepting() {
        if (listener != null) {
            listener.deregister();
        }
    }

    /**
     * Closes the listener because a successor process listens on the same address. All pending connections are accepted
     * first, as closing the listener would reset them. Idle connections that have carried a request are closed; the first
     * request of a new connection may be under way.
     */
    void closeForSuccessor() {
        if (listener == null) {
            return;
        }
        acceptBacklog();
        listener.close();
        listener = null;
        connections.closeIdleUsed();
    }

    boolean hasNoConnections() {
        return connections.isEmpty();
    }

    int connectionCount() {
        return connections.count();
    }

    /** Whether a connection has output that could not be written to its socket. */
    boolean hasUnsentOutput() {
        return connections.all().stream().anyMatch(connection -> !connection.channel().isWritable());
    }

    /** Whether a connection has output that its socket has not taken. */
    boolean hasPendingOutput() {
        return connections.all().stream().anyMatch(ClientConnection::hasPendingOutput);
    }

    /** Whether a client has sent a request whose answer has not left this process whole, also as its host still gives it. */
    boolean owesAnswers() {
        return connections.all().stream().anyMatch(ClientConnection::owesAnswer);
    }

    /** Returns the listener; null while there is none. */
    Channel listener() {
        return listener;
    }

    /** Ends connections whose client has stopped and connections that have been idle for too long. */
    private void sweep() {
        double now = node.clock.now();
        connections.endLingering(now);
        checkProgress(connections.all().iterator());
    }

    /** Checks the given connections, as many in each iteration of the event loop as its share of time allows. */
    private void checkProgress(Iterator<ClientConnection> unchecked) {
        double endMs = node.clock.now() + SWEEP_SHARE_MS;
        while (unchecked.hasNext() && node.clock.now() < endMs) {
            ClientConnection next = unchecked.next();
            node.inputBudget.readSparingly(() -> endIfStopped(next));
        }
        if (unchecked.hasNext()) {
            node.loop.schedule(() -> checkProgress(unchecked), Node.LOOP_ITERATION_MS, TimeUnit.MILLISECONDS);
        } else {
            closeIdle(node.clock.now());
            node.loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static void endIfStopped(ClientConnection connection) {
        try {
            connection.endIfStopped();
        } catch (RuntimeException e) { // affects only this connection; the others are still checked
            Node.log("defect: checking the progress of a client connection failed, closing it: " + e);
            connection.close(CloseReason.IO_ERROR);
        }
    }

    private void closeIdle(double now) {
        if (now - node.releasingSinceMs() > node.shutdownSchedule.acceptUntilMs()) {
            connections.closeIdleForRelease(now);
        }
        connections.closeIdle(now);
    }
}
