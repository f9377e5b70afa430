package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** For how long input may have waited when an event loop was late. */
class EventLoopLagTest {
    private static final long TICK_MS = 20;
    private static final double ACCURACY_MS = 0.001;

    private final ManualClock clock = ManualClock.stopped();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final EventLoopLag lag = new EventLoopLag(clock, channel.eventLoop());

    /** Lets time pass, without running anything. */
    private void pass(long ms) {
        channel.freezeTime();
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        clock.advance(ms);
    }

    private void run() {
        channel.runScheduledPendingTasks();
    }

    @Test
    void aLoopThatIsInTimeHasNone() {
        lag.start();
        pass(TICK_MS);
        run();
        pass(TICK_MS / 2);
        assertEquals(0, lag.ms(), ACCURACY_MS);
    }

    @Test
    void theDelayOfTheLastTickAndOfOneThatIsOverdueCount() {
        lag.start();
        pass(TICK_MS + 150);
        assertEquals(150, lag.ms(), ACCURACY_MS);
        run();
        assertEquals(150, lag.ms(), ACCURACY_MS);
        pass(TICK_MS);
        run();
        assertEquals(0, lag.ms(), ACCURACY_MS);
    }

    /** Guards against hosts that were told more time than their client had left: input came at the start of the first of two delays. */
    @Test
    void inputMayHaveWaitedThroughTwoDelaysOnEnd() {
        lag.start();
        pass(TICK_MS + 150);
        run();
        pass(TICK_MS + 100);
        assertEquals(250, lag.ms(), ACCURACY_MS);
    }
}
