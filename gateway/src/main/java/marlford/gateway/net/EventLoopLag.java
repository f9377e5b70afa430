package marlford.gateway.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late the event loop runs its tasks, by the delay of a periodic tick. Input that is read now may have waited
 * in its socket for that long, so the time of a request is counted from before the loop was busy, not from when it is read.
 */
final class EventLoopLag {
    private static final long TICK_MS = 20;
    private static final double TIMER_TOLERANCE_MS = 10; // a smaller delay is caused by the timers themselves

    private final Clock clock;
    private final EventLoop loop;
    private double dueMs;
    private double lastLagMs;

    EventLoopLag(Clock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
    }

    /** Starts the periodic tick. Must be called on the event loop. */
    void start() {
        dueMs = clock.now() + TICK_MS;
        loop.schedule(() -> {
            lastLagMs = clock.now() - dueMs;
            start();
        }, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the lag in milliseconds: the delay of the last tick and that of the next one, if it is overdue. Input that came at the start of the
     * first may be read at the end of the second.
     */
    double ms() {
        double lag = Math.max(0, lastLagMs) + Math.max(0, clock.now() - dueMs);
        return dueMs > 0 && lag > TIMER_TOLERANCE_MS ? lag : 0;
    }
}
