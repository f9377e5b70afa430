package marlford.gateway.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The turns of client connections, in each of which one request is processed. A client that waits for its answer before it sends the next
 * request has its turn at once. Connections on which several requests wait take theirs one after the other, for a bounded time in each
 * iteration of the event loop: however many clients send ahead, they delay each other and not those that don't.
 *
 * <p>Used on the event loop.
 */
final class RequestTurns {
    private static final double BACKLOG_MS = 5; // for connections on which several requests wait, in one iteration

    private final Clock clock;
    private final EventLoop loop;
    private final ArrayDeque<Runnable> backlogged = new ArrayDeque<>();
    private boolean scheduled;

    RequestTurns(Clock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
    }

    /**
     * Schedules the turn of a connection.
     *
     * @param sendsAhead whether several requests wait on the connection
     */
    void schedule(Runnable turn, boolean sendsAhead) {
        if (!sendsAhead) {
            loop.execute(turn);
            return;
        }
        backlogged.add(turn);
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::takeBacklogged);
        }
    }

    /** Takes as many turns as the time allows, each connection once; the others follow in the next iteration. */
    private void takeBacklogged() {
        double endMs = clock.now() + BACKLOG_MS;
        for (int waiting = backlogged.size(); waiting > 0 && clock.now() < endMs; waiting--) {
            backlogged.poll().run();
        }
        scheduled = !backlogged.isEmpty();
        if (scheduled) { // a timer, even of no length, fires in the next iteration; a task would run in this one
            loop.schedule(this::takeBacklogged, 0, TimeUnit.MILLISECONDS);
        }
    }
}
