package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against writes within writes: where the last part of a body made its channel unwritable, the end of the body was written
 * while the part was being encoded, the part was written twice, and the request failed.
 */
class RequestBodyStreamTest {
    private static final int DIRECT_BYTES = 4 << 20;
    private static final String LAST_PART = "0123456789";

    @ParameterizedTest
    @ValueSource(ints = {1, 100})
    void theLastPartIsWrittenOnce(int highWaterMark) {
        RequestBodyStream body = new RequestBodyStream(LAST_PART.length(), new ConnectionBuffers(DIRECT_BYTES), () -> { });
        EmbeddedChannel host = new EmbeddedChannel(new HttpRequestEncoder(), new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                body.forward();
            }
        });
        host.config().setWriteBufferWaterMark(new WriteBufferWaterMark(1, highWaterMark));
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/order/x");
        HttpUtil.setContentLength(head, LAST_PART.length());
        host.writeOutbound(head);
        host.<ByteBuf>readOutbound().release();
        body.forwardTo(receiver(host));
        body.end(Unpooled.copiedBuffer(LAST_PART, StandardCharsets.US_ASCII));
        body.confirm();
        host.flush();
        StringBuilder written = new StringBuilder();
        for (ByteBuf part = host.readOutbound(); part != null; part = host.readOutbound()) {
            written.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        assertEquals(LAST_PART, written.toString());
        host.checkException();
    }

    /** The client may leave while earlier parts wait for a slow host, so its presence is checked after them. */
    @Test
    void theLastPartIsHeldUntilTheOthersAreWritten() {
        RequestBodyStream body = new RequestBodyStream(LAST_PART.length() + 1, new ConnectionBuffers(DIRECT_BYTES), () -> { });
        EmbeddedChannel host = new EmbeddedChannel(new HttpRequestEncoder());
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/order/x");
        HttpUtil.setContentLength(head, LAST_PART.length() + 1);
        host.writeOutbound(head);
        List<Runnable> afterWrites = new ArrayList<>();
        List<String> confirmations = new ArrayList<>();
        body.onConfirmationNeeded(() -> confirmations.add("needed"));
        body.forwardTo(receiver(host, afterWrites::add));
        body.add(Unpooled.copiedBuffer("p", StandardCharsets.US_ASCII));
        body.onReadComplete();
        body.end(Unpooled.copiedBuffer(LAST_PART, StandardCharsets.US_ASCII));
        assertEquals(List.of(), confirmations);
        afterWrites.forEach(Runnable::run);
        assertEquals(List.of("needed"), confirmations);
        assertFalse(body.isUnclaimed());
        body.drop();
        host.releaseOutbound();
    }

    private static RequestBodyStream.Receiver receiver(EmbeddedChannel host) {
        return receiver(host, Runnable::run);
    }

    private static RequestBodyStream.Receiver receiver(EmbeddedChannel host, Consumer<Runnable> afterWrites) {
        return new RequestBodyStream.Receiver() {
            @Override
            public boolean isReady() {
                return host.isWritable();
            }

            @Override
            public void write(ByteBuf part) {
                host.write(new DefaultHttpContent(part));
            }

            @Override
            public void afterWrites(Runnable task) {
                afterWrites.accept(task);
            }

            @Override
            public void finish() {
                host.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        };
    }
}
