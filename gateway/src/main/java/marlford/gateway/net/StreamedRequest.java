package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/** A request of whose body only the first part is buffered; the rest follows through its {@link RequestBodyStream}. */
final class StreamedRequest extends DefaultFullHttpRequest {
    final RequestBodyStream bodyStream;

    /** Takes ownership of the buffered part of the body. */
    StreamedRequest(HttpRequest head, ByteBuf bufferedBody, RequestBodyStream rest) {
        super(head.protocolVersion(), head.method(), head.uri(), bufferedBody, head.headers(), EmptyHttpHeaders.INSTANCE);
        this.bodyStream = rest;
    }

    /** Releases a message that is not processed any further, including the rest of its body. */
    static void discard(Object message) {
        ReferenceCountUtil.release(message);
        RequestBodyStream rest = bodyStreamOf(message);
        if (rest != null) {
            rest.drop();
        }
    }

    /** Returns the rest of a request's body; null when the body is buffered completely. */
    static RequestBodyStream bodyStreamOf(Object request) {
        return request instanceof StreamedRequest ? ((StreamedRequest) request).bodyStream : null;
    }
}
