package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.console.ServiceMetrics;
import marlford.gateway.guard.ClientProgress;
import marlford.gateway.guard.ClientProgress.Stopped;
import marlford.gateway.guard.Rule;
import marlford.gateway.shutdown.LingeringClose;

/** One client connection: one request at a time, in order; what is sent ahead waits its turn. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int PIPELINED = 16; // requests read ahead on one connection; then reading stops
    private static final int HEAD_BYTES = 1024; // that a request read ahead takes in memory beside its body
    private static final int LOOKED_AHEAD = 256 * 1024; // bytes read ahead on one connection to look for the client's end
    private static final int LOOKED_AHEAD_IN_ALL = 4 * 1024 * 1024; // the same on all connections
    private static final double UNSEEN_MS = 40; // a client seen so lately is not looked for again: half of what is allowed
    private static final double JUST_OPENED_MS = 50;
    private static final int FAULTS = 2; // bad requests on a connection, from which it is read only now and then
    private static final long PAUSE_MS = 200; // such a connection is not read for so long after each
    private static final double BODY_BYTES_PER_MS = 64; // that a client sends at least, by the protocol
    private static final double LENGTH_GUESSED = 1 << 20; // bytes of a long body whose length is not told
    private static final double MS_PER_SECOND = 1000;
    private static final String READY = "/healthz";

    /** What a look into a client's socket says; unknown where too much unread stands in front of its end. */
    enum Presence { CONNECTED, LEFT, UNKNOWN }

    /** What was read and waits its turn: its client's time counts from then. */
    private record Waiting(Object message, double arrivedMs) { }

    private final Node node;
    private final ClientConnectionRegistry places;
    private final RequestParser terms;
    private final Channel channel;
    private final long number;
    private final double waitedMs;
    private final RequestReader reader;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>(); // requests, and at the end what is unreadable
    private final Runnable next = this::next;
    private long waitingBytes;
    private double seenAt; // the client was surely connected then
    private boolean behind; // reading paused: what is read may be older than this loop is late
    private long unsent; // bytes of output that had not left at the last look
    private double outputAt; // when output was last seen to leave
    private boolean hidden; // more is unread than is read ahead
    private OpenRequest current;
    private boolean busy;
    private boolean keepAlive = true;
    private boolean chunks; // the client reads answers of unknown length
    private boolean ended; // the last answer is on its way
    private double idleSince;
    private int whole; // messages that came whole, of whatever kind
    private int requests; // those of them that the module was to decide
    private int faults;
    private Runnable more; // of the answer that goes out as it comes; null where none does
    private boolean paused;
    private RequestBodyStream upload; // the rest of the body of the request under way; null where all of it is here
    private boolean answered; // that request, though more of its body may come
    private CloseReason closing; // null until this side ends the connection
    private LingeringClose linger; // null until the last answer has left

    /**
     * @param number of the connection, counted from the process's start
     * @param waitedMs for how long it may have waited to be accepted
     */
    ClientConnection(Node node, ClientConnectionRegistry places, RequestParser terms, Channel channel, long number, double waitedMs) {
        this.waitedMs = waitedMs;
        this.number = number;
        this.node = node;
        this.places = places;
        this.terms = terms;
        this.channel = channel;
        this.seenAt = this.idleSince = node.clock.now();
        this.reader = new RequestReader(node.clock, this::steer);
    }

    void addTo(ChannelPipeline pipeline) {
        reader.addTo(pipeline);
        pipeline.addLast(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        node.events.opened(number);
        if (!places.take(this)) {
            ended = true;
            close(CloseReason.HOUSE_FULL);
        }
    }

    /**
     * Ends a connection whose last answer has left: what the client sends meanwhile is read and forgotten for a while, as a
     * close over unread bytes would reset the connection, and the answer may not have reached the client by then.
     */
    private void hangUp(Future<? super Void> left) {
        if (!left.isSuccess() || !(channel instanceof DuplexChannel) || !channel.isActive()) { // in memory nothing stands unread
            close(left.isSuccess() ? CloseReason.LAST_ANSWER : CloseReason.LAST_ANSWER_FAILED);
            return;
        }
        linger = new LingeringClose(node.clock.now());
        places.linger(this);
        freeWaiting();
        reader.forget(bytes -> {
            if (!linger.read(bytes)) {
                close(CloseReason.LAST_ANSWER);
            }
        });
        ((DuplexChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
    }

    /** Takes its place among those that may give way, behind the others of its kind. */
    void rest() {
        if (!busy && !ended && waiting.isEmpty()) {
            idleSince = node.clock.now();
            places.rest(this, requests);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        places.leave(this);
        ended = true;
        freeWaiting();
        if (upload != null) {
            upload.drop();
        }
        OpenRequest left = current;
        current = null;
        node.events.closed(number, closing == null ? CloseReason.BY_CLIENT : closing, left == null ? null : left.request.id());
        if (left != null) {
            node.clientLeft(left);
        }
    }

    /** What was sent ahead gets no answer any more. */
    private void freeWaiting() {
        List<Waiting> ahead = List.copyOf(waiting);
        waiting.clear(); // first, as letting go of a body may look here
        places.readAhead(-waitingBytes);
        waitingBytes = 0;
        ahead.forEach(w -> StreamedRequest.free(w.message()));
    }

    /** Since when it has been idle, on the node's clock. */
    double idleSince() {
        return idleSince;
    }

    Channel channel() {
        return channel;
    }

    /** Ends the connection; the first reason counts. */
    void close(CloseReason why) {
        if (closing == null) {
            closing = why;
            boolean owed = current != null || !waiting.isEmpty();
            if (owed && why.isChosen() && channel.isActive()) {
                node.rules.broken(Rule.CLOSED_UNANSWERED);
            }
        }
        channel.close();
    }

    /** Whether it is read on for a while after its last answer. */
    boolean lingers(double now) {
        return linger.goesOn(now);
    }

    /**
     * Reads what stands in its socket; whether nothing came of it, so that the connection may be closed. Closing a request away
     * would lose it.
     *
     * @param unused no request came yet: there half a one counts for nothing
     */
    boolean isFree(boolean unused) {
        int before = whole;
        if (channel.isActive() && channel.config().isAutoRead()) {
            Transport.readNow(channel);
        }
        return whole == before && waiting.isEmpty() && !isAsking(unused);
    }

    /** Whether half a request has come, which is more than none. */
    boolean isAsking(boolean unused) {
        return !unused && reader.unfinished();
    }

    /** Looks at what the client does: where it has stopped, the connection ends with an error or without one. */
    void endIfStopped() {
        if (!paused && !(channel.config().isAutoRead() && reader.isDrained())) {
            readToEnd(); // nothing else reads it, and its client may stop all the same
        }
        if (judge() == Stopped.NO) {
            return;
        }
        readToEnd(); // what stands in the socket was not late, this loop was
        Stopped how = judge();
        if (how != Stopped.NO && channel.isActive()) {
            end(how);
        }
    }

    private Stopped judge() {
        seeOutput();
        return ClientProgress.judge(node.clock.now(), progress());
    }

    private ClientProgress.Connection progress() {
        boolean answerDue = busy && (upload == null || upload.over());
        return new ClientProgress.Connection(idleSince, whole > 0, reader.input(), !waiting.isEmpty(), answerDue, ended,
                unsent > 0, outputAt);
    }

    /** Notes whether output has left since the last look. */
    private void seeOutput() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long now = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        if (now != unsent || now == 0) {
            outputAt = node.clock.now();
        }
        unsent = now;
    }

    private void end(Stopped how) {
        node.rules.clientEnded(ClientProgress.stoppedMs(node.clock.now(), how, progress()));
        keepAlive = false;
        if (how == Stopped.READING) { // no switch: its class would be loaded here, perhaps with no descriptor left
            channel.config().setOption(ChannelOption.SO_LINGER, 0); // else what it does not read would stand ahead of the end
            close(CloseReason.STALLED_OUTPUT);
        } else if (how == Stopped.BEFORE_FIRST_REQUEST) {
            places.leave(this);
            close(CloseReason.SILENT);
        } else if (upload != null) {
            close(CloseReason.STALLED_BODY); // no answer would be heard ahead of the body's end
        } else {
            closing = CloseReason.STALLED_REQUEST;
            answer(HttpResponseStatus.REQUEST_TIMEOUT, 0);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestReader.BodyRead) { // not at once: the socket is just being read
            node.loop.execute(() -> confirm(((RequestReader.BodyRead) event).body()));
            return;
        }
        if (event == RequestReader.Asks.TO_GO_ON) {
            tellToGoOn();
        }
    }

    /** Not ahead of an answer that is still due, as it would be taken to belong to that one: then the client waits. */
    private void tellToGoOn() {
        if (reader.asksToGoOn() && !busy && !ended && waiting.isEmpty()) {
            reader.toldToGoOn();
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER), channel.voidPromise());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (ended) {
            StreamedRequest.free(message);
            return;
        }
        if (upload != null && !upload.over()) { // a body that can't be read: its request will never be whole
            close(CloseReason.UNREADABLE_BODY);
            return;
        }
        whole++;
        queue(message);
        if (!behind) {
            seenAt = node.clock.now() - node.lag.ms(); // what a late loop reads may have stood in the socket for so long
        }
        if (isUnseen()) {
            node.loop.execute(next); // once an end that stands right behind this could be read
        } else {
            next();
        }
        steer();
    }

    private void queue(Object message) {
        double now = node.clock.now();
        double late = Math.max(node.lag.ms(), reader.unreadMs()); // so long it may have stood in its socket
        if (whole == 1 && now - idleSince < JUST_OPENED_MS) { // it came with the connection
            late = Math.max(late, waitedMs + now - idleSince);
        }
        waiting.add(new Waiting(message, now - late));
        waitingBytes += size(message);
        places.readAhead(size(message));
    }

    private Waiting unqueue() {
        Waiting next = waiting.poll();
        waitingBytes -= size(next.message());
        places.readAhead(-size(next.message()));
        return next;
    }

    private static int size(Object message) {
        return HEAD_BYTES + (message instanceof ByteBufHolder ? ((ByteBufHolder) message).content().readableBytes() : 0);
    }

    private boolean isUnseen() {
        return node.clock.now() - seenAt > UNSEEN_MS;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (more != null && channel.isWritable()) {
            more.run();
        }
        next();
    }

    /** Goes on with what was sent ahead, but only as fast as the client takes the answers. */
    private void next() {
        while (!busy && !ended && !waiting.isEmpty() && channel.isWritable()) {
            Waiting first = unqueue();
            Object message = first.message();
            steer();
            busy = true;
            answered = false;
            upload = StreamedRequest.restOf(message);
            places.inUse(this);
            if (message instanceof RequestReader.Unreadable) {
                keepAlive = false; // where the next request would begin is not known
                answer(((RequestReader.Unreadable) message).status(), 0);
            } else {
                handle((FullHttpRequest) message, first.arrivedMs());
            }
        }
    }

    /** Reads on or pauses: while much waits, after faults, and where a body comes faster than its host takes it. */
    private void steer() {
        boolean fast = upload != null && upload.full() || isLongBodyAhead();
        boolean reads = !paused && !fast && waiting.size() < PIPELINED;
        if (!reads && channel.config().isAutoRead()) {
            reader.pause();
        }
        behind |= !reads;
        channel.config().setAutoRead(reads);
        if (answered && upload != null && upload.over()) {
            release();
        }
    }

    /**
     * Whether the client is still connected. Its end stands behind what it sent, so that is read where it was not for
     * {@value #UNSEEN_MS} ms, within the bounds of what is read ahead. Until a body is whole nobody need look: its last part is
     * held back. The module is to be told of an end by the caller, as the channel's own word of it comes later.
     */
    Presence look() {
        boolean bodyComes = upload != null && !upload.over();
        if (channel.isActive() && (bodyComes || reader.reading() || !isUnseen())) {
            return Presence.CONNECTED;
        }
        return readToEnd();
    }

    private Presence readToEnd() {
        while (channel.isActive()) {
            boolean full = hasReadAheadEnough();
            if (full && hidden) {
                return Presence.UNKNOWN;
            }
            long before = reader.taken();
            Transport.readNow(channel);
            boolean nothing = reader.taken() == before;
            hidden = full && !nothing;
            if (hidden) {
                reader.pause();
            }
            if (channel.isActive() && nothing) {
                reader.drained();
                seenAt = node.clock.now();
                behind = false;
                return Presence.CONNECTED;
            }
        }
        return Presence.LEFT;
    }

    private boolean hasReadAheadEnough() {
        boolean fullBody = upload != null && !upload.over() && upload.full();
        return fullBody || isLongBodyAhead() || waitingBytes >= LOOKED_AHEAD || places.readAhead() >= LOOKED_AHEAD_IN_ALL;
    }

    /** Whether the last request that waits has a long body, of which as much was read as is kept. */
    private boolean isLongBodyAhead() {
        RequestBodyStream ahead = waiting.isEmpty() ? null : StreamedRequest.restOf(waiting.peekLast().message());
        return ahead != null && ahead.full();
    }

    /** A long body has come whole: its last part may go on where the client has not left behind it. */
    private void confirm(RequestBodyStream body) {
        if (readToEnd() != Presence.LEFT) {
            body.confirm();
        }
    }

    /** How long the rest of its body may take at the least speed that clients have; 0 where all is here. */
    private double restMs() {
        if (upload == null || upload.over()) {
            return 0;
        }
        return (upload.length() < 0 ? LENGTH_GUESSED : upload.length()) / BODY_BYTES_PER_MS;
    }

    private void handle(FullHttpRequest request, double arrivedMs) {
        keepAlive = HttpUtil.isKeepAlive(request);
        chunks = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (request.uri().equals(READY)) {
            StreamedRequest.free(request);
            answer(node.takesClients() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            return;
        }
        double now = node.clock.now();
        double turn = now - node.lag.ms(); // the decision module holds it from its turn on, as it held nothing up before
        Request read = terms.read(request, now, arrivedMs, Math.max(arrivedMs, turn), restMs());
        if (read == null || node.knows(read.id())) {
            boolean unknown = !request.headers().contains(RequestParser.ID);
            StreamedRequest.free(request);
            fault();
            answer(unknown ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, 0);
        } else if (node.full()) {
            StreamedRequest.free(request);
            node.events.refused(read.id(), node.isOver() ? EventLog.Refusal.ENDING : EventLog.Refusal.TOO_MANY_OPEN);
            node.figures.ended(read.requestClass(), ServiceMetrics.End.DEFERRED);
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, node.config.settings().limits().maxRetryAfterMs());
        } else {
            requests++;
            node.events.taken(number, read.id());
            node.taken(read, request, this);
        }
    }

    /** A client that goes on asking what can't be served gets its answers, but not all of the processor. */
    private void fault() {
        if (++faults < FAULTS || paused) {
            return;
        }
        paused = true;
        steer();
        node.loop.schedule(() -> {
            paused = false;
            if (!ended) {
                steer();
            }
        }, PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    void holds(OpenRequest r) {
        current = r;
    }

    /** Passes a host's answer on as it came. */
    void serve(FullHttpResponse from) {
        FullHttpResponse to = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                from.content().retain());
        setType(from, to);
        write(to);
    }

    private void setType(HttpResponse from, HttpResponse to) {
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null && RequestParser.isWithin(type, ' ', '~')) { // else not to be passed on
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
    }

    /** Passes a long answer of a host on as it comes; null where this client could not tell its end. */
    HostConnection.Sink stream(HttpResponse from, Runnable whenReady) {
        long length = HttpUtil.getContentLength(from, -1L);
        if (length < 0 && !chunks) {
            return null;
        }
        HttpResponse to = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        setType(from, to);
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(to, true);
        } else {
            HttpUtil.setContentLength(to, length);
        }
        if (!keepAlive || node.sendsAway()) {
            keepAlive = false;
            to.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(to, channel.voidPromise());
        more = whenReady;
        return new HostConnection.Sink() {
            @Override
            public void part(ByteBuf part) {
                channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
            }

            @Override
            public boolean ready() {
                return channel.isWritable();
            }

            @Override
            public void end(boolean whole) {
                more = null;
                if (whole) {
                    finish(LastHttpContent.EMPTY_LAST_CONTENT, !keepAlive);
                } else {
                    keepAlive = false;
                    close(CloseReason.ANSWER_CUT); // before the promised end, so the client knows
                }
            }
        };
    }

    void answer(HttpResponseStatus status, double retryAfterMs) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.EMPTY_BUFFER);
        if (retryAfterMs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                    Double.toString(Math.ceil(retryAfterMs) / MS_PER_SECOND));
        }
        write(response);
    }

    private void write(FullHttpResponse response) {
        ByteBuf body = response.content();
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        boolean last = !keepAlive || node.sendsAway();
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        finish(response, last);
    }

    /** Writes the end of an answer; what the client sent ahead comes next, unless this was the last one. */
    private void finish(Object end, boolean last) {
        current = null;
        answered = true;
        if (last) {
            keepAlive = false;
        }
        if (upload != null && !upload.over()) { // the client may send all of it before it reads
            channel.writeAndFlush(end, channel.voidPromise());
            upload.drop();
        } else if (last) {
            ended = true;
            channel.writeAndFlush(end).addListener(this::hangUp);
        } else {
            channel.writeAndFlush(end, channel.voidPromise());
            release();
        }
    }

    /** The request is over, its body too: what the client sent ahead comes next, or the connection ends. */
    private void release() {
        upload = null;
        if (!keepAlive) {
            ended = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(this::hangUp);
            return;
        }
        busy = false;
        if (waiting.isEmpty()) {
            tellToGoOn();
            rest();
        } else { // not at once: an answer may be given while the request is being taken
            node.loop.execute(next);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close(CloseReason.IO_ERROR);
    }
}
