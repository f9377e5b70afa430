package deckfall.net;

import deckfall.Gateway.Request;
import deckfall.console.Figures;
import deckfall.end.Linger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Accepts clients and writes the one answer to each request; decides which connections stay open. */
final class ClientServer {
    static final int MAX_BODY = 64 * 1024;
    private static final int PIPELINED = 16; // requests read ahead on one connection; then reading stops
    private static final int HEAD_BYTES = 1024; // that a request read ahead takes in memory beside its body
    private static final int LOOKED_AHEAD = 256 * 1024; // bytes read ahead on one connection to look for the client's end
    private static final int LOOKED_AHEAD_IN_ALL = 4 * 1024 * 1024; // the same on all connections
    private static final double UNSEEN_MS = 40; // a client seen so lately is not looked for again: half of what is allowed
    private static final double SOCKET_SHARE = 0.42; // of all descriptors; the program itself needs some, too
    private static final double NEWCOMERS_SHARE = 0.25; // of the connections: so many may have asked nothing yet
    private static final double PRESSED_SHARE = 0.5; // of the connections that fit: then idle ones give way early
    private static final long SWEEP_MS = 100;
    private static final double READ_MS = 2000; // for a first request to begin, from the connection's start
    private static final double GIVES_WAY_MS = 2200; // idle for so long, a connection may be closed for room
    private static final double IDLE_MS = 20_000; // idle for so long, it is closed
    private static final double AWAY_MS = 300; // idle for so long, it is closed where clients are sent away
    private static final double AWAY_SILENT_MS = 1500; // without a first request for so long, the same
    private static final double ASKS_WITHIN_MS = 200; // of connecting: the longest way there and back, and a late loop
    private static final int ASKED_ONCE = 1; // requests on a connection that need not bring another
    private static final int FAULTS = 2; // bad requests on a connection, from which it is read only now and then
    private static final long PAUSE_MS = 200; // such a connection is not read for so long after each
    private static final double BODY_BYTES_PER_MS = 64; // that a client sends at least, by the protocol
    private static final double LENGTH_GUESSED = 1 << 20; // bytes of a long body whose length is not told
    private static final double MS_PER_SECOND = 1000;
    private static final int ACCEPTED_AT_ONCE = 16; // netty's own bound for one reading of a listener
    private static final String READY = "/healthz";

    private final Node node;
    private final RequestTerms terms;
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<Connection> unused = new LinkedHashSet<>(); // no request came yet; the oldest first
    private final LinkedHashSet<Connection> onlookers = new LinkedHashSet<>(); // idle, asked for health alone
    private final LinkedHashSet<Connection> casual = new LinkedHashSet<>(); // idle, asked once
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>(); // those that ask again and again
    private final LinkedHashSet<Connection> lingering = new LinkedHashSet<>(); // answered for the last time, the oldest first
    /** Who gives way first, once there are no more newcomers than may be; the longest idle stands first in each. */
    private final List<LinkedHashSet<Connection>> givingWay = List.of(onlookers, casual, idle, unused);
    private final int maxConnections;
    private final int maxNewcomers;
    private Channel listener;
    private long readAhead; // bytes of requests that wait their turn, on all connections
    private boolean swept; // the sweep has begun

    ClientServer(Node node) {
        this.node = node;
        this.terms = new RequestTerms(node.config.settings());
        this.maxConnections = (int) (node.config.sockets() * SOCKET_SHARE);
        this.maxNewcomers = (int) (maxConnections * NEWCOMERS_SHARE);
    }

