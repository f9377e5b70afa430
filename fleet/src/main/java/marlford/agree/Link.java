package marlford.agree;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** A connection that is made again whenever it ends. What is sent while there is none is lost. */
final class Link {
    private static final long AGAIN_MS = 100;

    private final EventLoopGroup group;
    private final InetSocketAddress to;
    private final Wire.Ears ears;
    private volatile Channel channel;
    private volatile boolean over;

    /** @param ears hears what comes, and of each end */
    Link(EventLoopGroup group, InetSocketAddress to, Wire.Ears ears) {
        this.group = group;
        this.to = to;
        this.ears = ears;
        connect();
    }

    private void connect() {
        if (over) {
            return;
        }
        Wire.connect(group, to, new Wire.Ears() {
            @Override
            public void open(Channel opened) {
                channel = opened;
            }

            @Override
            public void frame(Channel from, byte kind, byte[] body) {
                ears.frame(from, kind, body);
            }

            @Override
            public void closed(Channel closed) {
                channel = null;
                ears.closed(closed);
                if (!over && !group.isShuttingDown()) {
                    group.schedule(Link.this::connect, AGAIN_MS, TimeUnit.MILLISECONDS);
                }
            }
        });
    }

    boolean isOpen() {
        Channel c = channel;
        return c != null && c.isActive();
    }

    /** Whether it is on its way. From any thread. */
    boolean send(byte kind, byte[] body) {
        return Wire.send(channel, kind, body);
    }

    void close() {
        over = true;
        Channel c = channel;
        if (c != null) {
            c.close();
        }
    }
}
