package marlford.gateway.net;

import java.util.LinkedHashSet;
import java.util.List;

/**
 * The open client connections: which of them are idle and of what kind, and which is evicted when there are too many. Not
 * thread-safe; used on the event loop.
 */
final class ClientConnectionRegistry {
    private static final double CLIENT_DESCRIPTOR_SHARE = 0.42; // of all descriptors; other parts of the process need the rest
    private static final double UNUSED_CONNECTION_SHARE = 0.25; // of the maximum; share that may be without a request
    private static final double CROWDED_SHARE = 0.5; // of the maximum; above it idle connections are closed early
    /** Idle limit after at most one request, and for all connections while many are open. */
    private static final double CROWDED_IDLE_LIMIT_MS = 2200;
    private static final double IDLE_LIMIT_MS = 20_000;
    private static final double RELEASE_IDLE_LIMIT_MS = 300; // idle limit while clients have to move to another gateway
    private static final double RELEASE_UNUSED_LIMIT_MS = 1500; // the same for connections without a first request
    private static final double DESCRIPTOR_SHORTAGE_SHARE = 0.75; // of the connections open when no descriptor was left
    private static final double DESCRIPTOR_SHORTAGE_MS = 10_000;
    private static final int SINGLE_REQUEST = 1; // connections that have carried one request are evicted before those with several

    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> unused = new LinkedHashSet<>(); // without a request yet, oldest first
    private final LinkedHashSet<ClientConnection> idleHealthChecks = new LinkedHashSet<>(); // carried health checks only
    private final LinkedHashSet<ClientConnection> idleAfterOneRequest = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> idleRepeated = new LinkedHashSet<>(); // idle after several requests
    private final LinkedHashSet<ClientConnection> lingering = new LinkedHashSet<>(); // after their last answer, oldest first
    /**
     * Order of eviction once the unused connections are within their share. In each set the connection that has been idle
     * longest comes first.
     */
    private final List<LinkedHashSet<ClientConnection>> evictionOrder =
            List.of(idleHealthChecks, idleAfterOneRequest, idleRepeated, unused);
    private final int configuredMaxConnections;
    private int maxConnections; // lower than configured for a while after a shortage of descriptors
    private double shortageUntilMs;
    private final HeldRequests heldRequests = new HeldRequests();

    /** @param descriptors number of file descriptors that the process may hold */
    ClientConnectionRegistry(int descriptors) {
        this.configuredMaxConnections = (int) (descriptors * CLIENT_DESCRIPTOR_SHARE);
        this.maxConnections = configuredMaxConnections;
    }

    /** Registers a new connection, evicting another one if necessary; returns false when there is no room. */
    boolean admit(ClientConnection connection) {
        if (connections.size() >= maxConnections && !makeRoom()) {
            return false;
        }
        connections.add(connection);
        unused.add(connection);
        return true;
    }

    /**
     * Handles a shortage of descriptors: lowers the maximum for {@value #DESCRIPTOR_SHORTAGE_MS} ms. Otherwise every descriptor
     * that is released would be taken by the next client, and none would be left for hosts and discovery.
     */
    void onDescriptorShortage(double now) {
        shortageUntilMs = now + DESCRIPTOR_SHORTAGE_MS;
        maxConnections = Math.max(1, Math.min(maxConnections, (int) (connections.size() * DESCRIPTOR_SHORTAGE_SHARE)));
        while (connections.size() >= maxConnections && makeRoom()) {
            continue;
        }
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        lingering.remove(connection);
        markInUse(connection);
    }

    /** Removes a connection from the idle ones. */
    void markInUse(ClientConnection connection) {
        evictionOrder.forEach(kind -> kind.remove(connection));
    }

    /**
     * Adds a connection to the idle ones, behind the others of its kind.
     *
     * @param requests number of requests that the connection has carried, without health checks
     */
    void markIdle(ClientConnection connection, int requests) {
        (requests > SINGLE_REQUEST ? idleRepeated : requests == SINGLE_REQUEST ? idleAfterOneRequest : idleHealthChecks).add(connection);
    }

