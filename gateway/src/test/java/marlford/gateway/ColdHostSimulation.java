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
 * Simulates, in virtual time, a tier of gateways, each a whole decision engine, in front of hosts that start cold. The hosts
 * serve requests in order on a few cores, cold hosts at the share of their speed that the settings name, and reject requests
 * that their queue has no room for. The load that all gateways together send to a cold host is compared with the settings' limit.
 */
final class ColdHostSimulation {
    private static final double STEP_MS = 2;
    private static final int QUEUE_PER_CORE = 16;
    private static final int BUSY_ONE_IN = 5; // gateways; a busy one receives three times the mean load
    private static final double CLIENT_DEADLINE_MS = 3000;
    private static final int WRONG_CLOCK_ONE_IN = 3; // gateways
    private static final Rules RULES = FakeGateway.settings(0, 1).rules();

    /** An attempt at a host. */
    private static final class Job {
        final int gateway;
        final int incarnation; // of that gateway
        final String id;
        final int attempt;
        final double sentAt;
        double workLeftMs;

        Job(int gateway, int incarnation, String id, int attempt, double sentAt, double workLeftMs) {
            this.gateway = gateway;
            this.incarnation = incarnation;
            this.id = id;
            this.attempt = attempt;
            this.sentAt = sentAt;
            this.workLeftMs = workLeftMs;
        }
    }

    /** A host with a few cores and a queue of limited length. */
    private final class SimHost {
        final String name;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        final List<Job> running = new ArrayList<>();
        final ArrayDeque<Double> arrivals = new ArrayDeque<>(); // while cold, within the settings' window
        double startedAt; // 0 for a host that has been warm for long
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

        /** The share of its full speed that the host has at that time. */
        double speedShare(double at) {
            double warmUpShare = startedAt == 0 ? 1 : Math.max(0, at - startedAt) / RULES.warmWithinMs();
            return Math.min(1, RULES.coldShare() + (1 - RULES.coldShare()) * warmUpShare);
        }

        boolean isCold() {
            return startedAt > 0 && speedShare(now) < 1;
        }

        void receive(Job job) {
            if (isCold()) {
                arrivals.add(now);
                coldHostAttempts++;
                while (arrivals.peek() <= now - RULES.overloadWindowMs()) {
                    arrivals.poll();
                }
                worstLoad = Math.max(worstLoad, arrivals.size() / maxRequests(now - RULES.overloadWindowMs()));
            }
            if (running.size() + queue.size() >= cores * (1 + QUEUE_PER_CORE)) {
                end(job, Outcome.FULL, name);
            } else {
                queue.add(job);
            }
        }

        /** The most requests that the host can bear in the window that begins then: N + 2 root N + 2. */
        private double maxRequests(double from) {
            double allowed = RULES.overloadFactor() * speedShare(from) * cores / workMs * RULES.overloadWindowMs();
            return allowed + 2 * Math.sqrt(allowed) + 2;
        }

        void work() {
            while (running.size() < cores && !queue.isEmpty()) {
                running.add(queue.poll());
            }
            double doneMs = STEP_MS * speedShare(now);
            for (Job job : List.copyOf(running)) {
                job.workLeftMs -= doneMs;
                if (job.workLeftMs <= 0) {
                    running.remove(job);
                    end(job, Outcome.OK, name);
                }
            }
        }
    }

    private final List<FakeGateway> gateways = new ArrayList<>();
    private final double[] clockErrors; // by gateway, in milliseconds
    private final int[] incarnations;
    private final Map<String, SimHost> hosts = new HashMap<>();
    private final List<SimHost> hostsInOrder = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Random random;
    private final int[] cores; // of hosts, in turn
    private final double workMs;
    private double now = 1e8;
    private int requestCount;
    private int served;
    private int coldHostAttempts;
    private double worstLoad;

    ColdHostSimulation(int gatewayCount, int hostCount, int[] cores, double workMs, long seed) {
        this(gatewayCount, hostCount, cores, workMs, seed, 0);
    }

    /** One gateway in three has a wall clock that was wrong by {@code clockErrorMs} when it started. */
    ColdHostSimulation(int gatewayCount, int hostCount, int[] cores, double workMs, long seed, double clockErrorMs) {
        this.clockErrors = new double[gatewayCount];
        this.incarnations = new int[gatewayCount];
        this.cores = cores;
        this.workMs = workMs;
        this.random = new Random(seed);
        for (int i = 0; i < gatewayCount; i++) {
            clockErrors[i] = i % WRONG_CLOCK_ONE_IN == 0 ? clockErrorMs : 0;
            gateways.add(startGateway(i));
        }
        for (int i = 0; i < hostCount; i++) {
            add(cores[i % cores.length]);
        }
        sendList(ListKind.FULL, hostsInOrder);
    }

    private SimHost add(int cores) {
        SimHost host = new SimHost((hostsInOrder.size() % 2 == 0 ? "a" : "b") + hostsInOrder.size(), cores);
        hosts.put(host.name, host);
        hostsInOrder.add(host);
        return host;
    }

