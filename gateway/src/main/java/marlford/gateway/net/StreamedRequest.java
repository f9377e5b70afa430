package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/** A request of whose body only the first part is kept; the rest follows by its {@link RequestBodyStream}. */
final class StreamedRequest extends DefaultFullHttpRequest {
    final RequestBodyStream rest;

    /** Takes over the kept part. */
    StreamedRequest(HttpRequest head, ByteBuf kept, RequestBodyStream rest) {
        super(head.protocolVersion(), head.method(), head.uri(), kept, head.headers(), EmptyHttpHeaders.INSTANCE);
        this.rest = rest;
    }

    /** Lets go of a message that nobody is to have any more: what is kept of it, and the rest where it has one. */
    static void free(Object message) {
        ReferenceCountUtil.release(message);
        RequestBodyStream rest = restOf(message);
        if (rest != null) {
            rest.drop();
        }
    }

    /** The rest of a request's body; null where all of it is kept. */
    static RequestBodyStream restOf(Object request) {
        return request instanceof StreamedRequest ? ((StreamedRequest) request).rest : null;
    }
}
