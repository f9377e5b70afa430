package marlford.gateway.net;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/**
 * Distinguishes connect failures on this machine (no descriptor, buffer, memory or local address left) from those that are
 * evidence about the remote host or the network path to it.
 */
final class LocalFailure {
    private static final String NETWORK_UNREACHABLE = "unreachable"; // ENETUNREACH has no exception of its own

    private LocalFailure() { }

    /** Returns whether a connect failed on this machine, before the remote host was involved. */
    static boolean isLocal(Throwable cause) {
        return cause instanceof BindException || isResourceExhaustion(cause);
    }

    /** Returns whether a failure or one of its causes is a lack of descriptors, buffers or memory. */
    static boolean isResourceExhaustion(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ChannelException) { // Netty could not create the socket
                return true;
            }
            boolean specific = cause instanceof BindException || cause instanceof ConnectException
                    || cause instanceof NoRouteToHostException;
            if (cause instanceof SocketException && !specific) {
                return !String.valueOf(cause.getMessage()).contains(NETWORK_UNREACHABLE);
            }
        }
        return false;
    }
}
