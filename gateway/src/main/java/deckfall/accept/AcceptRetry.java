package deckfall.accept;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Goes on accepting after a failed accept. Without it netty's bootstrap accepts nothing for a second. The first failure in a row
 * costs only that call; further ones are followed by a pause that doubles up to {@value #LONGEST_MS} ms, as the system tells of
 * waiting connections without end. One for each listener, set as its bootstrap's handler; on the listener's event loop.
 */
public final class AcceptRetry extends ChannelInboundHandlerAdapter {
    private static final long SHORTEST_MS = 1;
    static final long LONGEST_MS = 50;
    private static final int DOUBLINGS = 6; // beyond the longest pause
    private static final String NO_DESCRIPTOR = "Too many open files"; // of the process, or of the system

    private final Consumer<String> log;
    private final Runnable makeRoom;
    private long calls; // accepts that came to something, and failures
    private int failures; // in a row
    private boolean paused;

    /**
     * @param log takes one line for a row of failures
     * @param makeRoom runs where no descriptor was left
     */
    public AcceptRetry(Consumer<String> log, Runnable makeRoom) {
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
        ctx.fireChannelRead(accepted);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        calls++;
        if (failures++ == 0) {
            log.accept("accept failed, and is tried again: " + cause.getMessage());
        }
        if (String.valueOf(cause.getMessage()).contains(NO_DESCRIPTOR)) {
            makeRoom.run();
        }
        if (failures > 1 && !paused) {
            pause(ctx.channel());
        }
    }

    private void pause(Channel listener) {
        paused = true;
        listener.config().setAutoRead(false);
        long doubled = SHORTEST_MS << Math.min(failures, DOUBLINGS);
        listener.eventLoop().schedule(() -> {
            paused = false;
            listener.config().setAutoRead(true);
        }, Math.min(LONGEST_MS, doubled), TimeUnit.MILLISECONDS);
    }
}
