package marlford.gateway.net;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;

/**
 * The heap that the requests of all client connections need which were read and wait for their turn. Reading pauses where they reach the
 * limit, except on a connection on which none waits, and the size of reads shrinks on the way there. So all connections together hold at
 * most the limit and, each, what one smallest read brings.
 *
 * <p>Not thread-safe; used on the event loop.
 */
final class HeldRequests {
    private static final long LIMIT_BYTES = 4 << 20;
    private static final int MAX_READ_BYTES = 4096;
    private static final int MIN_READ_BYTES = 256;
    private static final long FREE_READS = 32; // part of the free bytes that the requests of one read may take
    private static final long HEAP_BYTES_PER_INPUT_BYTE = 32; // of the shortest request, which needs 18 bytes
    private static final int REQUEST_OBJECT_BYTES = 512; // the message, its headers' table and its place in the queue
    private static final int HEADER_OBJECT_BYTES = 160; // entry, name and value, without their characters

    private long heldBytes;

    /** Returns the heap that a message needs, in bytes, without its body, whose buffer is counted where it is allocated. */
    static long heapBytes(Object message) {
        if (!(message instanceof HttpRequest)) {
            return REQUEST_OBJECT_BYTES;
        }
        HttpRequest request = (HttpRequest) message;
        long bytes = REQUEST_OBJECT_BYTES + request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += HEADER_OBJECT_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Adds a request that begins to wait. */
    void add(long bytes) {
        heldBytes += bytes;
    }

    /** Removes a request that waits no longer. */
    void remove(long bytes) {
        heldBytes -= bytes;
    }

    /** Whether a connection on which requests wait may read no further ones. */
    boolean isFull() {
        return heldBytes >= LIMIT_BYTES;
    }

    /** Returns how many bytes in which requests may begin are read at once. */
    int maxReadBytes() {
        long freeBytes = LIMIT_BYTES - heldBytes;
        return (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, freeBytes / FREE_READS / HEAP_BYTES_PER_INPUT_BYTE));
    }
}
