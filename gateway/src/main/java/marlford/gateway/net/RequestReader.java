package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
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
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import marlford.gateway.guard.ClientProgress;
import marlford.gateway.guard.ClientProgress.Part;

/**
 * Assembles the HTTP requests of one connection. Input that can't be read is passed on as {@link UnreadableRequest}, after
 * which nothing more is read, because the start of a further request is unknown. The reader never sends an answer, because
 * answers must keep the order of the requests. Runs on the event loop.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {
    private static final HttpHeadersFactory HEADERS = StrictHeaders.ofRequests(RequestParser.SINGLE,
            List.of(HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.EXPECT));
    private static final HttpHeadersFactory TRAILERS = StrictHeaders.ofRequests(List.of(), List.of());
    private static final double NONE = -1;
    static final long MAX_BODY_BYTES = 48 << 20;
    private static final double MAX_READ_GAP_MS = 100; // between reads of a socket that holds more, beyond the lag of the event loop
    private static final long MAX_UNREAD_BYTES = 8 << 20; // of input that may wait in the sockets between client and gateway

    /** Passed on in place of a request; the connection is closed after an answer with this status. */
    record UnreadableRequest(HttpResponseStatus status) { }

    /** User event: the last byte of a long body has been read. */
    record BodyReceived(RequestBodyStream body) { }

    /** User events without data. */
    enum ClientSignal {
        /** The client waits for 100 Continue before it sends the body. */
        EXPECTS_CONTINUE
    }

    private final Clock clock;
    private final DoubleSupplier earliestArrivalMs;
    private final ConnectionBuffers buffers;
    private final InputBudget.Input input;
    private final Runnable updateReading;
    private final Decoder decoder = new Decoder();
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private RequestBodyStream bodyStream; // rest of a body that is too long to be buffered; null while the body is buffered here
    private boolean expectsContinue; // the current request expects 100 Continue, which has not been sent
    private boolean inputEnded; // further input is discarded
    private IntConsumer onDiscarded = bytes -> { };
    private double requestSinceMs = NONE; // arrival of the first byte of an incomplete request
    private double lastReadMs; // arrival of the latest input
    private long bodyBytes; // received of the current request
    private long receivedBytes; // received on this connection in total
    private boolean drained = true; // as far as is known, all input that has arrived was read
    private double pausedSinceMs; // since when the socket may hold unread input
    private long receivedBytesAtPause;
    // how long the latest input may have waited in the socket during the last completed pause of reading
    private double pauseBeforeLastReadMs;
    private boolean reading; // the latest input is still being passed on
    private boolean bufferFilled; // by the latest read, so that more input may have waited in the socket
    private boolean behind; // the latest input may have waited, too, as the read before it filled its buffer
    private double runSinceMs; // earliest arrival of what was read first of the input that goes on without a gap

    /**
     * @param earliestArrivalMs supplies the earliest time at which input that is read now can have arrived, if reading has not paused
     * @param updateReading called when reading may have to pause or resume
     */
    RequestReader(Clock clock, DoubleSupplier earliestArrivalMs, ConnectionBuffers buffers, InputBudget inputBudget,
            Runnable updateReading) {
        this.input = inputBudget.new Input();
        this.clock = clock;
        this.earliestArrivalMs = earliestArrivalMs;
        this.buffers = buffers;
        this.updateReading = updateReading;
    }

    private final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setHeadersFactory(HEADERS).setTrailersFactory(TRAILERS));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            receivedBytes += ((ByteBuf) bytes).readableBytes();
            if (inputEnded) {
                onDiscarded.accept(((ByteBuf) bytes).readableBytes());
                ReferenceCountUtil.release(bytes);
                return;
            }
            double earliestMs = earliestArrivalMs.getAsDouble();
            behind = bufferFilled && earliestMs - lastReadMs <= MAX_READ_GAP_MS;
            runSinceMs = behind ? runSinceMs : earliestMs;
            bufferFilled = !((ByteBuf) bytes).isWritable();
            lastReadMs = clock.now();
            pauseBeforeLastReadMs = drained ? 0 : pauseBeforeLastReadMs;
            if (requestSinceMs == NONE) {
                requestSinceMs = lastReadMs;
            }
            reading = true;
            try {
                input.measure(((ByteBuf) bytes).readableBytes(), () -> super.channelRead(ctx, bytes));
            } finally {
                reading = false;
            }
        }

        /** Whether input of the next request is already buffered. */
        boolean leftOver() {
            return actualReadableBytes() > 0;
        }
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpResponseEncoder(), decoder, this);
    }

    /** Returns the number of bytes received on this connection, including discarded ones. */
    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns how many bytes may be read at once, as far as the expected input tells. A few kilobytes may hold hundreds of requests or
     * chunks, which are decoded and held before any other connection has its turn. The bytes of a body of known length are not interpreted.
     *
     * @param maxHeldBytes bound on input in which requests may begin, by what waits already
     */
    int maxReadBytes(int maxHeldBytes) {
        if (inputEnded) {
            return ConnectionBuffers.MAX_WINDOW_BYTES;
        }
        int maxRequestBytes = input.maxReadBytes(maxHeldBytes);
        if (head == null) {
            return maxRequestBytes;
        }
        long missingBytes = HttpUtil.getContentLength(head, 0L) - bodyBytes;
        return (int) Math.max(maxRequestBytes, Math.min(ConnectionBuffers.MAX_WINDOW_BYTES, missingBytes));
    }

    /** Whether input is being decoded and passed on; the connection must not be read again meanwhile. */
    boolean isReading() {
        return reading;
    }

    /** Whether the input being read may have waited in the socket behind earlier input, as each read takes only a part of it. */
    boolean isBehind() {
        return behind;
    }

    /** Returns how long the input being read may have waited behind earlier input, in milliseconds; 0 if it has not. */
    double behindMs() {
        return behind ? clock.now() - runSinceMs : 0;
    }

    /** Whether a request has arrived in part. */
    boolean hasIncompleteRequest() {
        return requestSinceMs != NONE;
    }

    /** Returns the state of the input, from which the progress of the client is judged. */
    ClientProgress.Input progress() {
        Part part = requestSinceMs == NONE ? Part.NONE : head == null ? Part.HEAD : Part.BODY;
        return new ClientProgress.Input(part, requestSinceMs, lastReadMs, pauseBeforeLastReadMs, bodyBytes, drained);
    }

    /** Records that reading pauses: from now on the socket may hold input that is not known here. */
    void pause() {
        if (drained) {
            recordIncompleteBody();
            drained = false;
            pausedSinceMs = clock.now();
            receivedBytesAtPause = receivedBytes;
        }
    }

    /** Records that a body is incomplete, unless its end may wait unread in the socket. */
    private void recordIncompleteBody() {
        if (bodyStream != null && (drained || bodyStream.length() - bodyBytes > MAX_UNREAD_BYTES)) {
            bodyStream.recordIncomplete(earliestArrivalMs.getAsDouble());
        }
    }

    /** Returns the latest time at which the client had certainly not sent the last byte of a body. */
    double incompleteUntilMs(RequestBodyStream body) {
        if (body == bodyStream) {
            recordIncompleteBody();
        }
        return body.incompleteUntilMs();
    }

    /** Whether the client waits for 100 Continue before it sends the body. */
    boolean expectsContinue() {
        return expectsContinue && bodyBytes == 0 && head != null;
    }

    /**
     * Records that 100 Continue is sent. The client could not send its body before, so that at most
     * {@link ClientProgress#CHARGED_WAIT_MS} of the time until now counts against its time limits.
     */
    void continueSent() {
        expectsContinue = false;
        double latestMs = clock.now() - ClientProgress.CHARGED_WAIT_MS;
        requestSinceMs = Math.max(requestSinceMs, latestMs);
        lastReadMs = Math.max(lastReadMs, latestMs);
    }

    /** Whether all input that has arrived was read, as far as is known. */
    boolean isDrained() {
        return drained;
    }

    /** Returns how long the input being read may have waited in the socket in the current pause of reading, in ms; 0 without one. */
    double currentPauseMs() {
        return drained ? 0 : clock.now() - pausedSinceMs;
    }

    /** Records that all input was read. Input that waited unread may have arrived at any time since the pause began. */
    void markDrained() {
        bufferFilled = false;
        if (drained) {
            return;
        }
        drained = true;
        if (receivedBytes > receivedBytesAtPause) {
            double now = clock.now();
            pauseBeforeLastReadMs = now - pausedSinceMs;
            requestSinceMs = requestSinceMs == NONE ? NONE : Math.min(now, requestSinceMs + pauseBeforeLastReadMs);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            Throwable cause = ((HttpObject) message).decoderResult().cause();
            if (inputEnded) {
                return;
            }
            if (cause != null) {
                refuse(ctx, cause instanceof TooLongFrameException ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest) {
                onHead(ctx, (HttpRequest) message);
            }
            if (message instanceof HttpContent && !inputEnded) {
                onContent(ctx, (HttpContent) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        boolean supportedVersion = request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                || request.protocolVersion().equals(HttpVersion.HTTP_1_0)
                && !HttpUtil.isTransferEncodingChunked(request);
        if (!supportedVersion) {
            refuse(ctx, HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
            refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE); // before any of the body is read
        } else if (HttpUtil.is100ContinueExpected(request)) {
            expectsContinue = true;
            ctx.fireUserEventTriggered(ClientSignal.EXPECTS_CONTINUE);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            refuse(ctx, HttpResponseStatus.EXPECTATION_FAILED);
        }
    }

    private void onContent(ChannelHandlerContext ctx, HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > MAX_BODY_BYTES) {
            refuse(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (bodyStream == null && bodyBytes > buffers.windowBytes()) {
            bodyStream = new RequestBodyStream(HttpUtil.getContentLength(head, -1L), buffers, updateReading);
            ByteBuf bufferedBody = body;
            body = Unpooled.EMPTY_BUFFER;
            ctx.fireChannelRead(new StreamedRequest(head, bufferedBody, bodyStream));
        }
        if (bodyStream != null && !inputEnded) {
            recordIncompleteBody();
            if (!(content instanceof LastHttpContent)) {
                bodyStream.add(content.content().retain());
                return;
            }
            RequestBodyStream completedBody = bodyStream;
            bodyStream = null;
            prepareNextRequest();
            completedBody.end(content.content().retain());
            ctx.fireUserEventTriggered(new BodyReceived(completedBody));
            return;
        }
        body = BodyParts.append(ctx.alloc(), body, content.content());
        if (content instanceof LastHttpContent) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(),
                    head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
            body = Unpooled.EMPTY_BUFFER;
            prepareNextRequest();
            ctx.fireChannelRead(request);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (bodyStream != null) {
            bodyStream.onReadComplete();
        }
        ctx.fireChannelReadComplete();
    }

    /** Prepares for the next request after a complete one; it has begun if the decoder already holds input of it. */
    private void prepareNextRequest() {
        head = null;
        expectsContinue = false;
        bodyBytes = 0;
        requestSinceMs = decoder.leftOver() ? clock.now() : NONE;
    }

    private void refuse(ChannelHandlerContext ctx, HttpResponseStatus status) {
        endInput();
        ctx.fireChannelRead(new UnreadableRequest(status));
    }

    /** Ends the reading of requests; the given consumer receives the number of bytes of each later input. */
    void discardInput(IntConsumer bytes) {
        onDiscarded = bytes;
        endInput();
    }

    private void endInput() {
        inputEnded = true;
        requestSinceMs = NONE;
        if (bodyStream != null) {
            bodyStream.drop();
            bodyStream = null;
        }
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endInput();
        ctx.fireChannelInactive();
    }
}
