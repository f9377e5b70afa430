package marlford.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Thread and clock of the Raft engine. The engine's heartbeats are configured in whole seconds, too coarse for a
 * fleet on one network; its clock therefore runs {@value #FACTOR} times as fast as real time. It is derived from the
 * monotonic clock, so a step of the system clock has no effect.
 */
final class EngineExecutor extends Clock implements RaftNodeExecutor {
    /** Milliseconds of the engine in one of ours. */
    static final int FACTOR = 5;

    private final ScheduledThreadPoolExecutor thread;
    private final MonotonicClock time;

    EngineExecutor(String name, MonotonicClock time) {
        this.time = time;
        thread = new ScheduledThreadPoolExecutor(1, work -> {
            Thread t = new Thread(work, name);
            t.setDaemon(true);
            return t;
        });
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    ScheduledExecutorService thread() {
        return thread;
    }

    @Override
    public void execute(Runnable work) {
        thread.execute(work);
    }

    @Override
    public void submit(Runnable work) {
        thread.execute(work);
    }

    @Override
    public void schedule(Runnable work, long delay, TimeUnit unit) {
        thread.schedule(work, (long) (unit.toNanos(delay) / FACTOR / time.rate()), TimeUnit.NANOSECONDS);
    }

    @Override
    public long millis() {
        return (long) (time.ms() * FACTOR);
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this; // it tells no time of day
    }
}
