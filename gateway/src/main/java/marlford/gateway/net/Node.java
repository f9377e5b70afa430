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
import marlford.gateway.guard.AttemptGuard;
import marlford.gateway.guard.Rule;
import marlford.gateway.guard.RuleCounter;
import marlford.gateway.shutdown.ShutdownSchedule;
import marlford.gateway.start.ProcessStartTime;
import marlford.gateway.start.StartBudget;
import marlford.gateway.start.StartBudget.Step;
import marlford.gateway.upgrade.Predecessor;
import marlford.gateway.upgrade.Successor;

/**
 * One api gateway: the event loop on which everything runs, the clock, the timers, the decision module and the
 * table of open requests. It carries out what the module decides and tells it what came of it.
 */
public final class Node implements Actions {
    private static final long POLL_MS = 20; // how often a drain looks whether all is answered
    private static final long GAUGE_MS = 250; // how often the hosts are counted for the operators
    private static final long ACCOUNT_MS = 1000; // how often it logs what it did
    static final long TURN_MS = 2; // a timer's end: the event loop has been round since it was set
    private static final long LISTEN_AGAIN_MS = 50;
    private static final double EARNS_NOTHING_MS = 500; // after its time; an answer later than that counts as none
    private static final double MICROS_PER_MS = 1000;
    private static final double[] NO_REPORT = new double[0];

    /** Something that the module is to be told. */
    private interface Event {
        void tell(double now, Events module);
    }

    /** The way to the other gateways. */
    interface Mail {
        void send(int peer, byte[] data);
    }

    final NodeConfig config;
    final Clock clock;
    final ShutdownSchedule end;
    final Transport transport;
    final NioEventLoopGroup group;
    final EventLoop loop;
    final EventLoopLag lag;
    final ServiceMetrics figures;
    private final Events module;
    final EventLog events;
    final RuleCounter rules = new RuleCounter();
    private final ClientDepartureCounters departures = new ClientDepartureCounters();
    private final ArrayDeque<Event> untold = new ArrayDeque<>();
    private final Map<String, OpenRequest> open = new HashMap<>();
    final ClientServer clients;
    private final HostClient hosts;
    private final HostStateTracker states;
    private final Discovery discovery;
    private final PeerLink peers;
    private Mail mail;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean telling;
    private boolean serving; // before, what peers say is for the ears of a module that has not begun
    private final AdminCommandHandler operators;
    GatewayExtensions extras = GatewayExtensions.NONE; // set ahead of the start
    private Console console; // null where there is none
    private boolean draining;
    private boolean leaving; // that has come so far that clients no longer stay
    private boolean quiesced;
    private boolean replaced; // another process accepts clients in this one's place
    private double awayAt = Double.POSITIVE_INFINITY; // since when clients are sent away
    private boolean over; // the drain's time is up: nothing more is sent
    private volatile boolean unserved; // told to end before any client was served

    Node(NodeConfig config) {
        this(config, DecisionEngine::new);
    }

    /** With a module of the caller's making. */
    Node(NodeConfig config, Function<Actions, Events> maker) {
        this(config, maker, Transport.TCP, new NioEventLoopGroup(1));
    }

    Node(NodeConfig config, Function<Actions, Events> maker, Transport transport, NioEventLoopGroup group) {
        this(config, maker, transport, group, new Clock());
    }

    Node(NodeConfig config, Function<Actions, Events> maker, Transport transport, NioEventLoopGroup group,
            Clock clock) {
        this.config = config;
        this.clock = clock;
        this.events = transport == Transport.MEMORY ? new EventLog(clock, null) : new EventLog(clock); // no trace of a warm-up
        this.end = ShutdownSchedule.of(config.settings().classes().stream().mapToDouble(RequestClass::deadlineMs).max()
                .orElse(0));
        this.transport = transport;
        this.group = group;
        this.loop = group.next();
        this.lag = new EventLoopLag(clock, loop);
        this.module = maker.apply(this);
        this.figures = new ServiceMetrics(config.settings().classes().stream().map(RequestClass::name).toList());
        this.clients = new ClientServer(this);
        this.hosts = new HostClient(this);
        this.states = new HostStateTracker(clock);
        this.discovery = new Discovery(this);
        this.peers = new PeerLink(this);
        this.operators = new AdminCommandHandler(loop, this::quiesce, this::resume, () -> discovery.leaveOut(console.leftOut()));
        this.mail = peers;
    }

