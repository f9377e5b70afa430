package marlford.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.console.ServiceMetrics;
import marlford.gateway.guard.ClientProgress;
import marlford.gateway.guard.ClientProgress.Stall;
import marlford.gateway.guard.RequestDeadline;
import marlford.gateway.guard.Rule;
import marlford.gateway.guard.TransferProgress;
import marlford.gateway.shutdown.LingeringClose;

/**
 * The gateway's end of one client connection. Requests are processed one at a time and answered in order; requests that
 * the client sends ahead wait in a queue. Runs on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_QUEUED_REQUESTS = 16; // read ahead on one connection before reading pauses
    private static final int MAX_READ_AHEAD_BYTES = 256 * 1024; // read on one connection to find out whether its client is connected
    /** A presence check is not repeated within this time, which is less than half of {@link ClientDepartureCounters#SEND_GRACE_MS}. */
    private static final double PRESENCE_VALID_MS = 40;
    /**
     * A socket that held this much may have been full. It looks empty once it has been read, until the client's system has heard that there is room
     * and sends what follows, such as the end of the connection.
     */
    private static final int CLOSED_WINDOW_BYTES = 16 * 1024;
    private static final long WINDOW_UPDATE_MS = 20; // for that, on a busy machine
    private static final double JUST_OPENED_MS = 50; // a first request within this time may have arrived with the connection
    private static final int BAD_REQUEST_LIMIT = 2; // from this number on, each bad request pauses reading
    private static final long BAD_REQUEST_PAUSE_MS = 200;
    private static final double MIN_UPLOAD_BYTES_PER_MS = 64; // upload speed of the slowest client that the tier's client protocol allows
    private static final double MS_PER_SECOND = 1000;
    private static final String HEALTH_PATH = "/healthz";

    /** Result of a presence check. UNKNOWN: there is more unread input than may be read now to find the end of the connection. */
    enum Presence { CONNECTED, DISCONNECTED, UNKNOWN }

    private final Node node;
    private final ClientConnectionRegistry registry;
    private final RequestParser requestParser;
    private final Channel channel;
    private final ChannelOutput output;
    private final long number;
    private final double waitedMs;
    private final RequestReader reader;
    private final RequestQueue queue;
    private final Runnable takeTurn = this::takeTurn;
    private boolean turnTaken; // a request was processed in this turn of the connection, and the next turn is due
    private double lastSeenMs; // last time at which the client was certainly connected
    private boolean inputMayBeStale; // reading has paused since the socket was last read to its end, so input may have waited in it
    private final TransferProgress outputProgress;
    private boolean idleOnceSent; // idle as soon as all output has left this process
    private boolean inputHidden; // more input is unread than may be read ahead
    private OpenRequest current; // the request being processed; null when none is open
    private boolean busy; // a request is being processed, until it is answered and its body has been read
    private boolean keepAlive = true;
    private boolean acceptsChunked; // the client can read answers of unknown length
    private boolean readsNoMore; // the connection closes once the requests that were read are answered
    private boolean ended; // no further request is processed: the last answer was written, or the connection is closed
    private double idleSinceMs;
    private int receivedMessages; // complete or unreadable requests
    private int engineRequests; // requests passed to the decision engine
    private int badRequests;
    private Runnable onWritable; // resumes the answer that is being streamed; null when there is none
    private boolean badRequestPause; // reading is paused for BAD_REQUEST_PAUSE_MS after repeated bad requests; false in other pauses
    private RequestBodyStream upload; // rest of the current request's body; null when the body is buffered completely
    private boolean answered; // the current request is answered, although more of its body may follow
    private double resetAtMs = Double.POSITIVE_INFINITY; // when a client that got an error within a request is reset
    private CloseReason closeReason; // null until this side closes the connection
    private LingeringClose lingeringClose; // null until the last answer has been written

    /**
     * @param number of the connection, counted from the start of the process
     * @param waitedMs for how long the connection may have waited to be accepted, in milliseconds
     */
    ClientConnection(Node node, ClientConnectionRegistry registry, RequestParser requestParser, Channel channel, long number,
            double waitedMs) {
        this.output = node.buffers.attach(channel, this::maxReadBytes);
        this.waitedMs = waitedMs;
        this.number = number;
        this.node = node;
        this.registry = registry;
        this.queue = new RequestQueue(registry.heldRequests());
        this.requestParser = requestParser;
        this.channel = channel;
        this.lastSeenMs = this.idleSinceMs = node.clock.now();
        this.outputProgress = TransferProgress.towardsClient(lastSeenMs);
        this.reader = new RequestReader(node.clock, () -> node.clock.now() - node.lag.ms(), node.buffers, node.inputBudget,
                this::updateReading);
    }

    void addTo(ChannelPipeline pipeline) {
        reader.addTo(pipeline);
        pipeline.addLast(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        node.eventLog.opened(number);
        if (!registry.admit(this)) {
            ended = true;
            close(CloseReason.HOUSE_FULL);
        }
    }

    /**
     * Closes a connection after its last answer. Input is read and discarded for a while first: closing a socket with unread
     * input resets the connection, possibly before the answer has reached the client.
     */
    private void closeLingering(Future<? super Void> written) {
        // The in-memory transport has no sockets that could hold unread input.
        if (!written.isSuccess() || !(channel instanceof DuplexChannel) || !channel.isActive()) {
            close(written.isSuccess() ? CloseReason.LAST_ANSWER : CloseReason.LAST_ANSWER_FAILED);
            return;
        }
        lingeringClose = new LingeringClose(node.clock.now());
        registry.addLingering(this);
        queue.discard();
        reader.discardInput(bytes -> {
            if (!lingeringClose.discard(bytes)) {
                close(CloseReason.LAST_ANSWER);
            }
        });
        ((DuplexChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
    }

    /**
     * Registers the connection as idle, behind the other idle connections of its kind. Does nothing while it is in use. While its client
     * is still reading, the connection is not idle: a close would cut off the answer.
     */
    void markIdle() {
        if (!busy && !ended && queue.isEmpty()) {
            idleOnceSent = hasPendingOutput();
            if (!idleOnceSent) {
                idleSinceMs = node.clock.now();
                registry.markIdle(this, engineRequests);
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        registry.remove(this);
        ended = true;
        queue.discard();
        if (upload != null) {
            upload.drop();
        }
        OpenRequest unanswered = current;
        current = null;
        node.eventLog.closed(number, closeReason == null ? CloseReason.BY_CLIENT : closeReason,
                unanswered == null ? null : unanswered.request.id());
        if (unanswered != null) {
            node.onClientDisconnected(unanswered);
        }
    }

    /** Whether output has not left this process. */
    boolean hasPendingOutput() {
        return output.pendingBytes() > 0;
    }

    /** Whether an answer has not left this process whole, to a request that was read whole. */
    boolean owesAnswer() {
        return current != null || !ended && !queue.isEmpty() || hasPendingOutput();
    }

    /** Returns how many bytes may be read from this client at once. */
    private int maxReadBytes() {
        return reader.maxReadBytes(registry.heldRequests().maxReadBytes());
    }

    /** Returns since when the connection has been idle, in milliseconds on the node's clock. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    Channel channel() {
        return channel;
    }

    /** Closes the connection; only the first reason is recorded. */
    void close(CloseReason reason) {
        if (node.clock.now() >= resetAtMs) { // otherwise answers in the socket that its client does not read would precede the close
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        if (closeReason == null) {
            closeReason = reason;
            boolean answerDue = current != null || !queue.isEmpty();
            if (answerDue && reason.isWithoutClientFault() && channel.isActive()) {
                node.ruleCounter.countBreach(Rule.CLOSED_UNANSWERED);
            }
        }
        channel.close();
    }

    /** Whether input is still read and discarded after the last answer. */
    boolean lingers(double now) {
        return lingeringClose.isOpen(now);
    }

    /**
     * Reads pending input from the socket and returns whether the connection can be closed without losing a request.
     *
     * @param unused whether no request has arrived on the connection yet; then an incomplete request does not prevent the close
     */
    boolean isClosable(boolean unused) {
        int receivedBefore = receivedMessages;
        if (channel.isActive() && channel.config().isAutoRead()) {
            Transport.readNow(channel);
        }
        return receivedMessages == receivedBefore && queue.isEmpty() && !hasIncompleteRequest(unused) && !hasPendingOutput();
    }

    /** Whether an incomplete request has arrived on a connection that has carried a request before. */
    boolean hasIncompleteRequest(boolean unused) {
        return !unused && reader.hasIncompleteRequest();
    }

    /** Ends the connection if the client has stopped sending or reading: with status 408 where one can be sent. */
    void endIfStopped() {
        if (node.clock.now() >= resetAtMs) {
            close(CloseReason.LAST_ANSWER);
            return;
        }
        if (idleOnceSent) {
            markIdle();
        }
        if (!badRequestPause && !(channel.config().isAutoRead() && reader.isDrained())) {
            readToEnd(node.buffers.windowBytes()); // a client is not judged as stopped while its socket may hold unread input
        }
        if (judge() == Stall.NO) {
            return;
        }
        readToEnd(node.buffers.windowBytes()); // input that already waits in the socket is late only because of this event loop
        Stall stopped = judge();
        if (stopped != Stall.NO && channel.isActive()) {
            endStopped(stopped);
        }
    }

    private Stall judge() {
        recordOutputProgress();
        return ClientProgress.findStall(node.clock.now(), progress());
    }

    private ClientProgress.Connection progress() {
        boolean answerDue = busy && (upload == null || upload.isComplete());
        return new ClientProgress.Connection(idleSinceMs, receivedMessages > 0, reader.progress(), !queue.isEmpty(), answerDue, ended,
                outputProgress);
    }

    /** Records whether output has been written to the socket since the last check. */
    private void recordOutputProgress() {
        outputProgress.record(node.clock.now(), output.pendingBytes(), output.leftBytes());
    }

    private void endStopped(Stall stopped) {
        double stalledMs = ClientProgress.stalledMs(node.clock.now(), stopped, progress());
        if (stopped != Stall.READING || progress().mayBeWithinRequest()) {
            node.ruleCounter.stalledClientEnded(stalledMs);
        }
        node.eventLog.stalled(number, stopped, stalledMs, output.leftBytes(), output.pendingBytes());
        keepAlive = false;
        if (stopped == Stall.READING) { // not a switch, whose helper class might have to be loaded with no descriptor left
            channel.config().setOption(ChannelOption.SO_LINGER, 0); // discards unread output, which would precede the close
            close(CloseReason.STALLED_OUTPUT);
        } else if (stopped == Stall.BEFORE_FIRST_REQUEST) {
            registry.remove(this);
            close(CloseReason.SILENT);
        } else if (upload != null) {
            close(CloseReason.STALLED_BODY); // a client does not read an answer before it has sent the whole body
        } else {
            closeReason = CloseReason.STALLED_REQUEST;
            resetAtMs = node.clock.now() + LingeringClose.STALLED_LINGER_MS;
            sendStatus(HttpResponseStatus.REQUEST_TIMEOUT, 0);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestReader.BodyReceived) {
            RequestBodyStream received = ((RequestReader.BodyReceived) event).body();
            if (current != null && received == upload) {
                node.eventLog.bodyReceived(current.request.id(), current.deadlineMs() - node.clock.now());
            }
            return;
        }
        if (event == RequestReader.ClientSignal.EXPECTS_CONTINUE) {
            sendContinue();
        }
    }

    /** Sends 100 Continue, unless an answer is still due: the client would take it to belong to that answer. */
    private void sendContinue() {
        if (reader.expectsContinue() && !busy && !ended && queue.isEmpty()) {
            reader.continueSent();
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER), channel.voidPromise());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (ended) {
            StreamedRequest.discard(message);
            return;
        }
        if (upload != null && !upload.isComplete()) { // the message is an UnreadableRequest: the body can't be completed
            close(CloseReason.UNREADABLE_BODY);
            return;
        }
        receivedMessages++;
        double earliestMs = node.clock.now() - maxWaitMs();
        queue.add(message, earliestMs);
        if (!inputMayBeStale && !reader.isBehind()) {
            lastSeenMs = isFirstOfNewConnection() ? Double.NEGATIVE_INFINITY : earliestMs;
        }
        if (isPresenceOutdated()) {
            scheduleTurn(); // deferred, so that a close by the client that directly follows the request is read first
        } else {
            processNext();
        }
        updateReading();
    }

    /** Schedules the next turn of this connection, behind the turns of the connections that wait for theirs. */
    private void scheduleTurn() {
        if (!turnTaken) {
            turnTaken = true;
            node.requestTurns.schedule(takeTurn, queue.size() > 1);
        }
    }

    private void takeTurn() {
        turnTaken = false;
        processNext();
    }

    /** Returns the longest time that the message being read may have waited in its socket, or there in the queue to be accepted. */
    private double maxWaitMs() {
        double waitMs = Math.max(Math.max(node.lag.ms(), reader.behindMs()), reader.currentPauseMs());
        return isFirstOfNewConnection() ? Math.max(waitMs, waitedMs + node.clock.now() - idleSinceMs) : waitMs;
    }

    /**
     * Whether the latest message may have arrived together with its connection. It may then be older than can be known: where the queue to
     * be accepted was full, the system takes the connection only when its client sends again.
     */
    private boolean isFirstOfNewConnection() {
        return receivedMessages == 1 && node.clock.now() - idleSinceMs < JUST_OPENED_MS;
    }

    private boolean isPresenceOutdated() {
        return node.clock.now() - lastSeenMs > PRESENCE_VALID_MS;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (onWritable != null && channel.isWritable()) {
            onWritable.run();
        }
        processNext();
    }

    /**
     * Processes the next queued request, but only one in each turn of this connection, so that a client that sends at full speed does
     * not delay others, and only as fast as the client reads the answers.
     */
    private void processNext() {
        if (busy || ended || turnTaken || queue.isEmpty() || !channel.isWritable()) {
            return;
        }
        scheduleTurn();
        RequestQueue.Entry first = queue.poll();
        Object message = first.message();
        updateReading();
        busy = true;
        answered = false;
        upload = StreamedRequest.bodyStreamOf(message);
        if (upload != null) {
            RequestBodyStream body = upload;
            // deferred, because this may be called while the client's socket is being read
            body.onConfirmationNeeded(() -> node.loop.execute(() -> confirmBody(body)));
        }
        registry.markInUse(this);
        idleOnceSent = false;
        recordOutputProgress();
        if (!outputProgress.isPending()) {
            outputProgress.beginMessage();
        }
        if (message instanceof RequestReader.UnreadableRequest) {
            keepAlive = false; // the start of the next request is unknown
            resetAtMs = node.clock.now() + LingeringClose.MAX_LINGER_MS;
            sendStatus(((RequestReader.UnreadableRequest) message).status(), 0);
        } else {
            handle((FullHttpRequest) message, first.arrivedMs());
        }
    }

    /**
     * Pauses or resumes reading. Reading pauses while many requests are queued, after bad requests, and while a body arrives
     * faster than its host takes it.
     */
    private void updateReading() {
        boolean bodyTooFast = upload != null && upload.isFull() || queue.endsWithFullBody();
        boolean queueFull = queue.size() >= MAX_QUEUED_REQUESTS || !queue.isEmpty() && registry.heldRequests().isFull();
        boolean mayRead = !badRequestPause && !bodyTooFast && !queueFull && !readsNoMore;
        if (!mayRead && channel.config().isAutoRead()) {
            reader.pause();
        }
        inputMayBeStale |= !mayRead;
        channel.config().setAutoRead(mayRead);
        if (answered && upload != null && upload.isComplete()) {
            completeRequest();
        }
    }

    /**
     * Checks whether the client is still connected. The end of a connection follows all input, so pending input is read up to
     * the read-ahead bounds unless that was done within the last {@value #PRESENCE_VALID_MS} ms. No check is needed while a
     * body is incomplete, because its last part is held back. The caller must end the request of a disconnected client
     * itself, as channelInactive is called only later.
     */
    Presence checkPresence() {
        boolean bodyIncomplete = upload != null && !upload.isComplete();
        if (channel.isActive() && (bodyIncomplete || reader.isReading() || !isPresenceOutdated())) {
            return Presence.CONNECTED;
        }
        return readToEnd(node.buffers.readAheadBytes());
    }

    /**
     * Reads what the socket holds, as far as the bounds on reading ahead and the time for input in this iteration allow.
     *
     * @param maxBodyBytes bound on what is held of the long bodies of queued requests
     */
    private Presence readToEnd(int maxBodyBytes) {
        long receivedAtStart = reader.receivedBytes();
        double startedMs = node.clock.now();
        while (channel.isActive()) {
            boolean full = hasReadAheadEnough(maxBodyBytes);
            if (full && inputHidden) {
                return Presence.UNKNOWN;
            }
            long receivedBefore = reader.receivedBytes();
            if (node.inputBudget.endsReadingAhead(receivedBefore - receivedAtStart, startedMs)) {
                reader.pause();
                return Presence.UNKNOWN;
            }
            Transport.readNow(channel);
            boolean nothingRead = reader.receivedBytes() == receivedBefore;
            inputHidden = full && !nothingRead;
            if (inputHidden) {
                reader.pause();
            }
            if (channel.isActive() && nothingRead) {
                reader.markDrained();
                lastSeenMs = node.clock.now();
                inputMayBeStale = false;
                return Presence.CONNECTED;
            }
        }
        return Presence.DISCONNECTED;
    }

    private boolean hasReadAheadEnough(int maxBodyBytes) {
        boolean fullBody = upload != null && !upload.isComplete() && upload.isFull();
        return fullBody || queue.streamedBodyBytes() >= maxBodyBytes || queue.bufferedBytes() >= MAX_READ_AHEAD_BYTES
                || registry.heldRequests().isFull();
    }

    /**
     * Releases the last part of a completely received body, unless the client has disconnected. If there is too much unread input to find
     * that out, the request gets its final answer, and no host receives it whole.
     */
    private void confirmBody(RequestBodyStream body) {
        confirmBody(body, reader.receivedBytes());
    }

    /** @param receivedBefore bytes that had been received when the confirmation began */
    private void confirmBody(RequestBodyStream body, long receivedBefore) {
        Presence presence = readToEnd(node.buffers.readAheadBytes());
        boolean windowMayHaveClosed = reader.receivedBytes() - receivedBefore >= CLOSED_WINDOW_BYTES;
        if (presence == Presence.CONNECTED && windowMayHaveClosed) {
            node.loop.schedule(() -> confirmBody(body), WINDOW_UPDATE_MS, TimeUnit.MILLISECONDS);
        } else if (presence == Presence.CONNECTED) {
            body.confirm();
        } else if (presence == Presence.UNKNOWN && !inputHidden) { // the rest is read in the next iteration
            node.loop.schedule(() -> confirmBody(body, receivedBefore), Node.LOOP_ITERATION_MS, TimeUnit.MILLISECONDS);
        } else if (presence == Presence.UNKNOWN && body == upload && current != null) {
            node.endWithUnknownPresence(current);
        }
    }

    /** Returns how long the rest of the body may take at the minimum client speed, in milliseconds; 0 when there is none. */
    private double maxUploadMs() {
        if (upload == null) {
            return 0;
        }
        return (upload.length() < 0 ? RequestReader.MAX_BODY_BYTES : upload.length()) / MIN_UPLOAD_BYTES_PER_MS;
    }

    /** Records up to when the current request was certainly incomplete. */
    void recordArrival(RequestDeadline deadline) {
        if (upload != null) {
            deadline.recordIncomplete(reader.incompleteUntilMs(upload));
        }
    }

    private void handle(FullHttpRequest request, double arrivedMs) {
        keepAlive = HttpUtil.isKeepAlive(request);
        acceptsChunked = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (request.uri().equals(HEALTH_PATH)) {
            StreamedRequest.discard(request);
            sendStatus(node.isHealthy() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            return;
        }
        double now = node.clock.now();
        // The time for which the engine holds the request begins when it is the first one on this connection, less the event loop lag.
        // The time that it has waited behind other requests of the connection does not count.
        double turnMs = now - node.lag.ms();
        Request parsed = requestParser.parse(request, now, arrivedMs, Math.max(arrivedMs, turnMs), maxUploadMs());
        if (parsed == null || node.isRequestOpen(parsed.id())) {
            boolean withoutId = !request.headers().contains(RequestParser.TRACE_ID);
            StreamedRequest.discard(request);
            onBadRequest();
            sendStatus(withoutId ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, 0);
        } else if (node.wasSentBefore(parsed)) {
            StreamedRequest.discard(request);
            node.eventLog.refused(parsed.id(), EventLog.Refusal.ID_SENT_BEFORE);
            node.metrics.requestAnswered(parsed.requestClass(), ServiceMetrics.End.ERRORED);
            sendStatus(HttpResponseStatus.CONFLICT, 0);
        } else if (node.refusesRequests()) {
            StreamedRequest.discard(request);
            node.eventLog.refused(parsed.id(), node.hasStoppedSending() ? EventLog.Refusal.ENDING : EventLog.Refusal.TOO_MANY_OPEN);
            node.metrics.requestAnswered(parsed.requestClass(), ServiceMetrics.End.DEFERRED);
            sendStatus(HttpResponseStatus.SERVICE_UNAVAILABLE, node.config.settings().limits().maxRetryAfterMs());
        } else {
            engineRequests++;
            node.eventLog.requestReceived(number, parsed.id(), parsed.deadlineMs() - now);
            RequestDeadline deadline = new RequestDeadline(Math.min(now, arrivedMs), parsed.deadlineMs(), parsed.bodyTimeMs());
            node.onRequestReceived(parsed, deadline, request, this);
        }
    }

    /** Limits the processor time spent on a client that keeps sending requests that can't be served; each is still answered. */
    private void onBadRequest() {
        if (++badRequests < BAD_REQUEST_LIMIT || badRequestPause) {
            return;
        }
        badRequestPause = true;
        updateReading();
        node.loop.schedule(() -> {
            badRequestPause = false;
            if (!ended) {
                updateReading();
            }
        }, BAD_REQUEST_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    void setCurrentRequest(OpenRequest request) {
        current = request;
    }

    /** Sends the complete answer of a host to the client. */
    void sendHostAnswer(FullHttpResponse hostResponse) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                hostResponse.content().retain());
        copyContentType(hostResponse, response);
        writeAnswer(response);
    }

    private void copyContentType(HttpResponse hostResponse, HttpResponse response) {
        String contentType = hostResponse.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (contentType != null && RequestParser.isWithin(contentType, ' ', '~')) { // other characters must not be forwarded
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
    }

    /**
     * Starts to stream a long answer of a host. Returns null when this client could not recognize the end of the answer.
     *
     * @param whenReady called when the connection becomes writable again
     */
    HostConnection.Sink startStreaming(HttpResponse hostResponse, Runnable whenReady) {
        long length = HttpUtil.getContentLength(hostResponse, -1L);
        if (length < 0 && !acceptsChunked) {
            return null;
        }
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        copyContentType(hostResponse, response);
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            HttpUtil.setContentLength(response, length);
        }
        if (isLastAnswer()) {
            keepAlive = false;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        output.beginLongTransfer();
        channel.writeAndFlush(response, channel.voidPromise()); // the first bytes count, however late the others come
        onWritable = whenReady;
        return new HostConnection.Sink() {
            @Override
            public void write(ByteBuf part) {
                channel.writeAndFlush(new DefaultHttpContent(part), channel.voidPromise());
            }

            @Override
            public boolean isWritable() {
                return channel.isWritable();
            }

            @Override
            public void end(boolean whole) {
                onWritable = null;
                if (whole) {
                    finishAnswer(LastHttpContent.EMPTY_LAST_CONTENT, !keepAlive);
                } else {
                    keepAlive = false;
                    close(CloseReason.ANSWER_CUT); // the missing end tells the client that the answer is incomplete
                }
            }
        };
    }

    /**
     * Sends an answer without a body. A positive delay is sent as Retry-After, as a decimal number of seconds to the millisecond;
     * standard HTTP allows whole seconds only.
     */
    void sendStatus(HttpResponseStatus status, double retryAfterMs) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.EMPTY_BUFFER);
        if (retryAfterMs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                    Double.toString(Math.ceil(retryAfterMs) / MS_PER_SECOND));
        }
        writeAnswer(response);
    }

    private void writeAnswer(FullHttpResponse response) {
        ByteBuf body = response.content();
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        boolean last = isLastAnswer();
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        finishAnswer(response, last);
    }

    /**
     * Whether the connection closes with the present answer. A client that has to move to another gateway first gets the answers to all
     * requests that it has sent; one that goes on to send ahead for longer than a shutdown sends attempts gets those to what has been read.
     */
    private boolean isLastAnswer() {
        if (!keepAlive || !node.releasesClients()) {
            return !keepAlive;
        }
        readsNoMore = node.clock.now() - node.releasingSinceMs() > node.shutdownSchedule.abandonMs();
        updateReading();
        if (queue.isEmpty() && channel.isActive() && channel.config().isAutoRead() && !reader.isReading()) {
            Transport.readNow(channel);
        }
        return queue.isEmpty();
    }

    /** Writes the end of an answer, then continues with the next request or closes the connection after the last one. */
    private void finishAnswer(Object end, boolean last) {
        current = null;
        answered = true;
        if (last) {
            keepAlive = false;
        }
        if (upload != null && !upload.isComplete()) { // the client may send the whole body before it reads the answer
            channel.writeAndFlush(end, channel.voidPromise());
            upload.drop();
        } else if (last) {
            ended = true;
            channel.writeAndFlush(end).addListener(this::closeLingering);
        } else {
            channel.writeAndFlush(end, channel.voidPromise());
            completeRequest();
        }
    }

    /** Completes a request that is answered and whose body has been read: processes the next one or closes the connection. */
    private void completeRequest() {
        upload = null;
        if (!keepAlive) {
            ended = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(this::closeLingering);
            return;
        }
        busy = false;
        if (queue.isEmpty()) {
            sendContinue();
            markIdle();
        } else { // deferred, because the answer may be given while the request is still being handed over
            scheduleTurn();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfOutOfMemory(cause);
        close(CloseReason.IO_ERROR);
    }
}
