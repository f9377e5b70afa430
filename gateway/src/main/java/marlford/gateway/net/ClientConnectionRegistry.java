package marlford.gateway.net;

import java.util.LinkedHashSet;
import java.util.List;

/**
 * The connections of clients: which are open, which of them are idle and of what kind, and which gives way where there are
 * too many. On the event loop.
 */
final class ClientConnectionRegistry {
    private static final double SOCKET_SHARE = 0.42; // of all descriptors; the program itself needs some, too
    private static final double NEWCOMERS_SHARE = 0.25; // of the connections: so many may have asked nothing yet
    private static final double PRESSED_SHARE = 0.5; // of the connections that fit: then idle ones give way early
    private static final double GIVES_WAY_MS = 2200; // idle for so long, a connection may be closed for room
    private static final double IDLE_MS = 20_000; // idle for so long, it is closed
    private static final double AWAY_MS = 300; // idle for so long, it is closed where clients are sent away
    private static final double AWAY_SILENT_MS = 1500; // without a first request for so long, the same
    private static final double FEWER_SHARE = 0.75; // of the connections at which no descriptor was left
    private static final double FEWER_MS = 10_000;
    private static final int ASKED_ONCE = 1; // requests on a connection that need not bring another

    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> unused = new LinkedHashSet<>(); // no request came yet; the oldest first
    private final LinkedHashSet<ClientConnection> onlookers = new LinkedHashSet<>(); // idle, asked for health alone
    private final LinkedHashSet<ClientConnection> casual = new LinkedHashSet<>(); // idle, asked once
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>(); // those that ask again and again
    private final LinkedHashSet<ClientConnection> lingering = new LinkedHashSet<>(); // after the last answer, the oldest first
    /** Who gives way first, once there are no more newcomers than may be; the longest idle stands first in each. */
    private final List<LinkedHashSet<ClientConnection>> givingWay = List.of(onlookers, casual, idle, unused);
    private final int mostConnections; // by the settings
    private int maxConnections; // less, for a while, where the system has fewer descriptors
    private double fewerUntil;
    private long readAhead; // bytes of requests that wait their turn, on all connections

    /** @param descriptors that the process may hold */
    ClientConnectionRegistry(int descriptors) {
        this.mostConnections = (int) (descriptors * SOCKET_SHARE);
        this.maxConnections = mostConnections;
    }

    /** Takes in a new connection, for which another may have to give way; false where none does. */
    boolean take(ClientConnection c) {
        if (connections.size() >= maxConnections && !makeRoom()) {
            return false;
        }
        connections.add(c);
        unused.add(c);
        return true;
    }

    /**
     * No descriptor was left for a connection. For a while fewer are let in, or hosts and discovery would get none either: each
     * that is free is taken by the next client.
     */
    void noDescriptor(double now) {
        fewerUntil = now + FEWER_MS;
        maxConnections = Math.max(1, Math.min(maxConnections, (int) (connections.size() * FEWER_SHARE)));
        while (connections.size() >= maxConnections && makeRoom()) {
            continue;
        }
    }

    void leave(ClientConnection c) {
        connections.remove(c);
        lingering.remove(c);
        inUse(c);
    }

    /** It is idle no longer. */
    void inUse(ClientConnection c) {
        givingWay.forEach(kind -> kind.remove(c));
    }

    /**
     * It is idle, and stands behind the others of its kind.
     *
     * @param requests that came on it so far
     */
    void rest(ClientConnection c, int requests) {
        (requests > ASKED_ONCE ? idle : requests == ASKED_ONCE ? casual : onlookers).add(c);
    }

