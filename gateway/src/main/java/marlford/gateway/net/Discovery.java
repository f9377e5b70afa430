package marlford.gateway.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.list.HostList;
import marlford.gateway.list.HostListLimit;
import marlford.gateway.list.PollingBackoff;

/**
 * Asks an agent for the whole list of hosts, then watches it without a break; a silent or broken call is asked anew.
 * What a word is worth, {@link HostList} says; this class carries calls and answers, and tells the node what came of
 * them. All on the event loop.
 *
 * <p>A move to another agent is made before the old one is left: its watch goes on until the new agent has spoken, so
 * that a new address at which nobody answers leaves the gateway no worse informed than before.
 */
final class Discovery {
    static final String LIST = "servers";
    private static final String PATH = "/v1/servers";
    private static final int GIVEN_UP = 2; // failures from which a start does not wait for a first word, and the agent is away
    private static final long REVIEW_MS = 1000; // how often the age of the list is looked at
    private static final int TEXT_MAX = 1 << 20; // bytes of a list that is passed on to other gateways

    /** A host with the address at which this api gateway reaches it; null where it is gone or was not told. */
    record Entry(Host host, InetSocketAddress address) { }

    private final Node node;
    private final HostList list;
    private final PollingBackoff pace;
    private final HostListLimit limit;
    private InetSocketAddress agent;
    private Calls current;
    private Calls previous; // the watch of the agent that was left, until the new one speaks
    private Runnable first; // runs once a word was taken, or none is to be had
    private int failures;
    private boolean failing;
    private boolean failingByLength;
    private boolean started;
    private boolean old; // the age of the list was logged
    private boolean listed; // there is a list, of an agent or of before the start
    private boolean awaitsList; // the start's time for one is not over

