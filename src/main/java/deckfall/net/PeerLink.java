package deckfall.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Messages between api gateways: datagrams, which may come late, damaged, from strangers or not at all. */
final class PeerLink extends SimpleChannelInboundHandler<DatagramPacket> implements Node.Mail {
    private static final int MAX_BYTES = 256;
    private static final int EVERYONE = -1;
    private static final double LATELY_MS = 1000; // a peer that serves asks a keeper that seems down this often

    private final Node node;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final double[] heardAt; // by peer, 0 for never
    private double startedAt;
    private Channel channel;

    PeerLink(Node node) {
        this.node = node;
        heardAt = new double[node.config.peers().size()];
        for (int i = 0; i < heardAt.length; i++) {
            numbers.put(node.config.peers().get(i), i);
        }
    }

    void start() {
        if (node.config.peerListen() == null) {
            return;
        }
        startedAt = node.clock.now();
        // One byte more than a message may have shows which ones are too long.
        channel = new Bootstrap().group(node.loop).channel(NioDatagramChannel.class).handler(this)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_BYTES + 1))
                .bind(node.config.peerListen()).addListener(f -> {
                    if (!f.isSuccess()) {
                        Node.log("no messages from peers: " + f.cause().getMessage());
                    }
                }).channel();
    }

    boolean started() {
        return channel != null;
    }

    /**
     * Whether the fleet serves without this gateway and without another one, so that clients have few to go to: some
     * peers speak, and not all have spoken of late. A fleet that has no clients yet says nothing at all.
     */
    boolean isShort(double now) {
        int heard = 0;
        int lately = 0;
        for (double at : heardAt) {
            heard += at > 0 ? 1 : 0;
            lately += at > now - LATELY_MS ? 1 : 0;
        }
        return heard > 0 && now - startedAt > LATELY_MS && lately < heardAt.length - 1;
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
            heardAt[peer] = node.clock.now();
            node.peerSaid(peer, ByteBufUtil.getBytes(packet.content()));
        }
    }

    /** A lost message is normal, and so is an error that an earlier one brought back. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) { }
}