    /** Adds a connection whose input is still discarded for a while after its last answer. */
    void addLingering(ClientConnection connection) {
        lingering.add(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    int count() {
        return connections.size();
    }

    /** Returns a copy of the open connections. */
    List<ClientConnection> all() {
        return List.copyOf(connections);
    }

    /** Returns the queued requests of all connections. */
    HeldRequests heldRequests() {
        return heldRequests;
    }

    /** Closes connections whose time for discarding input after the last answer has passed. */
    void endLingering(double now) {
        for (ClientConnection connection : List.copyOf(lingering)) {
            if (!connection.lingers(now)) {
                connection.close(CloseReason.LAST_ANSWER);
            }
        }
    }

    /**
     * Closes connections that have been idle for too long. Those that have carried at most one request have the short limit;
     * those with several requests have it only while more than {@link #CROWDED_SHARE} of the maximum are open.
     */
    void closeIdle(double now) {
        maxConnections = now > shortageUntilMs ? configuredMaxConnections : maxConnections;
        boolean crowded = connections.size() > maxConnections * CROWDED_SHARE;
        closeIdle(idleHealthChecks, now - CROWDED_IDLE_LIMIT_MS, CloseReason.IDLE);
        closeIdle(idleAfterOneRequest, now - CROWDED_IDLE_LIMIT_MS, CloseReason.IDLE);
        closeIdle(idleRepeated, now - (crowded ? CROWDED_IDLE_LIMIT_MS : IDLE_LIMIT_MS), CloseReason.IDLE);
    }

    /** Closes idle connections while clients have to move to another gateway. */
    void closeIdleForRelease(double now) {
        for (LinkedHashSet<ClientConnection> idleSet : evictionOrder) {
            closeIdle(idleSet, now - (idleSet == unused ? RELEASE_UNUSED_LIMIT_MS : RELEASE_IDLE_LIMIT_MS), CloseReason.SENT_AWAY);
        }
    }

    private void closeIdle(LinkedHashSet<ClientConnection> idleSet, double sinceMs, CloseReason reason) {
        for (ClientConnection connection = oldestOf(idleSet); connection != null && connection.idleSinceMs() < sinceMs;
                connection = oldestOf(idleSet)) {
            closeIfDrained(connection, idleSet, reason); // removes the connection from the set in either case
        }
    }

    /** Closes all idle connections except those without a first request that were opened after the given time. */
    void closeAllIdle(double openedBeforeMs) {
        for (LinkedHashSet<ClientConnection> idleSet : evictionOrder) {
            List.copyOf(idleSet).stream().filter(connection -> idleSet != unused || connection.idleSinceMs() < openedBeforeMs)
                    .forEach(connection -> closeIfDrained(connection, idleSet, CloseReason.ENDING));
        }
    }

    /** Closes all idle connections that have carried a request or a health check. */
    void closeIdleUsed() {
        for (LinkedHashSet<ClientConnection> idleSet : evictionOrder) {
            if (idleSet != unused) {
                List.copyOf(idleSet).forEach(connection -> closeIfDrained(connection, idleSet, CloseReason.ENDING));
            }
        }
    }

    private static ClientConnection oldestOf(LinkedHashSet<ClientConnection> idleSet) {
        return idleSet.isEmpty() ? null : idleSet.iterator().next();
    }

    /**
     * Evicts one connection that is not in use; an idle connection is worth less than a free descriptor. Many short
     * connections must not displace those that carry most of the requests, and many silent connections may only displace
     * each other: beyond their share the unused connection that has been silent longest is evicted. Within their share
     * unused connections are evicted last. Otherwise, at the maximum, each would be closed for the next one before its
     * request has arrived, and none would ever be served.
     */
    private boolean makeRoom() {
        if (!lingering.isEmpty()) {
            ClientConnection oldest = oldestOf(lingering);
            remove(oldest);
            oldest.close(CloseReason.LAST_ANSWER);
            return true;
        }
        while (unused.size() > maxConnections * UNUSED_CONNECTION_SHARE) {
            if (closeIfDrained(oldestOf(unused), unused, CloseReason.MADE_ROOM)) {
                return true;
            }
        }
        for (LinkedHashSet<ClientConnection> idleSet : evictionOrder) {
            for (ClientConnection connection = oldestOf(idleSet); connection != null; connection = oldestOf(idleSet)) {
                if (closeIfDrained(connection, idleSet, CloseReason.MADE_ROOM)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Closes a connection unless a request waits unread in its socket, which would be lost. */
    private boolean closeIfDrained(ClientConnection connection, LinkedHashSet<ClientConnection> idleSet, CloseReason reason) {
        boolean closable = connection.isClosable(idleSet == unused);
        if (closable) {
            remove(connection); // at once, because channelInactive is called only later
            connection.close(reason);
        } else {
            idleSet.remove(connection); // a request has just arrived; if it is answered already, the connection is idle again
            if (!connection.hasIncompleteRequest(idleSet == unused)) {
                connection.markIdle();
            }
        }
        return closable;
    }
}
