package marlford.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.Rules;
import marlford.gateway.EngineApi.Settings;

/**
 * A tier of gateways, each a whole decision module that decides by itself, before hosts that start cold, in virtual time. The
 * hosts serve in order on a few cores, cold ones at the part of their speed that the settings name, and turn away what their
 * queue has no room for. What all gateways together send to a host is held against what the settings allow it.
 */
final class ColdTier {
    private static final double STEP_MS = 2;
    private static final int QUEUE_PER_CORE = 16;
    private static final int BUSY = 5; // one of so many gateways gets three times the mean
    private static final double TIME_MS = 3000; // of a client
    private static final int WRONG_ONE_IN = 3; // gateways
    private static final Rules RULES = FakeGateway.settings(0, 1).rules();

    /** A request at a host. */
    private static final class Job {
        final int gateway;
        final int life; // of that gateway
        final String id;
        final int attempt;
        final double sentAt;
        double left; // milliseconds of work

        Job(int gateway, int life, String id, int attempt, double sentAt, double left) {
            this.gateway = gateway;
            this.life = life;
            this.id = id;
            this.attempt = attempt;
            this.sentAt = sentAt;
            this.left = left;
        }
    }

    private final class SimHost {
        final String name;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        final List<Job> running = new ArrayList<>();
        final ArrayDeque<Double> arrivals = new ArrayDeque<>(); // within the settings' window
        double startedAt; // 0: long ago
        boolean up = true;

        final int cores;

        SimHost(String name, int cores) {
            this.name = name;
            this.cores = cores;
        }

        Host info() {
            HostState state = up ? HostState.RUNNING : HostState.GONE;
            return new Host(name, name.substring(0, 1), "std", 0, state, 1, startedAt);
        }

        /** The part of its speed that it has at that time. */
        double warmth(double at) {
            double climbed = startedAt == 0 ? 1 : Math.max(0, at - startedAt) / RULES.warmWithinMs();
            return Math.min(1, RULES.coldFrom() + (1 - RULES.coldFrom()) * climbed);
        }

        boolean isCold() {
            return startedAt > 0 && warmth(now) < 1;
        }

        void take(Job job) {
            if (isCold()) {
                arrivals.add(now);
                toCold++;
                while (arrivals.peek() <= now - RULES.fallMs()) {
                    arrivals.poll();
                }
                worst = Math.max(worst, arrivals.size() / most(now - RULES.fallMs()));
            }
            if (running.size() + queue.size() >= cores * (1 + QUEUE_PER_CORE)) {
                end(job, Outcome.FULL, name);
            } else {
                queue.add(job);
            }
        }

        /** The most that it bears in the window that begins then, N + 2 root N + 2. */
        private double most(double from) {
            double allowed = RULES.fallMultiple() * warmth(from) * cores / workMs * RULES.fallMs();
            return allowed + 2 * Math.sqrt(allowed) + 2;
        }

        void work() {
            while (running.size() < cores && !queue.isEmpty()) {
                running.add(queue.poll());
            }
            double done = STEP_MS * warmth(now);
            for (Job job : List.copyOf(running)) {
                job.left -= done;
                if (job.left <= 0) {
                    running.remove(job);
                    end(job, Outcome.OK, name);
                }
            }
        }
    }

    private final List<FakeGateway> gateways = new ArrayList<>();
    private final double[] clockErrors; // by gateway, in milliseconds
    private final int[] lives;
    private final Map<String, SimHost> hosts = new HashMap<>();
    private final List<SimHost> inOrder = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Random random;
    private final int[] cores; // of hosts, in turn
    private final double workMs;
    private double now = 1e8;
    private int asked;
    private int served;
    private int toCold;
    private double worst;

    ColdTier(int gatewayCount, int hostCount, int[] cores, double workMs, long seed) {
        this(gatewayCount, hostCount, cores, workMs, seed, 0);
    }

    /** With one gateway in three whose wall clock was wrong by so much when it started. */
    ColdTier(int gatewayCount, int hostCount, int[] cores, double workMs, long seed, double clockErrorMs) {
        this.clockErrors = new double[gatewayCount];
        this.lives = new int[gatewayCount];
        this.cores = cores;
        this.workMs = workMs;
        this.random = new Random(seed);
        for (int i = 0; i < gatewayCount; i++) {
            clockErrors[i] = i % WRONG_ONE_IN == 0 ? clockErrorMs : 0;
            gateways.add(begin(i));
        }
        for (int i = 0; i < hostCount; i++) {
            add(cores[i % cores.length]);
        }
        tell(ListKind.FULL, inOrder);
    }

    private SimHost add(int cores) {
        SimHost host = new SimHost((inOrder.size() % 2 == 0 ? "a" : "b") + inOrder.size(), cores);
        hosts.put(host.name, host);
        inOrder.add(host);
        return host;
    }