    private FakeGateway startGateway(int number) {
        Settings settings = FakeGateway.settings(number, clockErrors.length, random.nextLong());
        return new FakeGateway(clockOf(number), settings);
    }

    /** The time on that gateway's clock, which was set from its wall clock once and then runs steadily. */
    private double clockOf(int number) {
        return now + clockErrors[number];
    }

    private void sendList(ListKind kind, List<SimHost> changed) {
        List<Host> list = changed.stream().map(SimHost::info).toList();
        for (int i = 0; i < gateways.size(); i++) {
            gateways.get(i).engine.onHosts(clockOf(i), kind, list);
        }
    }

    /** Restarts all gateways with a wrong wall clock; each receives the present full list. */
    void restartGatewaysWithWrongClocks() {
        List<Host> list = hostsInOrder.stream().filter(h -> h.up).map(SimHost::info).toList();
        for (int i = 0; i < gateways.size(); i += WRONG_CLOCK_ONE_IN) {
            gateways.set(i, startGateway(i));
            incarnations[i]++;
            gateways.get(i).engine.onHosts(clockOf(i), ListKind.FULL, list);
        }
    }

    /** Starts this many hosts, and reports them to all gateways at once. */
    void addHosts(int count) {
        sendList(ListKind.CHANGES, startHosts(count));
    }

    private List<SimHost> startHosts(int count) {
        List<SimHost> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SimHost host = add(cores[i % cores.length]);
            host.startedAt = now;
            started.add(host);
        }
        return started;
    }

    /** The first hosts, this many, fail; the requests that they have end with a reset. */
    void failHosts(int count) {
        List<SimHost> failed = hostsInOrder.subList(0, count);
        for (SimHost host : failed) {
            host.up = false;
            List<Job> jobs = new ArrayList<>(host.running);
            jobs.addAll(host.queue);
            host.running.clear();
            host.queue.clear();
            jobs.forEach(j -> end(j, Outcome.RESET, host.name));
        }
        sendList(ListKind.CHANGES, failed);
    }

    /** The first hosts, this many, are back, and cold. */
    void restartHosts(int count) {
        List<SimHost> restarted = hostsInOrder.subList(0, count);
        for (SimHost host : restarted) {
            host.up = true;
            host.startedAt = now;
            host.arrivals.clear();
        }
        sendList(ListKind.CHANGES, restarted);
    }

    /** Advances the time. Clients send {@code load} times what the first {@code hostCount} hosts could serve when warm. */
    void run(double ms, double load, int hostCount) {
        double totalCores = hostsInOrder.stream().limit(hostCount).mapToInt(h -> h.cores).sum();
        double perStep = load * totalCores / workMs * STEP_MS;
        for (double end = now + ms; now < end;) {
            now += STEP_MS;
            for (int i = 0; i < gateways.size(); i++) {
                gateways.get(i).advanceTo(clockOf(i));
            }
            for (double due = perStep + random.nextDouble(); due >= 1; due--) {
                sendRequest();
            }
            hostsInOrder.stream().filter(h -> h.up).forEach(SimHost::work);
            for (int i = 0; i < gateways.size(); i++) {
                deliver(i);
            }
        }
    }

    private void sendRequest() {
        int among = random.nextBoolean() ? gateways.size() : Math.max(1, gateways.size() / BUSY_ONE_IN);
        int number = random.nextInt(among);
        double clock = clockOf(number);
        gateways.get(number).engine.onRequest(clock,
                new Request("r" + requestCount++, clock + CLIENT_DEADLINE_MS, clock, false, "read", 1, "free", 1, 0, 1));
    }

    /** Delivers the attempts that a gateway has sent to their hosts. */
    private void deliver(int gateway) {
        FakeGateway g = gateways.get(gateway);
        while (!g.sent.isEmpty()) {
            List<FakeGateway.SentAttempt> sent = List.copyOf(g.sent);
            g.sent.clear();
            for (FakeGateway.SentAttempt s : sent) {
                int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
                Job job = new Job(gateway, incarnations[gateway], s.id(), attempt, s.at(), -Math.log(1 - random.nextDouble()) * workMs);
                SimHost host = hosts.get(s.host());
                if (host.up) {
                    host.receive(job);
                } else {
                    end(job, Outcome.CONNECT_FAILED, s.host());
                }
            }
        }
        g.peerMessages.clear();
        g.actions.clear();
    }

    private void end(Job job, Outcome outcome, String host) {
        boolean ok = outcome == Outcome.OK;
        served += ok ? 1 : 0;
        if (job.incarnation != incarnations[job.gateway]) {
            return; // the gateway that sent it was restarted
        }
        double clock = clockOf(job.gateway);
        gateways.get(job.gateway).engine.onAttemptEnded(clock, new AttemptResult(job.id, job.attempt, host, outcome,
                clock - job.sentAt, ok, 0, 0, new double[0]));
    }

    /** The most requests that a cold host received in any window, relative to the most that it can bear. */
    double worstLoad() {
        return worstLoad;
    }

    /** The number of requests that cold hosts received. */
    int coldHostAttempts() {
        return coldHostAttempts;
    }

    /** The share of all requests that was served. */
    double servedShare() {
        return (double) served / requestCount;
    }
}
