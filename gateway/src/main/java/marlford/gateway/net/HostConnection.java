package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.guard.ReachedProcess;
import marlford.gateway.guard.ResponseProgress;
import marlford.gateway.guard.ResponseProgress.Length;
import marlford.gateway.guard.TransferProgress;

/**
 * A connection to one host, used on the event loop only. It carries one exchange at a time, aggregates the response, and
 * returns to its pool only if no bytes follow that response: unsolicited bytes would be read as the next response.
 */
final class HostConnection extends ChannelInboundHandlerAdapter {
    private static final AsciiString NEVER_RAN_HEADER = AsciiString.cached("X-Never-Ran");
    private static final HttpHeadersFactory HEADERS = StrictHeaders.ofAnswers(
            List.of(HttpHeaderNames.CONTENT_TYPE, NEVER_RAN_HEADER, LoadReport.HEADER));
    private static final HttpHeadersFactory TRAILERS = StrictHeaders.ofAnswers(List.of());
    private static final long UPLOAD_CHECK_INTERVAL_MS = 250;
    private static final long RESPONSE_CHECK_INTERVAL_MS = 250;
    /** A 200 of unknown length that takes longer than this, from its head, is passed on as it comes. */
    private static final long MAX_BUFFERING_MS = 250;
    private static final long MAX_RESPONSE_BYTES = 48 << 20; // a response that declares or sends more is invalid
    private static final int MAX_INTERIM_RESPONSES = 16; // 1xx responses ahead of the final one

    /** Keeps idle connections between exchanges. */
    interface Owner {
        /** Returns whether connections are no longer kept; an idle one is then closed. */
        boolean isClosed();

        /** The connection may carry another exchange. */
        void onIdle(HostConnection connection);

        /** The connection has closed. */
        void onClosed(HostConnection connection);

        /** The host reset the connection, or ended it within an exchange: its process may have ended. */
        void onLost(double now);

        /**
         * A response has begun to be read. It may have waited for long since its host wrote it.
         *
         * @param requestBegunMs when the first byte of its request was written; the host was alive then
         */
        void onResponse(HostConnection connection, double requestBegunMs);
    }

    private final Owner owner;
    private final Clock clock;
    private final ConnectionBuffers buffers;
    private final InputBudget.Input input;
    private final Decoder decoder = new Decoder();
    private Channel channel;
    private Exchange exchange;
    private double requestBegunMs; // when the request's first byte was written
    private boolean requestWritten; // the request's last byte was written to the socket
    private boolean responseStarted; // some bytes of the response were read
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private RequestBodyStream requestBody; // the unsent rest of the request's body; null if there is none
    private ChannelOutput output;
    private TransferProgress uploadProgress; // of that rest
    private Sink sink; // receives a streamed response; null while the response is aggregated here
    private long streamedBytes; // bytes passed to the sink
    private ResponseProgress progress; // of the response to the present exchange
    private int interimResponses;
    private boolean endsWithConnection; // the end of the connection is the end of the response; a reset is not
    private boolean reusable; // the response is complete and no bytes followed it
    private Future<?> stallTimer;
    private double idleSince;
    private double openedAtMs;

    HostConnection(Owner owner, Clock clock, ConnectionBuffers buffers, InputBudget inputBudget) {
        this.input = inputBudget.new Input();
        this.buffers = buffers;
        this.owner = owner;
        this.clock = clock;
        this.progress = new ResponseProgress(clock.now());
    }

    /**
     * A request to a host and its response. It ends once: by a call of {@link #onEnded}, or by {@link #abandon}, which does
     * not call that method. A subclass must ignore events after its end.
     */
    abstract static class Exchange {
        private HostConnection connection;

        /**
         * Returns whether its first byte may be written now, on a connection that is established; ends it otherwise.
         *
         * @param process the process at the other end
         */
        boolean mayBeWritten(ReachedProcess process) {
            return true;
        }

        /** Its whole request was given to the connection, but a part of it waits until the host has read more. */
        void onLastWritePending() { }

        /** The last byte of its request was written to the socket. */
        void onRequestWritten() { }

