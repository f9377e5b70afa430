package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
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
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Outcome;

/**
 * One connection to a host. It carries one exchange at a time, puts its answer together, and goes back to its pool
 * only when nothing stands on it beyond that answer: what a host sends unasked would be taken for the next answer.
 */
final class HostConnection extends ChannelInboundHandlerAdapter {
    private static final String NEVER_RAN = "X-Never-Ran";
    private static final long STALL_MS = 250; // an answer that has begun and gets no further for so long is no answer
    private static final long LONG_STALL_MS = 5000; // the same for one that is passed on as it comes
    private static final long UPLOAD_LOOK_MS = 250;
    private static final long LONGEST = 48 << 20; // bytes of an answer; whatever claims or brings more is none
    private static final int INTERIM_MAX = 16; // 1xx answers ahead of one

    /** Where a connection rests between exchanges. */
    interface Home {
        boolean closed();

        void resting(HostConnection c);

        void gone(HostConnection c);
    }

    private final Home home;
    private final Clock clock;
    private final Decoder decoder = new Decoder();
    private Channel channel;
    private Exchange exchange;
    private boolean written; // the request's last byte has left
    private boolean begun; // of the answer, something has come
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private RequestBodyStream upload; // the rest of the request, on its way; null where all of it was written
    private long untaken; // bytes of it that had not left at the last look
    private double takenAt; // when bytes of it were last seen to leave
    private Sink sink; // takes the answer as it comes; null where it is put together here
    private long passed; // bytes of it that went there
    private double readAt; // when something last came, or reading went on
    private int interim;
    private boolean clean; // answered, and nothing has come since
    private Future<?> stall;
    private double idleSince;

    HostConnection(Home home, Clock clock) {
        this.home = home;
        this.clock = clock;
    }

    /** Something asked of a host that ends exactly once; its owner ignores what comes after. */
    abstract static class Exchange {
        private HostConnection connection;

        /** Its connection has come up and nothing of it was written yet; it may be given up in this call. */
        void connected() { }

        /** Its last byte has left for the host. */
        void written() { }

        /**
         * Its answer is too long to be kept. Returns what takes it as it comes, or null where nobody does.
         *
         * @param more to be run when what takes it is ready again
         */
        Sink streams(HttpResponse head, Runnable more) {
            return null;
        }

        /** How it ended; the response, where there is one, is only lent, and without a body where that was streamed. */
        abstract void ended(Outcome outcome, FullHttpResponse response);

        final boolean under() {
            return connection != null;
        }

        /** Whether its last byte has left for the host. */
        final boolean leftWhole() {
            return connection != null && connection.written;
        }

        /** Its time is up by the clock: what stands in its socket by now was not late, this loop was. It may end in this call. */
        final void look() {
            HostConnection c = connection;
            if (c != null && c.channel != null && c.channel.isActive() && c.channel.config().isAutoRead()) {
                Transport.readNow(c.channel);
            }
        }

        /** Stops waiting: its connection closes, so late bytes can never reach another request. */
        final void abandon() {
            HostConnection c = connection;
            connection = null;
            if (c != null) {
                c.exchange = null;
                c.leaveUpload();
                c.breakOff();
                c.close();
            }
        }
    }

    /** Where a long answer goes. */
    interface Sink {
        /** Takes the part over. */
        void part(ByteBuf part);

        /** Whether another part may come now. */
        boolean ready();

        /** No more comes: this was all, or the rest never will. */
        void end(boolean whole);
    }

