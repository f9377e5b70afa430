package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Assembles the HTTP responses of a discovery agent into {@link Response}s. The list is parsed as its parts arrive, so no body
 * is buffered. Each part but the last fires {@link Progress} as a user event. Every inbound message is released here.
 */
final class HostListHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** Event: a part of a response has arrived. */
    enum Progress { PART }

    /**
     * A complete response.
     *
     * @param list null if the status is not 200
     * @param text of the list; null if it was not to be kept or exceeds the limit
     */
    record Response(HttpResponseStatus status, boolean keepAlive, HostListUpdate list, String text) { }

    private final int maxHosts;
    private int maxTextBytes;
    private HttpResponse head;
    private HostListParser parser; // null if the response is not a list
    private ByteArrayOutputStream text; // null if it is not kept

    /** @param maxHosts how many hosts a list may name */
    HostListHandler(int maxHosts) {
        this.maxHosts = maxHosts;
    }

    /**
     * Keeps the text of the next lists as well.
     *
     * @param maxBytes a longer text is not kept; 0 to keep none
     */
    void keepText(int maxBytes) {
        maxTextBytes = maxBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) throws IOException {
        if (part.decoderResult().isFailure()) {
            throw new IOException("discovery sent a response that is not valid HTTP", part.decoderResult().cause());
        }
        boolean valid = false;
        try {
            if (part instanceof HttpResponse response) {
                begin(response);
            }
            if (part instanceof HttpContent content && head != null) {
                read(ctx, content);
            }
            valid = true;
        } finally {
            if (!valid) {
                reset(); // the rest of an invalid response is skipped
            }
        }
    }

    private void begin(HttpResponse response) throws IOException {
        head = response;
        boolean list = response.status().equals(HttpResponseStatus.OK);
        parser = list ? new HostListParser(maxHosts) : null;
        text = list && maxTextBytes > 0 ? new ByteArrayOutputStream() : null;
    }

    private void read(ChannelHandlerContext ctx, HttpContent part) throws IOException {
        if (parser != null) {
            read(part.content());
        }
        if (part instanceof LastHttpContent) {
            end(ctx);
        } else {
            ctx.fireUserEventTriggered(Progress.PART);
        }
    }

    private void read(ByteBuf part) throws IOException {
        parser.feed(part);
        if (text != null && text.size() + part.readableBytes() > maxTextBytes) {
            text = null;
        } else if (text != null) {
            part.getBytes(part.readerIndex(), text, part.readableBytes());
        }
    }

    private void end(ChannelHandlerContext ctx) throws IOException {
        HostListUpdate list = parser == null ? null : parser.end();
        Response response = new Response(head.status(), HttpUtil.isKeepAlive(head), list,
                text == null ? null : text.toString(StandardCharsets.UTF_8));
        reset();
        ctx.fireChannelRead(response);
    }

    private void reset() {
        head = null;
        parser = null;
        text = null;
    }
}
