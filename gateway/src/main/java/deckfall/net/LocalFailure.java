package deckfall.net;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/**
 * Tells failures of this machine to make a connection (no descriptor, buffer, memory or local address) from those that say something
 * of the other end or of the way to it.
 */
final class LocalFailure {
    private static final String NO_WAY = "unreachable"; // ENETUNREACH has no exception of its own

    private LocalFailure() { }

    /** Whether a connection failed here, ahead of anything that the other end could have done. */
    static boolean is(Throwable cause) {
        if (cause instanceof ChannelException || cause instanceof BindException) { // no socket; no local address
            return true;
        }
        if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
            return false;
        }
        return cause instanceof SocketException && !String.valueOf(cause.getMessage()).contains(NO_WAY);
    }
}
