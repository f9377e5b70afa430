package deckfall.net;

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
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** What carries a node's connections: TCP, or for its warm-up the process's own memory, which nobody else can reach. */
enum Transport {
    TCP {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        SocketAddress at(InetSocketAddress address) {
            return address;
        }
    },

    MEMORY {
        @Override
        ServerBootstrap server(EventLoopGroup group) {
            return new ServerBootstrap().group(group).channel(LocalServerChannel.class);
        }

        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }

        @Override
        SocketAddress at(InetSocketAddress address) {
            return new LocalAddress(address.toString());
        }
    };

    private static final int BACKLOG = 512;

    abstract ServerBootstrap server(EventLoopGroup group);

    abstract Bootstrap client(EventLoop loop);

    abstract SocketAddress at(InetSocketAddress address);

    /** Reads what stands unread in a socket before the loop comes to it; in memory nothing stands unread. */
    static void readNow(Channel channel) {
        if (channel.unsafe() instanceof NioUnsafe) {
            ((NioUnsafe) channel.unsafe()).read();
        }
    }
}
