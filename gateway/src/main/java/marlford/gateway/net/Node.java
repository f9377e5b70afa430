package marlford.gateway.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Events;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.console.Console;
import marlford.gateway.console.ServiceMetrics;
import marlford.gateway.guard.HostAddresses;
import marlford.gateway.guard.ReachedProcess;
import marlford.gateway.guard.RequestDeadline;
import marlford.gateway.guard.Rule;
import marlford.gateway.guard.RuleCounter;
import marlford.gateway.guard.Staleness;
import marlford.gateway.shutdown.ShutdownSchedule;
import marlford.gateway.start.ProcessStartTime;
import marlford.gateway.start.StartBudget;
import marlford.gateway.start.StartBudget.Step;
import marlford.gateway.upgrade.HandoverClient;
import marlford.gateway.upgrade.HandoverServer;

/**
 * One api gateway process: the event loop that runs all request handling, the clock, the timers, the decision engine
 * and the table of open requests. It carries out the actions of the decision engine and reports their results to it as
 * events. Unless stated otherwise, methods run on the event loop.
 */
public final class Node implements Actions {
    private static final long DRAIN_POLL_MS = 20; // interval at which a drain checks whether every request is answered
    private static final long HOST_COUNT_INTERVAL_MS = 250; // interval at which host counts are published to the console
    private static final long ACTIVITY_LOG_INTERVAL_MS = 1000;
    private static final long PRESENCE_CHECK_INTERVAL_MS = 40; // less than half of ClientDepartureCounters.SEND_GRACE_MS
    static final long LOOP_ITERATION_MS = 2; // a timer of this length fires only after the event loop has run at least once
    private static final long LISTEN_RETRY_DELAY_MS = 50;
    private static final double LATE_ANSWER_LIMIT_MS = 500; // a final answer sent later than this after its deadline breaks ANSWERED_LATE
    private static final double MICROS_PER_MS = 1000;
    private static final long BYTES_PER_KB = 1024;
    private static final double[] NO_LOAD_REPORT = new double[0];

    /** An event that waits to be delivered to the decision engine. */
    private interface PendingEvent {
        /** @param now time of delivery in milliseconds, on the node's clock */
        void deliver(double now, Events engine);
    }

    /** Sends messages to the other gateways. */
    interface PeerSender {
        /** @param peer index of the receiver in the configured list of peers */
        void send(int peer, byte[] data);
    }

    final NodeConfig config;
    final Clock clock;
    final ShutdownSchedule shutdownSchedule;
    final Transport transport;
    final NioEventLoopGroup group;
    final EventLoop loop;
    final EventLoopLag lag;
    final ConnectionBuffers buffers;
    final InputBudget inputBudget;
    final RequestTurns requestTurns;
    final ServiceMetrics metrics;
    private final Events engine;
    final EventLog eventLog;
    final RuleCounter ruleCounter = new RuleCounter();
    private final ClientDepartureCounters departures = new ClientDepartureCounters();
    private final ArrayDeque<PendingEvent> pendingEvents = new ArrayDeque<>();
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final SendRules sendRules;
    final ClientServer clientServer;
    private final HostClient hostClient;
    private final HostStateTracker hostStates;
    private final HostAddresses<InetSocketAddress> hostAddresses = new HostAddresses<>();
    private final Discovery discovery;
    private final PeerLink peerLink;
    private PeerSender peerSender;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean delivering;
    private boolean serving; // messages from peers are dropped until then, because the engine has not been started
    private final AdminCommandHandler adminCommands;
    GatewayExtensions extensions = GatewayExtensions.NONE; // must be set before start()
    private Console console; // null when no console address is configured
    private boolean draining;
    private boolean releasingClients; // the drain has reached the point from which every answer closes its connection
    private boolean quiesced;
    private volatile boolean replaced; // another process accepts clients instead of this one
    private double releasingSinceMs = Double.POSITIVE_INFINITY; // when client connections began to be closed after an answer
    private boolean sendingStopped; // the drain has run out of time and no further attempt is sent
    private volatile boolean endedBeforeServing; // the shutdown began before the listener was open

    Node(NodeConfig config) {
        this(config, DecisionEngine::new);
    }

    /** Creates a node with the given decision engine in place of {@link DecisionEngine}. */
    Node(NodeConfig config, Function<Actions, Events> engineFactory) {
        this(config, engineFactory, Transport.TCP, new NioEventLoopGroup(1));
    }

    Node(NodeConfig config, Function<Actions, Events> engineFactory, Transport transport, NioEventLoopGroup group) {
        this(config, engineFactory, transport, group, new Clock());
    }

    Node(NodeConfig config, Function<Actions, Events> engineFactory, Transport transport, NioEventLoopGroup group,
            Clock clock) {
        this(config, engineFactory, transport, group, clock, ConnectionBuffers.ofProcess());
    }

    Node(NodeConfig config, Function<Actions, Events> engineFactory, Transport transport, NioEventLoopGroup group,
            Clock clock, ConnectionBuffers buffers) {
        this.buffers = buffers;
        this.config = config;
        this.clock = clock;
        // A warm-up node, which uses the in-memory transport, writes no trace.
        this.eventLog = transport == Transport.MEMORY ? new EventLog(clock, null) : new EventLog(clock);
        this.shutdownSchedule = ShutdownSchedule.of(config.settings().classes().stream().mapToDouble(RequestClass::deadlineMs).max()
                .orElse(0));
        this.transport = transport;
        this.group = group;
        this.loop = group.next();
        this.lag = new EventLoopLag(clock, loop);
        this.inputBudget = new InputBudget(clock, loop);
        this.requestTurns = new RequestTurns(clock, loop);
        this.engine = engineFactory.apply(this);
        this.metrics = new ServiceMetrics(config.settings().classes().stream().map(RequestClass::name).toList());
        this.clientServer = new ClientServer(this);
        this.hostClient = new HostClient(this, hostAddresses);
        this.hostStates = new HostStateTracker(clock);
        this.sendRules = new SendRules(clock, config.settings(), hostStates, engine::isColdHost);
        this.discovery = new Discovery(this);
        this.peerLink = new PeerLink(this);
        this.adminCommands = new AdminCommandHandler(loop, this::quiesce, this::resume,
                () -> discovery.setExcludedHosts(console.excludedHosts()));
        this.peerSender = peerLink;
    }

