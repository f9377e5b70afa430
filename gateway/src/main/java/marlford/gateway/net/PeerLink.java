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

/** Messages between api gateways: datagrams, which may come late, damaged, from strangers or not at all. */
@ChannelHandler.Sharable // of one channel after another
final class PeerLink extends SimpleChannelInboundHandler<DatagramPacket> implements Node.Mail {
    private static final int MAX_BYTES = 256;
    private static final int EVERYONE = -1;
    private static final long AGAIN_MS = 100; // after an address could not be had

    private final Node node;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private volatile boolean heard; // read by the threads of a start and an end, which wait for no event loop
    private boolean stopped;
    private double aloneSince = Double.POSITIVE_INFINITY;
    private Channel channel;

    PeerLink(Node node) {
        this.node = node;
        for (int i = 0; i < node.config.peers().size(); i++) {
            numbers.put(node.config.peers().get(i), i);
        }
    }

    void start() {
        if (node.config.peerListen() == null) {
            return;
        }
        stopped = false;
        bind(true);
    }

    private void bind(boolean first) {
        // One byte more than a message may have shows which ones are too long.
        channel = new Bootstrap().group(node.loop).channel(NioDatagramChannel.class).handler(this)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_BYTES + 1))
                .bind(node.config.peerListen()).addListener(f -> {
                    if (f.isSuccess()) {
                        aloneSince = Math.min(aloneSince, node.clock.now());
                        return;
                    }
                    if (stopped) {
                        return;
                    }
                    if (first) {
                        Node.log("no messages from peers for now: " + f.cause().getMessage());
                    }
                    node.loop.schedule(() -> {
                        if (!stopped) {
                            bind(false);
                        }
                    }, AGAIN_MS, TimeUnit.MILLISECONDS);
                }).channel();
    }

    /** Lets the address go before it returns: another process is to have it. */
    void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    boolean started() {
        return channel != null;
    }

    /**
     * Since when no earlier process of this gateway can run: two can't have the address to which its peers write, and
     * a process has it until its end or until it lets a new one take its place. Infinite where that is not known.
     */
    double aloneSince() {
        return aloneSince;
    }

    /** Whether another gateway has spoken since the start; a fleet that has no clients yet says nothing at all. */
    boolean hasHeard() {
        return heard;
    }

    @Override
    public void send(int peer, byte[] data) {
        InetSocketAddress to = peer == EVERYONE ? node.config.peersAll()
                : peer >= 0 && peer < node.config.peers().size() ? node.config.peers().get(peer) : null;
        if (channel == null || to == null || data.length > MAX_BYTES) {
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), to), channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer peer = numbers.get(packet.sender());
        int length = packet.content().readableBytes();
        if (peer != null && length > 0 && length <= MAX_BYTES) {
            heard = true;
            node.peerSaid(peer, ByteBufUtil.getBytes(packet.content()));
        }
    }

    /** A lost message is normal, and so is an error that an earlier one brought back. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) { }
}