    private FakeGateway begin(int number) {
        Settings settings = FakeGateway.settings(number, clockErrors.length, random.nextLong());
        return new FakeGateway(clockOf(number), settings);
    }

    /** What that gateway's clock shows: it was set from its wall clock once, and runs on. */
    private double clockOf(int number) {
        return now + clockErrors[number];
    }

    private void tell(ListKind kind, List<SimHost> changed) {
        List<Host> list = changed.stream().map(SimHost::info).toList();
        for (int i = 0; i < gateways.size(); i++) {
            gateways.get(i).engine.onHosts(clockOf(i), kind, list);
        }
    }

    /** All gateways whose wall clock is wrong are started anew, and told the whole list as it stands. */
    void restartWrongOnes() {
        List<Host> list = inOrder.stream().filter(h -> h.up).map(SimHost::info).toList();
        for (int i = 0; i < gateways.size(); i += WRONG_ONE_IN) {
            gateways.set(i, begin(i));
            lives[i]++;
            gateways.get(i).engine.onHosts(clockOf(i), ListKind.FULL, list);
        }
    }

    /** So many hosts start, and all gateways are told at once. */
    void join(int count) {
        tell(ListKind.CHANGES, start(count));
    }

    private List<SimHost> start(int count) {
        List<SimHost> young = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SimHost host = add(cores[i % cores.length]);
            host.startedAt = now;
            young.add(host);
        }
        return young;
    }

    /** The first so many hosts break down; what is there ends with a reset. */
    void lose(int count) {
        List<SimHost> lost = inOrder.subList(0, count);
        for (SimHost host : lost) {
            host.up = false;
            List<Job> jobs = new ArrayList<>(host.running);
            jobs.addAll(host.queue);
            host.running.clear();
            host.queue.clear();
            jobs.forEach(j -> end(j, Outcome.RESET, host.name));
        }
        tell(ListKind.CHANGES, lost);
    }

    /** They are back, cold. */
    void comeBack(int count) {
        List<SimHost> back = inOrder.subList(0, count);
        for (SimHost host : back) {
            host.up = true;
            host.startedAt = now;
            host.arrivals.clear();
        }
        tell(ListKind.CHANGES, back);
    }

    /** Clients ask for that part of what the first so many hosts could do when warm. */
    void pass(double ms, double load, int hostsMeant) {
        double coresMeant = inOrder.stream().limit(hostsMeant).mapToInt(h -> h.cores).sum();
        double perStep = load * coresMeant / workMs * STEP_MS;
        for (double end = now + ms; now < end;) {
            now += STEP_MS;
            for (int i = 0; i < gateways.size(); i++) {
                gateways.get(i).runTo(clockOf(i));
            }
            for (double due = perStep + random.nextDouble(); due >= 1; due--) {
                ask();
            }
            inOrder.stream().filter(h -> h.up).forEach(SimHost::work);
            for (int i = 0; i < gateways.size(); i++) {
                carry(i);
            }
        }
    }

    private void ask() {
        int among = random.nextBoolean() ? gateways.size() : Math.max(1, gateways.size() / BUSY);
        int number = random.nextInt(among);
        double clock = clockOf(number);
        gateways.get(number).engine.onRequest(clock,
                new Request("r" + asked++, clock + TIME_MS, clock, false, "read", 1, "free", 1, 0, 1));
    }

    private void carry(int gateway) {
        FakeGateway g = gateways.get(gateway);
        while (!g.sent.isEmpty()) {
            List<FakeGateway.Sent> sent = List.copyOf(g.sent);
            g.sent.clear();
            for (FakeGateway.Sent s : sent) {
                int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
                Job job = new Job(gateway, lives[gateway], s.id(), attempt, s.at(), -Math.log(1 - random.nextDouble()) * workMs);
                SimHost host = hosts.get(s.host());
                if (host.up) {
                    host.take(job);
                } else {
                    end(job, Outcome.CONNECT_FAILED, s.host());
                }
            }
        }
        g.told.clear();
        g.log.clear();
    }

    private void end(Job job, Outcome outcome, String host) {
        boolean ok = outcome == Outcome.OK;
        served += ok ? 1 : 0;
        if (job.life != lives[job.gateway]) {
            return; // whoever sent it is gone
        }
        double clock = clockOf(job.gateway);
        gateways.get(job.gateway).engine.onAttemptEnded(clock, new AttemptResult(job.id, job.attempt, host, outcome,
                clock - job.sentAt, ok, 0, 0, new double[0]));
    }

    /** The most that a cold host got in any window, over the most that it bears. */
    double worst() {
        return worst;
    }

    /** What cold hosts got. */
    int toCold() {
        return toCold;
    }

    /** What was served of all that was asked for. */
    double servedShare() {
        return (double) served / asked;
    }
}