    Discovery(Node node) {
        this(node, HostListLimit.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    /** With a limit of the caller's making. */
    Discovery(Node node, HostListLimit limit) {
        this.node = node;
        this.limit = limit;
        this.agent = node.config.discovery();
        this.list = new HostList(HostList.Limits.DEFAULT, node.clock.now());
        this.pace = new PollingBackoff(new Random(node.config.settings().seed()),
                node.config.settings().rules().drainGraceMs(), !node.config.settings().subscribe());
    }

    /** The list from before the start, for as long as no agent has spoken. */
    void known(JsonNode before) {
        List<Entry> entries = entries(before);
        if (entries.size() > limit.hosts()) {
            Node.log("the configuration: " + new ListTooLongException(limit.hosts()).getMessage());
            return;
        }
        listed = !entries.isEmpty();
        tell(list.known(hosts(entries), before.path("version").asLong(HostList.NONE)), entries);
    }

    /** @param heard runs once: the node was told the first word of an agent, or the agent can't be had for now */
    void start(Runnable heard) {
        first = heard;
        started = true;
        node.loop.schedule(this::review, REVIEW_MS, TimeUnit.MILLISECONDS);
        connect();
    }

    /** Turns to another agent, whose versions need not go on from those of the old one: the whole list is due. */
    void move(InetSocketAddress to) {
        if (to.equals(agent)) {
            return;
        }
        Node.log("discovery: from " + agent + " to " + to + ", list of version " + list.version(agent) + ", "
                + (long) list.ageMs(node.clock.now()) + " ms old");
        agent = to;
        failures = 0;
        pace.moved();
        notFailing();
        if (!started) {
            return;
        }
        Calls left = current;
        if (left != null && left.heard && previous == null) {
            previous = left;
        } else if (left != null) {
            left.drop(); // it has told nothing, and the one before it may still be watched
        }
        connect();
    }

    /** Operators leave out these hosts and no others. */
    void leaveOut(Set<String> ids) {
        List<Host> changes = list.leaveOut(node.clock.now(), ids);
        if (!changes.isEmpty()) {
            node.hostsTold(ListKind.CHANGES, entries(changes, Map.of()));
        }
    }

    /** Without any list the gateway takes no clients for so long, in milliseconds; a start that takes longer would fail. */
    void awaitList(long ms) {
        awaitsList = !listed;
        node.loop.schedule(() -> {
            awaitsList = false;
            if (!listed) {
                Node.log("discovery: no list of hosts yet, from " + agent + " or from before the start; healthy without one, "
                        + "as a start may take no longer");
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    /** Whether there is a list to go by, or none is waited for any longer. */
    boolean ready() {
        return listed || !awaitsList;
    }

    /** The hosts on the list, whatever their state. */
    Set<String> listed() {
        return list.listed();
    }

    /** A host gave an answer. */
    void served(String host) {
        list.served(node.clock.now(), host);
    }

    private void connect() {
        Calls calls = new Calls(agent);
        current = calls;
        pace.called(node.clock.now());
        new Bootstrap().group(node.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) pace.connectMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), calls.lists, calls);
                    }
                }).connect(agent).addListener(f -> {
                    if (!f.isSuccess()) {
                        node.loop.execute(() -> failed(calls, f.cause())); // netty may tell it on a thread of its own
                    }
                });
    }

    /** A call came to nothing: another follows, later each time and not in step with other gateways. */
    private void failed(Calls calls, Throwable cause) {
        if (calls == previous) {
            previous = null;
        }
        if (calls != current || calls.over) {
            return; // another has taken over
        }
        calls.over = true;
        boolean tooLong = cause instanceof ListTooLongException;
        logOnce(cause, tooLong);
        long wait = waitAfter(calls, cause);
        if (calls.turnedAway) {
            list.goOnFromKnown(agent);
        }
        if (++failures >= GIVEN_UP || calls.turnedAway || tooLong) { // a start waits for neither
            spoken();
        }
        node.loop.schedule(() -> retry(calls), wait, TimeUnit.MILLISECONDS); // ahead of what others may throw
        if (calls.inTurn) {
            node.lists().called(agent.toString(), false, null);
        }
    }

    /** Calls anew after a failure, out of turn where taking turns fails: nothing else would ever call again. */
    private void retry(Calls failed) {
        if (failed != current) {
            return;
        }
        try {
            again(failed);
        } catch (RuntimeException | LinkageError e) {
            Node.log("defect: no turn to call discovery: " + e);
            connect();
        }
    }

    /** One line for a spell of failures, however often it is asked, and one for a list that is too long. */
    private void logOnce(Throwable cause, boolean tooLong) {
        if (cause != null && (!failing || tooLong && !failingByLength)) {
            Node.log("discovery: " + agent + ": " + String.valueOf(cause.getMessage()).lines().findFirst().orElse(""));
        }
        failing |= cause != null;
        failingByLength |= tooLong;
    }

    private long waitAfter(Calls calls, Throwable cause) {
        double now = node.clock.now();
        if (calls.turnedAway) {
            return pace.turnedAway(now);
        }
        if (calls.fellSilent) {
            return pace.fellSilent();
        }
        if (cause instanceof ListTooLongException) {
            return pace.tooLong(now);
        }
        return calls.unusable ? pace.unusable(now) : pace.broke(now);
    }

    /** Calls an agent anew: where it was away, or its whole list is due, in turn with the other gateways. */
    private void again(Calls before) {
        if (first != null || failures < GIVEN_UP && list.version(agent) != HostList.NONE) {
            connect();
            return;
        }
        InetSocketAddress asked = agent;
        AtomicBoolean over = new AtomicBoolean(); // the turn is had or given up
        Consumer<SharedListFetch.Told> turn = told -> onLoop(() -> {
            if (!over.getAndSet(true) && before == current) {
                goOn(before, asked, told);
            }
        });
        node.lists().due(asked.toString(), turn);
        if (!over.get()) {
            node.loop.schedule(() -> turn.accept(null), pace.turnMs(node.clock.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void onLoop(Runnable what) {
        if (node.loop.inEventLoop()) {
            what.run();
        } else {
            node.loop.execute(what);
        }
    }

    /** It is this gateway's turn to call, or a list came that another was told. */
    private void goOn(Calls before, InetSocketAddress asked, SharedListFetch.Told told) {
        if (told != null && !taken(asked, told)) { // as one of an agent that counts anew, for a while
            node.loop.schedule(() -> retry(before), pace.broke(node.clock.now()), TimeUnit.MILLISECONDS);
            return;
        }
        if (told != null) {
            failures = 0;
            notFailing();
        }
        connect();
        current.takeTurn(told == null);
    }

    private void notFailing() {
        failing = false;
        failingByLength = false;
    }

    /** Takes a list that another gateway was told, as if the agent had told it here. */
    private boolean taken(InetSocketAddress by, SharedListFetch.Told told) {
        try {
            HostListParser parser = new HostListParser(limit.hosts());
            parser.feed(told.text().getBytes(StandardCharsets.UTF_8));
            return take(by, parser.end());
        } catch (IOException | RuntimeException e) {
            Node.log("discovery: " + by + " as another gateway was told: " + e.getMessage());
            return false;
        }
    }

    /** Takes a word of an agent, or not. What can't be told on is asked for again, and not lost. */
    private boolean take(InetSocketAddress by, HostListAnswer said) throws ListTooLongException {
        List<Entry> entries = said.entries();
        List<Host> hosts = hosts(entries);
        if (!said.full() && list.listedWith(hosts) > limit.hosts()) {
            throw new ListTooLongException(limit.hosts());
        }
        HostList.Told told = list.heard(node.clock.now(), by, said.version(), said.full(), hosts);
        listed |= told.taken();
        if (told.taken() && (told.kind() == ListKind.FULL || !told.hosts().isEmpty())) {
            if (told.kind() == ListKind.FULL) {
                Node.log("discovery: " + by + " lists " + told.hosts().size() + " hosts, version " + said.version());
            }
            try {
                tell(told, entries);
            } catch (RuntimeException e) { // else what this word changed would never be told again
                list.lost();
                throw e;
            }
        }
        return told.taken();
    }

    private void spoken() {
        Runnable ready = first;
        first = null;
        if (ready != null) {
            ready.run();
        }
    }

    private void review() {
        node.loop.schedule(this::review, REVIEW_MS, TimeUnit.MILLISECONDS);
        double now = node.clock.now();
        List<Host> changes = list.review(now);
        boolean late = list.ageMs(now) > HostList.Limits.DEFAULT.vouchMs();
        if (late && !old) {
            Node.log("discovery: the list is " + (long) list.ageMs(now) + " ms old; hosts that do not answer are put "
                    + "aside: " + changes.size());
        }
        old = late;
        if (!changes.isEmpty()) {
            node.hostsTold(ListKind.CHANGES, entries(changes, Map.of()));
        }
    }

    /** Tells the node what the list made of a word. What can't be told is asked for again, and not lost. */
    private void tell(HostList.Told told, List<Entry> from) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (Entry e : from) {
            addresses.put(e.host().id(), e.address());
        }
        node.hostsTold(told.kind(), entries(told.hosts(), addresses));
    }

    private static List<Entry> entries(List<Host> hosts, Map<String, InetSocketAddress> addresses) {
        List<Entry> entries = new ArrayList<>(hosts.size());
        for (Host h : hosts) {
            entries.add(new Entry(h, addresses.get(h.id())));
        }
        return entries;
    }

    static List<Host> hosts(List<Entry> entries) {
        List<Host> hosts = new ArrayList<>(entries.size());
        for (Entry e : entries) {
            hosts.add(e.host());
        }
        return hosts;
    }

    /** The calls on one connection to an agent. */
    private final class Calls extends SimpleChannelInboundHandler<HostListHandler.Answer> {
        private final InetSocketAddress to;
        private final HostListHandler lists = new HostListHandler(limit.hosts());
        private Channel channel;
        private Future<?> timeout;
        private boolean heard; // a word of it was taken
        private boolean over;
        private boolean turnedAway;
        private boolean fellSilent; // a watch that got no answer in its time
        private boolean unusable; // an answer of which nothing could be taken
        private int answers;
        private boolean comesIn; // a part of its answer is here
        private double partAt; // when the last one came
        private boolean whole; // the list was asked for, and not what changed
        private boolean inTurn; // others wait for what comes of the first call

        Calls(InetSocketAddress to) {
            this.to = to;
        }

        void drop() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (this == current) {
                call();
            } else {
                channel.close();
            }
        }

        private void call() {
            long from = list.version(to);
            whole = from == HostList.NONE;
            double now = node.clock.now();
            long limitMs = whole ? pace.patienceMs() : this == current ? pace.watchMs(now) : PollingBackoff.WATCH_MS;
            String uri = whole ? PATH : PATH + "?from=" + from + "&hold_ms=" + pace.holdMs(limitMs);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            channel.writeAndFlush(request, channel.voidPromise());
            comesIn = false;
            timeout = node.loop.schedule(this::timeUp, limitMs, TimeUnit.MILLISECONDS);
        }

        /** An answer that stands in the socket by now was not late, this loop was; one that is coming in may go on. */
        private void timeUp() {
            int before = answers;
            if (channel.isActive()) {
                Transport.readNow(channel);
            }
            if (answers != before) {
                return;
            }
            double now = node.clock.now();
            double until = Math.min(partAt + pace.patienceMs(), pace.nextCallBy());
            if (comesIn && channel.isActive() && now < until) {
                timeout = node.loop.schedule(this::timeUp, (long) Math.ceil(until - now), TimeUnit.MILLISECONDS);
                return;
            }
            fellSilent = !whole && heard;
            drop();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == HostListHandler.Progress.PART) {
                comesIn = true;
                partAt = node.clock.now();
            }
        }

        void takeTurn(boolean mine) {
            inTurn = mine;
            lists.keepText(mine && node.lists() != SharedListFetch.NONE ? TEXT_MAX : 0);
        }

        private void stopTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HostListHandler.Answer answer) throws IOException {
            if (this != current && this != previous) {
                return; // an agent that was left: its word may be older than what the new one told
            }
            answers++;
            stopTimeout();
            if (!answer.status().equals(HttpResponseStatus.OK)) {
                turnedAway = answer.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
                throw new IOException("discovery answered " + answer.status());
            }
            HostListAnswer said = answer.list();
            long before = list.version(to);
            boolean taken = take(to, said);
            if (inTurn) { // whether it is believed here or not yet: the others decide for themselves
                takeTurn(false);
                node.lists().called(to.toString(), true, said.full() ? answer.text() : null);
            }
            if (!taken) {
                throw new IOException("a word of version " + said.version() + " where " + before + " is held");
            }
            takenFrom(ctx, answer.keepAlive());
            spoken();
        }

        private void takenFrom(ChannelHandlerContext ctx, boolean keepAlive) {
            heard = true;
            if (this == current) {
                failures = 0;
                notFailing();
                Calls left = previous;
                previous = null;
                if (left != null) {
                    left.drop();
                }
            }
            long wait = this == current ? pace.answered(node.clock.now()) : 0;
            if (keepAlive && wait == 0) {
                call(); // the next call first, so that no change falls between
            } else if (keepAlive) {
                node.loop.schedule(() -> {
                    if (channel.isActive()) {
                        call();
                    }
                }, wait, TimeUnit.MILLISECONDS);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            stopTimeout();
            failed(this, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            unusable = !(cause instanceof IOException) || cause instanceof UnreadableListException;
            if (cause instanceof UnreadableListException && (this == current || this == previous)) {
                list.lost(); // what it told is lost, and the whole list holds it too
            }
            ctx.close();
            failed(this, cause);
        }
    }

    /**
     * The entries of a list in discovery's form. One that can't be read must not keep the others from being heard,
     * nor may its host get more work on the strength of what was told before: where it has a name, it drains.
     */
    static List<Entry> entries(JsonNode list) {
        List<Entry> entries = new ArrayList<>();
        HostEntryReader reader = new HostEntryReader();
        for (JsonNode e : list.path(LIST)) {
            reader.set(e);
            try {
                entries.add(reader.entry());
            } catch (IllegalArgumentException bad) {
                Node.log("discovery: entry '" + reader.id() + "': " + bad.getMessage());
                if (reader.drained() != null) {
                    entries.add(reader.drained());
                }
            }
        }
        return entries;
    }
}
