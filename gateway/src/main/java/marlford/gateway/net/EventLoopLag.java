package marlford.gateway.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * How late the event loop comes to what waits for it: a beat against its due time. What is read now may have stood
 * in its socket for so long, so its time is counted from before the loop was busy, not from the reading.
 */
final class EventLoopLag {
    private static final long BEAT_MS = 20;
    private static final double GRAIN_MS = 10; // less is the timers' own doing

    private final Clock clock;
    private final EventLoop loop;
    private double due;
    private double last;

    EventLoopLag(Clock clock, EventLoop loop) {
        this.clock = clock;
        this.loop = loop;
    }

    /** On the event loop. */
    void start() {
        due = clock.now() + BEAT_MS;
        loop.schedule(() -> {
            last = clock.now() - due;
            start();
        }, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** The lateness of the last beat, or of the next one where that is overdue by more. */
    double ms() {
        double lag = Math.max(last, clock.now() - due);
        return due > 0 && lag > GRAIN_MS ? lag : 0;
    }
}