        /**
         * Its response is too long to be aggregated. Returns the sink to stream it to, or null if it is not wanted.
         *
         * @param more to be run when the sink is ready again
         */
        Sink onLongResponse(HttpResponse head, Runnable more) {
            return null;
        }

        /**
         * The exchange ended.
         *
         * @param response null if there is none; released after this call, and without a body if that was streamed
         */
        abstract void onEnded(Outcome outcome, FullHttpResponse response);

        /** Returns whether a connection is established or being established for it, and it has not ended. */
        final boolean isPending() {
            return connection != null;
        }

        /** Returns whether the last byte of its request was written to the socket. */
        final boolean isRequestWritten() {
            return connection != null && connection.requestWritten;
        }

        /** Returns the deadline of its request, in milliseconds of the clock; infinite if it has none. */
        double deadlineMs() {
            return Double.POSITIVE_INFINITY;
        }

        /**
         * Returns whether its response may go on past the request's deadline: the time of a long one is that of its first bytes, and
         * a short one that waits for its client to read is not late through its host. One of unknown length may be long.
         */
        final boolean mayOutlastDeadline() {
            HostConnection carrier = connection;
            return carrier != null && carrier.sink != null && (carrier.mayBeLong() || !carrier.channel.config().isAutoRead());
        }

        /** Starts to stream a response that has begun and may be long. Has no effect otherwise, or when nobody wants it. */
        final void streamIfPossiblyLong() {
            if (connection != null) {
                connection.streamIfPossiblyLong();
            }
        }

        /**
         * Reads bytes that are already in the socket. To be called when a timeout fires: if the response is already in the
         * socket, this event loop was late and not the host. The exchange may end in this call.
         */
        final void readPending() {
            HostConnection carrier = connection;
            if (carrier != null && carrier.channel != null && carrier.channel.isActive() && carrier.channel.config().isAutoRead()) {
                Transport.readNow(carrier.channel);
            }
        }

        /** Gives the exchange up. Its connection is closed, so that late bytes cannot reach another request. */
        final void abandon() {
            HostConnection carrier = connection;
            connection = null;
            if (carrier != null) {
                carrier.exchange = null;
                carrier.detachRequestBody();
                carrier.truncateSink();
                carrier.close();
            }
        }
    }

    /** Receives the body of a streamed response. */
    interface Sink {
        /** Writes a part of the body and takes ownership of the buffer. */
        void write(ByteBuf part);

        /** Returns whether another part may be written now. */
        boolean isWritable();

        /**
         * No further part follows.
         *
         * @param whole whether the body is complete; false if its rest will not be received
         */
        void end(boolean whole);
    }

