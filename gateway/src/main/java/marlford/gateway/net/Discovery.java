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
 * Fetches the list of hosts from a discovery agent and then watches it for changes without a gap; calls that fail or time
 * out are retried. {@link HostList} decides which responses are accepted; this class exchanges them with the agent and
 * passes the result to the node. Not thread-safe; runs on the event loop.
 *
 * <p>After a change of the agent, the watch at the previous one goes on until the new agent has sent an accepted list, so
 * that a new address that does not respond leaves the gateway no worse informed than before.
 */
final class Discovery {
    static final String SERVERS_FIELD = "servers";
    private static final String SERVERS_PATH = "/v1/servers";
    /** Failures in a row from which the agent counts as unavailable, and a start no longer waits for its first list. */
    private static final int FAILURES_UNTIL_UNAVAILABLE = 2;
    private static final long AGE_CHECK_INTERVAL_MS = 1000;
    private static final int MAX_SHARED_TEXT_BYTES = 1 << 20; // a longer list is not shared with other gateways

    /**
     * A host on the list.
     *
     * @param address at which this gateway reaches it; null if the host is gone or the address is not known
     */
    record Entry(Host host, InetSocketAddress address) { }

    private final Node node;
    private final HostList list;
    private final PollingBackoff backoff;
    private final HostListLimit hostLimit;
    private InetSocketAddress agent;
    private AgentConnection current;
    private AgentConnection previous; // watch at the previous agent, until the new one has sent an accepted list; else null
    private Runnable onFirstList; // runs once a list was accepted or the agent is unavailable; then null
    private int failures; // failed calls in a row
    private boolean failureLogged; // whether a failure of the current series of failures was logged
    private boolean tooLongLogged; // whether a list that is too long was logged in the current series of failures
    private boolean started;
    private boolean ageLogged; // whether it was logged that the list is too old; false again once it is not
    private boolean applying; // an update is being passed on
    private boolean hasList; // whether a list is held, from an agent or from the configuration
    private boolean waitsForList; // the gateway is unhealthy until it has a list

