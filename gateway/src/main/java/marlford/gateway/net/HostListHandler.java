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
 * Makes {@link Answer}s of the parts of discovery's answers, and reads lists as they come: no body is held. Each part that
 * is not the last is told on as {@link Progress}. It releases every part that it is given.
 */
final class HostListHandler extends SimpleChannelInboundHandler<HttpObject> {
    /** An answer is coming in. */
    enum Progress { PART }

    /**
     * A whole answer.
     *
     * @param list null where the status is not 200
     * @param text of the list; null where nobody asked for it or it is longer than that
     */
    record Answer(HttpResponseStatus status, boolean keepAlive, HostListAnswer list, String text) { }

    private final int maxHosts;
    private int textMax;
    private HttpResponse head;
    private HostListParser parser; // null for an answer without a list
    private ByteArrayOutputStream text; // null where it is not kept

    /** @param maxHosts that a list may name */
    HostListHandler(int maxHosts) {
        this.maxHosts = maxHosts;
    }

    /** Keeps the text of the next lists, too, as far as each is no longer than that; 0 for none. */
    void keepText(int bytes) {
        textMax = bytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) throws IOException {
        if (part.decoderResult().isFailure()) {
            throw new IOException("an answer that is not HTTP", part.decoderResult().cause());
        }
        boolean read = false;
        try {
            if (part instanceof HttpResponse response) {
                begin(response);
            }
            if (part instanceof HttpContent content && head != null) {
                read(ctx, content);
            }
            read = true;
        } finally {
            if (!read) {
                forget(); // the rest of an answer that can't be read is passed over
            }
        }
    }

    private void begin(HttpResponse response) throws IOException {
        head = response;
        boolean list = response.status().equals(HttpResponseStatus.OK);
        parser = list ? new HostListParser(maxHosts) : null;
        text = list && textMax > 0 ? new ByteArrayOutputStream() : null;
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
        if (text != null && text.size() + part.readableBytes() > textMax) {
            text = null;
        } else if (text != null) {
            part.getBytes(part.readerIndex(), text, part.readableBytes());
        }
    }

    private void end(ChannelHandlerContext ctx) throws IOException {
        HostListAnswer list = parser == null ? null : parser.end();
        Answer answer = new Answer(head.status(), HttpUtil.isKeepAlive(head), list,
                text == null ? null : text.toString(StandardCharsets.UTF_8));
        forget();
        ctx.fireChannelRead(answer);
    }

    private void forget() {
        head = null;
        parser = null;
        text = null;
    }
}