    /** Decodes responses. Their headers may hold anything except what makes the length of the response ambiguous. */
    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setHeadersFactory(HEADERS).setTrailersFactory(TRAILERS));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (exchange == null) { // unsolicited, or abandoned: even a part of a message makes the connection unusable
                ReferenceCountUtil.release(bytes);
                close();
                return;
            }
            if (!responseStarted) {
                responseStarted = true;
                owner.onResponse(HostConnection.this, requestBegunMs);
            }
            progress.recordRead(clock.now());
            input.measure(((ByteBuf) bytes).readableBytes(), () -> {
                super.channelRead(ctx, bytes);
                if (sink != null) { // all parts of one read together, so that tiny chunks need no write each
                    passToSink();
                }
            });
        }

        /** Netty accepts a header line without a colon as a name without a value; such a head is rejected here. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("header line of a response has no colon after the name");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** Returns whether bytes remain that belong to no decoded message. */
        boolean hasUnreadBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Installs this connection's handlers on its channel. */
    void attach(Channel newChannel) {
        channel = newChannel;
        output = buffers.attach(newChannel, () -> input.maxReadBytes(ConnectionBuffers.MAX_WINDOW_BYTES));
        newChannel.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    /** Assigns the exchange that this connection is to carry. */
    void assign(Exchange target) {
        exchange = target;
        target.connection = this;
    }

    /** Records that the connection is established. */
    void markOpened() {
        openedAtMs = clock.now();
    }

    /** Returns when the connection was established, in milliseconds of the clock. */
    double openedAtMs() {
        return openedAtMs;
    }

    boolean carries(Exchange target) {
        return exchange == target;
    }

    /** Returns when the connection last became idle, in milliseconds of the clock. */
    double idleSince() {
        return idleSince;
    }

    /**
     * Returns whether an idle connection may carry the next exchange. Unread bytes in its socket are read first: a
     * duplicate of the last response, or the end of the connection, may have arrived since the loop last polled it.
     */
    boolean readAndCheckActive() {
        if (channel.isActive()) {
            Transport.readNow(channel);
        }
        return channel.isActive();
    }

    /** Writes a request and takes ownership of the message. A streamed body follows as the socket accepts it. */
    void write(Exchange target, FullHttpRequest message) {
        assign(target);
        requestWritten = responseStarted = reusable = false;
        interimResponses = 0;
        streamedBytes = 0;
        requestBegunMs = clock.now();
        progress = new ResponseProgress(requestBegunMs);
        if (message instanceof StreamedRequest) {
            channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(),
                    message.headers()), channel.voidPromise());
            channel.writeAndFlush(new DefaultHttpContent(message.content()), channel.voidPromise());
            requestBody = ((StreamedRequest) message).bodyStream;
            uploadProgress = TransferProgress.towardsHost(clock.now());
            output.beginLongTransfer();
            requestBody.forwardTo(bodyTarget);
            watchUpload(target);
        } else {
            writeLast(target, message);
        }
    }

    /** Writes the last message of a request, of which a part may wait in this process until the host has read more. */
    private void writeLast(Exchange target, Object message) {
        ChannelFuture written = channel.writeAndFlush(message);
        written.addListener(f -> onWriteCompleted(target, f.cause()));
        if (exchange == target && !written.isDone()) {
            target.onLastWritePending();
        }
    }

    /**
     * Fails the exchange if the host stops accepting a streamed body. Otherwise such a host would delay the client until the
     * time limit of the whole body.
     */
    private void watchUpload(Exchange target) {
        channel.eventLoop().schedule(() -> {
            if (exchange != target || requestWritten) {
                return;
            }
            uploadProgress.record(clock.now(), output.pendingBytes(), output.leftBytes());
            if (uploadProgress.isStalled(clock.now())) {
                fail();
            } else {
                watchUpload(target);
            }
        }, UPLOAD_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The write of the request's last byte has completed. */
    private void onWriteCompleted(Exchange target, Throwable failure) {
        FatalErrors.endIfOutOfMemory(failure);
        if (exchange != target) {
            return;
        }
        requestWritten = failure == null;
        if (requestWritten) {
            target.onRequestWritten();
        } else {
            closeThenEnd(Outcome.CONNECT_FAILED);
        }
    }

    private final RequestBodyStream.Receiver bodyTarget = new RequestBodyStream.Receiver() {
        @Override
        public boolean isReady() {
            return channel.isWritable();
        }

        @Override
        public void write(ByteBuf part) {
            channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
        }

        @Override
        public void afterWrites(Runnable task) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                if (f.isSuccess()) {
                    task.run();
                }
            });
        }

        @Override
        public void finish() {
            requestBody = null;
            writeLast(exchange, LastHttpContent.EMPTY_LAST_CONTENT);
        }
    };

    /** Stops sending a streamed body on this connection. */
    private void detachRequestBody() {
        RequestBodyStream detached = requestBody;
        requestBody = null;
        if (detached != null) {
            detached.stopForwarding(bodyTarget);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (requestBody != null) {
            requestBody.forward();
        }
    }

    /** Ends the exchange without a response. The host can have run the request only if its last byte was written. */
    void fail() {
        closeThenEnd(requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** Ends the exchange because this machine could not open a connection, for reasons unrelated to the host. */
    void failUnsent() {
        closeThenEnd(Outcome.UNSENT);
    }

    /** Drops the exchange without ending it; another connection carries it. */
    void detach() {
        exchange = null;
    }

    /** Ends the exchange because its response is invalid. The host may have run the request nevertheless. */
    private void failInvalidResponse() {
        closeThenEnd(Outcome.SPOILT);
    }

    /**
     * Closes the connection and only then ends its exchange. The callback may send another attempt at once; if this
     * connection were still open, two attempts of the request would be in flight together, which the settings may forbid.
     */
    private void closeThenEnd(Outcome outcome) {
        Exchange target = exchange;
        exchange = null; // the close fails pending writes, which must not end the exchange
        close();
        exchange = target;
        end(outcome, null);
    }

    /** Ends a streamed response before it is complete. */
    private void truncateSink() {
        Sink truncated = sink;
        sink = null;
        if (truncated != null) {
            truncated.end(false);
        }
    }

    private void end(Outcome outcome, FullHttpResponse response) {
        detachRequestBody(); // before the outcome is reported: the callback may send the request to another host
        Exchange target = exchange;
        exchange = null;
        if (target != null) {
            target.connection = null;
            target.onEnded(outcome, response);
        }
        truncateSink(); // a complete streamed response has already ended its sink
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (exchange == null) {
                close();
            } else if (((HttpObject) message).decoderResult().isFailure()) {
                failInvalidResponse();
            } else {
                if (message instanceof HttpResponse) {
                    onResponseHead((HttpResponse) message);
                }
                if (message instanceof HttpContent && exchange != null) {
                    onContent(ctx, (HttpContent) message);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onResponseHead(HttpResponse response) {
        head = response;
        boolean interimHead = isInterim();
        boolean empty = response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        boolean chunked = HttpUtil.isTransferEncodingChunked(response);
        long length = HttpUtil.getContentLength(response, -1L);
        endsWithConnection = !interimHead && !empty && !chunked && length < 0;
        progress.recordHead(clock.now(), bodyLength());
        if (length > MAX_RESPONSE_BYTES || interimHead && ++interimResponses > MAX_INTERIM_RESPONSES
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            failInvalidResponse();
        } else if (length > maxBufferedBytes()) {
            startStreaming();
        } else if (mayBeLong()) {
            Exchange target = exchange;
            channel.eventLoop().schedule(() -> {
                if (exchange == target) {
                    streamIfPossiblyLong();
                }
            }, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether the response is, or may be, too long to be buffered however much memory is free. Only a 200 is passed on at such length. */
    private boolean mayBeLong() {
        long length = head == null ? 0 : HttpUtil.getContentLength(head, -1L);
        return head != null && head.status().equals(HttpResponseStatus.OK) && (length < 0 || length > ConnectionBuffers.MAX_WINDOW_BYTES);
    }

    /** Whether the response is known to be too long to be buffered. */
    private boolean isLong() {
        return mayBeLong() && Math.max(streamedBytes, HttpUtil.getContentLength(head, -1L)) > ConnectionBuffers.MAX_WINDOW_BYTES;
    }

    private Length bodyLength() {
        if (!mayBeLong()) {
            return Length.SHORT;
        }
        return isLong() ? Length.LONG : Length.UNKNOWN;
    }

    private void streamIfPossiblyLong() {
        if (sink == null && mayBeLong()) {
            openSink();
        }
    }

    /** Returns up to which length the response is buffered. Only a 200 is streamed earlier where memory is short. */
    private int maxBufferedBytes() {
        return head.status().equals(HttpResponseStatus.OK) ? buffers.windowBytes() : ConnectionBuffers.MAX_WINDOW_BYTES;
    }

    /** Starts to stream a response. Only a 200 is streamed; of any other status, a long body is invalid. */
    private void startStreaming() {
        if (head.status().equals(HttpResponseStatus.OK)) {
            openSink();
        }
        if (sink == null) {
            failInvalidResponse();
        }
    }

    /** Opens the sink and passes on what has been read; leaves it null when the response is not wanted, or not at unknown length. */
    private void openSink() {
        sink = exchange.onLongResponse(head, this::resumeReading);
        if (sink != null) {
            passToSink();
        }
    }

    /** Resumes reading once the sink can take more. */
    private void resumeReading() {
        if (sink != null && sink.isWritable() && !channel.config().isAutoRead()) {
            progress.resume(clock.now());
            channel.config().setAutoRead(true);
        }
    }

    private boolean isInterim() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void onContent(ChannelHandlerContext ctx, HttpContent content) {
        if (endsWithConnection && content instanceof LastHttpContent && !requestWritten) {
            failInvalidResponse(); // the connection may have ended because the request could not be written
            return;
        }
        if (sink == null && body.readableBytes() + content.content().readableBytes() > maxBufferedBytes()) {
            startStreaming();
            if (sink == null) {
                return;
            }
        }
        progress.recordBody(clock.now(), content.content().readableBytes());
        body = BodyParts.append(ctx.alloc(), body, content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (sink != null) {
            passToSink();
            if (sink == null) {
                return;
            }
        }
        if (isInterim()) {
            responseStarted = decoder.hasUnreadBytes();
        } else {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body,
                    head.headers(), EmptyHttpHeaders.INSTANCE);
            Sink complete = sink;
            sink = null;
            if (complete != null) {
                complete.end(true);
            }
            reusable = requestWritten && !endsWithConnection && HttpUtil.isKeepAlive(head) && !decoder.hasUnreadBytes();
            body = Unpooled.EMPTY_BUFFER;
            try {
                end(outcomeOf(response), response);
            } finally {
                response.release();
            }
            if (!reusable) {
                close();
            }
        }
        head = null;
    }

    /** Passes the body read so far to the sink, and pauses reading while the client does not accept more. */
    private void passToSink() {
        ByteBuf part = body;
        body = Unpooled.EMPTY_BUFFER;
        streamedBytes += part.readableBytes();
        if (streamedBytes > MAX_RESPONSE_BYTES) {
            part.release();
            failInvalidResponse();
        } else if (part.isReadable()) {
            sink.write(part);
            if (sink != null && !sink.isWritable()) {
                progress.pause(clock.now());
                channel.config().setAutoRead(false);
            }
        }
    }

    /**
     * Returns the connection to its pool if it is reusable. This cannot be decided earlier: only now have all bytes been
     * read that arrived with the response, including those right behind it.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (exchange != null) {
            watchForStall();
            return;
        }
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
        if (!channel.config().isAutoRead()) {
            channel.config().setAutoRead(true); // the response ended while reading was paused for its client
        }
        if (reusable && channel.isActive() && !owner.isClosed()) {
            reusable = false; // pooled once only: bytes that arrive from now on close the connection
            idleSince = clock.now();
            owner.onIdle(this);
        } else if (owner.isClosed()) {
            close();
        }
    }

    /** Fails the exchange if the host stops within its response and keeps the connection open; no other event would show this. */
    private void watchForStall() {
        if (!responseStarted || stallTimer != null) {
            return;
        }
        Exchange target = exchange;
        double remainingMs = progress.endMs(bodyLength(), exchange.deadlineMs()) - clock.now();
        if (remainingMs <= 0 && !progress.isPaused()) {
            failInvalidResponse();
            return;
        }
        // The limits change while the response is read, and the deadline while the request's body is sent.
        double checkAfterMs = progress.isPaused() ? RESPONSE_CHECK_INTERVAL_MS : Math.min(RESPONSE_CHECK_INTERVAL_MS, remainingMs);
        stallTimer = channel.eventLoop().schedule(() -> {
            stallTimer = null;
            if (exchange == target) {
                target.readPending(); // reading arms the timer again if bytes were available
            }
            if (exchange == target) {
                watchForStall();
            }
        }, (long) checkAfterMs + 1, TimeUnit.MILLISECONDS);
    }

    /** A 503 or 504 that the host marks as never run is FULL; any other status but 200 is an error. */
    private static Outcome outcomeOf(FullHttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean rejected = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return rejected && "1".equals(response.headers().get(NEVER_RAN_HEADER)) ? Outcome.FULL : Outcome.ERROR;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.onClosed(this);
        if (exchange != null) {
            owner.onLost(clock.now());
        }
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        fail();
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfOutOfMemory(cause);
        owner.onLost(clock.now());
        fail();
    }
}