    /**
     * Serves clients until SIGTERM. An invalid configuration or an address that can't be bound ends the process with one
     * line on stderr and status 1.
     */
    public static void main(String configFile) {
        main(configFile, GatewayExtensions.NONE);
    }

    /** Same as {@link #main(String)}, with the extensions of a larger system. */
    public static void main(String configFile, GatewayExtensions extras) {
        StderrLogger.install();
        FatalErrors.install();
        ConnectionBuffers.boundTemporaryBuffers();
        ConfigurationReloader reloader = ConfigurationReloader.onHangup(configFile); // first: an unhandled SIGHUP ends the process
        try {
            serve(reloader, System.getenv("TMPDIR"), StartBudget.ofThisProcess(), true, extras);
        } catch (NodeConfig.BadConfig | IOException | InterruptedException e) {
            System.err.println("deckfall: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    static Node serve(ConfigurationReloader reloader, String folder, StartBudget budget, boolean ownsProcess)
            throws NodeConfig.BadConfig, IOException, InterruptedException {
        return serve(reloader, folder, budget, ownsProcess, GatewayExtensions.NONE);
    }

    /**
     * Runs a complete start and returns when clients are served, or when a shutdown of the process began during the start.
     *
     * @param folder directory in which the processes of one gateway find each other; null disables upgrades
     * @param ownsProcess whether the node owns this process, which then drains the node when it exits
     * @param extras extensions of a larger system
     */
    private static Node serve(ConfigurationReloader reloader, String folder, StartBudget budget, boolean ownsProcess,
            GatewayExtensions extras) throws NodeConfig.BadConfig, IOException, InterruptedException {
        NodeConfig config = reloader.first();
        RuntimeDirectory runtimeDirectory = RuntimeDirectory.in(folder, config.name(), config.listen());
        HandoverClient predecessor = runtimeDirectory == null ? null
                : HandoverClient.find(runtimeDirectory.successorSocket(), budget.limitMs(Step.PREDECESSOR_REPLY));
        // The address may be held by a process of an earlier version or by an unrelated program.
        if (runtimeDirectory != null && predecessor == null && !Transport.TCP.isFree(config.listen())) {
            RuntimeDirectory earlierVersion = RuntimeDirectory.ofEarlierVersion(folder, config.name());
            predecessor = HandoverClient.find(earlierVersion.successorSocket(), budget.limitMs(Step.PREDECESSOR_REPLY));
            runtimeDirectory = predecessor == null ? runtimeDirectory
                    : new RuntimeDirectory(earlierVersion.excludedHosts(), runtimeDirectory.successorSocket(),
                            runtimeDirectory.sentRequestIds());
        }
        Node initialNode = new Node(config);
        initialNode.extensions = extras;
        initialNode.openConsole(runtimeDirectory);
        if (predecessor == null) {
            initialNode.loop.execute(initialNode.peerLink::start);
        }
        long beganMs = budget.ageMs();
        long limitMs = budget.limitMs(predecessor == null ? Step.WARM_UP_ALONE : Step.WARM_UP);
        int answers = WarmUp.run(config, WarmUp.FULL_WARM_UP_ANSWERS, limitMs, initialNode::hasHeardFromPeers);
        log("warm after " + answers + " answers; the warm-up ran from " + beganMs + " to " + budget.ageMs()
                + " ms after the start of the process");
        NodeConfig newest = reloader.newest(); // the file may have changed during the warm-up, with or without a SIGHUP
        Node node = initialNode;
        if (newest != config) {
            initialNode.stop();
            node = new Node(newest);
            node.extensions = extras;
            node.openConsole(runtimeDirectory);
            log("start: the configuration file changed during the warm-up; the start continues with its new content");
        }
        if (runtimeDirectory != null) {
            node.sendRules.shareSentRequestIds(SentRequestIds.in(runtimeDirectory.sentRequestIds()));
        }
        reloader.follow(newest, node::reload);
        // Created in a training run for the class-data-sharing archive too, so that the classes needed here get into the archive.
        Thread drain = new Thread(new ProcessShutdown(node));
        if (ownsProcess) {
            Runtime.getRuntime().addShutdownHook(drain);
            node.group.terminationFuture().addListener(ended -> FatalErrors.end("its event loop has ended"));
        }
        if (!node.start(predecessor, budget)) {
            log("start: the shutdown of the process began before the listener opened; it exits without serving clients");
            return node; // the shutdown hook ends the process, and a predecessor notices that the connection closes
        }
        // Clients are served from now on; the time counts from the start of the process.
        log("serves after " + budget.ageMs() + " ms of this process");
        extras.onServing().accept(node.servingGateway());
        if (runtimeDirectory != null) {
            // On its own thread, because System.exit runs the shutdown hook that drains the node and never returns.
            Runnable exit = () -> new Thread(() -> System.exit(0)).start();
            new HandoverServer(runtimeDirectory.successorSocket(), node.handoverSteps(exit), Node::log).open();
        }
        return node;
    }

    /** Starts without a predecessor, with the time limits of a process that starts now. */
    void start() throws IOException {
        ProcessStartTime now = ProcessStartTime.ofNow();
        start(null, new StartBudget(now::ageMs));
    }

    /**
     * Starts the node and returns when clients are served. Blocks, so it must not be called on the event loop.
     *
     * <p>The listener opens when discovery has sent a host list, counts as unavailable, or has not answered within the time
     * limit. Normally, therefore, no client is served with a host list from before the start. Without an answer from discovery
     * the gateway uses the host list of the configuration, if there is one. The listener stays closed in a process whose
     * shutdown has begun meanwhile, because its clients would be disconnected again almost at once.
     *
     * @return whether clients are served
     * @param predecessor the process that has served clients until now; null when there is none
     * @param budget time limits of the remaining steps
     */
    boolean start(HandoverClient predecessor, StartBudget budget) throws IOException {
        openConsole(null);
        CountDownLatch listReceived = new CountDownLatch(1);
        try {
            boolean tookOver = predecessor != null && predecessor.takeOver(budget.limitMs(Step.LEDGERS_RELEASED));
            if (!tookOver) {
                StartRetry.call(() -> {
                    transport.verifyUnused(config.listen());
                    return null;
                });
            }
            if (tookOver && predecessor.wasQuiesced()) {
                adminCommands.quiesce();
            }
            loop.submit(() -> {
                if (!peerLink.isStarted()) {
                    peerLink.start();
                }
                beginServing();
                if (!tookOver) { // after a takeover the gateway must not report unhealthy while it waits for a host list
                    discovery.waitForList(budget.maxUnhealthyMs(!hasHeardFromPeers()));
                }
                discovery.start(listReceived::countDown);
            }).sync();
            // Without an answer from discovery the host list of the configuration is used, if there is one.
            listReceived.await(budget.limitMs(Step.FIRST_DISCOVERY_ANSWER), TimeUnit.MILLISECONDS);
            if (!StartRetry.call(this::openListener)) {
                return false;
            }
            if (tookOver && !predecessor.reportServing(budget.limitMs(Step.LISTENER_RELEASED))) {
                log("upgrade: the previous process did not confirm in time that it stopped accepting; check that it has ended");
            }
            adminCommands.setReady(!tookOver || !predecessor.wasQuiesced());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) { // Netty rethrows the original cause, which may be a checked exception that is not declared
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    /** Opens the listener; returns false without opening it when a shutdown has begun meanwhile. */
    private boolean openListener() throws InterruptedException {
        ChannelFuture opening = loop.submit(() -> draining ? null : clientServer.start()).sync().getNow();
        if (opening == null) {
            return false;
        }
        opening.sync();
        return true;
    }

    /**
     * Opens the console for operators if one is configured; a second call does nothing.
     *
     * @param runtimeDirectory where operator commands that outlive the process are stored; null to store nothing
     */
    void openConsole(RuntimeDirectory runtimeDirectory) throws IOException {
        if (console == null && config.console() != null) {
            console = new Console(adminCommands, metrics, extensions.pages(),
                    runtimeDirectory == null ? null : runtimeDirectory.excludedHosts(), Node::log);
            listenOnConsole();
        }
    }

    private void listenOnConsole() throws IOException {
        try {
            StartRetry.call(() -> {
                console.listen(config.console());
                return null;
            });
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    private void quiesce() {
        quiesced = true;
        releasingSinceMs = Math.min(releasingSinceMs, clock.now());
        adminCommands.setReady(false);
    }

    private void resume() {
        quiesced = false;
        keepClientsIfAllowed();
    }

    /** Keeps client connections open again, unless a drain, a quiesce command or a successor requires otherwise. */
    private void keepClientsIfAllowed() {
        if (!draining && !releasesClients()) {
            releasingSinceMs = Double.POSITIVE_INFINITY;
            adminCommands.setReady(clientServer.listener() != null);
        }
    }

    // ---- upgrade: docs/design/upgrade.md

    /**
     * Returns the steps that a successor process requests of this one during an upgrade.
     *
     * @param exit ends this process; runs once the successor has served clients for its probation time
     */
    HandoverServer.ServingProcess handoverSteps(Runnable exit) {
        return new HandoverServer.ServingProcess() {
            @Override
            public boolean handOver() throws InterruptedException {
                loop.submit(() -> {
                    peerLink.stop();
                    deliver((now, events) -> events.onReplaced(now));
                }).sync();
                return loop.schedule(() -> quiesced, LOOP_ITERATION_MS, TimeUnit.MILLISECONDS).sync().getNow();
            }

            @Override
            public void stopAccepting() throws InterruptedException {
                loop.submit(clientServer::pauseAccepting).sync();
                loop.schedule(() -> {
                    replaced = true;
                    releasingSinceMs = Math.min(releasingSinceMs, clock.now());
                    adminCommands.setReady(false);
                    clientServer.closeForSuccessor();
                }, LOOP_ITERATION_MS, TimeUnit.MILLISECONDS).sync();
            }

            @Override
            public void resume() throws InterruptedException {
                loop.submit(Node.this::resumeAfterHandover).sync();
            }

            @Override
            public void shutDown() {
                exit.run();
            }
        };
    }

    private void resumeAfterHandover() {
        if (draining) {
            return; // the shutdown of this process has begun meanwhile
        }
        peerLink.start();
        deliver((now, events) -> events.onRestored(now));
        if (replaced) {
            replaced = false;
            reopenListener();
            keepClientsIfAllowed();
        }
    }

    private void reopenListener() {
        if (draining || replaced) {
            return;
        }
        clientServer.start().addListener(f -> {
            if (!f.isSuccess()) {
                log("upgrade: can't reopen the listener after the new process failed, will retry: " + f.cause().getMessage());
                loop.schedule(this::reopenListener, LISTEN_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Returns the ids of the listed hosts, except those whose address belongs to another host. */
    private Set<String> hostsInUse() {
        Set<String> ids = discovery.listedHosts();
        ids.removeIf(hostAddresses::isSuperseded);
        return ids;
    }

    /** Updates the hosts if time alone changes which of them has an address. */
    void reviewHostAddresses() {
        if (hostAddresses.isRenewalDue()) {
            onHostsUpdated(ListKind.CHANGES, List.of(), Map.of());
        }
    }

    /** Publishes the host counts, which only the event loop can compute, to the console. */
    private void publishHostCounts() {
        loop.schedule(this::publishHostCounts, HOST_COUNT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        metrics.setHostCounts(adminCommands.listedHostCount(), avoidedHostCount());
    }

    /** Returns the number of listed hosts that get no requests now, or as few as possible. */
    int avoidedHostCount() {
        return engine.avoidedHostCount(clock.now());
    }

    /**
     * Logs one line per second with the counts since the last line: first those of the decision engine, then the number of open
     * client connections ("clients"), the event loop lag in milliseconds ("late"), the buffers of all connections ("buffers_kb"), the time spent on
     * input ("input_ms"), requests of clients that disconnected, closed connections, refused and repeated requests, and broken rules, which are counted since the start of the process. The lines
     * of many gateways can be added up by second.
     */
    private void logActivity() {
        loop.schedule(this::logActivity, ACTIVITY_LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
        extensions.usageRecorder().onTick();
        String activity = engine.takeActivityLine(clock.now());
        if (!activity.isEmpty()) {
            log("did " + activity + " clients=" + clientServer.connectionCount() + " late=" + Math.round(lag.ms())
                    + " buffers_kb=" + buffers.usedBytes() / BYTES_PER_KB + " input_ms=" + Math.round(inputBudget.takeTotalMs())
                    + departures.takeCounts()
                    + eventLog.takeCounts() + ruleCounter.text());
        }
    }

    /**
     * Whether a message from another gateway has been received, which shows that other gateways serve. The warm-up then ends
     * early: this gateway adds more capacity by serving at once than by serving later at full speed. A shutdown then keeps
     * client connections open for a while.
     */
    boolean hasHeardFromPeers() {
        return peerLink.hasReceivedMessage();
    }

    /** Starts the decision engine with the hosts in the configuration and opens the listener. */
    ChannelFuture listen() {
        beginServing();
        return clientServer.start();
    }

    private void beginServing() {
        serving = true;
        if (transport == Transport.TCP) { // a warm-up node logs no activity
            loop.schedule(this::logActivity, ACTIVITY_LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        lag.start();
        deliver((now, events) -> events.onStart(now, config.settings()));
        double aloneSinceMs = peerLink.addressHeldSince();
        if (aloneSinceMs < Double.POSITIVE_INFINITY) {
            // No earlier incarnation of this gateway can have spent quota since then.
            deliver((now, events) -> events.onNoOtherSpenderSince(now, aloneSinceMs));
        }
        if (console != null) {
            discovery.setExcludedHosts(console.excludedHosts());
            publishHostCounts();
        }
        if (config.knownHosts().hasNonNull(Discovery.SERVERS_FIELD)) {
            discovery.useKnownList(config.knownHosts());
        }
    }

    /** Replaces the datagram link to the other gateways. */
    void usePeerSender(PeerSender other) {
        peerSender = other;
    }

    /** Applies the settings that may change while clients are served; the others take effect at the next start. */
    void reload(NodeConfig newConfig) {
        loop.execute(() -> discovery.changeAgent(newConfig.discovery()));
    }

    /** Writes a line to stderr, the log of the process. May be called from any thread. */
    static void log(String line) {
        System.err.println(line);
    }

    // ---- events to the decision engine

    /**
     * Delivers an event to the decision engine. Events are delivered in order and never from within the engine: an event
     * that an action of the engine causes waits until the current call has returned.
     */
    private void deliver(PendingEvent event) {
        pendingEvents.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (PendingEvent next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                try {
                    next.deliver(clock.now(), engine);
                } catch (RuntimeException e) { // a request that this leaves open is still answered by its deadline timer
                    log("defect: the decision engine failed on an event: " + e);
                    e.printStackTrace();
                }
            }
        } finally {
            delivering = false;
        }
    }

    /** Whether clients must move to another gateway: each answer closes its connection, and idle connections are closed. */
    boolean releasesClients() {
        return releasingClients || quiesced || replaced;
    }

    /**
     * Returns the health of this gateway as shown to clients. It stays healthy when another process has replaced this one,
     * as that process is the same gateway.
     */
    boolean isHealthy() {
        return !draining && !quiesced && discovery.isReady();
    }

    /**
     * Returns since when {@link #releasesClients} holds, in milliseconds on the node's clock; infinite when it does not. After a
     * resume command during a drain it stays finite, although {@code releasesClients} may be false until the drain closes
     * client connections.
     */
    double releasingSinceMs() {
        return releasingSinceMs;
    }

    /** Whether a request with this id was sent before and must not run again. */
    boolean wasSentBefore(Request request) {
        return sendRules.wasSentBefore(request);
    }

    /** Whether a request with this id is open; a second one would receive the answer that belongs to the first. */
    boolean isRequestOpen(String id) {
        return openRequests.containsKey(id);
    }

    /** Adds a request of a client to the table and passes it to the engine; the entry owns the message from here on. */
    void onRequestReceived(Request request, RequestDeadline deadline, FullHttpRequest message, ClientConnection client) {
        OpenRequest entry = new OpenRequest(request, deadline, message, client);
        openRequests.put(request.id(), entry);
        metrics.requestAccepted();
        client.setCurrentRequest(entry);
        startDeadlineTimer(entry);
        deliver((now, events) -> events.onRequest(now, request));
    }

    /** Starts a timer for the deadline, which is started again if the deadline has moved meanwhile. */
    private void startDeadlineTimer(OpenRequest entry) {
        double startedForMs = entry.deadlineMs();
        entry.deadlineTimer = loop.schedule(() -> {
            if (entry.deadlineMs() > startedForMs) {
                startDeadlineTimer(entry);
            } else {
                onDeadline(entry.request.id());
            }
        }, toMicros(startedForMs - clock.now()), TimeUnit.MICROSECONDS);
    }

    /** Reports to the engine that an attempt of a request with a streamed body was written completely. */
    void onBodySent(Attempt attempt) {
        OpenRequest entry = attempt.owner;
        double deadlineMs = entry.deadlineMs();
        deliver((now, events) -> events.onBodySent(now, entry.request.id(), attempt.number, deadlineMs));
    }

    private static long toMicros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    /** Whether further requests are refused, because too many are open or no attempt is sent any more. */
    boolean refusesRequests() {
        return sendingStopped || openRequests.size() >= config.maxOpenRequests();
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether no further attempt is sent. */
    boolean hasStoppedSending() {
        return sendingStopped;
    }

    /**
     * Ends the attempts of a request at its deadline. If the engine leaves the request open even then, it is answered here, so that
     * every request gets a final answer.
     */
    void onDeadline(String id) {
        OpenRequest entry = openRequests.get(id);
        if (entry == null) {
            return;
        }
        timeOutAttempts(entry);
        if (!entry.isClosed()) {
            log("defect: the decision engine left a request open at its deadline; the client gets status 504");
            answer(entry, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    /** Closes the connection of an attempt before reporting the end of the attempt. */
    void abandonAttempt(Attempt attempt, Outcome outcome) {
        attempt.abandon();
        attemptEnded(attempt, outcome, null);
    }

    private void timeOutAttempts(OpenRequest entry) {
        for (Attempt attempt : List.copyOf(entry.attempts)) {
            timeOut(attempt);
        }
    }

    private void timeOut(Attempt attempt) {
        passOnPending(attempt);
        boolean outlasts = attempt == attempt.owner.streamingAttempt && attempt.mayOutlastDeadline();
        if (!attempt.ended && !outlasts) {
            abandonAttempt(attempt, Outcome.TIMEOUT);
        }
    }

    /** Reads what has come of an answer, and begins to pass it on if it may be long: the time of a long answer is that of its first bytes. */
    private static void passOnPending(Attempt attempt) {
        attempt.readPending();
        attempt.streamIfPossiblyLong();
    }

    /** Ends a request whose client has disconnected, including an answer that is being streamed. */
    void onClientDisconnected(OpenRequest entry) {
        if (entry.streamingAttempt != null && !entry.streamingAttempt.ended) {
            abandonAttempt(entry.streamingAttempt, Outcome.CANCELLED);
        }
        if (entry.isClosed()) {
            return;
        }
        closeRequest(entry);
        entry.disconnectedAtMs = clock.now();
        departures.recordDisconnect(entry.attempts.stream().anyMatch(attempt -> attempt.writeStarted));
        deliver((now, events) -> events.onClientLeft(now, entry.request.id()));
        cancelUnwritten(entry);
        removeIfFinished(entry);
    }

    /** Cancels attempts that are not completely written, whatever the cancel setting says: they must never reach a host whole. */
    private void cancelUnwritten(OpenRequest entry) {
        for (Attempt attempt : List.copyOf(entry.attempts)) {
            if (!attempt.ended && !attempt.isRequestWritten()) {
                abandonAttempt(attempt, Outcome.CANCELLED);
            }
        }
    }

    /**
     * Ends the request if its client has disconnected. Must be called before an attempt begins, because a late event loop may
     * not have read the end of the connection yet. If there is too much unread input to find out whether the client is
     * connected, the request gets its final answer here and no further attempt.
     */
    void endIfClientDisconnected(OpenRequest entry) {
        ClientConnection client = entry.client();
        if (client == null) {
            return;
        }
        switch (client.checkPresence()) {
            case DISCONNECTED -> onClientDisconnected(entry);
            case UNKNOWN -> endWithUnknownPresence(entry);
            case CONNECTED -> { }
        }
    }

    /** Answers a request of which it can't be told whether its client is still connected; no attempt that is not written whole goes on. */
    void endWithUnknownPresence(OpenRequest entry) {
        answerHeldRequest(entry, EventLog.Refusal.PRESENCE_UNKNOWN);
        cancelUnwritten(entry);
    }

    /**
     * Starts to stream an answer that is too long to be buffered. It becomes the final answer and all other attempts are
     * cancelled. Returns null when no client waits for it.
     */
    HostConnection.Sink startStreaming(Attempt attempt, HttpResponse head, Runnable more) {
        OpenRequest entry = attempt.owner;
        ClientConnection client = attempt.ended || entry.isClosed() ? null : entry.client();
        HostConnection.Sink sink = client == null ? null : client.startStreaming(head, more);
        if (sink == null) {
            return null;
        }
        entry.close();
        entry.streamingAttempt = attempt;
        attempt.streamedAtMs = clock.now();
        eventLog.streamStarted(entry.request.id(), attempt.number, entry.deadlineMs() - clock.now());
        attempt.stopTimer();
        deliver((now, events) -> events.onStreamStarted(now, entry.request.id(), attempt.number));
        for (Attempt other : List.copyOf(entry.attempts)) {
            if (other != attempt && !other.ended) {
                abandonAttempt(other, Outcome.CANCELLED);
            }
        }
        return sink;
    }

    /**
     * Reports the end of an attempt to the engine; later calls for the same attempt do nothing. The body of the first complete
     * answer with status 200 is sent to the client, with its Content-Type.
     */
    void attemptEnded(Attempt attempt, Outcome outcome, FullHttpResponse response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.outcome = outcome;
        attempt.stopTimer();
        OpenRequest entry = attempt.owner;
        entry.attemptsInFlight--;
        eventLog.attemptEnded(entry.request.id(), attempt.number, outcome);
        if (response != null) {
            discovery.recordResponse(attempt.host);
        }
        if (entry.streamingAttempt == attempt) {
            metrics.requestClosed();
            metrics.requestAnswered(entry.request.requestClass(),
                    outcome == Outcome.OK ? ServiceMetrics.End.ANSWERED : ServiceMetrics.End.ERRORED);
        }
        if (outcome == Outcome.OK) {
            ClientConnection client = closeRequest(entry);
            if (client != null) {
                metrics.requestAnswered(entry.request.requestClass(), ServiceMetrics.End.ANSWERED);
                client.sendHostAnswer(response);
            }
        }
        boolean closed = entry.isClosed();
        double tookMs = (attempt.streamedAtMs > 0 ? attempt.streamedAtMs : clock.now()) - attempt.sentAtMs;
        double[] report = response == null ? NO_LOAD_REPORT : LoadReport.ofHeader(response, config.settings().reportNames());
        deliver((now, events) -> events.onAttemptEnded(now,
                new AttemptResult(entry.request.id(), attempt.number, attempt.host, outcome, tookMs, closed, 0, 0, report)));
        removeIfFinished(entry);
    }

    private ClientConnection closeRequest(OpenRequest entry) {
        if (!entry.isClosed()) {
            metrics.requestClosed();
            if (entry.client() != null && clock.now() > entry.deadlineMs() + LATE_ANSWER_LIMIT_MS) {
                ruleCounter.countBreach(Rule.ANSWERED_LATE);
            }
        }
        return entry.close();
    }

    private void removeIfFinished(OpenRequest entry) {
        if (entry.isClosed() && entry.attemptsInFlight == 0 && openRequests.remove(entry.request.id(), entry)) {
            entry.deadlineTimer.cancel(false);
            sendRules.releaseId(entry);
            StreamedRequest.discard(entry.message);
        }
    }

    /** Passes a host list, or changes to it, on. It changes no more than what was current until now. */
    void onHostsUpdated(ListKind kind, List<Discovery.Entry> entries) {
        onHostsConfirmed(0);
        onHostsUpdated(kind, Discovery.hosts(entries), Discovery.addresses(entries));
    }

    /**
     * Records that discovery has confirmed the list of hosts, with the changes that were passed on before.
     *
     * @param ageMs upper bound of the time since its agent said so, until that came to this process
     */
    void onHostsConfirmed(double ageMs) {
        double waitedMs = lag.ms() + ageMs;
        eventLog.listConfirmed(waitedMs);
        hostAddresses.recordConfirmation(clock.now() - waitedMs);
    }

    /**
     * Passes a host list, or changes to it, to the connection pools, the console and the decision engine. Of several hosts that are listed at
     * one address, those that must have ended count as gone.
     *
     * @param addresses of the hosts by id; a host without one keeps the address that it has
     */
    void onHostsUpdated(ListKind kind, List<Host> listed, Map<String, InetSocketAddress> addresses) {
        List<Host> list = hostAddresses.update(clock.now(), kind, listed, addresses);
        hostClient.closeEndedPools();
        adminCommands.setListedHosts(discovery.listedHosts());
        hostStates.update(kind, list);
        deliver((now, events) -> events.onHosts(now, kind, list));
        hostClient.failPendingConnects(list);
    }

    /** Records that another agent of discovery is called from now on, whose word alone confirms the list. */
    void onDiscoveryAgentChanged() {
        hostAddresses.recordAgentChange(clock.now());
    }

    /** Passes a message from another gateway to the decision engine. */
    void onPeerMessage(int peer, byte[] data) {
        if (serving) {
            deliver((now, events) -> events.onPeerMessage(now, peer, data));
        }
    }

    // ---- actions of the decision engine

    @Override
    public void send(String id, String host, double timeoutMs) {
        OpenRequest entry = openRequests.get(id);
        if (entry == null) {
            return;
        }
        endIfClientDisconnected(entry);
        readPendingNews(entry);
        double now = clock.now();
        Attempt attempt = new Attempt(this, entry, host, hostStates.host(host), now);
        entry.attempts.add(attempt);
        entry.attemptsInFlight++;
        RequestBodyStream bodyStream = StreamedRequest.bodyStreamOf(entry.message);
        // A body that a host has begun to receive can't be sent to another one.
        boolean bodyPartlySent = bodyStream != null && !bodyStream.isUnclaimed();
        if (bodyPartlySent || sendingStopped || entry.isClosed() || now >= entry.deadlineMs()
                || !entry.mayHaveAttempt(attempt, config.settings().limits()) || violatesRule(attempt)) {
            attemptEnded(attempt, Outcome.MOOT, null);
            return;
        }
        if (sendRules.repeatsAtUnknownHost(attempt)) {
            eventLog.unsent(id, attempt.number, Staleness.REPEAT_FORBIDDEN);
            attemptEnded(attempt, Staleness.REPEAT_FORBIDDEN.outcome(), null);
            return;
        }
        if (attempt.number == 0) {
            extensions.usageRecorder().admitted(entry.request.customer(), entry.request.units());
        }
        if (timeoutMs > 0) {
            attempt.setTimeoutTimer(loop.schedule(() -> timeOut(attempt), toMicros(timeoutMs), TimeUnit.MICROSECONDS));
        }
        eventLog.attemptStarted(id, attempt.number, host);
        hostClient.send(attempt);
    }

    /** Takes in the word of discovery that waits in its socket, where it may forbid a repeat of the request. */
    private void readPendingNews(OpenRequest entry) {
        if (sendRules.isBoundToHosts(entry)) {
            discovery.readPending();
        }
    }

    /** Whether an attempt that the engine has just decided violates a rule; such an attempt is not sent, but counted and logged. */
    private boolean violatesRule(Attempt attempt) {
        Rule broken = sendRules.ruleBrokenByRepeat(attempt);
        if (broken == null) {
            return false;
        }
        ruleCounter.countBreach(broken);
        log("defect: a repeated attempt was not sent because it would have broken rule " + broken + "; request "
                + attempt.owner.request.id());
        return true;
    }

    /**
     * Whether the first byte of an attempt may be written now. An attempt that may not is ended here, for the reason that is counted, so
     * this must be called right before each write.
     *
     * @param process the process to which it is to be written
     */
    boolean mayWrite(Attempt attempt, ReachedProcess process) {
        endIfClientDisconnected(attempt.owner);
        readPendingNews(attempt.owner);
        if (attempt.ended) {
            return false;
        }
        Staleness staleness = sendRules.findStaleness(attempt, process, sendingStopped);
        if (staleness == null) {
            eventLog.attemptBegun(attempt.owner.request.id(), attempt.number, clock.now() - process.openedAtMs(), attempt.reachedListedHost());
            return true;
        }
        eventLog.unsent(attempt.owner.request.id(), attempt.number, staleness);
        if (staleness == Staleness.ID_SENT_BEFORE) { // it may run elsewhere, so a refusal would promise too much
            answer(attempt.owner, HttpResponseStatus.CONFLICT, 0);
        }
        abandonAttempt(attempt, staleness.outcome());
        return false;
    }

    /**
     * Checks again and again whether the client of an attempt is still connected, until the attempt is written whole: its host begins with
     * the last byte, which waits here until the host has read more.
     */
    void watchPresence(Attempt attempt) {
        loop.schedule(() -> {
            if (attempt.ended || attempt.isRequestWritten()) {
                return;
            }
            endIfClientDisconnected(attempt.owner);
            if (!attempt.ended) {
                watchPresence(attempt);
            }
        }, PRESENCE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void cancel(String id, int number) {
        OpenRequest entry = openRequests.get(id);
        if (entry == null || number < 0 || number >= entry.attempts.size() || entry.attempts.get(number).ended) {
            return;
        }
        Attempt attempt = entry.attempts.get(number);
        attempt.streamIfPossiblyLong();
        if (entry.streamingAttempt != attempt) {
            abandonAttempt(attempt, Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        eventLog.refused(id, EventLog.Refusal.DECIDED);
        answer(openRequests.get(id), HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        eventLog.failed(id);
        answer(openRequests.get(id), HttpResponseStatus.BAD_GATEWAY, 0);
    }

    /** Sends a final answer without a body to the client if it still waits for one. */
    private void answer(OpenRequest entry, HttpResponseStatus status, double retryAfterMs) {
        ClientConnection client = entry == null ? null : closeRequest(entry);
        if (client != null) {
            boolean refused = status == HttpResponseStatus.TOO_MANY_REQUESTS;
            metrics.requestAnswered(entry.request.requestClass(), refused ? ServiceMetrics.End.DEFERRED : ServiceMetrics.End.ERRORED);
            client.sendStatus(status, retryAfterMs);
        }
        if (entry != null) {
            removeIfFinished(entry);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> deliver((now, events) -> events.onTimer(now, token)), toMicros(delayMs), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String host) {
        hostClient.probe(host, (outcome, tookMs, report) ->
                deliver((now, events) -> events.onProbeResult(now, host, outcome, tookMs, report)));
    }

    /** Returns the view of this gateway that its extensions use; its methods may be called from any thread. */
    ServingGateway servingGateway() {
        return new ServingGateway() {
            @Override
            public boolean allowsProbes() {
                return config.settings().limits().probes();
            }

            @Override
            public void listHosts(Consumer<Set<String>> to) {
                loop.execute(() -> to.accept(hostsInUse()));
            }

            @Override
            public void probe(String host, ProbeCallback callback) {
                loop.execute(() -> hostClient.probe(host, (outcome, tookMs, report) -> callback.onResult(outcome, tookMs)));
            }

            @Override
            public void reportProbeResult(String host, Outcome outcome, double tookMs, double ageMs) {
                loop.execute(() -> deliver((now, events) -> events.onProbeResult(now - ageMs, host, outcome, tookMs, new double[0])));
            }
        };
    }

    /** Records that an attempt is about to be written to its host, and counts each rule that this violates. */
    void beforeSend(Attempt attempt) {
        attempt.writeStarted = true;
        double now = clock.now();
        departures.recordSend(now - attempt.owner.disconnectedAtMs);
        if (now - attempt.owner.disconnectedAtMs > ClientDepartureCounters.SEND_GRACE_MS) {
            ruleCounter.countBreach(Rule.SENT_FOR_LEFT_CLIENT);
        }
        if (sendRules.isDrained(attempt.host)) {
            ruleCounter.countBreach(Rule.SENT_TO_DRAINING);
        }
        if (now > attempt.owner.deadlineMs()) {
            ruleCounter.countBreach(Rule.SENT_AFTER_DEADLINE);
        }
        if (attempt.owner.isClosed()) {
            ruleCounter.countBreach(Rule.SENT_AFTER_ANSWER);
        }
    }

    SharedListFetch sharedListFetch() {
        return extensions.sharedListFetch();
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        peerSender.send(peer, data);
    }

    /** A node has no shared counter service, so every call fails as unreachable. */
    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        deliver((now, events) -> events.onCounterResult(now, counter, Outcome.CONNECT_FAILED, 0));
    }

    /** Does nothing, because discovery is always watched. */
    @Override
    public void watchHosts() { }

    // ---- shutdown

    /** Whether the other gateways may still use the quota ledgers of this process. May be called from any thread. */
    boolean holdsLedgersForPeers() {
        return hasHeardFromPeers() && !replaced && !endedBeforeServing;
    }

    /**
     * Starts the shutdown. New connections are accepted until {@link ShutdownSchedule#acceptUntilMs}, because clients still arrive,
     * and every request is answered; then the process may exit. A gateway that has received messages from other gateways keeps
     * serving open connections until {@link ShutdownSchedule#keepClientsUntilMs}: the platform starts the replacement no sooner if this
     * process ends earlier, so an earlier end would only reduce capacity. Otherwise, and if clients are being released already,
     * every answer closes its connection from now on. A process that has not served yet may exit at once.
     */
    void drain() {
        if (clientServer.listener() == null && !replaced) {
            draining = true;
            endedBeforeServing = true;
            drained.countDown();
            return;
        }
        drainAfter(hasHeardFromPeers() && !releasesClients() ? shutdownSchedule.keepClientsUntilMs() : 0);
    }

    /** @param stayMs for how long clients may send further requests on open connections */
    void drainAfter(double stayMs) {
        eventLog.state("draining, clients stay for " + (long) stayMs + " ms");
        draining = true;
        adminCommands.setReady(false);
        if (stayMs <= 0) {
            releaseClients();
        } else {
            loop.schedule(this::releaseClients, toMicros(stayMs), TimeUnit.MICROSECONDS);
        }
        loop.schedule(clientServer::stopAccepting, toMicros(shutdownSchedule.acceptUntilMs()), TimeUnit.MICROSECONDS);
        loop.schedule(() -> {
            clientServer.closeIdleConnections();
            awaitEmpty();
        }, toMicros(Math.max(shutdownSchedule.acceptUntilMs() + DRAIN_POLL_MS, stayMs)), TimeUnit.MICROSECONDS);
        loop.schedule(this::endAllRequests, toMicros(shutdownSchedule.abandonMs()), TimeUnit.MICROSECONDS);
        loop.schedule(() -> deliver((now, events) -> events.onShutdown(now)), toMicros(shutdownSchedule.peerFarewellMs()),
                TimeUnit.MICROSECONDS);
    }

    /** Makes every answer close its connection from now on; the trace calls this state "leaving". */
    void releaseClients() {
        eventLog.state("leaving");
        releasingClients = true;
        releasingSinceMs = Math.min(releasingSinceMs, clock.now());
    }

    /**
     * Ends every attempt, except one whose answer is being streamed to a client, and answers every open request. Later requests
     * are refused. The trace calls this state "over".
     */
    void endAllRequests() {
        eventLog.state("over");
        sendingStopped = true;
        for (OpenRequest entry : List.copyOf(openRequests.values())) {
            endUnstreamedAttempts(entry); // the engine refuses or fails the request, because its further attempts end at once
        }
        for (OpenRequest entry : List.copyOf(openRequests.values())) {
            if (!entry.isClosed()) {
                answerHeldRequest(entry, EventLog.Refusal.NEVER_SENT);
            }
        }
    }

    /** Ends the attempts of a request, except one whose answer is being streamed: however short, that has its time up to the deadline. */
    private void endUnstreamedAttempts(OpenRequest entry) {
        for (Attempt attempt : List.copyOf(entry.attempts)) {
            passOnPending(attempt);
            if (!attempt.ended && attempt != entry.streamingAttempt) {
                abandonAttempt(attempt, Outcome.TIMEOUT);
            }
        }
    }

    /** Sends the final answer to a request that gets no further attempt and of which no attempt in flight is written whole. */
    private void answerHeldRequest(OpenRequest entry, EventLog.Refusal reason) {
        if (entry.mayHaveRun()) {
            answer(entry, HttpResponseStatus.BAD_GATEWAY, 0);
        } else { // another gateway may run it safely
            eventLog.refused(entry.request.id(), reason);
            answer(entry, HttpResponseStatus.TOO_MANY_REQUESTS, config.settings().limits().maxRetryAfterMs());
        }
    }

    private void awaitEmpty() {
        if (openRequests.isEmpty() && clientServer.hasNoConnections()) {
            drained.countDown();
        } else {
            clientServer.closeIdleConnections(); // also closes connections that were new, or had received a request, at the last check
            loop.schedule(this::awaitEmpty, DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until every request is answered and every connection closed; returns false when the time passes first. */
    boolean awaitDrained(long ms) throws InterruptedException {
        return drained.await(ms, TimeUnit.MILLISECONDS);
    }

    /** Returns the port of the listener, for configurations that let the system choose it. */
    int port() {
        return ((InetSocketAddress) clientServer.listener().localAddress()).getPort();
    }

    /** Returns the number of open client connections. */
    int connectionCount() {
        return clientServer.connectionCount();
    }

    /** Returns the number of requests in the table of open requests. */
    int openRequestCount() {
        return openRequests.size();
    }

    /** Whether a client connection has output that could not be written to its socket. */
    boolean hasUnsentOutput() {
        return clientServer.hasUnsentOutput();
    }

    /** Whether a client connection has output that has not left this process. */
    boolean hasPendingOutput() {
        return clientServer.hasPendingOutput();
    }

    /** Returns the address of the console, for configurations that let the system choose the port. */
    InetSocketAddress consoleAddress() {
        return console.address();
    }

    /** Closes the console and stops the event loop without answering open requests. */
    void stop() {
        if (console != null) {
            console.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
