package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Joins the parts of a message body. Parts are copied into one buffer, so that a body of many tiny chunks needs memory for its bytes
 * and not for an object of each chunk, and does not keep the buffers that its chunks were read into.
 */
final class BodyParts {
    private BodyParts() { }

    /**
     * Returns the body with the part behind it. Takes ownership of the body; the part stays with the caller.
     *
     * @param body an empty buffer, or the result of an earlier call
     */
    static ByteBuf append(ByteBufAllocator allocator, ByteBuf body, ByteBuf part) {
        if (!part.isReadable()) {
            return body;
        }
        if (!body.isReadable()) {
            body.release();
            return part.retain();
        }
        if (isOwnCopy(body, part)) {
            return body.writeBytes(part, part.readerIndex(), part.readableBytes());
        }
        // Twice the length, and no growth in place: the allocator bounds the direct memory only where a buffer is allocated.
        int capacity = 2 * (body.readableBytes() + part.readableBytes());
        ByteBuf joined = allocator.buffer(capacity, capacity);
        joined.writeBytes(body, body.readerIndex(), body.readableBytes()); // moves no index: the body may be the caller's first part
        joined.writeBytes(part, part.readerIndex(), part.readableBytes());
        body.release();
        return joined;
    }

    /** Whether the buffer was allocated here and has room for the part: a part as it was read is a slice, which has none. */
    private static boolean isOwnCopy(ByteBuf body, ByteBuf part) {
        return body.refCnt() == 1 && body.maxWritableBytes() >= part.readableBytes();
    }
}