    /** Its last answer has left, and it is read on for a while. */
    void linger(ClientConnection c) {
        lingering.add(c);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    int count() {
        return connections.size();
    }

    /** All that are open now, as a copy. */
    List<ClientConnection> all() {
        return List.copyOf(connections);
    }

    /** Bytes of requests that wait their turn, on all connections. */
    long readAhead() {
        return readAhead;
    }

    /** So many bytes more wait their turn, or less where below 0. */
    void readAhead(long more) {
        readAhead += more;
    }

    /** Closes connections whose time of reading on after the last answer is over. */
    void endLingering(double now) {
        for (ClientConnection c : List.copyOf(lingering)) {
            if (!c.lingers(now)) {
                c.close(CloseReason.LAST_ANSWER);
            }
        }
    }

    /** Closes what has been idle for too long: sooner where there are many. */
    void closeIdle(double now) {
        maxConnections = now > fewerUntil ? mostConnections : maxConnections;
        boolean pressed = connections.size() > maxConnections * PRESSED_SHARE;
        closeIdle(onlookers, now - GIVES_WAY_MS, CloseReason.IDLE);
        closeIdle(casual, now - GIVES_WAY_MS, CloseReason.IDLE);
        closeIdle(idle, now - (pressed ? GIVES_WAY_MS : IDLE_MS), CloseReason.IDLE);
    }

    /** Closes what is idle where clients are sent away. */
    void closeAway(double now) {
        for (LinkedHashSet<ClientConnection> from : givingWay) {
            closeIdle(from, now - (from == unused ? AWAY_SILENT_MS : AWAY_MS), CloseReason.SENT_AWAY);
        }
    }

    private void closeIdle(LinkedHashSet<ClientConnection> from, double since, CloseReason why) {
        for (ClientConnection c = first(from); c != null && c.idleSince() < since; c = first(from)) {
            giveUp(c, from, why); // it leaves the set either way
        }
    }

    /** Closes all that are idle, but for those without a first request that are younger than this. */
    void closeAll(double young) {
        for (LinkedHashSet<ClientConnection> from : givingWay) {
            List.copyOf(from).stream().filter(c -> from != unused || c.idleSince() < young).forEach(c -> giveUp(c, from, CloseReason.ENDING));
        }
    }

    /** Closes all that are idle and have asked something before. */
    void closeUsed() {
        for (LinkedHashSet<ClientConnection> from : givingWay) {
            if (from != unused) {
                List.copyOf(from).forEach(c -> giveUp(c, from, CloseReason.ENDING));
            }
        }
    }

    private static ClientConnection first(LinkedHashSet<ClientConnection> from) {
        return from.isEmpty() ? null : from.iterator().next();
    }

    /**
     * Rather an idle connection than no descriptor left for anyone; one in use never. A crowd whose connections come
     * and go must not push out those that bring most of the requests, and a crowd that says nothing only its own: of
     * newcomers beyond their share the longest silent gives way. Within that share they give way last, or in a full
     * house each would be closed by the next before its request is there, and none would ever be heard.
     */
    private boolean makeRoom() {
        if (!lingering.isEmpty()) {
            ClientConnection oldest = first(lingering);
            leave(oldest);
            oldest.close(CloseReason.LAST_ANSWER);
            return true;
        }
        while (unused.size() > maxConnections * NEWCOMERS_SHARE) {
            if (giveUp(first(unused), unused, CloseReason.MADE_ROOM)) {
                return true;
            }
        }
        for (LinkedHashSet<ClientConnection> from : givingWay) {
            for (ClientConnection c = first(from); c != null; c = first(from)) {
                if (giveUp(c, from, CloseReason.MADE_ROOM)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Ends a connection unless a request stands unread in its socket: closing that away would lose it. */
    private boolean giveUp(ClientConnection c, LinkedHashSet<ClientConnection> from, CloseReason why) {
        boolean free = c.isFree(from == unused);
        if (free) {
            leave(c); // now, as its end is told only later
            c.close(why);
        } else {
            from.remove(c); // it was just asked something, and answered at once where it stands here still
            if (!c.isAsking(from == unused)) {
                c.rest();
            }
        }
        return free;
    }
}
