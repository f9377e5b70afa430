package marlford.gateway.accept;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Goes on accepting after a failed accept. Without it netty's bootstrap accepts nothing for a second. The first failure in a row
 * costs only that call; further ones are followed by a pause that doubles up to {@value #LONGEST_MS} ms, as the system tells of
 * waiting connections without end. One for each listener, set as its bootstrap's handler; on the listener's event loop.
 */
public final class AcceptRetry extends ChannelInboundHandlerAdapter {
    private static final long SHORTEST_MS = 4;
    static final long LONGEST_MS = 50;
    private static final String NO_DESCRIPTOR = "Too many open files"; // of the process, or of the system

    private static final long LOG_EVERY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int AT_ONCE = 16; // netty's own bound for one reading of a listener
    private static final double NONE = -1;

    private final Backoff backoff = new Backoff(SHORTEST_MS, LONGEST_MS);
    private final Consumer<String> log;
    private final Runnable makeRoom;
    private final DoubleSupplier clock;
    private int inReading; // connections that this reading has brought
    private double readingMs; // when it began
    private double backlogMs = NONE; // since when each reading left some behind
    private long calls; // accepts that came to something, and failures
    private int failures; // in a row
    private boolean logged; // ever
    private long loggedNanos; // the last time
    private int unlogged; // failures since then
    private boolean paused;

    /** For a listener nobody asks for how long connections waited, and that has no room to make. */
    public AcceptRetry(Consumer<String> log) {
        this(log, () -> { }, () -> 0);
    }

    /**
     * @param log takes one line a second at most while accepts fail
     * @param makeRoom runs where no descriptor was left
     * @param clock in milliseconds
     */
    public AcceptRetry(Consumer<String> log, Runnable makeRoom, DoubleSupplier clock) {
        this.clock = clock;
        this.log = log;
        this.makeRoom = makeRoom;
    }

    /** Connections that were accepted, and failures, since the listener was opened. */
    public long calls() {
        return calls;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        calls++;
        failures = 0;
        backoff.reset();
        readingMs = inReading++ == 0 ? clock.getAsDouble() : readingMs;
        ctx.fireChannelRead(accepted);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (inReading < AT_ONCE && !paused) {
            backlogMs = NONE;
        } else if (backlogMs == NONE) {
            backlogMs = inReading == 0 ? clock.getAsDouble() : readingMs;
        }
        inReading = 0;
        ctx.fireChannelReadComplete();
    }

    /** For how long a connection that is being accepted may have waited behind others. */
    public double waitedMs() {
        return backlogMs == NONE ? 0 : clock.getAsDouble() - backlogMs;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        calls++;
        failures++;
        logSeldom(cause);
        if (String.valueOf(cause.getMessage()).contains(NO_DESCRIPTOR)) {
            makeRoom.run();
        }
        if (failures > 1 && !paused) {
            pause(ctx.channel());
        }
    }

    /** One line a second however many fail, or logging them would cost more than accepting. */
    private void logSeldom(Throwable cause) {
        unlogged++;
        long now = System.nanoTime();
        if (logged && now - loggedNanos < LOG_EVERY_NANOS) {
            return;
        }
        log.accept("accept failed, and is tried again: " + cause.getMessage() + " (" + unlogged + " since the last such line)");
        unlogged = 0;
        logged = true;
        loggedNanos = now;
    }

    private void pause(Channel listener) {
        paused = true;
        backlogMs = backlogMs == NONE ? clock.getAsDouble() : backlogMs;
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> {
            paused = false;
            listener.config().setAutoRead(true);
        }, backoff.nextMs(), TimeUnit.MILLISECONDS);
    }
}
