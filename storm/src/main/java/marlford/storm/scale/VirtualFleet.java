package marlford.storm.scale;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import marlford.gateway.quota.QuotaCoordinator;

/** A fleet of hollow gateways in virtual time. All chance comes from the run's seed, so a run can be had again. */
public final class VirtualFleet {
    private static final double MS_PER_S = 1000;
    private static final double S_PER_MINUTE = 60;
    private static final double START_MS = 1_000_000; // lives are counted from there
    private static final double QUIET_MS = 2000; // gateways meet before there is load
    private static final int HELD_ONE_IN = 10; // requests let in that wait for a host
    private static final double HELD_MS = 400;
    private static final double SEND_MS = 5;

    private final VirtualRun run;
    private final EventQueue events = new EventQueue(START_MS);
    private final SplittableRandom seeds;
    private final SplittableRandom network;
    private final SplittableRandom load;
    private final SplittableRandom hosts;
    private final SplittableRandom failures;
    private final List<Customer> customers;
    private final DemandTable demand;
    private final HollowGateway[] gateways; // null while one is down
    private final double[] intake;
    private final double[] intakeAt;
    private final BitSet leaving = new BitSet();
    private final PartTimer timer;
    private FleetCounts counts = new FleetCounts();
    private boolean regionCut;

    private VirtualFleet(VirtualRun run, PartTimer timer) {
        this.run = run;
        this.timer = timer;
        SplittableRandom random = new SplittableRandom(run.seed());
        seeds = random.split();
        network = random.split();
        load = random.split();
        hosts = random.split();
        failures = random.split();
        customers = run.workload().customers(run.gateways(), random.split());
        demand = new DemandTable(customers);
        gateways = new HollowGateway[run.gateways()];
        intake = new double[run.gateways()];
        intakeAt = new double[run.gateways()];
    }

    /** Plays a run and says what it counted. */
    public static FleetFigures play(VirtualRun run) {
        return play(run, PartTimer.off());
    }

    /** The same with the machine's clock around each part; the figures are the same. */
    static FleetFigures play(VirtualRun run, PartTimer timer) {
        return new VirtualFleet(run, timer).play();
    }

    /**
     * A run's figures, and the heap that one gateway's quota code held at its end, which may differ
     * between two runs.
     */
    record Measured(FleetFigures figures, double heapBytesPerGateway) {}

    static Measured playAndWeigh(VirtualRun run) {
        VirtualFleet fleet = new VirtualFleet(run, PartTimer.off());
        FleetFigures figures = fleet.play();
        return new Measured(figures, fleet.weigh());
    }

    /** What becomes free when all gateways go, for each of them. */
    private double weigh() {
        events.clear();
        long with = Heap.usedBytes();
        Arrays.fill(gateways, null);
        return (with - Heap.usedBytes()) / (double) gateways.length;
    }

    private FleetFigures play() {
        for (int gateway = 0; gateway < gateways.length; gateway++) {
            start(gateway);
        }
        pass(QUIET_MS);
        askNext();
        pass(run.warmUpSeconds() * MS_PER_S);
        takeCounters();
        timer.clear();
        counts = new FleetCounts();
        planFaults();
        pass(run.seconds() * MS_PER_S);
        takeCounters();
        return counts.figures(run.seconds(), gateways, customers);
    }

    private void pass(double ms) {
        events.runTo(events.now() + ms);
    }

    private void takeCounters() {
        for (HollowGateway gateway : gateways) {
            if (gateway != null) {
                counts.add(gateway.takeCounters());
            }
        }
    }

    // ---- gateways

    private void start(int number) {
        HollowGateway gateway = new HollowGateway(
                events.now(),
                number,
                gateways.length,
                run.link().intakePerSecond(),
                run.workload().plans(),
                seeds.nextLong(),
                timer,
                new Surroundings());
        gateways[number] = gateway;
        intake[number] = run.link().intakePerSecond();
        intakeAt[number] = events.now();
        events.after(seeds.nextDouble() * HollowGateway.BEAT_MS, () -> beat(number, gateway));
    }

    private void beat(int number, HollowGateway gateway) {
        if (gateways[number] != gateway) {
            return; // it has ended
        }
        gateway.beat(events.now());
        events.after(HollowGateway.BEAT_MS, () -> beat(number, gateway));
    }

    private void end(int number) {
        gateways[number] = null;
        leaving.clear(number);
    }

    // ---- faults

