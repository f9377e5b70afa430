package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * The rest of a long request body, of which only the first part is buffered. It is read from the client no faster than a
 * host receives it, forwarded once, and discarded when no host needs it. The last part is held back until everything before it has
 * been written to the host and the client was then seen to be still connected: the end of a client's connection follows the body, and a
 * host starts to process a request once it is complete. Runs on the event loop that client and host connections share.
 *
 * <p>Ownership: an added part belongs to this object until it is forwarded or discarded. At most the window of
 * {@link ConnectionBuffers} and the result of one socket read are buffered; {@link #isFull} then requests a pause.
 */
final class RequestBodyStream {
    /** A host connection that receives the body. */
    interface Receiver {
        /** Whether another part can be written now. */
        boolean isReady();

        /** Writes a part and takes ownership of it. */
        void write(ByteBuf part);

        /** Runs the task once everything that was written before has left this process; does not if the connection ends first. */
        void afterWrites(Runnable task);

        /** Called after the last part. */
        void finish();
    }

    /** A smaller part is joined with the one before it, so that tiny chunks need no object and no write each. */
    private static final int SMALL_PART_BYTES = 1024;
    private static final int MAX_JOINED_BYTES = 16 * 1024;

    private final long length;
    private final ConnectionBuffers buffers;
    private final Runnable onChange;
    private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>();
    private long bufferedBytes;
    private boolean full; // more than the window was buffered, and has not been forwarded since
    private ByteBuf lastPart; // received, but held back until confirmed; null otherwise
    private double incompleteUntilMs = Double.NEGATIVE_INFINITY; // the client had certainly not sent the last byte then
    private boolean complete; // the last byte has been received from the client
    private boolean confirmed; // the client was still connected when the last part could be written at once
    private Runnable confirmationNeeded = () -> { };
    private boolean confirmationRequested; // for the present receiver
    private boolean forwardingStarted; // at least one part was given to a host
    private boolean forwarding; // a call of forward is in progress
    private boolean dropped; // no host needs the body any more
    private Receiver receiver;

    /**
     * @param length of the whole body in bytes, including the buffered part; negative when the client does not declare it
     * @param buffers bounds the buffered bytes
     * @param onChange called when {@link #isFull} or {@link #isComplete} may have changed
     */
    RequestBodyStream(long length, ConnectionBuffers buffers, Runnable onChange) {
        this.length = length;
        this.buffers = buffers;
        this.onChange = onChange;
    }

    /** Returns the length of the whole body in bytes; negative when it is unknown. */
    long length() {
        return length;
    }

    /** Whether reading from the client has to pause. */
    boolean isFull() {
        return full;
    }

    /** @param task called when only the last part is left to be written; {@link #confirm} then releases it */
    void onConfirmationNeeded(Runnable task) {
        confirmationNeeded = task;
    }

    /** Returns the number of bytes that are held here. */
    long bufferedBytes() {
        return bufferedBytes;
    }

    /** Records that the client had not sent the last byte at the given time. */
    void recordIncomplete(double timeMs) {
        incompleteUntilMs = Math.max(incompleteUntilMs, timeMs);
    }

    /** Returns the latest recorded time at which the client had not sent the last byte; negative infinity if there is none. */
    double incompleteUntilMs() {
        return incompleteUntilMs;
    }

    /** Whether the client has sent the whole body. */
    boolean isComplete() {
        return complete;
    }

    /** Whether a host can still receive the whole body. */
    boolean isUnclaimed() {
        return !forwardingStarted && !dropped && receiver == null;
    }

    /** Takes ownership of a part that is not the last one. To be followed by {@link #onReadComplete}. */
    void add(ByteBuf part) {
        if (dropped) {
            part.release();
            return;
        }
        bufferedBytes += part.readableBytes();
        ByteBuf previous = parts.peekLast();
        boolean joins = previous != null && part.readableBytes() < SMALL_PART_BYTES
                && previous.readableBytes() + part.readableBytes() <= MAX_JOINED_BYTES;
        if (joins) {
            parts.add(BodyParts.append(buffers.allocator(), parts.pollLast(), part));
            part.release();
        } else {
            parts.add(part);
        }
    }

    /** Forwards the parts that one read of the client's socket brought, and requests a pause where the host does not take them. */
    void onReadComplete() {
        forward();
        if (!full && bufferedBytes > buffers.windowBytes()) {
            full = true;
            onChange.run();
        }
    }

    /** Takes ownership of the last part and holds it back until {@link #confirm}. */
    void end(ByteBuf part) {
        complete = true;
        if (dropped) {
            part.release();
        } else {
            lastPart = part;
            bufferedBytes += part.readableBytes();
            forward();
        }
        onChange.run();
    }

    /** Releases the last part, because the client is still connected now. Has no effect when no host waits for it. */
    void confirm() {
        if (dropped || confirmed || receiver == null || !confirmationRequested) {
            return;
        }
        confirmed = true;
        parts.add(lastPart);
        lastPart = null;
        forward();
        onChange.run();
    }

    /** Starts to forward the body to a host. */
    void forwardTo(Receiver host) {
        receiver = host;
        confirmationRequested = false;
        forward();
    }

    /** Stops forwarding to a host. If it has received a part, no other host can receive the whole body, and the rest is dropped. */
    void stopForwarding(Receiver host) {
        if (receiver == host) {
            receiver = null;
            if (forwardingStarted) {
                drop();
            }
        }
    }

    /**
     * Forwards as many parts as the host can take now. A write may change whether the channel is writable, which calls this method within
     * the write; such a call does nothing, because the encoder of the channel can't write a message within another.
     */
    void forward() {
        if (forwarding) {
            return;
        }
        forwarding = true;
        try {
            forwardParts();
        } finally {
            forwarding = false;
        }
        if (full && bufferedBytes <= buffers.windowBytes()) {
            full = false;
            onChange.run();
        }
    }

    private void forwardParts() {
        while (receiver != null && !parts.isEmpty() && receiver.isReady()) {
            ByteBuf part = parts.poll();
            bufferedBytes -= part.readableBytes();
            forwardingStarted = true;
            receiver.write(part);
        }
        if (receiver != null && lastPart != null && parts.isEmpty() && !confirmationRequested) {
            requestConfirmation(receiver);
        }
        if (receiver != null && confirmed && parts.isEmpty()) {
            Receiver completed = receiver;
            receiver = null;
            forwardingStarted = true;
            completed.finish();
        }
    }

    private void requestConfirmation(Receiver host) {
        confirmationRequested = true;
        host.afterWrites(() -> {
            if (receiver == host) {
                confirmationNeeded.run();
            }
        });
    }

    /** Discards the buffered parts and all that follow. */
    void drop() {
        dropped = true;
        receiver = null;
        parts.forEach(ByteBuf::release);
        parts.clear();
        if (lastPart != null) {
            lastPart.release();
            lastPart = null;
        }
        bufferedBytes = 0;
        full = false;
        onChange.run();
    }
}