    /** Clients are served once this is done. */
    ChannelFuture start() {
        ChannelFuture bound = node.transport.server(node.group)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        Connection connection = new Connection(ch);
                        connection.reader.addTo(ch.pipeline());
                        ch.pipeline().addLast(connection);
                    }
                }).bind(node.transport.at(node.config.listen()));
        listener = bound.channel();
        if (!swept) {
            swept = true;
            node.loop.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
        return bound;
    }

    /** After this only those who are connected are heard: who stands in the queue by now is, though this loop be late. */
    void stopAccepting() {
        pause();
        node.loop.schedule(() -> {
            if (listener != null) { // else another process took this one's place meanwhile
                takeQueue();
                listener.close();
            }
        }, Node.TURN_MS, TimeUnit.MILLISECONDS);
    }

    private void takeQueue() {
        if (!listener.isOpen()) {
            return; // an end and a process that takes this one's place may come to it both
        }
        for (int taken = 0; taken <= Transport.BACKLOG; taken += ACCEPTED_AT_ONCE) {
            Transport.readNow(listener);
        }
    }

    /** After this only requests that already came are answered; who has just connected is about to ask. */
    void giveUpIdle() {
        double young = node.clock.now() - ASKS_WITHIN_MS;
        for (LinkedHashSet<Connection> from : givingWay) {
            List.copyOf(from).stream().filter(c -> from != unused || c.idleSince < young).forEach(c -> giveUp(c, from));
        }
    }

    /**
     * Accepts nothing for a moment, ahead of the listener's end and at least one turn of the event loop before it: a socket
     * that the loop still knows is closed by the system only at its next turn, and takes connections until then.
     */
    void pause() {
        if (listener != null) {
            listener.deregister();
        }
    }

    /**
     * Another process listens at this address, too: what stands in the queue here would be reset with the listener, so
     * all of it is accepted first. Connections that asked before and are idle are closed; one that was just made is
     * about to ask.
     */
    void leave() {
        if (listener == null) {
            return;
        }
        takeQueue();
        listener.close();
        listener = null;
        for (LinkedHashSet<Connection> from : givingWay) {
            if (from != unused) {
                giveUpAll(from);
            }
        }
    }

    boolean idle() {
        return connections.isEmpty();
    }

    int count() {
        return connections.size();
    }

    Channel listener() {
        return listener;
    }

    // ---- which connections stay

    /** Silence, and a request that does not get on, end here; so do idle connections, sooner where there are many. */
    private void sweep() {
        node.loop.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        double now = node.clock.now();
        for (Connection c : List.copyOf(lingering)) {
            if (!c.linger.goesOn(now)) {
                c.channel.close();
            }
        }
        for (Connection c : List.copyOf(connections)) {
            c.lookWhilePaused();
            if (c.overdue(now)) {
                Transport.readNow(c.channel); // what stands in its socket was not late, this loop was
                if (c.overdue(node.clock.now())) {
                    c.timeOut();
                }
            }
        }
        if (now - node.awayAt() > node.end.acceptsMs()) {
            for (LinkedHashSet<Connection> from : givingWay) {
                closeIdle(from, now - (from == unused ? AWAY_SILENT_MS : AWAY_MS));
            }
        }
        boolean pressed = connections.size() > maxConnections * PRESSED_SHARE;
        closeIdle(onlookers, now - GIVES_WAY_MS);
        closeIdle(casual, now - GIVES_WAY_MS);
        closeIdle(idle, now - (pressed ? GIVES_WAY_MS : IDLE_MS));
    }

    private void closeIdle(LinkedHashSet<Connection> from, double since) {
        for (Connection c = first(from); c != null && c.idleSince < since; c = first(from)) {
            giveUp(c, from); // it leaves the set either way
        }
    }

    private void giveUpAll(LinkedHashSet<Connection> from) {
        List.copyOf(from).forEach(c -> giveUp(c, from));
    }

    private static Connection first(LinkedHashSet<Connection> from) {
        return from.isEmpty() ? null : from.iterator().next();
    }

    /**
     * Rather an idle connection than no descriptor left for anyone; one in use never. A crowd whose connections come
     * and go must not push out those that bring most of the requests, and a crowd that says nothing only its own: of
     * newcomers beyond their share the longest silent gives way. Within that share they give way last, or in a full
     * house each would be closed by the next before its request is there, and none would ever be heard.
     */
    private boolean makeRoom() {
        if (!lingering.isEmpty()) {
            Connection oldest = first(lingering);
            oldest.leave();
            oldest.channel.close();
            return true;
        }
        while (unused.size() > maxNewcomers) {
            if (giveUp(first(unused), unused)) {
                return true;
            }
        }
        for (LinkedHashSet<Connection> from : givingWay) {
            for (Connection c = first(from); c != null; c = first(from)) {
                if (giveUp(c, from)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Ends a connection unless a request stands unread in its socket: closing that away would lose it. */
    private boolean giveUp(Connection c, LinkedHashSet<Connection> from) {
        int before = c.whole;
        if (c.channel.isActive() && c.channel.config().isAutoRead()) {
            Transport.readNow(c.channel);
        }
        boolean asking = from != unused && c.reader.unfinished(); // half a request is more than none
        boolean free = c.whole == before && c.waiting.isEmpty() && !asking;
        if (free) {
            c.leave(); // now, as its end is told only later
            c.channel.close();
        } else {
            from.remove(c); // it was just asked something, and answered at once where it stands here still
            if (!asking) {
                c.rest();
            }
        }
        return free;
    }

    /** What a look into a client's socket says; unknown where too much unread stands in front of its end. */
    enum Presence { CONNECTED, LEFT, UNKNOWN }

    /** One client connection: one request at a time, in order; what is sent ahead waits its turn. */
    final class Connection extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final RequestReader reader;
        private final ArrayDeque<Object> waiting = new ArrayDeque<>(); // requests, and at the end what is unreadable
        private final Runnable next = this::next;
        private long waitingBytes;
        private double seenAt = node.clock.now(); // the client was surely connected then
        private boolean behind; // reading paused: what is read may be older than this loop is late
        private boolean hidden; // more is unread than is read ahead
        private OpenRequest current;
        private boolean busy;
        private boolean keepAlive = true;
        private boolean chunks; // the client reads answers of unknown length
        private boolean ended; // the last answer is on its way
        private double idleSince = node.clock.now();
        private int whole; // messages that came whole, of whatever kind
        private int requests; // those of them that the module was to decide
        private int faults;
        private Runnable more; // of the answer that goes out as it comes; null where none does
        private boolean paused;
        private Upload upload; // the rest of the body of the request under way; null where all of it is here
        private boolean answered; // that request, though more of its body may come
        private Linger linger; // null until the last answer has left

        Connection(Channel channel) {
            this.channel = channel;
            this.reader = new RequestReader(node.clock, this::steer);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= maxConnections && !makeRoom()) {
                ended = true;
                channel.close();
                return;
            }
            connections.add(this);
            unused.add(this);
        }

        private void leave() {
            connections.remove(this);
            lingering.remove(this);
            leavePlace();
        }

        /**
         * Ends a connection whose last answer has left: what the client sends meanwhile is read and forgotten for a while, as a
         * close over unread bytes would reset the connection, and the answer may not have reached the client by then.
         */
        private void hangUp(Future<? super Void> left) {
            if (!left.isSuccess() || !(channel instanceof DuplexChannel) || !channel.isActive()) { // in memory nothing stands unread
                channel.close();
                return;
            }
            linger = new Linger(node.clock.now());
            lingering.add(this);
            freeWaiting();
            reader.forget(bytes -> {
                if (!linger.read(bytes)) {
                    channel.close();
                }
            });
            ((DuplexChannel) channel).shutdownOutput();
            channel.config().setAutoRead(true);
        }

        private void leavePlace() {
            givingWay.forEach(kind -> kind.remove(this));
        }

        /** Takes its place among those that may give way, behind the others of its kind. */
        private void rest() {
            if (!busy && !ended && waiting.isEmpty()) {
                idleSince = node.clock.now();
                (requests > ASKED_ONCE ? idle : requests == ASKED_ONCE ? casual : onlookers).add(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            leave();
            ended = true;
            freeWaiting();
            if (upload != null) {
                upload.drop();
            }
            OpenRequest left = current;
            current = null;
            if (left != null) {
                node.clientLeft(left);
            }
        }

        /** What was sent ahead gets no answer any more. */
        private void freeWaiting() {
            List<Object> ahead = List.copyOf(waiting);
            waiting.clear(); // first, as letting go of a body may look here
            readAhead -= waitingBytes;
            waitingBytes = 0;
            ahead.forEach(LongRequest::free);
        }

        /** Whether no request has come for too long on a connection that owes one. */
        private boolean overdue(double now) {
            boolean silent = whole == 0 && !reader.unfinished() && idleSince < now - READ_MS;
            boolean expected = !busy || upload != null && !upload.over(); // of the client, and not of a host
            return expected && !ended && channel.config().isAutoRead() && (silent || reader.overdue(now));
        }

        private void timeOut() {
            keepAlive = false;
            if (upload != null) {
                channel.close(); // in the middle of a body: no answer would be heard ahead of its end
            } else if (reader.unfinished()) {
                answer(HttpResponseStatus.REQUEST_TIMEOUT, 0);
            } else {
                leave();
                channel.close();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof RequestReader.BodyRead) { // not at once: the socket is just being read
                node.loop.execute(() -> confirm(((RequestReader.BodyRead) event).body()));
                return;
            }
            // Ahead of an answer that is still due it would be taken to belong to that one; then the client waits.
            if (event == RequestReader.Asks.TO_GO_ON && !busy && !ended && waiting.isEmpty()) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                        Unpooled.EMPTY_BUFFER), channel.voidPromise());
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (ended) {
                LongRequest.free(message);
                return;
            }
            if (upload != null && !upload.over()) { // a body that can't be read: its request will never be whole
                channel.close();
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
            waiting.add(message);
            waitingBytes += size(message);
            readAhead += size(message);
        }

        private Object unqueue() {
            Object message = waiting.poll();
            waitingBytes -= size(message);
            readAhead -= size(message);
            return message;
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
                Object message = unqueue();
                steer();
                busy = true;
                answered = false;
                upload = LongRequest.restOf(message);
                leavePlace();
                if (message instanceof RequestReader.Unreadable) {
                    keepAlive = false; // where the next request would begin is not known
                    answer(((RequestReader.Unreadable) message).status(), 0);
                } else {
                    handle((FullHttpRequest) message);
                }
            }
        }

        /** Reads on or pauses: while much waits, after faults, and where a body comes faster than its host takes it. */
        private void steer() {
            boolean fast = upload != null && upload.full() || isLongBodyAhead();
            boolean reads = !paused && !fast && waiting.size() < PIPELINED;
            if (reads && !channel.config().isAutoRead()) {
                reader.resume();
            }
            behind |= !reads;
            channel.config().setAutoRead(reads);
            if (answered && upload != null && upload.over()) {
                release();
            }
        }

        /** While reading pauses the client's end is not seen: so that nothing of one that left is sent on, it is looked for. */
        private void lookWhilePaused() {
            if (!ended && !paused && !channel.config().isAutoRead()) {
                look();
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
                if (channel.isActive() && nothing) {
                    seenAt = node.clock.now();
                    behind = false;
                    return Presence.CONNECTED;
                }
            }
            return Presence.LEFT;
        }

        private boolean hasReadAheadEnough() {
            return waitingBytes >= LOOKED_AHEAD || readAhead >= LOOKED_AHEAD_IN_ALL || isLongBodyAhead();
        }

        /** Whether the last request that waits has a long body, of which as much was read as is kept. */
        private boolean isLongBodyAhead() {
            Upload ahead = LongRequest.restOf(waiting.peekLast());
            return ahead != null && ahead.full();
        }

        /** A long body has come whole: its last part may go on where the client has not left behind it. */
        private void confirm(Upload body) {
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

        private void handle(FullHttpRequest request) {
            keepAlive = HttpUtil.isKeepAlive(request);
            chunks = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
            if (request.uri().equals(READY)) {
                LongRequest.free(request);
                answer(node.takesClients() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
                return;
            }
            double now = node.clock.now();
            Request read = terms.read(request, now, now - node.lag.ms(), restMs());
            if (read == null || node.knows(read.id())) {
                boolean unknown = !request.headers().contains(RequestTerms.ID);
                LongRequest.free(request);
                fault();
                answer(unknown ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, 0);
            } else if (node.full()) {
                LongRequest.free(request);
                node.figures.ended(read.requestClass(), Figures.End.DEFERRED);
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, node.config.settings().limits().maxRetryAfterMs());
            } else {
                requests++;
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
            if (type != null && RequestTerms.isWithin(type, ' ', '~')) { // else not to be passed on
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
                        channel.close(); // before the promised end, so the client knows
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
                rest();
            } else { // not at once: an answer may be given while the request is being taken
                node.loop.execute(next);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            channel.close();
        }
    }
}
