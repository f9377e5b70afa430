package marlford.consensus;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A connection is opened again whatever its listener makes of the end. */
class ReconnectingChannelTest {
    private static final int CONNECTIONS = 3;
    private static final long PATIENCE_S = 10;

    @Test
    void aListenerThatThrowsEndsNoConnectionForGood() throws Exception {
        CountDownLatch accepted = new CountDownLatch(CONNECTIONS);
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())) {
            Thread accepting = new Thread(() -> {
                try {
                    while (accepted.getCount() > 0) {
                        server.accept().close();
                        accepted.countDown();
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            accepting.setDaemon(true);
            accepting.start();
            InetSocketAddress to = (InetSocketAddress) server.getLocalSocketAddress();
            ReconnectingChannel channel = new ReconnectingChannel(group, to, new FrameTransport.Listener() {
                @Override
                public void frame(Channel from, byte kind, byte[] body) {}

                @Override
                public void closed(Channel closed) {
                    throw new IllegalStateException("planted");
                }
            });
            assertTrue(accepted.await(PATIENCE_S, TimeUnit.SECONDS));
            channel.close();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
