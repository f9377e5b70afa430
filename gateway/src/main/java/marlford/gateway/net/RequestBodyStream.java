package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * What follows the kept part of a request's long body: taken from the client no faster than a host takes it, handed on
 * once, and dropped where no host wants it. Its last part is held back until the client was seen to be still connected: the
 * end of a client that has left stands behind its body, and a host begins a request once that has come whole. On the event
 * loop of both.
 *
 * <p>Buffers: a part that is added is owned here until it is handed on or dropped. Bound: {@value #AHEAD_MAX} bytes and
 * one reading of the socket wait here; then {@link #full} asks for a pause.
 */
final class RequestBodyStream {
    private static final int AHEAD_MAX = 64 * 1024; // bytes read and not yet handed on

    /** A host's connection that takes the body. */
    interface Taker {
        /** Whether it takes another part now. */
        boolean ready();

        /** Takes the part over. */
        void part(ByteBuf part);

        /** That was all. */
        void last();
    }

    private final long length;
    private final Runnable steer;
    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>();
    private long ahead;
    private ByteBuf lastPart; // read, and held back until confirmed; else null
    private boolean whole; // its last byte came from the client
    private boolean confirmed; // the client was still connected after that
    private boolean begun; // a part was handed on
    private boolean dropped; // nobody wants it any more
    private Taker taker;

    /**
     * @param length of the whole body in bytes, also what is kept of it; below 0 where the client does not say
     * @param steer runs where {@link #full} or {@link #over} may have changed
     */
    RequestBodyStream(long length, Runnable steer) {
        this.length = length;
        this.steer = steer;
    }

    long length() {
        return length;
    }

    /** Whether the client is to pause. */
    boolean full() {
        return ahead > AHEAD_MAX;
    }

    /** Whether nothing more of it will come from the client. */
    boolean over() {
        return whole;
    }

    /** Whether another host could still have all of it. */
    boolean untouched() {
        return !begun && !dropped && taker == null;
    }

    void add(ByteBuf part) {
        if (dropped) {
            part.release();
            return;
        }
        parts.add(part);
        ahead += part.readableBytes();
        flow();
        if (full()) {
            steer.run();
        }
    }

    /** Takes over the last part, and holds it back until {@link #confirm}. */
    void end(ByteBuf part) {
        whole = true;
        if (dropped) {
            part.release();
        } else {
            lastPart = part;
            ahead += part.readableBytes();
        }
        steer.run();
    }

    /** The client is still connected, and nothing of the body is missing: all of it may go to a host. */
    void confirm() {
        if (dropped || confirmed) {
            return;
        }
        confirmed = true;
        parts.add(lastPart);
        lastPart = null;
        flow();
        steer.run();
    }

    /** From here on parts go to this host. */
    void to(Taker host) {
        taker = host;
        flow();
    }

    /** This host takes no more; where it had some already, no other can have the whole. */
    void leave(Taker host) {
        if (taker == host) {
            taker = null;
            if (begun) {
                drop();
            }
        }
    }

    /** Hands on as much as is there and wanted. */
    void flow() {
        boolean wasFull = full();
        while (taker != null && !parts.isEmpty() && taker.ready()) {
            ByteBuf part = parts.poll();
            ahead -= part.readableBytes();
            begun = true;
            taker.part(part);
        }
        if (taker != null && confirmed && parts.isEmpty()) {
            Taker last = taker;
            taker = null;
            begun = true;
            last.last();
        }
        if (wasFull && !full()) {
            steer.run();
        }
    }

    /** Whatever else comes is read and forgotten. */
    void drop() {
        dropped = true;
        taker = null;
        parts.forEach(ByteBuf::release);
        parts.clear();
        if (lastPart != null) {
            lastPart.release();
            lastPart = null;
        }
        ahead = 0;
        steer.run();
    }
}
