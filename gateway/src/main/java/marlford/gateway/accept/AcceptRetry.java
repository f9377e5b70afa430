package marlford.gateway.accept;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Keeps a listener accepting after a failed accept; without it Netty's bootstrap stops accepting for a second. The first failure
 * in a row has no further effect. Each further one is followed by a pause that doubles up to {@value #MAX_PAUSE_MS} ms, since the
 * system reports the same waiting connections again and again. One instance for each listener, set as its bootstrap's handler;
 * used on the listener's event loop.
 */
public final class AcceptRetry extends ChannelInboundHandlerAdapter {
    private static final long FIRST_PAUSE_MS = 4;
    static final long MAX_PAUSE_MS = 50;
    private static final String NO_DESCRIPTOR_MESSAGE = "Too many open files"; // in the process, or in the whole system

    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_ACCEPTS_PER_READ = 16; // Netty's own limit for one read loop of a listener
    private static final double NO_BACKLOG = -1;

    private final Backoff backoff = new Backoff(FIRST_PAUSE_MS, MAX_PAUSE_MS);
    private final Consumer<String> log;
    private final Runnable makeRoom;
    private final DoubleSupplier clock;
    private final DoubleSupplier earliestArrivalMs;
    private int acceptedInRead; // connections accepted in the current read loop
    private double readStartMs; // when the first connection of that loop can have come
    private double backlogBeforeReadMs = NO_BACKLOG; // the next field as it was before the latest read loop ended
    private double backlogSinceMs = NO_BACKLOG; // since when each read loop may have left connections behind
    private long acceptCalls; // connections accepted, and failures
    private int failures; // in a row
    private boolean everLogged;
    private long lastLogNanos;
    private int unloggedFailures; // since the last log line
    private boolean paused;

    /** For a listener whose connections' waiting time is not needed, and which has no descriptors to release. */
    public AcceptRetry(Consumer<String> log) {
        this(log, () -> { }, () -> 0, () -> 0);
    }

    /**
     * @param log receives one line per second at most while accepts fail
     * @param makeRoom runs when no file descriptor was left
     * @param clock current time in milliseconds
     * @param earliestArrivalMs the earliest time at which a connection that is accepted now can have come, if none came before it: a late event
     *     loop accepts none
     */
    public AcceptRetry(Consumer<String> log, Runnable makeRoom, DoubleSupplier clock, DoubleSupplier earliestArrivalMs) {
        this.clock = clock;
        this.earliestArrivalMs = earliestArrivalMs;
        this.log = log;
        this.makeRoom = makeRoom;
    }

    /** The number of accepted connections and failures since the listener was opened. */
    public long acceptCalls() {
        return acceptCalls;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        acceptCalls++;
        failures = 0;
        backoff.reset();
        readStartMs = acceptedInRead++ == 0 ? earliestArrivalMs.getAsDouble() : readStartMs;
        ctx.fireChannelRead(accepted);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        backlogBeforeReadMs = backlogSinceMs;
        if (acceptedInRead < MAX_ACCEPTS_PER_READ && !paused) {
            backlogSinceMs = NO_BACKLOG;
        } else if (backlogSinceMs == NO_BACKLOG) {
            backlogSinceMs = acceptedInRead == 0 ? earliestArrivalMs.getAsDouble() : readStartMs;
        }
        acceptedInRead = 0;
        ctx.fireChannelReadComplete();
    }

    /** Upper limit of the time that a connection being accepted now has waited behind others, in milliseconds. */
    public double backlogWaitMs() {
        return backlogSinceMs == NO_BACKLOG ? 0 : clock.getAsDouble() - backlogSinceMs;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        acceptCalls++;
        failures++;
        keepBacklog();
        logRateLimited(cause);
        if (String.valueOf(cause.getMessage()).contains(NO_DESCRIPTOR_MESSAGE)) {
            makeRoom.run();
        }
        if (failures > 1 && !paused) {
            pause(ctx.channel());
        }
    }

    /** A failure ends a read loop early, after which connections may still wait. Netty reports it behind the end of the loop. */
    private void keepBacklog() {
        if (backlogSinceMs == NO_BACKLOG) {
            backlogSinceMs = backlogBeforeReadMs == NO_BACKLOG ? earliestArrivalMs.getAsDouble() : backlogBeforeReadMs;
        }
    }

    /** Logs one line per second at most, since logging every failure would cost more than accepting. */
    private void logRateLimited(Throwable cause) {
        unloggedFailures++;
        long now = System.nanoTime();
        if (everLogged && now - lastLogNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        log.accept("accepting a connection failed, will retry; check the limit of open files and the system's memory: "
                + cause.getMessage() + " (" + unloggedFailures + " failures since the last such line)");
        unloggedFailures = 0;
        everLogged = true;
        lastLogNanos = now;
    }

    private void pause(Channel listener) {
        paused = true;
        backlogSinceMs = backlogSinceMs == NO_BACKLOG ? earliestArrivalMs.getAsDouble() : backlogSinceMs;
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> {
            paused = false;
            listener.config().setAutoRead(true);
        }, backoff.nextMs(), TimeUnit.MILLISECONDS);
    }
}