    Discovery(Node node) {
        this(node, HostListLimit.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    /** Creates a discovery client with a given limit on the number of hosts. */
    Discovery(Node node, HostListLimit hostLimit) {
        this.node = node;
        this.hostLimit = hostLimit;
        this.agent = node.config.discovery();
        this.list = new HostList(HostList.Limits.DEFAULT, node.clock.now());
        this.backoff = new PollingBackoff(new Random(node.config.settings().seed()),
                node.config.settings().rules().drainGraceMs(), !node.config.settings().subscribe());
    }

    /** Uses the list in the configuration until an agent has sent one. A list that is too long is logged and ignored. */
    void useKnownList(JsonNode cached) {
        List<Entry> entries = readEntries(cached);
        if (entries.size() > hostLimit.hosts()) {
            Node.log("discovery: the list of hosts in the configuration is not used: "
                    + new ListTooLongException(hostLimit.hosts()).getMessage());
            return;
        }
        hasList = !entries.isEmpty();
        HostList.Update update = list.loadCached(hosts(entries), cached.path("version").asLong(HostList.NO_VERSION));
        node.onHostsUpdated(update.kind(), update.hosts(), addresses(entries));
    }

    /**
     * Starts to call the agent.
     *
     * @param whenListed runs once, when the node has received the first list of an agent or the agent is unavailable
     */
    void start(Runnable whenListed) {
        onFirstList = whenListed;
        started = true;
        node.loop.schedule(this::checkAge, AGE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        connect();
    }

    /** Changes to another agent, whose whole list is fetched: its versions need not continue those of the previous agent. */
    void changeAgent(InetSocketAddress address) {
        if (address.equals(agent)) {
            return;
        }
        Node.log("discovery: changing from agent " + agent + " to " + address + "; the list has version "
                + list.heldVersion(agent) + " and is " + (long) list.ageMs(node.clock.now()) + " ms old");
        agent = address;
        node.onDiscoveryAgentChanged();
        failures = 0;
        backoff.agentChanged();
        resetFailureLog();
        if (!started) {
            return;
        }
        AgentConnection replaced = current;
        if (replaced != null && replaced.updateAccepted && previous == null) {
            previous = replaced;
        } else if (replaced != null) {
            replaced.close(); // no list of it was accepted, or an earlier agent is still watched
        }
        connect();
    }

    /** Replaces the set of hosts that operators have excluded. */
    void setExcludedHosts(Set<String> ids) {
        List<Host> changes = list.setExcluded(node.clock.now(), ids);
        if (!changes.isEmpty()) {
            node.onHostsUpdated(ListKind.CHANGES, changes, Map.of());
        }
    }

    /**
     * Lets the gateway report unhealthy until it has a list, but no longer than the given time, so that it gets no clients
     * that it could not serve.
     *
     * @param ms longest time from now on, in milliseconds; the platform treats a start that takes longer as failed
     */
    void waitForList(long ms) {
        waitsForList = !hasList;
        node.loop.schedule(() -> {
            waitsForList = false;
            if (!hasList) {
                Node.log("discovery: no list of hosts yet from agent " + agent + ", and none in the configuration; reporting healthy "
                        + "without hosts, because the time limit of the start has passed; check that the agent responds");
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    /** Returns whether there is a list of hosts, or the gateway no longer waits for one. */
    boolean isReady() {
        return hasList || !waitsForList;
    }

    /** Returns the ids of the hosts on the list, whatever their state. */
    Set<String> listedHosts() {
        return list.listedIds();
    }

    /**
     * Takes in what an agent has sent and a late event loop has not read yet. To be called before a decision that may rest on it: a change counts as
     * told from when the agent has written it.
     */
    void readPending() {
        if (applying) {
            return;
        }
        for (AgentConnection connection : new AgentConnection[] {current, previous}) {
            if (connection != null && connection.channel != null && connection.channel.isActive()) {
                Transport.readNow(connection.channel);
            }
        }
    }

    /** Records a response of a host. While the list is too old, only hosts with a recent response get new requests. */
    void recordResponse(String host) {
        list.hostAnswered(node.clock.now(), host);
    }

    /** Opens a connection to the agent, which then replaces the current one. */
    private void connect() {
        AgentConnection connection = new AgentConnection(agent);
        current = connection;
        backoff.callStarted(node.clock.now());
        new Bootstrap().group(node.loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) backoff.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        node.buffers.attach(ch);
                        ch.pipeline().addLast(new HttpClientCodec(), connection.listHandler, connection);
                    }
                }).connect(agent).addListener(f -> {
                    if (!f.isSuccess()) {
                        node.loop.execute(() -> failed(connection, f.cause())); // Netty may notify on another thread
                    }
                });
    }

    /**
     * Handles a failed call: it is retried with growing, randomized delays, so that the gateways do not all retry at the same
     * time.
     *
     * @param cause null if the agent closed the connection or did not respond in time
     */
    private void failed(AgentConnection connection, Throwable cause) {
        if (connection == previous) {
            previous = null;
        }
        if (connection != current || connection.failureHandled) {
            return; // replaced by another connection, or its failure was already handled
        }
        connection.failureHandled = true;
        boolean tooLong = cause instanceof ListTooLongException;
        logOnce(cause, tooLong);
        long delayMs = retryDelayMs(connection, cause);
        if (connection.rejected) {
            list.continueFromCached(agent);
        }
        // A start does not wait for a retry where the agent has rejected the call or its list is too long.
        if (++failures >= FAILURES_UNTIL_UNAVAILABLE || connection.rejected || tooLong) {
            runOnFirstList();
        }
        // Scheduled before the call below, which may throw.
        node.loop.schedule(() -> retry(connection), delayMs, TimeUnit.MILLISECONDS);
        if (connection.holdsTurn) {
            node.sharedListFetch().reportResult(agent.toString(), false, null);
        }
    }

    /** Calls the agent again after a failure. If the shared fetch throws, it calls directly, since nothing else would retry. */
    private void retry(AgentConnection failed) {
        if (failed != current) {
            return;
        }
        try {
            callAgain(failed);
        } catch (RuntimeException | LinkageError e) {
            Node.log("defect: requesting a turn to fetch the list of hosts failed, calling the agent directly: " + e);
            connect();
        }
    }

    /**
     * Logs one line for a series of failures, whatever the number of its retries, and one for a list that is too long. A call
     * without a cause (the agent closed the connection or did not respond in time) is not logged.
     */
    private void logOnce(Throwable cause, boolean tooLong) {
        if (cause != null && (!failureLogged || tooLong && !tooLongLogged)) {
            Node.log("discovery: call to agent " + agent + " failed and will be retried: "
                    + String.valueOf(cause.getMessage()).lines().findFirst().orElse(""));
        }
        failureLogged |= cause != null;
        tooLongLogged |= tooLong;
    }

    /** Returns the delay before the next call, in milliseconds. */
    private long retryDelayMs(AgentConnection connection, Throwable cause) {
        double now = node.clock.now();
        if (connection.rejected) {
            return backoff.waitAfterRejection(now);
        }
        if (connection.watchTimedOut) {
            return backoff.waitAfterLongPollTimeout();
        }
        if (cause instanceof ListTooLongException) {
            return backoff.waitAfterTooLongList(now);
        }
        return connection.invalidResponse ? backoff.waitAfterUnusableAnswer(now) : backoff.waitAfterFailure(now);
    }

    /**
     * Calls the agent again. If the agent was unavailable or its whole list is needed, the gateway first requests a turn from
     * {@link SharedListFetch}: one gateway calls the agent, and the others may get the list from it.
     */
    private void callAgain(AgentConnection failed) {
        if (onFirstList != null || failures < FAILURES_UNTIL_UNAVAILABLE && list.heldVersion(agent) != HostList.NO_VERSION) {
            connect();
            return;
        }
        InetSocketAddress calledAgent = agent;
        AtomicBoolean done = new AtomicBoolean(); // whether the turn has come or the wait for it has ended
        Consumer<SharedListFetch.FetchedList> turn = fetched -> onLoop(() -> {
            if (!done.getAndSet(true) && failed == current) {
                onTurn(failed, calledAgent, fetched);
            }
        });
        node.sharedListFetch().requestTurn(calledAgent.toString(), turn);
        if (!done.get()) {
            node.loop.schedule(() -> turn.accept(null), backoff.sharedFetchWaitMs(node.clock.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void onLoop(Runnable task) {
        if (node.loop.inEventLoop()) {
            task.run();
        } else {
            node.loop.execute(task);
        }
    }

    /**
     * Ends the wait for a turn: applies the list that another gateway has fetched, if there is one, and then calls the agent.
     * If that list is rejected, the agent is not called now; the turn is requested again after a delay.
     *
     * @param fetched a list that another gateway has fetched; null if it is this gateway's turn to call
     */
    private void onTurn(AgentConnection failed, InetSocketAddress calledAgent, SharedListFetch.FetchedList fetched) {
        // HostList rejects the list of an agent that has restarted its version numbers for a while, so a later try may succeed.
        if (fetched != null && !applyFetched(calledAgent, fetched)) {
            node.loop.schedule(() -> retry(failed), backoff.waitAfterFailure(node.clock.now()), TimeUnit.MILLISECONDS);
            return;
        }
        if (fetched != null) {
            failures = 0;
            resetFailureLog();
        }
        connect();
        current.setHoldsTurn(fetched == null);
    }

    private void resetFailureLog() {
        failureLogged = false;
        tooLongLogged = false;
    }

    /** Applies a list that another gateway has fetched as if this one had. Returns whether it was accepted. */
    private boolean applyFetched(InetSocketAddress sender, SharedListFetch.FetchedList fetched) {
        try {
            HostListParser parser = new HostListParser(hostLimit.hosts());
            parser.feed(fetched.text().getBytes(StandardCharsets.UTF_8));
            return applyUpdate(sender, parser.end(), fetched.ageMs());
        } catch (IOException | RuntimeException e) {
            Node.log("discovery: cannot use the list of agent " + sender + " that another gateway fetched: " + e.getMessage());
            return false;
        }
    }

    /**
     * Offers a response to the list and passes the resulting changes to the node. If the node fails, the whole list is fetched
     * again, so that no change is lost. Returns whether the response was accepted.
     *
     * @param ageMs upper bound of the time since the agent sent it, until it came to this process
     */
    private boolean applyUpdate(InetSocketAddress sender, HostListUpdate update, double ageMs) throws ListTooLongException {
        List<Entry> entries = update.entries();
        List<Host> hosts = hosts(entries);
        if (!update.full() && list.listedCountAfter(hosts) > hostLimit.hosts()) {
            throw new ListTooLongException(hostLimit.hosts());
        }
        HostList.Update result = list.receive(node.clock.now(), sender, update.version(), update.full(), hosts);
        hasList |= result.accepted();
        if (result.accepted() && (result.kind() == ListKind.FULL || !result.hosts().isEmpty())) {
            if (result.kind() == ListKind.FULL) {
                Node.log("discovery: agent " + sender + " lists " + result.hosts().size() + " hosts, version " + update.version());
            }
            applying = true;
            try {
                node.onHostsUpdated(result.kind(), result.hosts(), addresses(entries));
            } catch (RuntimeException e) { // otherwise these changes would never reach the node
                list.requireFullList();
                throw e;
            } finally {
                applying = false;
            }
        }
        if (result.accepted() && sender.equals(agent)) { // a previous agent may have fallen behind
            node.onHostsConfirmed(ageMs);
        }
        return result.accepted();
    }

    /** Runs the callback of the start, once. */
    private void runOnFirstList() {
        Runnable callback = onFirstList;
        onFirstList = null;
        if (callback != null) {
            callback.run();
        }
    }

    /** Periodically checks the age of the list; while it is old, hosts without a recent response get no new requests. */
    private void checkAge() {
        node.loop.schedule(this::checkAge, AGE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        node.reviewHostAddresses();
        double now = node.clock.now();
        List<Host> changes = list.review(now);
        boolean stale = list.ageMs(now) > HostList.Limits.DEFAULT.staleAfterMs();
        if (stale && !ageLogged) {
            Node.log("discovery: the list of hosts is " + (long) list.ageMs(now) + " ms old; check that the agent responds; hosts "
                    + "that have not answered in that time get no new requests: " + changes.size());
        }
        ageLogged = stale;
        if (!changes.isEmpty()) {
            node.onHostsUpdated(ListKind.CHANGES, changes, Map.of());
        }
    }

    /** Returns the addresses of entries by the ids of their hosts. */
    static Map<String, InetSocketAddress> addresses(List<Entry> entries) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        entries.forEach(entry -> addresses.put(entry.host().id(), entry.address()));
        return addresses;
    }

    /** Returns the hosts of entries, in their order. */
    static List<Host> hosts(List<Entry> entries) {
        List<Host> hosts = new ArrayList<>(entries.size());
        for (Entry e : entries) {
            hosts.add(e.host());
        }
        return hosts;
    }

    /** One connection to an agent, with one call at a time: first for the whole list if it is needed, then for changes. */
    private final class AgentConnection extends SimpleChannelInboundHandler<HostListHandler.Response> {
        private final InetSocketAddress address;
        private final HostListHandler listHandler = new HostListHandler(hostLimit.hosts());
        private Channel channel;
        private Future<?> timeout;
        private boolean updateAccepted; // whether a list or changes that this connection received were accepted
        private boolean failureHandled;
        private boolean rejected; // the agent answered 503
        private boolean watchTimedOut; // a watch timed out
        private boolean invalidResponse; // a response was invalid
        private int responses;
        private boolean responseStarted; // a part of the current response has arrived
        private double lastPartAt; // when the last part arrived
        private boolean wholeListRequested; // the current call is for the whole list, not for changes
        private boolean holdsTurn; // whether other gateways wait for the result of this connection's first call

        AgentConnection(InetSocketAddress address) {
            this.address = address;
        }

        void close() {
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

        /** Sends the next call: for the whole list if it is needed, otherwise a watch for changes. */
        private void call() {
            long from = list.heldVersion(address);
            wholeListRequested = from == HostList.NO_VERSION;
            double now = node.clock.now();
            long timeoutMs = wholeListRequested ? backoff.answerTimeoutMs()
                    : this == current ? backoff.longPollTimeoutMs(now) : PollingBackoff.DEFAULT_LONG_POLL_TIMEOUT_MS;
            String uri = wholeListRequested ? SERVERS_PATH : SERVERS_PATH + "?from=" + from + "&hold_ms=" + backoff.holdMs(timeoutMs);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            channel.writeAndFlush(request, channel.voidPromise());
            responseStarted = false;
            timeout = node.loop.schedule(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
        }

        /**
         * Closes the connection because the time for a response has passed. The socket is read first: if the response is already
         * in it, this event loop was late and not the agent. A response of which parts keep arriving gets more time.
         */
        private void onTimeout() {
            int responsesBefore = responses;
            if (channel.isActive()) {
                Transport.readNow(channel);
            }
            if (responses != responsesBefore) {
                return;
            }
            double now = node.clock.now();
            double deadline = Math.min(lastPartAt + backoff.answerTimeoutMs(), backoff.nextCallDeadlineMs());
            if (responseStarted && channel.isActive() && now < deadline) {
                timeout = node.loop.schedule(this::onTimeout, (long) Math.ceil(deadline - now), TimeUnit.MILLISECONDS);
                return;
            }
            watchTimedOut = !wholeListRequested && updateAccepted;
            close();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == HostListHandler.Progress.PART) {
                responseStarted = true;
                lastPartAt = node.clock.now();
            }
        }

        /** @param isMine whether other gateways wait for the result; the text of the list is then kept for them */
        void setHoldsTurn(boolean isMine) {
            holdsTurn = isMine;
            listHandler.keepText(isMine && node.sharedListFetch() != SharedListFetch.NONE ? MAX_SHARED_TEXT_BYTES : 0);
        }

        private void stopTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HostListHandler.Response response) throws IOException {
            if (this != current && this != previous) {
                return; // sent by an agent that is no longer used; its list may be older than that of the new agent
            }
            responses++;
            stopTimeout();
            if (!response.status().equals(HttpResponseStatus.OK)) {
                rejected = response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
                throw new IOException("expected status 200, but the agent answered " + response.status());
            }
            HostListUpdate update = response.list();
            long versionBefore = list.heldVersion(address);
            boolean accepted = applyUpdate(address, update, 0);
            if (holdsTurn) { // even if it was not accepted here: other gateways decide for themselves
                setHoldsTurn(false);
                node.sharedListFetch().reportResult(address.toString(), true, update.full() ? response.text() : null);
            }
            if (!accepted) {
                throw new IOException("the agent sent version " + update.version() + " of the list, but version " + versionBefore
                        + " is held");
            }
            onUpdateAccepted(ctx, response.keepAlive());
            runOnFirstList();
        }

        private void onUpdateAccepted(ChannelHandlerContext ctx, boolean keepAlive) {
            updateAccepted = true;
            if (this == current) {
                failures = 0;
                resetFailureLog();
                AgentConnection replaced = previous;
                previous = null;
                if (replaced != null) {
                    replaced.close();
                }
            }
            long delayMs = this == current ? backoff.waitAfterAnswer(node.clock.now()) : 0;
            if (keepAlive && delayMs == 0) {
                call(); // at once, so that no change is missed in between
            } else if (keepAlive) {
                node.loop.schedule(() -> {
                    if (channel.isActive()) {
                        call();
                    }
                }, delayMs, TimeUnit.MILLISECONDS);
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
            FatalErrors.endIfOutOfMemory(cause);
            invalidResponse = !(cause instanceof IOException) || cause instanceof UnreadableListException;
            if (cause instanceof UnreadableListException && (this == current || this == previous)) {
                list.requireFullList(); // the changes in this response are lost, so the whole list, which includes them, is fetched
            }
            ctx.close();
            failed(this, cause);
        }
    }

    /**
     * Reads the entries of a list in discovery's format. An invalid entry does not affect the others. If it has an id, its
     * host is listed as draining, since it must not get new requests because of an earlier list.
     */
    static List<Entry> readEntries(JsonNode list) {
        List<Entry> entries = new ArrayList<>();
        HostEntryReader reader = new HostEntryReader();
        for (JsonNode e : list.path(SERVERS_FIELD)) {
            reader.set(e);
            try {
                entries.add(reader.toEntry());
            } catch (IllegalArgumentException invalid) {
                Node.log("discovery: invalid entry with id '" + reader.id() + "' in the list of hosts: " + invalid.getMessage());
                if (reader.toDrainingEntry() != null) {
                    entries.add(reader.toDrainingEntry());
                }
            }
        }
        return entries;
    }
}
