package marlford.gateway.net;

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
        return cause instanceof BindException || isWantOfResources(cause);
    }

    /** Whether it, or what caused it, is a want of descriptors, buffers or memory. */
    static boolean isWantOfResources(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ChannelException) { // no socket
                return true;
            }
            boolean told = cause instanceof BindException || cause instanceof ConnectException || cause instanceof NoRouteToHostException;
            if (cause instanceof SocketException && !told) {
                return !String.valueOf(cause.getMessage()).contains(NO_WAY);
            }
        }
        return false;
    }
}
