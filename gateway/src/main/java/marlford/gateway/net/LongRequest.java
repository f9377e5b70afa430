package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/** A request of whose body only the first part is kept; the rest follows by its {@link Upload}. */
final class LongRequest extends DefaultFullHttpRequest {
    final Upload rest;

    /** Takes over the kept part. */
    LongRequest(HttpRequest head, ByteBuf kept, Upload rest) {
        super(head.protocolVersion(), head.method(), head.uri(), kept, head.headers(), EmptyHttpHeaders.INSTANCE);
        this.rest = rest;
    }

    /** Lets go of a message that nobody is to have any more: what is kept of it, and the rest where it has one. */
    static void free(Object message) {
        ReferenceCountUtil.release(message);
        Upload rest = restOf(message);
        if (rest != null) {
            rest.drop();
        }
    }

    /** The rest of a request's body; null where all of it is kept. */
    static Upload restOf(Object request) {
        return request instanceof LongRequest ? ((LongRequest) request).rest : null;
    }
}
