package marlford.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * What carries a node's connections: TCP, or for its warm-up the process's own memory, which nobody else can reach.
 * Channels are made by their constructors: by name the virtual machine would write code of its own at the sixteenth.
 */
abstract class Transport {
    static final Transport TCP = new Transport() {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channelFactory(NioServerSocketChannel::new)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true) // for an upgrade
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(NioSocketChannel::new)
                    .option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        void claim(InetSocketAddress address) throws IOException {
            try (Socket probe = new Socket()) { // bound and not listening, it takes nobody's connection
                probe.setReuseAddress(true);
                probe.bind(address);
            } catch (BindException e) {
                throw new IOException("somebody else has the address " + address, e);
            }
        }

        @Override
        SocketAddress at(InetSocketAddress address) {
            return address;
        }
    };

    static final Transport MEMORY = new Transport() {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channelFactory(LocalServerChannel::new);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(LocalChannel::new);
        }

        @Override
        void claim(InetSocketAddress address) { }

        @Override
        SocketAddress at(InetSocketAddress address) {
            return new LocalAddress(address.toString());
        }
    };

    private static final int SPARE_DESCRIPTORS = 8;
    private static final int MOST_FAILED = 2 * SPARE_DESCRIPTORS; // calls, as some may fail by chance
    static final int BACKLOG = 512; // connections that wait to be accepted

    abstract ServerBootstrap server(EventLoopGroup group);

    abstract Bootstrap client(EventLoop loop);

    /**
     * Makes sure that no other program listens there: with the option that an upgrade needs, the system would let two
     * share an address.
     */
    abstract void claim(InetSocketAddress address) throws IOException;

    /** Whether no program listens there now. */
    final boolean isFree(InetSocketAddress address) {
        try {
            claim(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    abstract SocketAddress at(InetSocketAddress address);

    /** Whether the process can open some descriptors now, as hosts and discovery need them; a failed call alone doesn't tell. */
    boolean hasSpareDescriptors() {
        SocketChannel[] spare = new SocketChannel[SPARE_DESCRIPTORS];
        int opened = 0;
        for (int failed = 0; opened < spare.length && failed < MOST_FAILED;) {
            try {
                spare[opened] = openSocket();
                opened++;
            } catch (IOException e) {
                failed++;
            }
        }
        close(spare);
        return opened == spare.length;
    }

    SocketChannel openSocket() throws IOException {
        return SocketChannel.open();
    }

    private static void close(SocketChannel[] channels) {
        for (SocketChannel channel : channels) {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                Node.log("an unused socket could not be closed: " + e);
            }
        }
    }

    /** Reads what stands unread in a socket before the loop comes to it; in memory nothing stands unread. */
    static void readNow(Channel channel) {
        if (channel.unsafe() instanceof NioUnsafe) {
            ((NioUnsafe) channel.unsafe()).read();
        }
    }
}
