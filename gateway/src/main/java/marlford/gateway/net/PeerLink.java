package marlford.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Exchanges messages with other gateways as UDP datagrams, which may arrive late, damaged, from unknown senders or not at all.
 * Runs on the event loop, unless a method says otherwise.
 */
@ChannelHandler.Sharable // reused for one channel after another
final class PeerLink extends SimpleChannelInboundHandler<DatagramPacket> implements Node.PeerSender {
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int ALL_PEERS = -1;
    private static final long BIND_RETRY_DELAY_MS = 100;

    private final Node node;
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private volatile boolean messageReceived; // also read by the threads of start and shutdown, which do not wait for the event loop
    private boolean stopped;
    private double addressHeldSince = Double.POSITIVE_INFINITY;
    private Channel channel;

    PeerLink(Node node) {
        this.node = node;
        for (int i = 0; i < node.config.peers().size(); i++) {
            peerNumbers.put(node.config.peers().get(i), i);
        }
    }

    /** Binds the peer address, if one is configured. A failed bind is logged once and retried until {@link #stop}. */
    void start() {
        if (node.config.peerListen() == null) {
            return;
        }
        stopped = false;
        bind(true);
    }

    private void bind(boolean first) {
        // The receive buffer is one byte larger than a message may be, so that longer ones are recognized.
        channel = new Bootstrap().group(node.loop).channel(NioDatagramChannel.class).handler(this)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES + 1))
                .bind(node.config.peerListen()).addListener(f -> {
                    if (f.isSuccess()) {
                        addressHeldSince = Math.min(addressHeldSince, node.clock.now());
                        return;
                    }
                    if (stopped) {
                        return;
                    }
                    if (first) {
                        Node.log("cannot receive messages from peers yet, retrying; check the peer_listen address: "
                                + f.cause().getMessage());
                    }
                    node.loop.schedule(() -> {
                        if (!stopped) {
                            bind(false);
                        }
                    }, BIND_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                }).channel();
    }

    /** Releases the peer address before it returns, so that another process can bind it. */
    void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Returns whether the peer address is bound or a bind of it is retried. */
    boolean isStarted() {
        return channel != null;
    }

    /**
     * Returns since when no earlier process of this gateway can be running: two processes cannot bind the address to which the
     * peers send, and a process holds it until it ends or hands over to a new one. Infinite if that is not known.
     */
    double addressHeldSince() {
        return addressHeldSince;
    }

    /**
     * Returns whether a peer has sent a message since the start; a fleet without clients sends none at all. May be called from
     * any thread.
     */
    boolean hasReceivedMessage() {
        return messageReceived;
    }

    @Override
    public void send(int peer, byte[] data) {
        InetSocketAddress address = peer == ALL_PEERS ? node.config.peersAll()
                : peer >= 0 && peer < node.config.peers().size() ? node.config.peers().get(peer) : null;
        if (channel == null || address == null || data.length > MAX_MESSAGE_BYTES) {
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), address), channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer peer = peerNumbers.get(packet.sender());
        int length = packet.content().readableBytes();
        if (peer != null && length > 0 && length <= MAX_MESSAGE_BYTES) {
            messageReceived = true;
            node.onPeerMessage(peer, ByteBufUtil.getBytes(packet.content()));
        }
    }

    /** Ignored: lost messages are expected, and so are errors that an earlier datagram caused, such as an unreachable port. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfOutOfMemory(cause);
    }
}