    /** Reads answers; their lines may hold anything but what leaves their length open. */
    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setHeadersFactory(StrictHeaders.ofAnswers()));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (exchange == null) { // nobody asked, or nobody waits any more: also half a message is one too many
                ReferenceCountUtil.release(bytes);
                close();
                return;
            }
            begun = true;
            readAt = clock.now();
            super.channelRead(ctx, bytes);
        }

        /** The decoder takes a line with a blank and no colon for a name and no value; such a head is noise. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("no colon behind a header's name");
            }
            return super.splitHeaderName(line, start, length);
        }

        boolean leftOver() {
            return actualReadableBytes() > 0;
        }
    }

    void attach(Channel ch) {
        channel = ch;
        ch.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    void await(Exchange x) {
        exchange = x;
        x.connection = this;
    }

    boolean awaits(Exchange x) {
        return exchange == x;
    }

    double idleSince() {
        return idleSince;
    }

    /**
     * Whether an idle connection may carry the next exchange. What stands unread in its socket is read first: a
     * second copy of the last answer, or the host's end, may have come since the loop last looked.
     */
    boolean ready() {
        if (channel.isActive()) {
            Transport.readNow(channel);
        }
        return channel.isActive();
    }

    void write(Exchange x, FullHttpRequest message) {
        await(x);
        written = begun = clean = false;
        interim = 0;
        if (message instanceof StreamedRequest) {
            channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(),
                    message.headers()), channel.voidPromise());
            channel.writeAndFlush(new DefaultHttpContent(message.content()), channel.voidPromise());
            upload = ((StreamedRequest) message).rest;
            takenAt = clock.now();
            untaken = 0;
            upload.to(taker);
            watchUpload(x);
        } else {
            channel.writeAndFlush(message).addListener(f -> lastLeft(x, f.isSuccess()));
        }
    }

    /** A host that takes nothing of a body for too long would hold its client up for as long as the body may take. */
    private void watchUpload(Exchange x) {
        channel.eventLoop().schedule(() -> {
            if (exchange != x || written) {
                return;
            }
            ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
            long now = buffer == null ? 0 : buffer.totalPendingWriteBytes();
            takenAt = now == 0 || now != untaken ? clock.now() : takenAt;
            untaken = now;
            if (clock.now() - takenAt > LONG_STALL_MS) {
                lost();
            } else {
                watchUpload(x);
            }
        }, UPLOAD_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void lastLeft(Exchange x, boolean left) {
        if (exchange != x) {
            return;
        }
        written = left;
        if (written) {
            x.written();
        } else {
            breakWith(Outcome.CONNECT_FAILED);
        }
    }

    private final RequestBodyStream.Taker taker = new RequestBodyStream.Taker() {
        @Override
        public boolean ready() {
            return channel.isWritable();
        }

        @Override
        public void part(ByteBuf part) {
            channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
        }

        @Override
        public void last() {
            Exchange x = exchange;
            upload = null;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> lastLeft(x, f.isSuccess()));
        }
    };

    /** The body that was on its way goes no further here. */
    private void leaveUpload() {
        RequestBodyStream left = upload;
        upload = null;
        if (left != null) {
            left.leave(taker);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (upload != null) {
            upload.flow();
        }
    }

    /** What was asked here ended without an answer. It may have run only once its last byte had left. */
    void lost() {
        breakWith(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** No connection could be made, for reasons of this machine alone. */
    void unsent() {
        breakWith(Outcome.UNSENT);
    }

    /** What awaits it goes on with another connection. */
    void forget() {
        exchange = null;
    }

    /** No answer will come of this, whatever else comes; the host has run the request all the same. */
    private void spoilt() {
        breakWith(Outcome.SPOILT);
    }

    /**
     * Ends the connection, and only then tells what was asked on it. Another attempt may leave in the very call that
     * tells the end of this one; while the connection is still open, the two would be out together (rule 2).
     */
    private void breakWith(Outcome outcome) {
        Exchange x = exchange;
        exchange = null; // the failure of what is still to be written speaks to nobody
        close();
        exchange = x;
        end(outcome, null);
    }

    /** What was passed on so far is all that will come. */
    private void breakOff() {
        Sink s = sink;
        sink = null;
        if (s != null) {
            s.end(false);
        }
    }

    private void end(Outcome outcome, FullHttpResponse response) {
        leaveUpload(); // ahead of the outcome, on which another host may be asked
        Exchange x = exchange;
        exchange = null;
        if (x != null) {
            x.connection = null;
            x.ended(outcome, response);
        }
        breakOff(); // a long answer that came whole has ended before
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
                spoilt();
            } else {
                if (message instanceof HttpResponse) {
                    begin((HttpResponse) message);
                }
                if (message instanceof HttpContent && exchange != null) {
                    goOn(ctx, (HttpContent) message);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpResponse response) {
        head = response;
        boolean ahead = isInterim();
        boolean empty = response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        boolean chunked = HttpUtil.isTransferEncodingChunked(response);
        long length = HttpUtil.getContentLength(response, -1L);
        // An answer that the end of the connection bounds can't be told from a broken one.
        boolean bounded = ahead || empty || chunked || length >= 0;
        if (!bounded || length > LONGEST || ahead && ++interim > INTERIM_MAX
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            spoilt();
        } else if (length > ClientServer.MAX_BODY) {
            stream();
        }
    }

    /** Only a good answer is worth its length; of any other it is enough to know what it is. */
    private void stream() {
        if (head.status().equals(HttpResponseStatus.OK)) {
            passed = 0;
            sink = exchange.streams(head, this::goOnReading);
        }
        if (sink == null) {
            spoilt();
        }
    }

    private void goOnReading() {
        if (sink != null && sink.ready() && !channel.config().isAutoRead()) {
            readAt = clock.now();
            channel.config().setAutoRead(true);
        }
    }

    private boolean isInterim() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void goOn(ChannelHandlerContext ctx, HttpContent content) {
        if (sink == null && body.readableBytes() + content.content().readableBytes() > ClientServer.MAX_BODY) {
            stream();
            if (sink == null) {
                return;
            }
        }
        body = RequestReader.joined(ctx, body, content.content());
        if (sink != null) {
            passOn();
            if (sink == null) {
                return;
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (isInterim()) {
            begun = decoder.leftOver();
        } else {
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body,
                    head.headers(), EmptyHttpHeaders.INSTANCE);
            Sink whole = sink;
            sink = null;
            if (whole != null) {
                whole.end(true);
            }
            clean = written && HttpUtil.isKeepAlive(head) && !decoder.leftOver();
            body = Unpooled.EMPTY_BUFFER;
            try {
                end(outcome(answer), answer);
            } finally {
                answer.release();
            }
            if (!clean) {
                close();
            }
        }
        head = null;
    }

    /** Hands on what has come; where that is more than the client takes for now, nothing further is read. */
    private void passOn() {
        ByteBuf part = body;
        body = Unpooled.EMPTY_BUFFER;
        passed += part.readableBytes();
        if (passed > LONGEST) {
            part.release();
            spoilt();
        } else if (part.isReadable()) {
            sink.part(part);
            if (sink != null && !sink.ready()) {
                channel.config().setAutoRead(false);
            }
        }
    }

    /** Only now has all been read that came with the answer; before, what is right behind it was not seen. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (exchange != null) {
            watch();
            return;
        }
        if (stall != null) {
            stall.cancel(false);
            stall = null;
        }
        if (!channel.config().isAutoRead()) {
            channel.config().setAutoRead(true); // the answer's end came while its client took no more
        }
        if (clean && channel.isActive() && !home.closed()) {
            clean = false; // once only: what comes from now on closes it
            idleSince = clock.now();
            home.resting(this);
        } else if (home.closed()) {
            close();
        }
    }

    /** A host that stops inside its answer keeps the connection open, so nothing else would ever tell. */
    private void watch() {
        if (!begun || stall != null) {
            return;
        }
        Exchange x = exchange;
        boolean paused = !channel.config().isAutoRead(); // then it is not the host that does not get on
        double left = readAt + (sink == null ? STALL_MS : LONG_STALL_MS) - clock.now();
        if (left <= 0 && !paused) {
            spoilt();
            return;
        }
        stall = channel.eventLoop().schedule(() -> {
            stall = null;
            if (exchange == x) {
                x.look(); // it watches by itself where something came
            }
            if (exchange == x) {
                watch();
            }
        }, paused ? LONG_STALL_MS : (long) left + 1, TimeUnit.MILLISECONDS);
    }

    private static Outcome outcome(FullHttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean turnedAway = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return turnedAway && "1".equals(response.headers().get(NEVER_RAN)) ? Outcome.FULL : Outcome.ERROR;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        home.gone(this);
        if (stall != null) {
            stall.cancel(false);
        }
        lost();
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lost();
    }
}
