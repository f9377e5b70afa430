package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.IntConsumer;
import marlford.gateway.guard.ClientProgress;
import marlford.gateway.guard.ClientProgress.Part;

/**
 * Puts the requests of one connection together, or passes on that what comes can't be read: then nothing more is, as
 * where a further request would begin is not known. It answers nothing itself, since answers have their order.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {
    private static final HttpHeadersFactory HEADERS = StrictHeaders.ofRequests(RequestParser.SINGLE);
    private static final double NONE = -1;
    private static final long LONGEST = 48 << 20; // bytes of a body

    /** In the place of a request: the connection ends with this answer. */
    record Unreadable(HttpResponseStatus status) { }

    /** The last byte of a long body was read. */
    record BodyRead(RequestBodyStream body) { }

    /** The client sends the body only once it is told that its head was read. */
    enum Asks { TO_GO_ON }

    private final Clock clock;
    private final Runnable steer;
    private final Decoder decoder = new Decoder();
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private RequestBodyStream rest; // of a body too long to be kept; null where it is put together here
    private boolean asked; // the head that is here expects a word before its body
    private boolean over;
    private IntConsumer forgotten = bytes -> { };
    private double since = NONE; // when an unfinished request began to come
    private double readAt; // when something of it last came
    private long read; // bytes of its body
    private long taken; // bytes of the connection's whole life
    private boolean drained = true; // all that has come was read, as far as is known
    private double pausedAt; // since when that is not so
    private long takenByThen; // bytes of the connection at that time
    private double unseenMs; // for how long what was read last may have stood unread
    private boolean reading; // what was read last is still being passed on

    /** @param steer runs where reading on may have to pause or to go on */
    RequestReader(Clock clock, Runnable steer) {
        this.clock = clock;
        this.steer = steer;
    }

    private final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setHeadersFactory(HEADERS));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            taken += ((ByteBuf) bytes).readableBytes();
            if (over) {
                forgotten.accept(((ByteBuf) bytes).readableBytes());
                ReferenceCountUtil.release(bytes);
                return;
            }
            readAt = clock.now();
            unseenMs = drained ? 0 : unseenMs;
            if (since == NONE) {
                since = readAt;
            }
            reading = true;
            try {
                super.channelRead(ctx, bytes);
            } finally {
                reading = false;
            }
        }

        boolean leftOver() {
            return actualReadableBytes() > 0;
        }
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpResponseEncoder(), decoder, this);
    }

    /** Bytes that were read so far, of whatever kind. */
    long taken() {
        return taken;
    }

    /** Whether this call comes from within a reading of the connection: then it must not be read again. */
    boolean reading() {
        return reading;
    }

    /** Whether something unfinished is coming. */
    boolean unfinished() {
        return since != NONE;
    }

    /** What is coming, for the judgement of its progress. */
    ClientProgress.Input input() {
        Part part = since == NONE ? Part.NONE : head == null ? Part.HEAD : Part.BODY;
        return new ClientProgress.Input(part, since, readAt, unseenMs, read, drained);
    }

    /** Something may stand unread from now on: what the client sends meanwhile is not known. */
    void pause() {
        if (drained) {
            drained = false;
            pausedAt = clock.now();
            takenByThen = taken;
        }
    }

    /** Whether the client waits for the word that its head was read, before it sends the body. */
    boolean asksToGoOn() {
        return asked && read == 0 && head != null;
    }

    /** The client is given that word: it has some time from here on, however long it waited. */
    void toldToGoOn() {
        asked = false;
        double latest = clock.now() - ClientProgress.WAITED_MS;
        since = Math.max(since, latest);
        readAt = Math.max(readAt, latest);
    }

    /** Whether all that has come was read, as far as is known. */
    boolean isDrained() {
        return drained;
    }

    /** For how long what is being read may have stood unread, as reading paused. */
    double unreadMs() {
        return drained ? 0 : clock.now() - pausedAt;
    }

    /** All that has come was read. What stood unread meanwhile may have come at any time since the pause began. */
    void drained() {
        if (drained) {
            return;
        }
        drained = true;
        if (taken > takenByThen) {
            double now = clock.now();
            unseenMs = now - pausedAt;
            since = since == NONE ? NONE : Math.min(now, since + unseenMs);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            Throwable fault = ((HttpObject) message).decoderResult().cause();
            if (over) {
                return;
            }
            if (fault != null) {
                refuse(ctx, fault instanceof TooLongFrameException ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest) {
                begin(ctx, (HttpRequest) message);
            }
            if (message instanceof HttpContent && !over) {
                goOn(ctx, (HttpContent) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        boolean known = request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                || request.protocolVersion().equals(HttpVersion.HTTP_1_0)
                && !HttpUtil.isTransferEncodingChunked(request);
        if (!known) {
            refuse(ctx, HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > LONGEST) {
            refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE); // before any of it is read
        } else if (HttpUtil.is100ContinueExpected(request)) {
            asked = true;
            ctx.fireUserEventTriggered(Asks.TO_GO_ON);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            refuse(ctx, HttpResponseStatus.EXPECTATION_FAILED);
        }
    }

    private void goOn(ChannelHandlerContext ctx, HttpContent content) {
        read += content.content().readableBytes();
        if (read > LONGEST) {
            refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (rest == null && read > ClientServer.MAX_BODY) {
            rest = new RequestBodyStream(HttpUtil.getContentLength(head, -1L), steer);
            ByteBuf kept = body;
            body = Unpooled.EMPTY_BUFFER;
            ctx.fireChannelRead(new StreamedRequest(head, kept, rest));
        }
        if (rest != null && !over) {
            if (!(content instanceof LastHttpContent)) {
                rest.add(content.content().retain());
                return;
            }
            RequestBodyStream ended = rest;
            rest = null;
            nextFrom();
            ended.end(content.content().retain());
            ctx.fireUserEventTriggered(new BodyRead(ended));
            return;
        }
        body = joined(ctx, body, content.content());
        if (content instanceof LastHttpContent) {
            DefaultFullHttpRequest whole = new DefaultFullHttpRequest(head.protocolVersion(), head.method(),
                    head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
            body = Unpooled.EMPTY_BUFFER;
            nextFrom();
            ctx.fireChannelRead(whole);
        }
    }

    /** A request has come whole: the next one begins here, and has where something stands behind the last. */
    private void nextFrom() {
        head = null;
        asked = false;
        read = 0;
        since = decoder.leftOver() ? clock.now() : NONE;
    }

    /** Parts of a body one behind the other, without a copy; the first is taken over, the second retained. */
    static ByteBuf joined(ChannelHandlerContext ctx, ByteBuf body, ByteBuf part) {
        if (!part.isReadable()) {
            return body;
        }
        if (!body.isReadable()) {
            body.release();
            return part.retain();
        }
        CompositeByteBuf all = body instanceof CompositeByteBuf ? (CompositeByteBuf) body
                : ctx.alloc().compositeBuffer().addComponent(true, body);
        return all.addComponent(true, part.retain());
    }

    private void refuse(ChannelHandlerContext ctx, HttpResponseStatus status) {
        end();
        ctx.fireChannelRead(new Unreadable(status));
    }

    /** No request is read any more; is told how many bytes come all the same. */
    void forget(IntConsumer bytes) {
        forgotten = bytes;
        end();
    }

    private void end() {
        over = true;
        since = NONE;
        if (rest != null) {
            rest.drop();
            rest = null;
        }
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
        ctx.fireChannelInactive();
    }
}
