package deckfall.net;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * One descriptor that is kept open for a connection to discovery, so that it can be had where clients hold all others:
 * without its list a gateway would serve them ever worse. Taken only where no other is left. Belongs to the event loop.
 */
final class SpareSocket {
    private SocketChannel spare; // open and not connected; null while it is in use or can't be had

    /** Opens it, if it is not. To be called again and again, as there may be no descriptor for it now. */
    void keep() {
        if (spare != null) {
            return;
        }
        try {
            spare = SocketChannel.open();
        } catch (IOException e) {
            spare = null; // all are taken: the next call may find one free
        }
    }

    /** A channel for a new connection; throws {@link ChannelException} where there is no descriptor at all. */
    NioSocketChannel open() {
        try {
            return new NioSocketChannel();
        } catch (ChannelException e) {
            if (spare == null) {
                throw e;
            }
            SocketChannel taken = spare;
            spare = null;
            return new NioSocketChannel(taken);
        }
    }

    /** Gives it back to the system. */
    void close() {
        try {
            if (spare != null) {
                spare.close();
            }
        } catch (IOException e) {
            Node.log("discovery: " + e.getMessage());
        }
        spare = null;
    }
}
