package marlford.gateway.net;

import io.netty.buffer.ByteBufHolder;
import java.util.ArrayDeque;
import java.util.List;

/**
 * The messages of one client connection that were read and wait for their turn: requests, then possibly a
 * {@link RequestReader.UnreadableRequest}. Owns the messages until they are taken. Their heap is counted in the {@link HeldRequests} that all
 * connections share, and their buffers here.
 *
 * <p>Used on the event loop.
 */
final class RequestQueue {
    private static final int HEAD_BYTES = 1024; // counted for each request in addition to its body

    /**
     * A message and when it arrived, from which on the client's time limit counts.
     *
     * @param arrivedMs milliseconds on the node's clock
     */
    record Entry(Object message, double arrivedMs, long heapBytes) { }

    private final HeldRequests heldRequests;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private long bufferedBytes;

    RequestQueue(HeldRequests heldRequests) {
        this.heldRequests = heldRequests;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
    }

    /** Adds a message and takes ownership of it. */
    void add(Object message, double arrivedMs) {
        long heapBytes = HeldRequests.heapBytes(message);
        entries.add(new Entry(message, arrivedMs, heapBytes));
        bufferedBytes += sizeOf(message);
        heldRequests.add(heapBytes);
    }

    /** Removes and returns the first message, which the caller owns from here on. */
    Entry poll() {
        Entry first = entries.poll();
        bufferedBytes -= sizeOf(first.message());
        heldRequests.remove(first.heapBytes());
        return first;
    }

    /** Releases all messages, which get no answer any more. */
    void discard() {
        List<Entry> discarded = List.copyOf(entries);
        entries.clear(); // before the messages are released, because releasing a body may call back into the connection
        bufferedBytes = 0;
        for (Entry entry : discarded) {
            heldRequests.remove(entry.heapBytes());
            StreamedRequest.discard(entry.message());
        }
    }

    /** Returns what the messages hold, in bytes; of long bodies only the part that was buffered before their rest was streamed. */
    long bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns how much is held of the long bodies, beyond {@link #bufferedBytes}. */
    long streamedBodyBytes() {
        long bytes = 0;
        for (Entry entry : entries) {
            RequestBodyStream bodyStream = StreamedRequest.bodyStreamOf(entry.message());
            bytes += bodyStream == null ? 0 : bodyStream.bufferedBytes();
        }
        return bytes;
    }

    /** Whether the last request has a long body of which as much as fits has been read. */
    boolean endsWithFullBody() {
        RequestBodyStream bodyStream = entries.isEmpty() ? null : StreamedRequest.bodyStreamOf(entries.peekLast().message());
        return bodyStream != null && bodyStream.isFull();
    }

    private static int sizeOf(Object message) {
        return HEAD_BYTES + (message instanceof ByteBufHolder ? ((ByteBufHolder) message).content().readableBytes() : 0);
    }
}
