package marlford.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** Forwards to TCP; tests override single methods to inject failures. */
class ForwardingTransport extends Transport {
    @Override
    ServerBootstrap server(EventLoopGroup group) {
        return TCP.server(group);
    }

    @Override
    Bootstrap client(EventLoop loop) {
        return TCP.client(loop);
    }

    @Override
    void verifyUnused(InetSocketAddress address) throws IOException {
        TCP.verifyUnused(address);
    }

    @Override
    SocketAddress socketAddress(InetSocketAddress address) {
        return TCP.socketAddress(address);
    }
}
