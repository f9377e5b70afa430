package marlford.consensus;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** A client connection that is opened again whenever it closes. Frames sent while it is closed are dropped. */
final class ReconnectingChannel {
    private static final long AGAIN_MS = 100;

    private final EventLoopGroup group;
    private final InetSocketAddress to;
    private final FrameTransport.Listener listener;
    private volatile Channel channel;
    private volatile boolean over;

    /** @param listener hears what comes, and of each end */
    ReconnectingChannel(EventLoopGroup group, InetSocketAddress to, FrameTransport.Listener listener) {
        this.group = group;
        this.to = to;
        this.listener = listener;
        connect();
    }

    private void connect() {
        if (over) {
            return;
        }
        FrameTransport.connect(group, to, new FrameTransport.Listener() {
            @Override
            public void open(Channel opened) {
                channel = opened;
            }

            @Override
            public void frame(Channel from, byte kind, byte[] body) {
                listener.frame(from, kind, body);
            }

            @Override
            public void closed(Channel closed) {
                channel = null;
                if (!over && !group.isShuttingDown()) { // ahead of what the listener may throw
                    group.schedule(ReconnectingChannel.this::connect, AGAIN_MS, TimeUnit.MILLISECONDS);
                }
                listener.closed(closed);
            }
        });
    }

    boolean isOpen() {
        Channel c = channel;
        return c != null && c.isActive();
    }

    /** Whether it is on its way. From any thread. */
    boolean send(byte kind, byte[] body) {
        return FrameTransport.send(channel, kind, body);
    }

    void close() {
        over = true;
        Channel c = channel;
        if (c != null) {
            c.close();
        }
    }
}
