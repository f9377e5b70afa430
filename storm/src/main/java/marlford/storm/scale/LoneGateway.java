package marlford.storm.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Rules;
import marlford.gateway.EngineApi.Scope;
import marlford.gateway.EngineApi.Settings;
import marlford.gateway.EngineApi.Sharing;
import marlford.gateway.list.HostList;
import marlford.storm.scale.PartTimer.Part;

/**
 * The decision module and the list of hosts of one gateway. Hosts are names that answer after a
 * while; no peer speaks, and
 * customers have no quota, so that what is timed is the list, the choice of hosts and the regular beat.
 */
final class LoneGateway implements Actions {
    private static final double MS_PER_S = 1000;
    private static final double START_MS = 1_000_000;
    private static final double WARM_UP_S = 15; // the machine's compilers see each path by then
    private static final double LIST_REVIEW_MS = 1000;
    private static final double ANSWER_MS = 20;
    private static final double DEADLINE_MS = 4000;
    private static final double AWAY_MS = 2000; // of a host that is replaced
    private static final int RACK = 40; // hosts
    private static final int SERVICES = 820;
    private static final int WARM_UP_LISTS = 3;
    private static final long CUSTOMERS = 1000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_US = 1e3;
    private static final String AGENT = "agent";
    private static final String CLASS = "read";
    private static final String PLAN = "free";

    private final ListRun run;
    private final EventQueue events = new EventQueue(START_MS);
    private final PartTimer timer = new PartTimer(System::nanoTime);
    private final SplittableRandom random;
    private final DecisionEngine engine = new DecisionEngine(this);
    private final HostList list = new HostList(HostList.Limits.DEFAULT, START_MS);
    private final Map<String, Integer> attempts = new LinkedHashMap<>(); // of open requests
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private long version;
    private long asked;
    private long sent;
    private long refused;

    private LoneGateway(ListRun run) {
        this.run = run;
        random = new SplittableRandom(run.seed());
    }

    static Map<String, Double> play(ListRun run) {
        return new LoneGateway(run).play();
    }

    private Map<String, Double> play() {
        long heapBefore = Heap.usedBytes();
        engine.onStart(events.now(), settings());
        long heapStarted = Heap.usedBytes();
        tellWholeList();
        figures.put("heap_bytes_module", (double) (heapStarted - heapBefore));
        figures.put("heap_bytes_list", (double) (Heap.usedBytes() - heapStarted));
        for (int i = 1; i < WARM_UP_LISTS; i++) {
            tellWholeList();
        }
        figures.put("list_whole_ms", timeOf(this::tellWholeList) / NANOS_PER_MS);
        events.after(LIST_REVIEW_MS, this::review);
        askNext();
        changeNext();
        pass(WARM_UP_S);
        timer.clear();
        asked = sent = refused = 0;
        pass(run.seconds());
        addFigures();
        figures.put("rack_ms", timeOf(this::replaceRack) / NANOS_PER_MS);
        return figures;
    }

    private void pass(double seconds) {
        events.runTo(events.now() + seconds * MS_PER_S);
    }

    private void addFigures() {
        double decisionMs = timer.nanos(Part.DECISION) / NANOS_PER_MS / run.seconds();
        double beatMs = timer.nanos(Part.BEAT) / NANOS_PER_MS / run.seconds();
        double listMs = timer.nanos(Part.LIST) / NANOS_PER_MS / run.seconds();
        figures.put("decision_ms_per_second", decisionMs);
        figures.put("decision_us", timer.nanos(Part.DECISION) / NANOS_PER_US / Math.max(1, asked));
        figures.put("beat_ms_per_second", beatMs);
        figures.put("list_ms_per_second", listMs);
        figures.put("idle_ms_per_second", beatMs + listMs);
        figures.put("sent_share", (double) sent / Math.max(1, asked));
        figures.put("refused_share", (double) refused / Math.max(1, asked));
    }

    private static double timeOf(Runnable work) {
        long before = System.nanoTime();
        work.run();
        return System.nanoTime() - before;
    }

