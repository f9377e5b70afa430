package marlford.gateway.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import marlford.gateway.guard.AddressTenure;
import marlford.gateway.guard.HostAddresses;

/** The connections to one host during one tenure of its address. Used on the event loop only. */
final class HostConnectionPool implements HostConnection.Owner {
    /**
     * How long a connection is not reused after a response. According to the platform, a host that sends a response twice
     * sends the second one some milliseconds later; if the next request were already in flight, the duplicate could not be
     * distinguished from its response. The value depends on how hosts fail and not on the traffic, so it is not configurable.
     */
    static final double MIN_REST_MS = 10;
    /**
     * A connection that was idle for this long is preferred. If there is none, the gateway does not wait for one: that would
     * open more new connections, which may take long to come up.
     */
    private static final double PREFERRED_REST_MS = 50;

    final InetSocketAddress address;
    final ArrayDeque<HostConnection> idle = new ArrayDeque<>(); // the most recently used last
    final Set<HostConnection> connecting = new LinkedHashSet<>(); // not established yet
    final AddressTenure tenure;
    private final HostAddresses<InetSocketAddress> addresses;
    boolean closed;

    HostConnectionPool(InetSocketAddress address, AddressTenure tenure, HostAddresses<InetSocketAddress> addresses) {
        this.addresses = addresses;
        this.address = address;
        this.tenure = tenure;
    }

    /**
     * Removes and returns the most recently used connection that was idle for {@link #PREFERRED_REST_MS}, or else one that was
     * idle for {@link #MIN_REST_MS}; null if there is none.
     */
    HostConnection pollRested(double now) {
        HostConnection preferred = pollIdleSince(now - PREFERRED_REST_MS);
        return preferred != null ? preferred : pollIdleSince(now - MIN_REST_MS);
    }

    private HostConnection pollIdleSince(double since) {
        for (Iterator<HostConnection> all = idle.descendingIterator(); all.hasNext();) {
            HostConnection connection = all.next();
            if (connection.idleSince() <= since) {
                all.remove();
                return connection;
            }
        }
        return null;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void onIdle(HostConnection connection) {
        if (closed) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
    }

    @Override
    public void onClosed(HostConnection connection) {
        idle.remove(connection);
    }

    @Override
    public void onLost(double now) {
        addresses.recordLoss(address, now);
    }

    @Override
    public void onResponse(HostConnection connection, double requestBegunMs) {
        tenure.recordResponse(connection.openedAtMs(), requestBegunMs);
    }

    /** Reads what has come on idle connections: the end of one shows that the process may have changed. */
    void readIdle() {
        List.copyOf(idle).forEach(HostConnection::readAndCheckActive);
    }
}