    private void planFaults() {
        double third = run.seconds() * MS_PER_S / 3;
        switch (run.faults()) {
            case RESTARTS -> restartNext();
            case ZONE_LOST -> {
                events.after(third, this::loseZone);
                events.after(2 * third, this::restoreZone);
            }
            case REGION_CUT -> {
                events.after(third, () -> regionCut = true);
                events.after(2 * third, () -> regionCut = false);
            }
            case NONE -> {}
        }
    }

    private void restartNext() {
        double perMs = gateways.length * FaultPlan.RESTARTED_PER_MINUTE / (S_PER_MINUTE * MS_PER_S);
        events.after(exponential(failures, perMs), () -> {
            restart(failures.nextInt(gateways.length));
            restartNext();
        });
    }

    private void restart(int number) {
        if (!serves(number)) {
            return;
        }
        leaving.set(number);
        gateways[number].leave(events.now());
        events.after(FaultPlan.LEAVE_MS, () -> end(number));
        events.after(FaultPlan.LEAVE_MS + FaultPlan.AWAY_MS, () -> start(number));
    }

    private void loseZone() {
        for (int number = 0; number < gateways.length; number++) {
            if (FaultPlan.zone(number) == FaultPlan.STRUCK) {
                end(number);
            }
        }
    }

    private void restoreZone() {
        for (int number = 0; number < gateways.length; number++) {
            if (FaultPlan.zone(number) == FaultPlan.STRUCK) {
                start(number);
            }
        }
    }

    // ---- the link

    private void post(int from, int to, byte[] data) {
        counts.sent(data.length);
        LinkProfile link = run.link();
        if (network.nextDouble() < link.loss() || isCut(from, to)) {
            return;
        }
        double delay = link.minDelayMs() + network.nextDouble() * (link.maxDelayMs() - link.minDelayMs());
        events.after(delay, () -> arrive(from, to, data));
    }

    private boolean isCut(int from, int to) {
        return regionCut && (FaultPlan.region(from) == FaultPlan.STRUCK) != (FaultPlan.region(to) == FaultPlan.STRUCK);
    }

    private void arrive(int from, int to, byte[] data) {
        if (gateways[to] == null) {
            return;
        }
        if (!takesIn(to)) {
            counts.dropped();
            return;
        }
        counts.received();
        gateways[to].receive(events.now(), from, data);
    }

    private boolean takesIn(int to) {
        double perSecond = run.link().intakePerSecond();
        double seconds = (events.now() - intakeAt[to]) / MS_PER_S;
        intake[to] = Math.min(perSecond, intake[to] + seconds * perSecond);
        intakeAt[to] = events.now();
        if (intake[to] < 1) {
            return false;
        }
        intake[to]--;
        return true;
    }

    private final class Surroundings implements HollowGateway.Surroundings {
        @Override
        public void send(int from, int peer, byte[] data) {
            if (peer >= 0) {
                post(from, peer, data);
                return;
            }
            for (int to = 0; to < gateways.length; to++) {
                if (to != from) {
                    post(from, to, data);
                }
            }
        }

        @Override
        public void decided(
                double now, int gateway, HollowGateway.Request request, QuotaCoordinator.Decision decision) {
            double waitMs = now - request.askedAt();
            if (!decision.admitted()) {
                counts.refused(waitMs, request.customer().hasRoom(now));
                return;
            }
            counts.letIn(waitMs);
            boolean held = hosts.nextInt(HELD_ONE_IN) == 0;
            double sentAt = now + hosts.nextDouble() * (held ? HELD_MS : SEND_MS);
            events.at(Math.min(sentAt, decision.sendBy()), () -> charge(request));
        }
    }

    private void charge(HollowGateway.Request request) {
        Customer customer = request.customer();
        boolean beyond = customer.charge(events.now(), request.units());
        if (customer.hasQuota()) {
            counts.charged(request.units(), beyond);
        }
    }

    // ---- load

    private void askNext() {
        events.after(exponential(load, demand.requestsPerSecond() / MS_PER_S), () -> {
            ask(demand.draw(load));
            askNext();
        });
    }

    /** One request at some gateway of the customer's set that serves; clients have noticed which do. */
    private void ask(Customer customer) {
        double units = Workload.units(load);
        int spread = customer.named.spread();
        for (int i = 0; i < gateways.length; i++) {
            int number = (customer.named.first() + load.nextInt(spread)) % gateways.length;
            if (serves(number)) {
                counts.tried();
                gateways[number].request(events.now(), customer, units);
                return;
            }
        }
    }

    private boolean serves(int number) {
        return gateways[number] != null && !leaving.get(number);
    }

    /** Time to the next of events that come at this rate. */
    private static double exponential(SplittableRandom random, double perMs) {
        return -Math.log(1 - random.nextDouble()) / perMs;
    }
}