    private Settings settings() {
        RequestClass read = new RequestClass(CLASS, Effect.REPEATABLE, Scope.ALL, 0, 1000, DEADLINE_MS, 1, 0, false);
        Plan free = new Plan(PLAN, 0, 0, 0, 1, 0, 1, 0, 0, 0);
        return new Settings(
                run.seed(),
                0,
                run.gateways(),
                "z0",
                false,
                List.of(read),
                List.of(free),
                List.of(),
                new Limits(3, false, true, true, true, true, 500),
                new Rules(8, 500, 2, 1000, 0.2, 10_000, 0),
                new Sharing(false, 0, 0, false, 4, 40, 0.01, 0.01, 0.01));
    }

    // ---- the list

    private Host host(int number, HostState state, double startedMs) {
        String zone = "z" + number % FaultPlan.ZONES;
        return new Host("h" + number, zone, "service-" + number % SERVICES, 0, state, 1, startedMs);
    }

    private void tellWholeList() {
        List<Host> hosts = new ArrayList<>(run.hosts());
        for (int i = 0; i < run.hosts(); i++) {
            hosts.add(host(i, HostState.RUNNING, 0));
        }
        hear(true, hosts);
    }

    private void hear(boolean whole, List<Host> hosts) {
        timer.time(Part.LIST, () -> {
            HostList.Update told = list.receive(events.now(), AGENT, ++version, whole, hosts);
            if (told.accepted()) {
                engine.onHosts(events.now(), told.kind(), told.hosts());
            }
        });
    }

    private void review() {
        timer.time(Part.LIST, () -> {
            List<Host> changed = list.review(events.now());
            if (!changed.isEmpty()) {
                engine.onHosts(events.now(), ListKind.CHANGES, changed);
            }
        });
        events.after(LIST_REVIEW_MS, this::review);
    }

    private void changeNext() {
        if (run.changesPerSecond() <= 0) {
            return;
        }
        events.after(MS_PER_S / run.changesPerSecond(), () -> {
            int number = random.nextInt(run.hosts());
            hear(false, List.of(host(number, HostState.DRAINING, 0)));
            events.after(AWAY_MS, () -> hear(false, List.of(host(number, HostState.RUNNING, events.now()))));
            changeNext();
        });
    }

    private void replaceRack() {
        List<Host> rack = new ArrayList<>();
        for (int i = 0; i < Math.min(RACK, run.hosts()); i++) {
            rack.add(host(i, HostState.GONE, 0));
        }
        hear(false, rack);
    }

    // ---- requests

    private void askNext() {
        double waitMs = -Math.log(1 - random.nextDouble()) * MS_PER_S / run.triesPerSecond();
        events.after(waitMs, () -> {
            ask();
            askNext();
        });
    }

    private void ask() {
        String id = "r" + asked++;
        attempts.put(id, 0);
        double now = events.now();
        Request request =
                new Request(id, now + DEADLINE_MS, now, false, CLASS, random.nextLong(CUSTOMERS), PLAN, 1, 0, 1);
        timer.time(Part.DECISION, () -> engine.onRequest(now, request));
    }

    private void answer(String id, int attempt, String host) {
        attempts.remove(id);
        AttemptResult result = new AttemptResult(id, attempt, host, Outcome.OK, ANSWER_MS, true, 0, 0, new double[0]);
        timer.time(Part.DECISION, () -> engine.onAttemptEnded(events.now(), result));
    }

    // ---- what the decision module does

    @Override
    public void send(String id, String host, double timeoutMs) {
        sent++;
        int attempt = attempts.merge(id, 1, Integer::sum) - 1;
        events.after(ANSWER_MS, () -> answer(id, attempt, host));
    }

    @Override
    public void cancel(String id, int attempt) {}

    @Override
    public void refuse(String id, double retryAfterMs) {
        refused++;
        attempts.remove(id);
    }

    @Override
    public void fail(String id) {
        refused++;
        attempts.remove(id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        events.after(delayMs, () -> timer.time(Part.BEAT, () -> engine.onTimer(events.now(), token)));
    }

    @Override
    public void probe(String host) {
        events.after(ANSWER_MS, () -> engine.onProbeResult(events.now(), host, Outcome.OK, ANSWER_MS, new double[0]));
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {}

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {}

    @Override
    public void watchHosts() {}
}
