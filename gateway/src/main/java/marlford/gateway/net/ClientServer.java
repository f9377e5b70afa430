package marlford.gateway.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.concurrent.TimeUnit;
import marlford.gateway.accept.AcceptRetry;
import marlford.gateway.guard.Rule;

/** Accepts clients, and looks over their connections at a steady pace. */
final class ClientServer {
    static final int MAX_BODY = 64 * 1024;
    private static final long SWEEP_MS = 100;
    private static final double ASKS_WITHIN_MS = 200; // of connecting: the longest way there and back, and a late loop

    private final Node node;
    private final RequestParser terms;
    private final ClientConnectionRegistry places;
    private Channel listener;
    private AcceptRetry acceptRetry; // of that listener
    private long accepted; // connections since the start
    private boolean takingQueue; // ahead of the listener's end
    private boolean swept; // the sweep has begun

    ClientServer(Node node) {
        this.node = node;
        this.terms = new RequestParser(node.config.settings());
        this.places = new ClientConnectionRegistry(node.config.sockets());
    }

    /** Clients are served once this is done. */
    ChannelFuture start() {
        if (node.isDraining()) {
            node.rules.broken(Rule.LISTENED_WHILE_ENDING);
        }
        AcceptRetry accepting = new AcceptRetry(Node::log, this::noDescriptor, node.clock::now);
        ChannelFuture bound = node.transport.server(node.group)
                .handler(accepting)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        new ClientConnection(node, places, terms, ch, ++accepted, accepting.waitedMs()).addTo(ch.pipeline());
                    }
                }).bind(node.transport.at(node.config.listen()));
        boolean failed = bound.isDone() && !bound.isSuccess(); // there was no socket for it
        listener = failed ? null : bound.channel();
        acceptRetry = accepting;
        if (!swept) {
            swept = true;
            node.loop.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
        return bound;
    }

    /** After this only those who are connected are heard: who stands in the queue by now is, though this loop be late. */
    void stopAccepting() {
        pause();
        node.loop.schedule(() -> {
            if (listener != null) { // else another process took this one's place meanwhile
                takeQueue();
                listener.close();
            }
        }, Node.TURN_MS, TimeUnit.MILLISECONDS);
    }

    /** Who stands in the queue at the listener's end is taken in all the same. */
    private void noDescriptor() {
        if (!takingQueue && !node.transport.hasSpareDescriptors()) {
            places.noDescriptor(node.clock.now());
        }
    }

    private void takeQueue() {
        if (!listener.isOpen()) {
            return; // an end and a process that takes this one's place may come to it both
        }
        takingQueue = true;
        for (int i = 0; i <= Transport.BACKLOG; i++) { // one a call at least, where all but that fail
            long before = acceptRetry.calls();
            listener.config().setAutoRead(true); // a failure may have paused it, and then one is taken a call
            Transport.readNow(listener);
            if (acceptRetry.calls() == before) {
                break;
            }
        }
        takingQueue = false;
    }

    /** After this only requests that already came are answered; who has just connected is about to ask. */
    void giveUpIdle() {
        places.closeAll(node.clock.now() - ASKS_WITHIN_MS);
    }

    /**
     * Accepts nothing for a moment, ahead of the listener's end and at least one turn of the event loop before it: a socket
     * that the loop still knows is closed by the system only at its next turn, and takes connections until then.
     */
    void pause() {
        if (listener != null) {
            listener.deregister();
        }
    }

    /**
     * Another process listens at this address, too: what stands in the queue here would be reset with the listener, so
     * all of it is accepted first. Connections that asked before and are idle are closed; one that was just made is
     * about to ask.
     */
    void leave() {
        if (listener == null) {
            return;
        }
        takeQueue();
        listener.close();
        listener = null;
        places.closeUsed();
    }

    boolean idle() {
        return places.isEmpty();
    }

    int count() {
        return places.count();
    }

    boolean hasUnsent() {
        return places.all().stream().anyMatch(c -> !c.channel().isWritable());
    }

    Channel listener() {
        return listener;
    }

    /** Silence, and a request that does not get on, end here; so do idle connections, sooner where there are many. */
    private void sweep() {
        node.loop.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        double now = node.clock.now();
        places.endLingering(now);
        for (ClientConnection c : places.all()) {
            try {
                c.endIfStopped();
            } catch (RuntimeException e) { // of this connection alone: the others are looked at all the same
                Node.log("defect: a connection could not be looked at: " + e);
                c.close(CloseReason.IO_ERROR);
            }
        }
        if (now - node.awayAt() > node.end.acceptsMs()) {
            places.closeAway(now);
        }
        places.closeIdle(now);
    }
}
