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
 * The transport of a node's connections: TCP, or in-process channels for the warm-up, which no other process can reach.
 * Channels are created by constructor references. With a class, Netty creates them by reflection, for which the JVM generates
 * code at the sixteenth call.
 */
abstract class Transport {
    /** TCP sockets. */
    static final Transport TCP = new Transport() {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channelFactory(NioServerSocketChannel::new)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    // The new process of an upgrade binds the same address.
                    .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channelFactory(NioSocketChannel::new)
                    .option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        void verifyUnused(InetSocketAddress address) throws IOException {
            try (Socket probe = new Socket()) { // bound but not listening, so it accepts no connections
                probe.setReuseAddress(true);
                probe.bind(address);
            } catch (BindException e) {
                throw new IOException("another process uses the address " + address, e);
            }
        }

        @Override
        SocketAddress socketAddress(InetSocketAddress address) {
            return address;
        }
    };

    /** Channels within this process. */
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
        void verifyUnused(InetSocketAddress address) { }

        @Override
        SocketAddress socketAddress(InetSocketAddress address) {
            return new LocalAddress(address.toString());
        }
    };

    private static final int REQUIRED_SPARE_DESCRIPTORS = 8;
    private static final int MAX_FAILED_OPENS = 2 * REQUIRED_SPARE_DESCRIPTORS; // single calls may fail by chance
    static final int BACKLOG = 512; // connections that wait to be accepted

    /** Returns a bootstrap for a listener. */
    abstract ServerBootstrap server(EventLoopGroup group);

    /** Returns a bootstrap for outgoing connections. */
    abstract Bootstrap client(EventLoop loop);

    /**
     * Verifies that no other program listens on an address. With SO_REUSEPORT, which an upgrade needs, the operating system
     * would let two programs share it.
     *
     * @throws IOException if the address is in use
     */
    abstract void verifyUnused(InetSocketAddress address) throws IOException;

    /** Returns whether no program listens on an address now. */
    final boolean isFree(InetSocketAddress address) {
        try {
            verifyUnused(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the form of an address that this transport connects and binds to. */
    abstract SocketAddress socketAddress(InetSocketAddress address);

    /**
     * Returns whether the process can open some descriptors now, which connections to hosts and discovery need. Several are
     * tried, since a single failed call proves nothing.
     */
    boolean hasSpareDescriptors() {
        SocketChannel[] spare = new SocketChannel[REQUIRED_SPARE_DESCRIPTORS];
        int opened = 0;
        for (int failed = 0; opened < spare.length && failed < MAX_FAILED_OPENS;) {
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

    /** Opens a socket for {@link #hasSpareDescriptors}; tests override it. */
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
                Node.log("cannot close a socket that was opened to check for spare descriptors: " + e);
            }
        }
    }

    /** Reads bytes that are already in a socket, before the event loop polls it. In-process channels have no unread bytes. */
    static void readNow(Channel channel) {
        if (channel.unsafe() instanceof NioUnsafe) {
            ((NioUnsafe) channel.unsafe()).read();
        }
    }
}