    /** Serves until SIGTERM; a bad configuration or an address that can't be had ends it with one line. */
    public static void main(String configFile) {
        main(configFile, GatewayExtensions.NONE);
    }

    /** The same, with what others add. */
    public static void main(String configFile, GatewayExtensions extras) {
        StderrLogger.install();
        ConfigurationReloader reload = ConfigurationReloader.onHangup(configFile); // first of all: SIGHUP ends a process that does not take it
        try {
            serve(reload, System.getenv("TMPDIR"), StartBudget.ofThisProcess(), true, extras);
        } catch (NodeConfig.BadConfig | IOException | InterruptedException e) {
            System.err.println("deckfall: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    static Node serve(ConfigurationReloader reload, String folder, StartBudget budget, boolean alone)
            throws NodeConfig.BadConfig, IOException, InterruptedException {
        return serve(reload, folder, budget, alone, GatewayExtensions.NONE);
    }

    /**
     * The whole of a start. Returns once clients are served.
     *
     * @param folder where the processes of one gateway meet; null for nowhere
     * @param alone whether this process is the node's, and ends with it
     * @param extras what others add
     */
    private static Node serve(ConfigurationReloader reload, String folder, StartBudget budget, boolean alone,
            GatewayExtensions extras) throws NodeConfig.BadConfig, IOException, InterruptedException {
        NodeConfig config = reload.first();
        RuntimeDirectory runtimeDirectory = RuntimeDirectory.in(folder, config.name(), config.listen());
        Predecessor serves = runtimeDirectory == null ? null : Predecessor.find(runtimeDirectory.successor(), budget.limitMs(Step.HELLO));
        if (runtimeDirectory != null && serves == null && !Transport.TCP.isFree(config.listen())) { // a process of before, or a stranger
            RuntimeDirectory before = RuntimeDirectory.before(folder, config.name());
            serves = Predecessor.find(before.successor(), budget.limitMs(Step.HELLO));
            runtimeDirectory = serves == null ? runtimeDirectory : new RuntimeDirectory(before.leftOut(), runtimeDirectory.successor());
        }
        Node early = new Node(config);
        early.extras = extras;
        early.openConsole(runtimeDirectory);
        if (serves == null) {
            early.loop.execute(early.peers::start);
        }
        long began = budget.ageMs();
        long patience = budget.limitMs(serves == null ? Step.WARM_UP_ALONE : Step.WARM_UP);
        int answers = WarmUp.run(config, WarmUp.ENOUGH, patience, early::isMissed);
        log("warm after " + answers + " answers, from " + began + " to " + budget.ageMs() + " ms of this process");
        NodeConfig newest = reload.newest(); // seconds have passed, and nobody need have sent a signal
        Node node = early;
        if (newest != config) {
            early.stop();
            node = new Node(newest);
            node.extras = extras;
            node.openConsole(runtimeDirectory);
            log("the configuration was replaced during the start");
        }
        reload.follow(newest, node::reload);
        Thread drain = new Thread(node::drainAndHalt); // in a rehearsal, too: its class is to be in the archive
        if (alone) {
            Runtime.getRuntime().addShutdownHook(drain);
        }
        if (!node.start(serves, budget)) {
            log("told to end during its start: it serves nobody");
            return node; // the drain ends the process, and with it whoever served before learns of it
        }
        log("serves after " + budget.ageMs() + " ms of this process");
        extras.serving().accept(node.inside());
        if (runtimeDirectory != null) {
            // On a thread of its own: the exit runs the hook that ends what is open, and returns to nobody.
            Runnable end = () -> new Thread(() -> System.exit(0)).start();
            new Successor(runtimeDirectory.successor(), node.place(end), Node::log).open();
        }
        return node;
    }

    void start() throws IOException {
        ProcessStartTime now = ProcessStartTime.ofNow();
        start(null, new StartBudget(now::ageMs));
    }

    /**
     * Returns once clients are served. Configuration, list and listener are of one moment: the listener opens when
     * discovery has spoken, or has had its time, and not with the list of some earlier life. It opens for nobody who was
     * told to end by then: its clients would be shut out again within moments.
     *
     * @return whether clients are served
     * @param serves the process that serves in this one's place until then; null for nobody
     * @param budget what the start may still wait for
     */
    boolean start(Predecessor serves, StartBudget budget) throws IOException {
        openConsole(null);
        CountDownLatch heard = new CountDownLatch(1);
        try {
            boolean taken = serves != null && serves.take(budget.limitMs(Step.TAKEN));
            if (!taken) {
                StartRetry.call(() -> {
                    transport.claim(config.listen());
                    return null;
                });
            }
            if (taken && serves.away()) {
                operators.quiesce();
            }
            loop.submit(() -> {
                if (!peers.started()) {
                    peers.start();
                }
                begin();
                if (!taken) { // else the gateway is in service, and an upgrade does not end that
                    discovery.awaitList(budget.unhealthyMs(!isMissed()));
                }
                discovery.start(heard::countDown);
            }).sync();
            // Without a word the list of before the start serves.
            heard.await(budget.limitMs(Step.WORD), TimeUnit.MILLISECONDS);
            if (!StartRetry.call(this::openListener)) {
                return false;
            }
            if (taken && !serves.serving(budget.limitMs(Step.LEFT))) {
                log("upgrade: the process that served did not say that it left");
            }
            operators.ready(!taken || !serves.away());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    /** Returns whether clients are served; they are not where the process was told to end by now. */
    private boolean openListener() throws InterruptedException {
        ChannelFuture opening = loop.submit(() -> draining ? null : clients.start()).sync().getNow();
        if (opening == null) {
            return false;
        }
        opening.sync();
        return true;
    }

    /**
     * Operators may call from now on; a second call does nothing.
     *
     * @param runtimeDirectory where what they say outlives the process; null for nowhere
     */
    void openConsole(RuntimeDirectory runtimeDirectory) throws IOException {
        if (console == null && config.console() != null) {
            console = new Console(operators, figures, extras.pages(), runtimeDirectory == null ? null : runtimeDirectory.leftOut(), Node::log);
            listenForOperators();
        }
    }

    private void listenForOperators() throws IOException {
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
        awayAt = Math.min(awayAt, clock.now());
        operators.ready(false);
    }

    private void resume() {
        quiesced = false;
        stay();
    }

    /** Clients stay, where nothing else speaks against it. */
    private void stay() {
        if (!draining && !sendsAway()) {
            awayAt = Double.POSITIVE_INFINITY;
            operators.ready(clients.listener() != null);
        }
    }

    // ---- an upgrade: docs/design/upgrade.md

    /**
     * What a process that is to take this one's place asks of it.
     *
     * @param end runs once that process has proved itself
     */
    Successor.Place place(Runnable end) {
        return new Successor.Place() {
            @Override
            public boolean release() throws InterruptedException {
                loop.submit(() -> {
                    peers.stop();
                    tell((now, m) -> m.onReplaced(now));
                }).sync();
                return loop.schedule(() -> quiesced, TURN_MS, TimeUnit.MILLISECONDS).sync().getNow();
            }

            @Override
            public void leave() throws InterruptedException {
                loop.submit(clients::pause).sync();
                loop.schedule(() -> {
                    replaced = true;
                    awayAt = Math.min(awayAt, clock.now());
                    operators.ready(false);
                    clients.leave();
                }, TURN_MS, TimeUnit.MILLISECONDS).sync();
            }

            @Override
            public void takeBack() throws InterruptedException {
                loop.submit(Node.this::takeBack).sync();
            }

            @Override
            public void end() {
                end.run();
            }
        };
    }

    private void takeBack() {
        if (draining) {
            return; // an end was asked for meanwhile
        }
        peers.start();
        tell((now, m) -> m.onRestored(now));
        if (replaced) {
            replaced = false;
            listenAgain();
            stay();
        }
    }

    private void listenAgain() {
        if (draining || replaced) {
            return;
        }
        clients.start().addListener(f -> {
            if (!f.isSuccess()) {
                log("upgrade: can't listen again, and tries on: " + f.cause().getMessage());
                loop.schedule(this::listenAgain, LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** What only the event loop can count, made known to the console's. */
    private void gauge() {
        loop.schedule(this::gauge, GAUGE_MS, TimeUnit.MILLISECONDS);
        figures.cluster(operators.listedCount(), avoided());
    }

    /** How many hosts are not trusted, or closed; on the event loop. */
    int avoided() {
        return module.avoidedHostCount(clock.now());
    }

    /** One line a second of what was done and how late the loop is: a fleet's logs can be added up by second. */
    private void account() {
        loop.schedule(this::account, ACCOUNT_MS, TimeUnit.MILLISECONDS);
        extras.usage().look();
        String done = module.takeActivityLine(clock.now());
        if (!done.isEmpty()) {
            log("did " + done + " clients=" + clients.count() + " late=" + Math.round(lag.ms()) + departures.take()
                    + events.take() + rules.text());
        }
    }

    /** Whether the fleet serves clients, which would come here, too, rather than wait for this gateway's full speed. */
    boolean isMissed() {
        return peers.hasHeard();
    }

    /** Begins to serve, on the event loop, with the hosts that the configuration names. */
    ChannelFuture listen() {
        begin();
        return clients.start();
    }

    private void begin() {
        serving = true;
        if (transport == Transport.TCP) { // no warm-up's
            loop.schedule(this::account, ACCOUNT_MS, TimeUnit.MILLISECONDS);
        }
        lag.start();
        tell((now, m) -> m.onStart(now, config.settings()));
        double since = peers.aloneSince();
        if (since < Double.POSITIVE_INFINITY) {
            tell((now, m) -> m.onNoOtherSpenderSince(now, since));
        }
        if (console != null) {
            discovery.leaveOut(console.leftOut());
            gauge();
        }
        if (config.known().hasNonNull(Discovery.LIST)) {
            discovery.known(config.known());
        }
    }

    /** Another way to the other gateways than datagrams. */
    void linkBy(Mail other) {
        mail = other;
    }

    /** Takes from a new configuration what may change while clients are served; the rest waits for a restart. */
    void reload(NodeConfig fresh) {
        loop.execute(() -> discovery.move(fresh.discovery()));
    }

    static void log(String line) {
        System.err.println(line);
    }

    // ---- telling the module

    /**
     * Tells the module in order, and never from inside itself: what its own actions bring about at once waits
     * until it has returned.
     */
    private void tell(Event event) {
        untold.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Event next = untold.poll(); next != null; next = untold.poll()) {
                try {
                    next.tell(clock.now(), module);
                } catch (RuntimeException e) { // the guard of its deadline still answers the request concerned
                    log("defect: the module threw " + e);
                    e.printStackTrace();
                }
            }
        } finally {
            telling = false;
        }
    }

    /** Whether clients are to go elsewhere: they are served, but no connection of theirs stays. */
    boolean sendsAway() {
        return leaving || quiesced || replaced;
    }

    /** What to say of this gateway's health: another process that serves in its place is this gateway, too. */
    boolean takesClients() {
        return !draining && !quiesced && discovery.ready();
    }

    /** Since when that is so; infinite where it is not. */
    double awayAt() {
        return awayAt;
    }

    /** Whether a request of this id is open: a second one would be answered with what was made for the first. */
    boolean knows(String id) {
        return open.containsKey(id);
    }

    /** Takes a request whole from its client; the entry owns the message from here on. */
    void taken(Request r, FullHttpRequest message, ClientConnection client) {
        OpenRequest entry = new OpenRequest(r, message, client);
        open.put(r.id(), entry);
        figures.taken();
        client.holds(entry);
        double left = r.deadlineMs() - clock.now();
        entry.guard = loop.schedule(() -> deadline(r.id()), micros(left), TimeUnit.MICROSECONDS);
        tell((now, m) -> m.onRequest(now, r));
    }

    private static long micros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    /** Whether a further request is refused unread; also one that comes when nothing is sent on any more. */
    boolean full() {
        return over || open.size() >= config.maxOpen();
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether nothing is sent on any more. */
    boolean isOver() {
        return over;
    }

    /** Rule 1: attempts end with the client's time, and what the module then leaves unanswered fails here. */
    void deadline(String id) {
        OpenRequest r = open.get(id);
        if (r == null) {
            return;
        }
        endAttempts(r);
        if (!r.closed()) {
            log("defect: no answer from the module in time, request failed");
            answer(r, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    /** Ends an attempt's connection, and only then tells of its end. */
    void giveUp(Attempt a, Outcome outcome) {
        a.abandon();
        attemptEnded(a, outcome, null);
    }

    private void endAttempts(OpenRequest r) {
        for (Attempt a : List.copyOf(r.attempts)) {
            timeUp(a);
        }
    }

    private void timeUp(Attempt a) {
        a.look();
        if (!a.ended && a != a.owner.stream) { // an answer that is on its way outlasts the client's time
            giveUp(a, Outcome.TIMEOUT);
        }
    }

    void clientLeft(OpenRequest r) {
        if (r.stream != null && !r.stream.ended) {
            giveUp(r.stream, Outcome.CANCELLED);
        }
        if (r.closed()) {
            return;
        }
        close(r);
        r.leftAt = clock.now();
        departures.left(r.attempts.stream().anyMatch(a -> a.left));
        tell((now, m) -> m.onClientLeft(now, r.request.id()));
        giveUpUnsent(r);
        forgetIfOver(r);
    }

    /** Whatever the settings say of cancelling: what has not left for a host whole must never do so. */
    private void giveUpUnsent(OpenRequest r) {
        for (Attempt a : List.copyOf(r.attempts)) {
            if (!a.ended && !a.leftWhole()) {
                giveUp(a, Outcome.CANCELLED);
            }
        }
    }

    /**
     * To be called before an attempt begins, which is not to happen for a client that has left: a late loop may not have read
     * its end yet. Where the end could not be seen, since too much unread stands in front of it, the request is answered here.
     */
    void endIfClientLeft(OpenRequest r) {
        ClientConnection client = r.client();
        if (client == null) {
            return;
        }
        switch (client.look()) {
            case LEFT -> clientLeft(r);
            case UNKNOWN -> {
                answerUnserved(r);
                giveUpUnsent(r);
            }
            case CONNECTED -> { }
        }
    }

    /**
     * The answer of an attempt is too long to be kept: from here on it goes to the client as it comes, and it is the
     * final one. Null where nobody waits for it.
     */
    HostConnection.Sink streams(Attempt a, HttpResponse head, Runnable more) {
        OpenRequest r = a.owner;
        ClientConnection client = a.ended || r.closed() ? null : r.client();
        HostConnection.Sink sink = client == null ? null : client.stream(head, more);
        if (sink == null) {
            return null;
        }
        r.close();
        r.stream = a;
        r.guard.cancel(false);
        a.streamedAt = clock.now();
        a.stopTimer();
        tell((now, m) -> m.onStreamStarted(now, r.request.id(), a.number));
        for (Attempt other : List.copyOf(r.attempts)) {
            if (other != a && !other.ended) {
                giveUp(other, Outcome.CANCELLED);
            }
        }
        return sink;
    }

    /** The end of an attempt, told once; the first whole 200 goes to the client unchanged. */
    void attemptEnded(Attempt a, Outcome outcome, FullHttpResponse response) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.outcome = outcome;
        a.stopTimer();
        OpenRequest r = a.owner;
        r.out--;
        events.attemptEnded(r.request.id(), a.number, outcome);
        if (response != null) {
            discovery.served(a.host);
        }
        if (r.stream == a) {
            figures.closed();
            figures.ended(r.request.requestClass(), outcome == Outcome.OK ? ServiceMetrics.End.ANSWERED : ServiceMetrics.End.ERRORED);
        }
        if (outcome == Outcome.OK) {
            ClientConnection client = close(r);
            if (client != null) {
                figures.ended(r.request.requestClass(), ServiceMetrics.End.ANSWERED);
                client.serve(response);
            }
        }
        boolean closed = r.closed();
        double took = (a.streamedAt > 0 ? a.streamedAt : clock.now()) - a.sentAt;
        double[] report = response == null ? NO_REPORT : hosts.report(response);
        tell((now, m) -> m.onAttemptEnded(now,
                new AttemptResult(r.request.id(), a.number, a.host, outcome, took, closed, 0, 0, report)));
        forgetIfOver(r);
    }

    private ClientConnection close(OpenRequest r) {
        if (!r.closed()) {
            figures.closed();
            if (r.client() != null && clock.now() > r.request.deadlineMs() + EARNS_NOTHING_MS) {
                rules.broken(Rule.ANSWERED_LATE);
            }
        }
        return r.close();
    }

    private void forgetIfOver(OpenRequest r) {
        if (r.closed() && r.out == 0 && open.remove(r.request.id(), r)) {
            r.guard.cancel(false);
            StreamedRequest.free(r.message);
        }
    }

    void hostsTold(ListKind kind, List<Discovery.Entry> entries) {
        hosts.listed(kind, entries);
        operators.listed(discovery.listed());
        List<Host> list = Discovery.hosts(entries);
        states.told(kind, list);
        tell((now, m) -> m.onHosts(now, kind, list));
        hosts.giveUpComingUp(entries);
    }

    void peerSaid(int peer, byte[] data) {
        if (serving) {
            tell((now, m) -> m.onPeerMessage(now, peer, data));
        }
    }

    // ---- what the module does

    @Override
    public void send(String id, String host, double timeoutMs) {
        OpenRequest r = open.get(id);
        if (r == null) {
            return;
        }
        endIfClientLeft(r);
        double now = clock.now();
        Attempt a = new Attempt(this, r, host, now);
        r.attempts.add(a);
        r.out++;
        RequestBodyStream rest = StreamedRequest.restOf(r.message);
        boolean gone = rest != null && !rest.untouched(); // a part of its body went to a host, and no other has it
        if (gone || over || r.closed() || now >= r.request.deadlineMs()
                || a.number >= config.settings().limits().maxAttempts() || breaksRule(a, now)) {
            attemptEnded(a, Outcome.MOOT, null);
            return;
        }
        if (a.number == 0) {
            extras.usage().admitted(r.request.customer(), r.request.units());
        }
        if (timeoutMs > 0) {
            a.limit(loop.schedule(() -> timeUp(a), micros(timeoutMs), TimeUnit.MICROSECONDS));
        }
        events.attempted(id, a.number, host);
        hosts.send(a);
    }

    /** Whether what the module asks for is against a rule; it then does not happen, and is counted and logged. */
    private boolean breaksRule(Attempt a, double now) {
        if (a.number == 0) {
            return false;
        }
        List<AttemptGuard.Earlier> before = new ArrayList<>();
        for (Attempt earlier : a.owner.attempts) {
            if (earlier != a) {
                before.add(new AttemptGuard.Earlier(earlier.outcome, earlier.sentAt, states.host(earlier.host)));
            }
        }
        RequestClass requestClass = requestClass(a.owner.request);
        Rule broken = AttemptGuard.brokenByRepeat(now, requestClass, config.settings().limits(), before, states.host(a.host));
        if (broken == null) {
            return false;
        }
        rules.broken(broken);
        log("defect: prevented " + broken + " of request " + a.owner.request.id());
        return true;
    }

    private RequestClass requestClass(Request request) {
        return config.settings().classes().stream().filter(c -> c.name().equals(request.requestClass())).findFirst().orElseThrow();
    }

    /**
     * Whether an attempt whose connection has come up may still be written: a late loop, or a connection that came up late, may
     * have passed its client's time or its host's drain. To be called right before.
     */
    boolean mayLeave(Attempt a) {
        double now = clock.now();
        double grace = config.settings().rules().drainGraceMs();
        boolean drained = grace > 0 && AttemptGuard.isDrained(now, states.state(a.host), states.sinceMs(a.host), grace);
        return !drained && now < a.owner.request.deadlineMs() && (!a.owner.closed() || a.owner.stream == a);
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest r = open.get(id);
        if (r == null || attempt < 0 || attempt >= r.attempts.size() || r.attempts.get(attempt).ended) {
            return;
        }
        Attempt a = r.attempts.get(attempt);
        giveUp(a, Outcome.CANCELLED);
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        events.refused(id, EventLog.Refusal.DECIDED);
        answer(open.get(id), HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        events.failed(id);
        answer(open.get(id), HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(OpenRequest r, HttpResponseStatus status, double retryAfterMs) {
        ClientConnection client = r == null ? null : close(r);
        if (client != null) {
            boolean refused = status == HttpResponseStatus.TOO_MANY_REQUESTS;
            figures.ended(r.request.requestClass(), refused ? ServiceMetrics.End.DEFERRED : ServiceMetrics.End.ERRORED);
            client.answer(status, retryAfterMs);
        }
        if (r != null) {
            forgetIfOver(r);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> tell((now, m) -> m.onTimer(now, token)), micros(delayMs), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String host) {
        hosts.probe(host, (outcome, took, report) -> tell((now, m) -> m.onProbeResult(now, host, outcome, took, report)));
    }

    /** This gateway as others that add to it see it. */
    ServingGateway inside() {
        return new ServingGateway() {
            @Override
            public boolean mayProbe() {
                return config.settings().limits().probes();
            }

            @Override
            public void listed(Consumer<Set<String>> to) {
                loop.execute(() -> to.accept(discovery.listed()));
            }

            @Override
            public void probe(String host, ProbeEnd end) {
                loop.execute(() -> hosts.probe(host, (outcome, took, report) -> end.ended(outcome, took)));
            }

            @Override
            public void evidence(String host, Outcome outcome, double tookMs, double ageMs) {
                loop.execute(() -> tell((now, m) -> m.onProbeResult(now - ageMs, host, outcome, tookMs, new double[0])));
            }
        };
    }

    /** An attempt is about to be written to its host. */
    void leaves(Attempt a) {
        a.left = true;
        double now = clock.now();
        departures.sent(now - a.owner.leftAt);
        if (now - a.owner.leftAt > ClientDepartureCounters.SOON_MS) {
            rules.broken(Rule.SENT_FOR_LEFT_CLIENT);
        }
        double grace = config.settings().rules().drainGraceMs();
        if (grace > 0 && AttemptGuard.isDrained(now, states.state(a.host), states.sinceMs(a.host), grace)) {
            rules.broken(Rule.SENT_TO_DRAINING);
        }
        if (now > a.owner.request.deadlineMs()) {
            rules.broken(Rule.SENT_AFTER_DEADLINE);
        }
        if (a.owner.closed()) {
            rules.broken(Rule.SENT_AFTER_ANSWER);
        }
    }

    SharedListFetch lists() {
        return extras.lists();
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        mail.send(peer, data);
    }

    /** There is no counter on these sockets, so a call can't get through. */
    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        tell((now, m) -> m.onCounterResult(now, counter, Outcome.CONNECT_FAILED, 0));
    }

    /** Discovery is always watched. */
    @Override
    public void watchHosts() { }

    // ---- the end

    /**
     * Answers all that was taken and ends. A gateway among others stays until its time is up, though its last client
     * has gone: it keeps the books of customers whom the others serve, and whoever starts it anew waits that long.
     */
    private void drainAndHalt() {
        long exit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) end.exitsMs());
        loop.execute(this::drain);
        try {
            awaitDrained((long) end.exitsMs());
            if (isMissed() && !replaced && !unserved) {
                log("drained: keeps books for the other gateways until its time is up");
                TimeUnit.NANOSECONDS.sleep(exit - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    /**
     * Accepts on for a while, since clients still come; answers all; then lets the process end. A gateway among others
     * serves on over the connections that clients have, for as long as what they ask can still be answered: its place
     * is empty only from then on, and nobody starts it anew any sooner. Who has not served yet ends at once.
     */
    void drain() {
        if (clients.listener() == null && !replaced) {
            draining = true;
            unserved = true;
            drained.countDown();
            return;
        }
        drainAfter(isMissed() && !sendsAway() ? end.staysMs() : 0);
    }

    /** @param stay for how long clients may go on asking over what they have open, in milliseconds */
    void drainAfter(double stay) {
        events.state("draining, clients stay for " + (long) stay + " ms");
        draining = true;
        operators.ready(false);
        if (stay <= 0) {
            leave();
        } else {
            loop.schedule(this::leave, micros(stay), TimeUnit.MICROSECONDS);
        }
        loop.schedule(clients::stopAccepting, micros(end.acceptsMs()), TimeUnit.MICROSECONDS);
        loop.schedule(() -> {
            clients.giveUpIdle();
            awaitEmpty();
        }, micros(Math.max(end.acceptsMs() + POLL_MS, stay)), TimeUnit.MICROSECONDS);
        loop.schedule(this::endAll, micros(end.endsMs()), TimeUnit.MICROSECONDS);
        loop.schedule(() -> tell((now, m) -> m.onShutdown(now)), micros(end.saysMs()), TimeUnit.MICROSECONDS);
    }

    /** From here on each answer is its connection's last. */
    void leave() {
        events.state("leaving");
        leaving = true;
        awayAt = Math.min(awayAt, clock.now());
    }

    /** Gives up every attempt; what follows from that is answered as ever. */
    void endAll() {
        events.state("over");
        over = true;
        for (OpenRequest r : List.copyOf(open.values())) {
            endAttempts(r); // the module refuses or fails it, as its further attempts are void now
        }
        for (OpenRequest r : List.copyOf(open.values())) {
            if (!r.closed()) {
                answerUnserved(r);
            }
        }
    }

    /** The final answer to a request that is held and gets no further attempt. */
    private void answerUnserved(OpenRequest r) {
        if (r.attempts.isEmpty()) { // never sent: another gateway may have it
            events.refused(r.request.id(), EventLog.Refusal.NEVER_SENT);
            answer(r, HttpResponseStatus.TOO_MANY_REQUESTS, config.settings().limits().maxRetryAfterMs());
        } else { // held for another attempt after one that may have run
            answer(r, HttpResponseStatus.BAD_GATEWAY, 0);
        }
    }

    private void awaitEmpty() {
        if (open.isEmpty() && clients.idle()) {
            drained.countDown();
        } else {
            clients.giveUpIdle(); // also those that had just connected, or were asked something meanwhile
            loop.schedule(this::awaitEmpty, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean awaitDrained(long ms) throws InterruptedException {
        return drained.await(ms, TimeUnit.MILLISECONDS);
    }

    /** The port of the listener, where the configuration left it to the system. */
    int port() {
        return ((InetSocketAddress) clients.listener().localAddress()).getPort();
    }

    /** How many connections of clients are open; on the event loop. */
    int connections() {
        return clients.count();
    }

    /** How many requests wait for their answer; on the event loop. */
    int openRequests() {
        return open.size();
    }

    /** Whether a client's connection has output that could not leave; on the event loop. */
    boolean hasUnsent() {
        return clients.hasUnsent();
    }

    /** Where operators call, where the configuration left the port to the system. */
    InetSocketAddress console() {
        return console.address();
    }

    /** Ends everything at once and answers nothing. */
    void stop() {
        if (console != null) {
            console.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
