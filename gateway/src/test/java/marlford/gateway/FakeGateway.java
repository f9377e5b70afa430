package marlford.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import marlford.gateway.EngineApi.*;

/** Test double of the network around one {@link DecisionEngine}: it runs the clock and timers, feeds events and records all actions. */
final class FakeGateway implements Actions {
    static final RequestClass READ = new RequestClass("read", Effect.REPEATABLE, Scope.ALL, 0, 1000, 3000, 1, 0, false);
    static final RequestClass PAY = new RequestClass("pay", Effect.ONCE, Scope.ALL, 0, 1000, 3000, 3, 0, false);
    static final RequestClass ORDER =
            new RequestClass("order", Effect.KEYED, Scope.ZONE, 1000, 1000, 3000, 3, 0, false);
    static final Plan SMALL = new Plan("small", 4, 12, 0, 1, 0, 1, 0, 0, 0);
    static final Plan CAPPED = new Plan("capped", 100, 100, 0, 1, 0, 1, 20, 40, 4);
    static final Plan OPEN = new Plan("open", 0, 0, 2, 1, 0, 1, 0, 0, 0);
    static final Plan FREE = new Plan("free", 1e6, 1e6, 0, 1, 0, 1, 0, 0, 0);

    record SentAttempt(double at, String id, String host) { }

    record PeerMessage(int peer, byte[] data) { }

    private record Timer(double at, int order, String token) { }

    final List<SentAttempt> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    final List<PeerMessage> peerMessages = new ArrayList<>(); // messages sent to peers
    final List<String> actions = new ArrayList<>(); // all actions, with their times
    final DecisionEngine engine = new DecisionEngine(this);
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingInt(Timer::order));
    private int order;
    double now;

    FakeGateway(double now, Settings settings) {
        this.now = now;
        engine.onStart(now, settings);
    }

    static Settings settings(int me, int gateways) {
        return settings(me, gateways, 7);
    }

    static Settings settings(int me, int gateways, long seed) {
        return new Settings(seed, me, gateways, "a", false, List.of(READ, PAY, ORDER),
                List.of(SMALL, CAPPED, OPEN, FREE), List.of(),
                new Limits(4, false, true, true, true, true, 500),
                new Rules(8, 500, 2, 1000, 0.2, 10_000, 0),
                new Sharing(false, 0, 0, false, 4, 60, 0.01, 0.01, 0.01));
    }

    /** A tier of this one gateway. */
    static FakeGateway alone() {
        return new FakeGateway(1000, settings(0, 1));
    }

    static Host host(String id, String zone) {
        return new Host(id, zone, "std", 0, HostState.RUNNING, 1, 0);
    }

    /** Reports a full list of running, warm hosts; the first letter of an id is its zone. */
    FakeGateway withHosts(String... ids) {
        List<Host> hosts = new ArrayList<>();
        for (String id : ids) {
            hosts.add(host(id, id.substring(0, 1)));
        }
        engine.onHosts(now, ListKind.FULL, hosts);
        return this;
    }

    /** A client's request that has 3 s until its deadline. */
    void request(String id, String cls, String plan, long customer, double units, int spread) {
        engine.onRequest(now, new Request(id, now + 3000, now, false, cls, customer, plan, units, 0, spread));
    }

    void request(String id, String cls) {
        request(id, cls, "free", 1, 1, 1);
    }

    void endAttempt(String id, int attempt, Outcome outcome, double latency) {
        engine.onAttemptEnded(now, new AttemptResult(id, attempt, hostOf(id), outcome, latency,
                outcome == Outcome.OK, 0, 0, new double[0]));
    }

    /** The host of a request's last attempt. */
    String hostOf(String id) {
        return sent.stream().filter(s -> s.id().equals(id)).reduce((a, b) -> b).orElseThrow().host();
    }

    /** The number of a request's attempts. */
    long attempts(String id) {
        return sent.stream().filter(s -> s.id().equals(id)).count();
    }

    /** The number of a request's refusals and failures. */
    long finalAnswers(String id) {
        return refused.stream().filter(id::equals).count() + failed.stream().filter(id::equals).count();
    }

    /** Advances the clock and fires the timers that expire on the way. */
    void advanceTo(double end) {
        while (!timers.isEmpty() && timers.peek().at() <= end) {
            Timer t = timers.poll();
            now = Math.max(now, t.at());
            engine.onTimer(now, t.token());
        }
        now = end;
    }

    void advance(double ms) {
        advanceTo(now + ms);
    }

    @Override
    public void send(String id, String host, double timeoutMs) {
        sent.add(new SentAttempt(now, id, host));
        actions.add(now + " send " + id + " " + host);
    }

    @Override
    public void cancel(String id, int attempt) {
        cancelled.add(id);
        actions.add(now + " cancel " + id + " " + attempt);
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        refused.add(id);
        actions.add(now + " refuse " + id + " " + retryAfterMs);
    }

    @Override
    public void fail(String id) {
        failed.add(id);
        actions.add(now + " fail " + id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        timers.add(new Timer(now + delayMs, order++, token));
    }

    @Override
    public void probe(String host) {
        probed.add(host);
        actions.add(now + " probe " + host);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        peerMessages.add(new PeerMessage(peer, data));
        actions.add(now + " sendToPeer " + peer + " " + data.length);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        actions.add(now + " addToCounter " + counter);
    }

    @Override
    public void watchHosts() {
        actions.add(now + " watchHosts");
    }
}
