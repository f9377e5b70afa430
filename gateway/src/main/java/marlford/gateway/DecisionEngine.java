package marlford.gateway;

import static marlford.gateway.EngineState.*;

import java.util.*;
import java.util.stream.IntStream;
import marlford.gateway.EngineApi.*;
import marlford.gateway.EngineState.*;
import marlford.gateway.gossip.*;
import marlford.gateway.lease.TwoPartyLeases;
import marlford.gateway.metrics.ActivityCounters;
import marlford.gateway.metrics.ActivityCounters.Item;
import marlford.gateway.quota.*;

/**
 * The decision engine of one gateway: admission by quotas and ceilings, release of queued requests, weights
 * of request classes, host choice, host health, retries and the messages between gateways. Its interface
 * (events, actions, settings) is EngineApi.java, its state EngineState.java, beside this file.
 *
 * <p>Comments refer to five rules that hold whatever else happens: (1) each request is answered before its
 * deadline; (2) a request that may have run is repeated only where its class allows that; (3) a host that
 * drains or is gone gets no new request; (4) a host that warms up gets at most a set multiple of what it can
 * serve; (5) a customer's ceiling is never exceeded by all gateways together.
 *
 * <p>How gateways share a customer's quota depends on the size of the tier. A small tier queries the
 * customer's ledger replicas ({@link LedgerMessage}). Where these would get too many messages, gateways
 * broadcast their use ({@link GossipScheduler}). Where even broadcasts are too many, {@link QuotaCoordinator}
 * decides.
 *
 * <p>The acting replica of a customer is the first of its replicas that counts as able to decide at present;
 * {@link QuotaCoordinator} calls it the replica in charge. The backup replica holds a leased part of a
 * ceiling while the primary is silent. In {@link TwoPartyLeases} the primary is the holder of that lease and
 * the backup its successor.
 *
 * <p>Deterministic: the time, the random seed and all input come from events. Not thread-safe; it belongs to
 * one event loop.
 */
public final class DecisionEngine implements EngineApi.Events {
    // ---- periodic work

    private static final double TICK_MS = 20;
    private static final double EVICTION_INTERVAL_MS = 5000; // of idle customers and unlisted hosts
    /** Customers with state in memory. Requests of any further customer are refused. */
    private static final int MAX_TRACKED_CUSTOMERS = 20_000;

    // ---- admission by shares of a quota

    /** Time constant of demand averages: longer than the usual gap between a customer's requests. */
    private static final double DEMAND_WINDOW_MS = 2000;
    /**
     * Demand added in equal parts, as a share of the rate, so that each gateway gets some of a quota. Also
     * the step by which a metered share rises.
     */
    private static final double EVEN_DEMAND_SHARE = 0.05;
    /** Age up to which a report suffices for admission without a query to a ledger replica. */
    private static final double FRESH_REPORT_MS = 1000;
    /**
     * Age up to which a report counts; with an older one each gateway has an equal share. Also the age up to
     * which transfer requests are answered, and the delay before discovery is called again after a failure.
     */
    private static final double STALE_REPORT_MS = 3000;
    /** Age of a report on arrival: half of the gap between two reports, and the transit. */
    private static final double REPORT_LAG_MS = 60;
    /** Use beyond their reported demand that other gateways are assumed to have, as a share of the rate. */
    private static final double UNREPORTED_USE_SHARE = 0.6;
    private static final double MIN_RETRY_AFTER_MS = TICK_MS;

    // ---- ledger replicas and messages between gateways

    /** Gateways that keep a customer's ledger. One of them may be down. */
    private static final int LEDGER_REPLICAS = 2;
    private static final double REPLY_TIMEOUT_MS = 150;
    /** Time for which a peer is not queried after it has missed a reply. */
    private static final double UNRESPONSIVE_PEER_PAUSE_MS = 1000;
    /** Part used of the messages per second that a gateway accepts. The rest is left for bursts. */
    private static final double MESSAGE_BUDGET_SHARE = 0.8;
    /** Most message budget that can be saved up and spent at once, as the time in which it accrues. */
    private static final double MESSAGE_BURST_MS = 150;
    /** Upper limit of the minimum gap between messages to one peer, which grows with the tier. */
    private static final double MAX_PEER_GAP_MS = 50;
    /** Interval of the reports with which the acting replica of a customer updates the other one. */
    private static final double REPLICA_SYNC_MS = 300;
    private static final int MAX_LEDGER_MESSAGE_BYTES = 256;

    // ---- shares of a ceiling, and their leases

    /** The primary replica's share of a ceiling. All gateways of the set split the rest evenly. */
    private static final double PRIMARY_CEILING_SHARE = 0.5;
    /** Part of the primary's share that the backup takes over while it does not hear from the primary. */
    private static final double LEASED_PRIMARY_SHARE = 0.5;
    /** Shortest interval of heartbeats between gateways that share a ceiling by lease. */
    private static final double MIN_HEARTBEAT_MS = 300;
    /** Share of the accepted messages per second for heartbeats. With more peers their interval grows. */
    private static final double HEARTBEAT_BUDGET_SHARE = 0.15;
    /** A lease lasts for this number of heartbeat intervals, so it outlives the loss of three heartbeats. */
    private static final int LEASE_HEARTBEATS = 4;
    /** Time between the end of a lease at its holder and its takeover by the other gateway. */
    private static final double LEASE_TAKEOVER_MARGIN_MS = 250;
    /** Gateways that are asked at once for ceiling units, in a tier that is too large for queries. */
    private static final int LENDERS_PER_TRANSFER = 2;
    /** Part of its share of a ceiling that a gateway does not lend to others. */
    private static final double MIN_KEPT_CEILING_SHARE = 0.5;
    /** Transfer requests of peers that may wait for an answer. Further ones are dropped. */
    private static final int MAX_TRANSFER_REQUESTS = 64;

    // ---- release of queued requests

    /** Slots for random bursts beyond a gateway's even share, as a multiple of that share's square root. */
    private static final double BURST_SLOTS_PER_ROOT = 0.7;
    /** Attempts in flight that a host gets at first, from all gateways together. */
    private static final double INITIAL_SLOTS_PER_HOST = 6;
    /** Lower limit of the slots per host. With fewer attempts in flight, cores of a host would idle. */
    private static final double MIN_SLOTS_PER_HOST = 3;
    /** Upper limit of the slots per host. With more attempts in flight, no host gains throughput. */
    private static final double MAX_SLOTS_PER_HOST = 128;
    /** Factor of the slots per host at an adaptation if all slots were in use and the hosts are fast. */
    private static final double SLOT_GROWTH_FACTOR = 1.15;
    /** Factor of the slots per host at an adaptation if requests queue at the hosts. */
    private static final double SLOT_CUT_FACTOR = 0.85;
    private static final double SLOT_ADAPTATION_MS = 250;
    /**
     * Answers that an adaptation of the slots needs. With fewer it waits, for at most the same number of
     * {@link #SLOT_ADAPTATION_MS} intervals.
     */
    private static final int MIN_ADAPTATION_SAMPLES = 8;
    /**
     * Factor of the latency baseline at each adaptation, so that a lasting change is accepted after a while.
     */
    private static final double BASELINE_GROWTH = 1.002;
    /** Answers of a class from which on its baseline is kept apart from its average latency. */
    private static final int MIN_BASELINE_SAMPLES = 20;
    /** Ratio of latency to baseline beyond which requests are taken to queue at the hosts. */
    private static final double QUEUEING_LATENCY_FACTOR = 1.7;
    /** Share of the latency goal up to which a raised mean latency does not count as queueing. */
    private static final double HARMLESS_GOAL_SHARE = 0.1;
    /** Share of the latency goal beyond which a mean latency always counts as queueing. */
    private static final double QUEUEING_GOAL_SHARE = 0.5;
    /** Late value of a class from which on its requests may wait for a slot until their deadline. */
    private static final double MIN_LATE_VALUE = 0.5;
    /** Multiple of its expected latency that a queued request must have left. */
    private static final double FINISH_TIME_FACTOR = 3;
    /** Share of its latency goal for which any request may be queued, within its other time limits. */
    private static final double MIN_HOLD_GOAL_SHARE = 0.1;
    /** Weight of one release in a class's average gap between releases. */
    private static final double RELEASE_GAP_SAMPLE_WEIGHT = 0.1;
    /** Expected latency of the largest request before any answer, as a share of the latency goal. */
    private static final double INITIAL_LATENCY_GOAL_SHARE = 0.2;
    /**
     * Queued requests that a release examines for one with a permitted host. Also the number of random draws,
     * for each host to be drawn, after which drawing ends.
     */
    private static final int SCAN_LIMIT = 16;

    // ---- class weights by donation; ALPHA, BETA and EPSILON are the symbols of the published method. A
    // class is content while its mean delay is within the band around its delay goal. A donor gives weight.

    /** ALPHA: weight of the old average in a new delay average. */
    private static final double DELAY_SMOOTHING_OLD_WEIGHT = 0.7;
    /** BETA: share of a computed donation that is carried out. */
    private static final double COMMITTED_DONATION_SHARE = 0.5;
    /** EPSILON: half-width, as a share of the delay goal, of the band in which a class is content. */
    private static final double CONTENT_BAND_HALF_WIDTH = 0.1;
    /** A class's goal for its mean delay, as a share of its latency goal. */
    private static final double DELAY_GOAL_SHARE = 0.6;
    private static final double DELAY_AVERAGING_INTERVAL_MS = 500;
    /** First interval between donations. It doubles after each donation. */
    private static final double MIN_DONATION_INTERVAL_MS = 1000;
    private static final double MAX_DONATION_INTERVAL_MS = 8000;
    /** Donation, as a share of all weight, while the slope of a class is not known. */
    private static final double INITIAL_WEIGHT_STEP = 0.05;
    private static final double MIN_CLASS_WEIGHT = 0.02; // as a share of all weight

    // ---- host health and choice

    /** Weight of one answer's latency in the slowness of its host. */
    private static final double LATENCY_SAMPLE_WEIGHT = 0.12;
    /**
     * Weight of an answer, a failure or an overdue attempt in the slowness of a host for the class, and of a
     * probe or a rejection by a full host in the slowness of that host.
     */
    private static final double FAILURE_SAMPLE_WEIGHT = 0.4;
    /** Slowness of a host that reports to be full, and factor for a host that a request has tried. */
    private static final double FULL_HOST_SLOWNESS = 4;
    /** Share of an attempt's latency beyond which a stall of this process hides the host's own latency. */
    private static final double MAX_OWN_STALL_SHARE = 0.2;
    /** Time constant with which unconfirmed slowness decays, so that a bad host is tried again. */
    private static final double SLOWNESS_FADE_MS = 6000;
    /** Slowness from which on a host is slower than chance explains. */
    private static final double TROUBLED_SLOWNESS = 2.2;
    /** An attempt is overdue after this multiple of its expected latency, plus the margin below. */
    private static final double OVERDUE_LATENCY_FACTOR = 5;
    private static final double OVERDUE_MARGIN_MS = 400;
    /** Cost of crossing zones, as a share of the score of an idle host. */
    private static final double CROSS_ZONE_COST_SHARE = 0.05;
    /** Part used of the requests that a cold host may get. The rest is left for bursts. */
    private static final double COLD_HOST_SAFETY_SHARE = 0.7;
    /** Lower limit of the estimated share of the usable hosts that serve; a smaller estimate is raised. */
    private static final double MIN_SERVING_SHARE = 0.5;
    /** Cores that a cold host has at least. The smallest known host has three. */
    private static final double MIN_CORES_PER_HOST = 2;
    /** Hosts that a gateway prefers while they serve; more if a host would get too few gateways. */
    private static final int MIN_PREFERRED_HOSTS = 8;
    private static final int MIN_GATEWAYS_PER_HOST = 6;
    /** Hosts that are drawn for a comparison without own attempts in flight; each attempt adds two. */
    private static final int MIN_COMPARED_HOSTS = 2;
    private static final double HOST_SURVEY_INTERVAL_MS = 500;

    // ---- retries and deadlines

    /** Retry tokens added for the first attempt of each request. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_RETRY_TOKENS = 20;
    /** Part used of an idempotency window. The rest covers the transit to the host. */
    private static final double KEY_WINDOW_SHARE = 0.9;
    /** Time before its deadline by which a request is answered: two ticks. */
    private static final double DEADLINE_MARGIN_MS = 40;
    /** Share of its time after which a request that has reached no host is refused. */
    private static final double UNSENT_TIME_SHARE = 0.4;

    private final Actions actions;
    private final Map<String, ClassState> classes = new LinkedHashMap<>(); // by name
    private final Map<String, Integer> planNumbers = new LinkedHashMap<>(); // by name
    private final Map<Long, Customer> customers = new LinkedHashMap<>(); // by id
    private final Map<String, HostRecord> hostsById = new LinkedHashMap<>();
    private final Map<String, ActiveRequest> activeRequests = new LinkedHashMap<>(); // by id
    private final ArrayDeque<Peer> sendQueue = new ArrayDeque<>(); // peers with reports or replies due
    private final LinkedHashSet<ActiveRequest> pendingQueries = new LinkedHashSet<>();
    private final LinkedHashSet<HostRecord> busyHosts = new LinkedHashSet<>(); // with attempts in flight
    private final List<HostRecord> usableHosts = new ArrayList<>(); // as of the last survey
    private final List<HostRecord> preferredHosts = new ArrayList<>(); // subset of the usable ones
    private Peer[] peers = new Peer[0]; // by gateway number; includes this gateway
    private Settings settings;
    private HostStarts hostStarts;
    private TwoPartyLeases leases;
    private double heartbeatMs; // interval between messages of gateways that share a ceiling by lease
    private final ActivityCounters counters = new ActivityCounters();
    private Random random;
    private GossipScheduler gossip; // null unless gateways broadcast their use
    private QuotaCoordinator coordinator; // null unless the tier is too large for broadcasts as well
    private final ArrayDeque<CeilingTransferRequest> transferRequests = new ArrayDeque<>();
    private double broadcastReceivedAt = NEVER; // the last one, from any peer
    private int incarnation; // start time of this process in milliseconds, lowest 32 bits
    private int broadcastsSent;
    private double ceilingFillsSince; // older ceiling units may be spent by an earlier incarnation
    private double startedAt;
    private double lastTickAt;
    private double totalStallMs; // of this process's event loop
    private double slotsAdaptedAt;
    private double evictedAt;
    private double delaysAveragedAt;
    private double lastDonationAt;
    private double budgetRefilledAt;
    private double surveyedAt;
    private double messageBudget; // messages that may be sent now
    private double donationIntervalMs = MIN_DONATION_INTERVAL_MS;
    private double replacedAt = Double.POSITIVE_INFINITY; // when another process of this gateway took over
    private boolean allSlotsUsed; // all slots were in use at some time since the last check of the weights
    private int attemptsInFlight; // those that hold a slot
    private int latencySamples; // since the last adaptation of the slots, as are the three sums below
    private double slotsPerHost = INITIAL_SLOTS_PER_HOST; // of all gateways together
    private double warmCapacity; // usable hosts; cold ones count as the share that they serve, slow ones as 0
    private double virtualTime; // of the fair queueing between classes
    private double retryTokens = MAX_RETRY_TOKENS / 2;
    private double latencySumMs;
    private double baselineSumMs;
    private double goalShareSum; // of latencies divided by latency goals

    public DecisionEngine(Actions actions) {
        this.actions = actions;
    }

    /** Creates the coordinator of quotas for a tier of hundreds of gateways. */
    private QuotaCoordinator newCoordinator(double now) {
        List<QuotaTerms> plans = settings.plans().stream().map(p -> new QuotaTerms(
                p.excessPays() ? 0 : p.rate(), p.burst(), p.ceilingRate(), p.ceilingBurst())).toList();
        return new QuotaCoordinator(now, new QuotaCoordinator.Config(settings.me(), peers.length,
                settings.sharing().messagesPerSecond(), settings.sharing().maxUnits(), MAX_TRACKED_CUSTOMERS,
                plans), incarnation, random, new QuotaCoordinator.Callbacks() {
            @Override public void sendToPeer(int peer, byte[] data) {
                counters.increment(Item.TOLD);
                actions.sendToPeer(peer, data);
            }

            @Override public void onDecision(double at, String id, QuotaCoordinator.Decision decision) {
                ActiveRequest active = activeRequests.get(id);
                active.grant = decision.grant();
                active.sendBy = decision.sendBy();
                if (decision.admitted()) admit(at, active);
                if (decision.admitted()) return;
                counters.increment(Item.of(decision.reason()));
                close(active);
                actions.refuse(id, retryAfterMs(decision.retryAfterMs()));
            }
        });
    }

    // ---- events

    @Override public void onStart(double now, Settings settings) {
        this.settings = settings;
        random = new Random(settings.seed());
        startedAt = ceilingFillsSince = now;
        hostStarts = new HostStarts(settings.rules().warmWithinMs());
        peers = new Peer[Math.max(1, settings.gateways())];
        Arrays.setAll(peers, Peer::new);
        double heartbeatsPerMs =
                HEARTBEAT_BUDGET_SHARE * Math.max(1, settings.sharing().messagesPerSecond()) / 1000;
        heartbeatMs = Math.max(MIN_HEARTBEAT_MS, (peers.length - 1) / heartbeatsPerMs);
        double broadcastGapMs = (peers.length - 1) / messagesPerMs();
        beginIncarnation(now);
        boolean hundreds =
                QuotaCoordinator.isRequiredFor(peers.length, settings.sharing().messagesPerSecond());
        if (settings.limits().peerMessages() && hundreds) coordinator = newCoordinator(now);
        else if (settings.limits().peerMessages() && broadcastGapMs > REPLY_TIMEOUT_MS) {
            gossip = new GossipScheduler(now, broadcastGapMs, MAX_TRACKED_CUSTOMERS, random);
        }
        double total =
                settings.classes().stream().mapToDouble(c -> Math.max(MIN_CLASS_WEIGHT, c.worth())).sum();
        for (RequestClass c : settings.classes()) {
            ClassState state = new ClassState(c);
            state.weight = Math.max(MIN_CLASS_WEIGHT, c.worth()) / total;
            state.latencyMsPerUnit = state.baselineMsPerUnit =
                    c.goalMs() * INITIAL_LATENCY_GOAL_SHARE / settings.sharing().maxUnits();
            classes.put(c.name(), state);
        }
        for (int i = 0; i < settings.plans().size(); i++) planNumbers.put(settings.plans().get(i).name(), i);
        lastTickAt = slotsAdaptedAt = evictedAt = delaysAveragedAt =
                lastDonationAt = budgetRefilledAt = surveyedAt = now;
        if (settings.subscribe()) actions.watchHosts();
        actions.startTimer(TICK_MS, "beat");
    }

    @Override public void onHosts(double now, ListKind kind, List<Host> hosts) {
        if (kind == ListKind.FAILED) actions.startTimer(STALE_REPORT_MS, "watch");
        if (kind == ListKind.FAILED) return;
        if (kind != ListKind.CHANGES) hostsById.values().forEach(h -> h.listed = false);
        hostStarts.noteHosts(hosts);
        for (Host info : hosts) {
            HostRecord host = hostsById.computeIfAbsent(info.id(), id -> new HostRecord(info));
            host.info = info;
            host.listed = info.state() != HostState.GONE;
            if (info.startedMs() > 0 && info.startedMs() != host.reportedStartMs) {
                host.reportedStartMs = info.startedMs();
                host.startedAt = hostStarts.latestStartMs(now, info.startedMs());
                host.slowness.factor = 1;
            }
        }
        hostStarts.listProcessed(kind);
        surveyHosts(now);
        release(now);
    }

    @Override public void onRequest(double now, Request request) {
        ClassState cls = classes.get(request.requestClass());
        if (cls == null) actions.refuse(request.id(), 0); // the settings do not define this class
        if (cls == null) return;
        counters.increment(Item.TRIES);
        if (refuseIfReadLate(now, request, cls)) return;
        Integer plan = planNumbers.get(request.plan());
        Customer customer = plan == null ? null
                : customer(now, request.customer(), plan, request.first(), request.spread());
        ActiveRequest active = new ActiveRequest(request, cls, customer);
        activeRequests.put(request.id(), active);
        boolean untracked = plan != null && customer == null; // there is no room for its state
        switch (untracked ? Admission.REFUSE : customer == null ? Admission.ADMIT
                : judgeAdmission(now, customer, request.units())) {
            case ADMIT -> admit(now, active);
            case REFUSE -> {
                boolean spent = customer == null || customer.quotaLevel < request.units();
                boolean ceiling = !spent && customer.plan.ceilingRate() > 0
                        && customer.ceilingTokens < request.units();
                counters.increment(spent ? Item.QUOTA : ceiling ? Item.CEILING : Item.PART);
                admitOrRefuse(now, active, false);
            }
            // While the event loop is late a reply would be read too late, so the own share decides.
            default -> {
                if (coordinator == null) queryReplica(now, active,
                        now - request.arrivedMs() < REPLY_TIMEOUT_MS / 2 ? 0 : LEDGER_REPLICAS);
                else coordinator.requestAdmission(now, request.id(), customer.named(), request.units(),
                        giveUpAt(active));
            }
        }
        if (customer != null && active.admitted) queueChange(now, customer);
        sendDueMessages(now);
    }

    /**
     * Refuses a request whose time was used up before it was read, so that it delays no other: after a stall
     * of this process or a slow start with many clients. The arrival time is the earliest possible one, so a
     * request that arrived late during the stall can be refused with time left. Its customer gets no state.
     */
    private boolean refuseIfReadLate(double now, Request request, ClassState cls) {
        ActiveRequest late = new ActiveRequest(request, cls, null);
        if (request.arrivedMs() >= now || now < giveUpAt(late)) return false;
        counters.increment(Item.READ_LATE);
        answerUnserved(late);
        return true;
    }

    private void admit(double now, ActiveRequest active) {
        ClassState cls = active.cls;
        active.admitted = true;
        Customer c = active.customer;
        if (c != null) c.openRequests++;
        if (c != null) c.charge(active.request.units(), active.request.units(), DEMAND_WINDOW_MS);
        if (cls.queue.isEmpty()) cls.virtualTime = Math.max(cls.virtualTime, virtualTime);
        cls.queue.addLast(active);
        release(now);
        // A request whose expected wait exceeds its useful time is refused at once (rule 1).
        boolean queued = !active.closed && active.attempts.isEmpty();
        if (!queued || now + cls.queue.size() * cls.meanReleaseGapMs < giveUpAt(active)) return;
        counters.increment(Item.NO_PLACE);
        answerUnserved(active);
    }

    @Override public void onStreamStarted(double now, String id, int number) {
        ActiveRequest active = activeRequests.get(id);
        if (active == null) return;
        active.streaming = true;
        // Unless its class streams, a host has done its work when the response begins: the transfer remains.
        boolean known = number >= 0 && number < active.attempts.size();
        if (!known || active.cls.spec.streaming()) return;
        freeSlot(active.attempts.get(number));
        release(now);
    }

    @Override public void onBodySent(double now, String id, int number, double deadlineMs) {
        ActiveRequest active = activeRequests.get(id);
        if (active == null || number < 0 || number >= active.attempts.size()) return;
        active.request = active.request.withDeadline(deadlineMs);
        Attempt attempt = active.attempts.get(number);
        if (!attempt.inFlight || attempt.holdsSlot || active.streaming) return;
        attempt.awaitedSince = now;
        attempt.stallMsBefore = totalStallMs;
        takeSlot(attempt);
    }

    private void takeSlot(Attempt attempt) {
        attempt.holdsSlot = true;
        attempt.host.attempts.add(attempt);
        attempt.host.workInFlightMs += attempt.expectedMs;
        busyHosts.add(attempt.host);
        attemptsInFlight++;
    }

    /**
     * Frees the concurrency slot that an attempt holds at its host. The attempt itself may still be in
     * flight.
     */
    private void freeSlot(Attempt attempt) {
        if (!attempt.holdsSlot) return;
        attempt.holdsSlot = false;
        attemptsInFlight--;
        attempt.host.attempts.remove(attempt);
        attempt.host.workInFlightMs =
                attempt.host.attempts.isEmpty() ? 0 : attempt.host.workInFlightMs - attempt.expectedMs;
        if (attempt.host.attempts.isEmpty()) busyHosts.remove(attempt.host);
    }

    @Override public void onAttemptEnded(double now, AttemptResult result) {
        ActiveRequest active = activeRequests.get(result.id());
        if (active == null || result.attempt() < 0 || result.attempt() >= active.attempts.size()) return;
        Attempt attempt = active.attempts.get(result.attempt());
        if (!attempt.inFlight) return;
        attempt.inFlight = false;
        attempt.neverRan = result.outcome().neverRan();
        attempt.undelivered = attempt.neverRan && result.outcome() != Outcome.FULL;
        attempt.unsent = result.outcome() == Outcome.UNSENT;
        if (attempt.unsent && attempt.number > 0) retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + 1);
        freeSlot(attempt);
        learn(now, active, attempt, result);
        if (result.closed()) {
            close(active);
        } else if (!active.closed && !active.hasAttemptInFlight()) {
            if (takeRetryToken(now, active) && result.outcome() != Outcome.MOOT) {
                active.cls.queue.addFirst(active);
            } else {
                counters.increment(Item.TRIED);
                answerUnserved(active);
            }
        }
        if (active.closed && !active.hasAttemptInFlight()) activeRequests.remove(active.request.id());
        release(now);
    }

    @Override public void onClientLeft(double now, String id) {
        ActiveRequest active = activeRequests.get(id);
        if (active == null) return;
        close(active);
        for (Attempt a : active.attempts) {
            if (a.inFlight && settings.limits().cancel() && !active.streaming) actions.cancel(id, a.number);
        }
    }

    @Override public void onTimer(double now, String token) {
        if (token.equals("watch")) actions.watchHosts();
        if (!token.equals("beat")) return;
        actions.startTimer(TICK_MS, "beat");
        recordStall(now);
        leases.tick(now);
        expireQueued(now);
        handleMissedReplies(now);
        if (coordinator != null) coordinator.tick(now);
        if (now - surveyedAt >= HOST_SURVEY_INTERVAL_MS) surveyHosts(now);
        handleOverdueAttempts(now);
        adaptSlots(now);
        adaptClassWeights(now);
        evictIdle(now);
        release(now);
        queueHeartbeats(now);
        sendDueMessages(now);
    }

    /**
     * Queues a message to each peer with which a leased ceiling was in use lately and that was sent nothing
     * for {@link #heartbeatMs}. Messages and their replies extend the leases, even with nothing else to
     * report.
     */
    private void queueHeartbeats(double now) {
        for (Peer peer : peers) {
            if (now - peer.ceilingSharedAt < MIN_IDLE_EVICTION_MS && now - peer.lastSentAt >= heartbeatMs) {
                queue(peer, null);
            }
        }
    }

    /**
     * Extends deadlines by a stall of this process. Input that arrived during the stall is read late, and
     * must not count as a peer's or host's delay.
     */
    private void recordStall(double now) {
        double late = tickLatenessMs(now);
        lastTickAt = now;
        if (late == 0) return;
        totalStallMs += late;
        leases.discountStall(late);
        if (coordinator != null) coordinator.extendReplyDeadlines(late);
        pendingQueries.forEach(active -> active.replyDueAt += late);
    }

    /** How late the next tick is; 0 where that is within the usual inaccuracy of timers. */
    private double tickLatenessMs(double now) {
        double late = now - lastTickAt - TICK_MS;
        return late > TICK_MS ? late : 0;
    }

    /** How long this process itself has been stalled since an attempt was sent. */
    private double ownStallMs(double now, Attempt attempt) {
        return totalStallMs - attempt.stallMsBefore + tickLatenessMs(now);
    }

    /**
     * Sets a new incarnation number and starts without leases. Peers treat this gateway as a process that has
     * just started.
     */
    private void beginIncarnation(double now) {
        incarnation = (int) (long) now;
        double term = LEASE_HEARTBEATS * heartbeatMs;
        leases = new TwoPartyLeases(new TwoPartyLeases.Terms(term, term + LEASE_TAKEOVER_MARGIN_MS),
                peers.length, now);
    }

    @Override public void onNoOtherSpenderSince(double now, double since) {
        ceilingFillsSince = Math.min(ceilingFillsSince, since);
        if (coordinator != null) coordinator.onNoOtherSpenderSince(since);
    }

    @Override public void onReplaced(double now) {
        customers.values().forEach(c -> refill(now, c)); // units gained up to now are this process's
        replacedAt = now;
        if (coordinator != null) coordinator.onReplaced(now);
    }

    @Override public void onRestored(double now) {
        beginIncarnation(now); // peers know the other process as the later incarnation
        customers.values().forEach(c -> refill(now, c)); // skips the time of the other process
        startedAt += now - replacedAt;
        ceilingFillsSince += now - replacedAt;
        replacedAt = Double.POSITIVE_INFINITY;
        if (coordinator != null) coordinator.onRestored(now, incarnation);
    }

    @Override public void onShutdown(double now) {
        if (coordinator != null) coordinator.prepareShutdown(now);
    }

    @Override public void onProbeResult(double now, String id, Outcome outcome, double latencyMs,
            double[] report) {
        HostRecord host = hostsById.get(id); // now can lie in the past: see EngineApi.Events
        if (host != null) {
            host.slowness.updateFromProbe(now, outcome, FULL_HOST_SLOWNESS, FAILURE_SAMPLE_WEIGHT,
                    SLOWNESS_FADE_MS);
        }
    }

    @Override public void onCounterResult(double now, String counter, Outcome outcome, double total) { }

    // ---- admission by shares of a quota

    private enum Admission { ADMIT, REFUSE, QUERY }

    /**
     * A customer's state, created on its first use; null where there is no room for more. The plan and the
     * gateway set that came first stay until the state is evicted, so a client that claims other ones gets no
     * full buckets and moves no ledger.
     */
    private Customer customer(double now, long id, int plan, int firstGateway, int setSize) {
        Customer c = customers.get(id);
        if (c == null) evictReplenished(now);
        if (c == null && (customers.size() >= MAX_TRACKED_CUSTOMERS || plan >= settings.plans().size())) {
            return null;
        }
        if (c == null) {
            Plan p = settings.plans().get(plan);
            c = new Customer(id, plan, p, now);
            c.quotaLevel = p.burst();
            customers.put(id, c);
        }
        if (c.setSize == 0 && setSize > 0) { // the customer was known from peers at most
            Plan p = c.plan;
            c.setSize = Math.min(setSize, peers.length);
            c.firstGateway = firstGateway;
            c.replicas =
                    EngineState.rendezvousRanked(id, firstGateway, c.setSize, peers.length, LEDGER_REPLICAS);
            c.localTokens = p.burst() / c.setSize;
            // The ceiling's bucket starts with the units gained since the last incarnation of this gateway
            // is known to have ended, never with a burst: that incarnation may have spent it (rule 5).
            double filled = (Math.min(now, replacedAt) - ceilingFillsSince) / 1000 * p.ceilingRate();
            c.ceilingTokens = permanentCeilingShare(c) * Math.min(p.ceilingBurst(), filled);
            c.leaseHeldSince = leaseHeldSince(now, c);
        }
        refill(now, c);
        return c;
    }

    /** This gateway's permanent share of a ceiling; together with the leased parts all shares sum to one. */
    private double permanentCeilingShare(Customer c) {
        if (c.setSize <= 1) return c.setSize;
        if (gossip != null) return 1.0 / c.setSize;
        double primary = c.replicas[0] == settings.me()
                ? PRIMARY_CEILING_SHARE * (leasePeer(c) < 0 ? 1 : 1 - LEASED_PRIMARY_SHARE) : 0;
        return primary + (1 - PRIMARY_CEILING_SHARE) / c.setSize;
    }

    /** The gateway that shares a leased part of the customer's ceiling with this one; -1 for none. */
    private int leasePeer(Customer c) {
        boolean queries = settings.limits().peerMessages() && gossip == null && coordinator == null;
        if (!queries || c.plan.ceilingRate() <= 0 || c.setSize <= 1) return -1;
        return c.replicas[0] == settings.me() ? c.replicas[1]
                : c.replicas[1] == settings.me() ? c.replicas[0] : -1;
    }

    /** Since when this gateway holds the leased part: the backup holds it while the primary is silent. */
    private double leaseHeldSince(double now, Customer c) {
        int other = leasePeer(c);
        if (other < 0) return TwoPartyLeases.NOT_HELD;
        return c.replicas[0] == settings.me() ? leases.heldSince(now, other) : leases.takenOverSince(other);
    }

    private double ceilingShare(Customer c) {
        return permanentCeilingShare(c)
                + (c.leaseHeldSince == TwoPartyLeases.NOT_HELD ? 0
                        : PRIMARY_CEILING_SHARE * LEASED_PRIMARY_SHARE);
    }

    private double ceilingCapacity(Customer c) {
        return c.plan.ceilingBurst() * ceilingShare(c);
    }

    /**
     * The most units that the ceiling's bucket may hold. The other units of its capacity are admitted and
     * unsent, or lent and in transit.
     */
    private double ceilingRoom(double now, Customer c) {
        return ceilingCapacity(c) - c.unsentCeilingUnits - c.transfers.lentUnits(now);
    }

    /**
     * Refills this gateway's part of the ceiling up to now. Only the holder of a leased share spends it. If
     * the lease was lost since the last refill, the whole time counts with the permanent share alone, and
     * saved units beyond that share are lost. If it was gained, the time before that counts with the
     * permanent share.
     */
    private void refillCeiling(double now, Customer c) {
        int other = leasePeer(c);
        if (other >= 0) peers[other].ceilingSharedAt = now;
        double from = c.refilledAt;
        double since = leaseHeldSince(now, c);
        if (since != c.leaseHeldSince) { // until then at most the permanent share was held here
            from = Math.min(now, Math.max(from, since));
            c.leaseHeldSince = TwoPartyLeases.NOT_HELD;
            addCeilingFill(c, from - c.refilledAt);
            c.leaseHeldSince = since;
        }
        addCeilingFill(c, now - from);
    }

    /**
     * Adds the units of a time to the ceiling's bucket. Units that are admitted but not sent yet still take
     * room in it, so that it does not overfill (rule 5).
     */
    private void addCeilingFill(Customer c, double ms) {
        double filled = c.ceilingTokens + c.plan.ceilingRate() / 1000 * ceilingShare(c) * ms;
        c.ceilingTokens = Math.min(ceilingRoom(c.refilledAt, c), filled);
    }

    /** Brings a customer's buckets and averages up to date. */
    private void refill(double now, Customer c) {
        double seconds = (now - c.refilledAt) / 1000;
        if (seconds <= 0) return;
        if (now > replacedAt) {
            // No units are added any more. The call only removes leased units once the lease has ended.
            c.refilledAt = now;
            refillCeiling(now, c);
            return;
        }
        double fade = Math.exp(-(now - c.refilledAt) / DEMAND_WINDOW_MS);
        Plan p = c.plan;
        double share = demandShare(now, c);
        refillCeiling(now, c);
        c.demand *= fade;
        c.othersDemand *= fade;
        c.usagePerSecond *= fade;
        c.refilledAt = now;
        c.quotaLevel = Math.min(p.burst(), c.quotaLevel + p.rate() * seconds);
        double capacity = Math.max(share * p.burst(), Math.min(p.burst(), settings.sharing().maxUnits()));
        c.localTokens = Math.min(capacity, c.localTokens + share * p.rate() * seconds);
    }

    /**
     * This gateway's share of a customer's demand. The shares that all gateways compute from the reports of
     * the same replica sum to one.
     */
    private double demandShare(double now, Customer c) {
        if (c.setSize <= 1) return c.setSize;
        if (gossip != null && now - broadcastReceivedAt > STALE_REPORT_MS) return 1.0 / c.setSize;
        if (!settings.limits().peerMessages()) {
            return now - c.meteredAt < STALE_REPORT_MS ? c.meteredShare : 1.0 / c.setSize;
        }
        boolean stale = gossip == null && now - c.lastReportAt > STALE_REPORT_MS;
        if (stale && actingReplica(now, c, 0) != settings.me()) return 1.0 / c.setSize;
        double prior = EVEN_DEMAND_SHARE * c.plan.rate();
        return (c.demand + prior / c.setSize)
                / (c.demand + c.othersDemand + prior);
    }

    /** The replica that decides on a customer now, searched from index {@code stage} on; -1 for none. */
    private int actingReplica(double now, Customer c, int stage) {
        for (int i = stage; i < c.replicas.length; i++) {
            int replica = c.replicas[i];
            boolean last = i == c.replicas.length - 1;
            if (replica == settings.me() ? last || !missesHistory(now, c)
                    : now >= peers[replica].unresponsiveUntil) return replica;
        }
        return c.replicas[0] == settings.me() ? settings.me() : -1;
    }

    /**
     * Whether this process, as a replica, may not know what was used before its start. That ends with a
     * report, or once the bucket would have filled since.
     */
    private boolean missesHistory(double now, Customer c) {
        return !c.historyKnown && (now - startedAt) / 1000 * c.plan.rate() < c.plan.burst();
    }

    /** Whether to admit a request, by what this gateway knows; QUERY where only a replica can decide. */
    private Admission judgeAdmission(double now, Customer c, double units) {
        c.demand += units / DEMAND_WINDOW_MS * 1000;
        if (gossip != null && c.setSize > 1) gossip.customerChanged(c.id);
        Plan p = c.plan;
        boolean limited = p.rate() > 0 && !p.excessPays();
        if (!p.excessPays() && !openLimitAdmits(now, c) || limited && c.quotaLevel < units) {
            if (now - c.lastQueuedAt > REPLICA_SYNC_MS) queueChange(now, c);
            return Admission.REFUSE;
        }
        boolean bounded = limited || p.ceilingRate() > 0;
        if (coordinator != null && c.setSize > 1) return bounded ? Admission.QUERY : Admission.ADMIT;
        if (gossip != null && c.setSize > 1) {
            boolean fits = !limited || c.localTokens >= units || c.quotaLevel - reserve(now, c) >= units;
            return fits && (p.ceilingRate() <= 0 || c.ceilingTokens >= units) ? Admission.ADMIT
                    : Admission.REFUSE;
        }
        boolean queries = settings.limits().peerMessages() && c.setSize > 1;
        int replica = actingReplica(now, c, 0);
        boolean room = !limited || replica == settings.me() && queries
                || c.localTokens >= units && (!queries || now - c.lastReportAt < FRESH_REPORT_MS)
                || queries && now - c.lastReportAt < FRESH_REPORT_MS
                        && c.quotaLevel - reserve(now, c) >= units;
        boolean ceiling = p.ceilingRate() <= 0 || c.ceilingTokens >= units; // rule 5: own units need no query
        if (room && ceiling) return Admission.ADMIT;
        return queries ? Admission.QUERY : Admission.REFUSE;
    }

    /**
     * Units that the others may have used since the last report, weighted by the cost of exceeding the quota.
     * The weight is 0 if a unit of excess costs as much as it is worth, 1 if it costs one unit of value more,
     * and always below 2. The age of broadcasts counts as half of their mean interval.
     */
    private double reserve(double now, Customer c) {
        double cost = c.plan.excessCost() - c.plan.excessValue();
        double rate = c.othersDemand + UNREPORTED_USE_SHARE * c.plan.rate();
        double age = gossip == null ? now - c.lastReportAt + REPORT_LAG_MS : gossip.meanIntervalMs() / 2;
        return rate * age / 1000 * 2 * cost / (1 + cost);
    }

    /**
     * Whether the plan's limit of open requests has room. Without a fresh report each gateway has its share.
     */
    private boolean openLimitAdmits(double now, Customer c) {
        int limit = c.plan.openLimit();
        boolean fresh = c.setSize == 1
                || settings.limits().peerMessages() && gossip == null && coordinator == null
                && (actingReplica(now, c, 0) == settings.me() || now - c.lastReportAt < FRESH_REPORT_MS);
        return limit <= 0 || (fresh ? c.openRequests + c.othersOpenRequests < limit
                : c.openRequests < Math.max(1, (int) (limit * demandShare(now, c))));
    }

    /** The wait that a refusal advises: within the settings' limits, 0 where they allow none. */
    private double retryAfterMs(double ms) {
        double longest = settings.limits().maxRetryAfterMs();
        return settings.limits().retryAfter() ? Math.min(longest, Math.max(MIN_RETRY_AFTER_MS, ms)) : 0;
    }

    // ---- admission queries to ledger replicas

    /**
     * Queries the next replica that can be reached, and holds the request until its reply. The request is
     * decided here if there is no such replica (by this gateway's own share of the quota), or if this gateway
     * is that replica or the deadline is too near (by the bucket level known here). Own units of the ceiling
     * are needed in both cases.
     */
    private void queryReplica(double now, ActiveRequest active, int stage) {
        Customer c = active.customer;
        int replica = stage < c.replicas.length ? actingReplica(now, c, stage) : -1;
        if (replica < 0 || replica == settings.me()
                || now + REPLY_TIMEOUT_MS >= active.request.deadlineMs() - DEADLINE_MARGIN_MS) {
            c.pending.remove(active);
            boolean room = c.plan.rate() <= 0
                    || (replica < 0 ? c.localTokens : c.quotaLevel) >= active.request.units();
            boolean in = room && (c.plan.ceilingRate() <= 0 || c.ceilingTokens >= active.request.units());
            if (!in) counters.increment(Item.KEEPER);
            admitOrRefuse(now, active, in);
            queueChange(now, c);
            return;
        }
        active.replicaStage = replica == c.replicas[0] ? 0 : c.replicas.length - 1;
        active.queriedReplica = replica;
        active.querySerial = peers[replica].sentSerial + 1; // of the next message to it
        active.replyDueAt = now + REPLY_TIMEOUT_MS;
        if (!c.pending.contains(active)) c.pending.addLast(active);
        pendingQueries.add(active);
        c.lastQueuedAt = now;
        queue(peers[replica], c);
    }

    private void admitOrRefuse(double now, ActiveRequest active, boolean in) {
        if (in) admit(now, active);
        if (in) return;
        close(active);
        Customer c = active.customer;
        actions.refuse(active.request.id(),
                retryAfterMs(c == null ? MIN_IDLE_EVICTION_MS : c.refillMs(active.request.units())));
    }

    /** A peer counts as unresponsive only after a missed reply. It is then not queried for a while. */
    private void handleMissedReplies(double now) {
        pendingQueries.removeIf(active -> active.closed || active.admitted);
        for (ActiveRequest active : pendingQueries.stream().filter(a -> now >= a.replyDueAt).toList()) {
            pendingQueries.remove(active);
            peers[active.queriedReplica].unresponsiveUntil = now + UNRESPONSIVE_PEER_PAUSE_MS;
            refill(now, active.customer);
            queryReplica(now, active, active.replicaStage + 1);
        }
    }

    // ---- messages between gateways

    /**
     * Queues a report of a change to the acting replica. If this gateway is that replica, queues reports to
     * the other ones, {@link #REPLICA_SYNC_MS} apart or more.
     */
    private void queueChange(double now, Customer c) {
        if (!settings.limits().peerMessages() || c.setSize == 1
                || gossip != null || coordinator != null) return;
        int replica = actingReplica(now, c, 0);
        if (replica != settings.me()) {
            c.lastQueuedAt = now;
            if (replica >= 0) queue(peers[replica], c);
        } else if (now - c.lastQueuedAt > REPLICA_SYNC_MS) {
            c.lastQueuedAt = now;
            IntStream.of(c.replicas).filter(r -> r != settings.me()).forEach(r -> queue(peers[r], c));
        }
    }

    /** Queues a message to a peer, with a report on a customer where that is not null. */
    private void queue(Peer peer, Customer reported) {
        if (reported != null) peer.reports.add(reported);
        if (!peer.inSendQueue) sendQueue.addLast(peer);
        peer.inSendQueue = true;
    }

    /**
     * Sends the queued messages that are due. Messages of reports alone may use half of the message budget,
     * since each brings a reply. Messages with replies only keep the minimum gap.
     */
    private void sendDueMessages(double now) {
        if (gossip != null && gossip.isDue(now, !transferRequests.isEmpty())) broadcastUsage(now);
        double rate = messagesPerMs();
        messageBudget = Math.min(Math.max(1, rate * MESSAGE_BURST_MS),
                messageBudget + (now - budgetRefilledAt) * rate / 2);
        budgetRefilledAt = now;
        double gap = Math.min(MAX_PEER_GAP_MS, (peers.length - 1) / rate);
        for (Peer peer : new ArrayList<>(sendQueue)) {
            if (now - peer.lastSentAt < gap || peer.replies.isEmpty() && messageBudget < 1) continue;
            if (peer.replies.isEmpty()) messageBudget -= 1;
            sendLedgerMessage(now, peer);
            if (!peer.reports.isEmpty() || !peer.replies.isEmpty()) continue;
            sendQueue.remove(peer);
            peer.inSendQueue = false;
        }
    }

    /**
     * Messages per millisecond that all peers together may send to one gateway, hence also that one may send.
     */
    private double messagesPerMs() {
        return Math.max(1, settings.sharing().messagesPerSecond()) * MESSAGE_BUDGET_SHARE / 1000;
    }

    /**
     * Broadcasts the use of changed customers, with requests and grants of ceiling units. In a tier where
     * queries would take too long, each gateway admits by the use that all gateways broadcast.
     */
    private void broadcastUsage(double now) {
        int count = UsageMessage.low16Bits(++broadcastsSent);
        List<Customer> reported = new ArrayList<>();
        List<UsageMessage.TransferRequest> wants = new ArrayList<>();
        List<UsageMessage.Grant> grants = grantTransfers(now);
        for (long id : gossip.nextCustomers(now,
                UsageMessage.maxEntries(UsageMessage.MAX_TRANSFERS + grants.size()))) {
            Customer c = customers.get(id);
            if (c == null) continue;
            refill(now, c);
            reported.add(c);
            double units = UsageMessage.transferableUnits(ceilingShortfall(now, c));
            for (int i = 0; units > 0 && i < LENDERS_PER_TRANSFER
                    && wants.size() < UsageMessage.MAX_TRANSFERS; i++) {
                int lender = c.transfers.chooseLender(now, c.firstGateway, c.setSize, peers.length, random,
                        g -> g != settings.me() && now - peers[g].lastBroadcastAt < STALE_REPORT_MS);
                if (lender < 0) break;
                c.transfers.requestSent(now, lender, count);
                wants.add(new UsageMessage.TransferRequest(id, c.planNumber, c.firstGateway, c.setSize,
                        lender, units));
            }
        }
        List<UsageMessage.Entry> entries = reported.stream().map(c -> new UsageMessage.Entry(c.id,
                c.planNumber, UsageMessage.encodeUsed(c.maxUsedUnits()), c.demand,
                c.fullness())).toList();
        counters.increment(Item.TOLD);
        actions.sendToPeer(ALL_PEERS, new UsageMessage(incarnation, count, entries, wants, grants).encode());
    }

    /** Units missing in the own share of a ceiling; 0 unless little is left and the quota has room. */
    private double ceilingShortfall(double now, Customer c) {
        double least = settings.sharing().maxUnits();
        boolean needs = c.plan.ceilingRate() > 0 && c.setSize > 1 && c.quotaLevel >= least
                && c.ceilingTokens - c.demand * 2 * gossip.meanIntervalMs() / 1000 < least;
        return needs ? ceilingRoom(now, c) - c.ceilingTokens : 0;
    }

    /**
     * Answers transfer requests with units beyond the own need, which are deducted here before they are sent.
     */
    private List<UsageMessage.Grant> grantTransfers(double now) {
        List<UsageMessage.Grant> grants = new ArrayList<>();
        for (CeilingTransferRequest r = transferRequests.poll(); r != null; r = transferRequests.poll()) {
            Customer c = r.customer();
            refill(now, c);
            double spare = c.ceilingTokens
                    - Math.max(MIN_KEPT_CEILING_SHARE * ceilingCapacity(c), c.demand);
            double units = UsageMessage.transferableUnits(Math.min(r.units(), spare));
            if (units <= 0 || now - r.receivedAt() > STALE_REPORT_MS) continue;
            c.ceilingTokens -= units;
            c.transfers.unitsGranted(now, units);
            grants.add(new UsageMessage.Grant(c.id, r.peer(), r.incarnation(), r.count(), units));
            if (grants.size() == UsageMessage.MAX_TRANSFERS) break;
        }
        return grants;
    }

    /** Keeps a broadcast's transfer requests for later answers, and takes the units that it grants. */
    private void handleTransfers(double now, Peer peer, UsageMessage m) {
        for (UsageMessage.TransferRequest w : m.transferRequests()) {
            boolean both = w.inSet(peer.number, peers.length) && w.inSet(settings.me(), peers.length);
            if (w.lender() != settings.me() || !both
                    || transferRequests.size() >= MAX_TRANSFER_REQUESTS) continue;
            Customer c = customer(now, w.customer(), w.plan(), w.first(), w.spread());
            if (c == null || c.planNumber != w.plan()) continue;
            transferRequests.add(new CeilingTransferRequest(c, peer.number,
                    UsageMessage.low16Bits(m.incarnation()), m.count(), w.units(), now));
        }
        for (UsageMessage.Grant g : m.grants()) {
            Customer c = g.borrower() == settings.me() ? customers.get(g.customer()) : null;
            if (c == null || g.borrowerIncarnation() != UsageMessage.low16Bits(incarnation)) continue;
            refill(now, c);
            if (!c.transfers.acceptsGrant(now, peer.number, g.requestCount())) continue;
            c.ceilingTokens = Math.max(c.ceilingTokens,
                    Math.min(ceilingRoom(now, c), c.ceilingTokens + g.units()));
        }
    }

    /** Deducts the use that a broadcast reports, and processes its requests and grants of ceiling units. */
    private void handleUsageMessage(double now, Peer peer, UsageMessage m) {
        if (!peer.accepts(now, m.incarnation(), m.count())) return;
        broadcastReceivedAt = peer.lastBroadcastAt = now;
        for (UsageMessage.Entry e : m.entries()) {
            Customer c = customer(now, e.customer(), e.plan(), 0, 0);
            if (c == null || c.planNumber != e.plan()) continue;
            // A peer that started before this process reports a level from which its earlier use is already
            // deducted. In its first report the level is adopted, and the use is not deducted again.
            PeerUsage usage = c.usageOf(peer);
            boolean adopts = !usage.known && now - startedAt < MIN_IDLE_EVICTION_MS
                    && m.incarnation() - incarnation < 0;
            double since = usage.usedSinceLastReport(e.used());
            c.othersDemand = Math.max(0, c.othersDemand + e.demand()
                    - usage.demand(now, DEMAND_WINDOW_MS));
            usage.demand = e.demand();
            usage.demandAt = now;
            c.lastReportAt = now;
            c.quotaLevel = Math.max(-settings.sharing().maxUnits(), c.quotaLevel - (adopts ? 0 : since));
            if (adopts) c.quotaLevel = Math.min(c.quotaLevel, e.fullness() * c.plan.burst());
        }
        handleTransfers(now, peer, m);
    }

    /** Sends one message with as many due replies and reports as fit, replies first. */
    private void sendLedgerMessage(double now, Peer peer) {
        List<LedgerMessage.Entry> entries = new ArrayList<>();
        int room = (MAX_LEDGER_MESSAGE_BYTES - LedgerMessage.HEADER_BYTES) / LedgerMessage.MAX_ENTRY_BYTES;
        peer.sentSerial++;
        for (LinkedHashSet<Customer> due : List.of(peer.replies, peer.reports)) {
            for (Iterator<Customer> it = due.iterator(); it.hasNext() && entries.size() < room; it.remove()) {
                Customer c = it.next();
                refill(now, c);
                entries.add(due == peer.replies ? replyEntry(now, c, peer) : reportEntry(now, c, peer));
            }
        }
        peer.lastSentAt = now;
        counters.increment(Item.TOLD);
        leases.messageSent(now, peer.number, peer.sentSerial);
        var message = new LedgerMessage(incarnation, peer.incarnation.number(), peer.sentSerial,
                peer.receivedSerial, entries);
        actions.sendToPeer(peer.number, message.encode());
    }

    /**
     * A report to a ledger replica on one customer, with a query for the units of all pending requests of the
     * customer, including those that wait for another replica.
     */
    private LedgerMessage.Entry reportEntry(double now, Customer c, Peer replica) {
        for (ActiveRequest a : c.pending) {
            if (a.queriedReplica == replica.number) a.querySerial = replica.sentSerial;
        }
        double wanted = c.pendingUnits();
        boolean needsReply = actingReplica(now, c, 0) == replica.number || now < replica.unresponsiveUntil
                || c.pending.stream().anyMatch(a -> a.queriedReplica == replica.number);
        boolean view = actingReplica(now, c, 0) == settings.me() || now - c.lastReportAt < FRESH_REPORT_MS;
        return new LedgerMessage.Entry(false, needsReply,
                c.plan.ceilingRate() > 0 && c.ceilingTokens < wanted, false, view, c.id, c.planNumber,
                c.firstGateway, c.setSize, c.used, wanted, c.demand, c.fullness(),
                c.openRequests, 0);
    }

    /** A ledger replica's reply to a peer on one customer. */
    private LedgerMessage.Entry replyEntry(double now, Customer c, Peer to) {
        PeerUsage usage = c.usageOf(to);
        double others = Math.max(0, c.demand + c.othersDemand - usage.demand(now, DEMAND_WINDOW_MS));
        return new LedgerMessage.Entry(true, false, c.plan.ceilingRate() > 0, missesHistory(now, c), false,
                c.id, c.planNumber, c.firstGateway, c.setSize, usage.bookedUnits, usage.grantedUnits, others,
                c.fullness(), c.openRequests + c.othersOpenRequests - usage.openRequests,
                usage.ceilingUnitsGiven);
    }

    @Override public void onPeerMessage(double now, int from, byte[] data) {
        if (from < 0 || from >= peers.length || from == settings.me()) return; // not a peer of this tier
        if (gossip != null) {
            UsageMessage usage = UsageMessage.decode(data);
            if (usage != null) counters.increment(Item.HEARD);
            if (usage != null) handleUsageMessage(now, peers[from], usage);
        }
        QuotaMessage quota = coordinator == null ? null : QuotaMessage.decode(data);
        LedgerMessage ledger = quota == null ? LedgerMessage.decode(data) : null;
        if (quota == null && ledger == null) return; // damaged, or of an unknown version
        counters.increment(Item.HEARD);
        if (coordinator != null) coordinator.onMessage(now, from, quota);
        if (coordinator != null) return;
        Peer peer = peers[from];
        if (!peer.accepts(now, ledger.incarnation(), ledger.serial())) return;
        peer.unresponsiveUntil = NEVER;
        boolean toThisIncarnation = ledger.receiverIncarnation() == incarnation;
        leases.messageReceived(now, from);
        if (toThisIncarnation) leases.messageAcknowledged(now, from, ledger.lastReceivedSerial());
        for (LedgerMessage.Entry e : ledger.entries()) {
            if (e.isReply()) handleReply(now, peer, e, ledger.lastReceivedSerial(), toThisIncarnation);
            else handleReport(now, peer, e);
        }
        sendDueMessages(now);
    }

    /**
     * Books, as a ledger replica, what a peer reports as used, and grants the units that it wants as far as
     * the bucket holds them.
     *
     * <p>The peer's bucket level is adopted if the peer is the acting replica, or if this process does not
     * know the history and the peer has a fresh level. If the peer's total of used units has fallen, units
     * are returned to the bucket, but at most those granted to the peer last and, for each request that it
     * had open at its last report, the largest request's units. A total that falls further shows that the
     * peer evicted the customer and counts from zero again; returning all of that would fill the bucket.
     * Ceiling units are deducted here before they are sent, so a lost message loses units.
     */
    private void handleReport(double now, Peer peer, LedgerMessage.Entry e) {
        int place = Math.floorMod(peer.number - e.first(), peers.length);
        if (e.spread() > peers.length || place >= e.spread()) return; // not a possible gateway set
        Customer c = customer(now, e.customer(), e.plan(), e.first(), e.spread());
        if (c == null) return;
        if (IntStream.of(c.replicas).noneMatch(r -> r == settings.me())) return;
        boolean unsure = missesHistory(now, c);
        boolean adopts = e.hasFillLevel() && (unsure || actingReplica(now, c, 0) == peer.number);
        if (adopts) {
            c.quotaLevel = Math.min(unsure ? c.quotaLevel : c.plan.burst(), e.fillLevel() * c.plan.burst());
            c.historyKnown = true;
        }
        PeerUsage usage = c.usageOf(peer);
        c.othersDemand = Math.max(0, c.othersDemand + e.demand() - usage.demand(now, DEMAND_WINDOW_MS));
        usage.demand = e.demand();
        usage.demandAt = now;
        double back = usage.grantedUnits + usage.openRequests * settings.sharing().maxUnits();
        c.othersOpenRequests += e.openRequests() - usage.openRequests;
        usage.openRequests = e.openRequests();
        double spent = usage.known && !adopts
                ? Math.max(-back, LedgerMessage.unitsAhead(e.usedUnits(), usage.bookedUnits)) : 0;
        usage.known = true;
        c.quotaLevel = Math.max(-c.plan.burst(), Math.min(c.plan.burst(), c.quotaLevel - spent));
        boolean gives = e.hasCeiling() && c.plan.ceilingRate() > 0;
        boolean grants = e.requestedOrGrantedUnits() > 0
                && (c.plan.rate() <= 0 || c.quotaLevel >= e.requestedOrGrantedUnits())
                && (!gives || c.ceilingTokens >= e.requestedOrGrantedUnits());
        usage.grantedUnits = grants ? e.requestedOrGrantedUnits() : 0;
        usage.bookedUnits = e.usedUnits() + usage.grantedUnits;
        c.quotaLevel -= usage.grantedUnits;
        if (actingReplica(now, c, 0) == settings.me() && spent + usage.grantedUnits != 0) queueChange(now, c);
        if (grants && gives && e.replyRequested()) {
            c.ceilingTokens -= e.requestedOrGrantedUnits();
            usage.ceilingUnitsGiven += e.requestedOrGrantedUnits();
        }
        if (e.replyRequested()) {
            peer.replies.add(c);
            queue(peer, null);
        }
    }

    /**
     * Processes a replica's reply: the bucket level, the others' demand, and the granted part of the wanted
     * units. If the plans differ, one of the two gateways was given a wrong plan, and nothing is granted.
     * Units that another replica granted are not booked by the primary, so the primary then gets a report.
     */
    private void handleReply(double now, Peer peer, LedgerMessage.Entry e, int mySerial, boolean current) {
        Customer c = customers.get(e.customer());
        if (c == null || !current) return;
        refill(now, c);
        if (c.planNumber != e.plan()) {
            var asked = c.pending.stream().filter(a -> a.queriedReplica == peer.number).toList();
            asked.forEach(a -> admitOrRefuse(now, a, false));
            return;
        }
        PeerUsage usage = c.usageOf(peer);
        if (e.hasCeiling() && e.grantedCeilingUnits() > usage.ceilingUnitsTaken) {
            c.ceilingTokens = Math.min(ceilingCapacity(c) - c.unsentCeilingUnits,
                    c.ceilingTokens + e.grantedCeilingUnits() - usage.ceilingUnitsTaken);
            usage.ceilingUnitsTaken = e.grantedCeilingUnits();
        }
        List<ActiveRequest> decided = c.pending.stream().filter(a -> a.queriedReplica == peer.number
                && !LedgerMessage.isLaterSerial(a.querySerial, mySerial)).toList();
        if (!e.uncertain()) {
            c.othersDemand = e.demand();
            c.othersOpenRequests = e.openRequests();
            c.lastReportAt = now;
            c.historyKnown = true;
            c.quotaLevel = e.fillLevel() * c.plan.burst() - LedgerMessage.unitsAhead(c.used, e.usedUnits());
        }
        double granted = e.requestedOrGrantedUnits();
        for (ActiveRequest active : decided) {
            double units = active.request.units();
            if (e.uncertain() && active.replicaStage + 1 < c.replicas.length) {
                queryReplica(now, active, active.replicaStage + 1);
                continue;
            }
            c.pending.remove(active);
            boolean in = granted >= units && (c.plan.ceilingRate() <= 0 || c.ceilingTokens >= units);
            granted -= in ? units : 0;
            if (!in) counters.increment(Item.KEEPER);
            admitOrRefuse(now, active, in);
            int primary = c.replicas[0];
            if (in && peer.number != primary && primary != settings.me()) queue(peers[primary], c);
        }
    }

    // ---- release of queued requests

    /** Concurrency slots of this gateway: its even part of all hosts' slots, and some for random bursts. */
    private double slotLimit() {
        double even = slotsPerHost * Math.max(1, warmCapacity) / peers.length;
        return Math.max(1, even + BURST_SLOTS_PER_ROOT * Math.sqrt(even) * (1 - 1.0 / peers.length));
    }

    /**
     * Work-conserving fair queueing: of the classes with queued requests, the lowest virtual time goes next.
     */
    private void release(double now) {
        double limit = slotLimit();
        LinkedHashSet<ClassState> stuck = new LinkedHashSet<>();
        while (attemptsInFlight < limit) {
            ClassState next = null;
            for (ClassState c : classes.values()) {
                boolean earlier = next == null || c.virtualTime < next.virtualTime;
                if (earlier && !c.queue.isEmpty() && !stuck.contains(c)) next = c;
            }
            if (next == null) return;
            if (!releaseOne(now, next)) stuck.add(next);
        }
        allSlotsUsed = true;
    }

    /** Sends the first queued request of a class for which a host may be used; false if there is none. */
    private boolean releaseOne(double now, ClassState c) {
        for (ActiveRequest active : c.queue.stream().limit(SCAN_LIMIT).toList()) {
            HostRecord host = now > active.sendBy && !active.mayHaveReachedHost() ? null
                    : chooseHost(now, active);
            if (host == null) continue;
            c.queue.remove(active);
            virtualTime = Math.max(virtualTime, c.virtualTime);
            c.virtualTime += active.expectedMs() / c.weight;
            boolean moreQueued = !c.queue.isEmpty();
            if (moreQueued && c.lastReleaseAt > NEVER) {
                c.meanReleaseGapMs +=
                        RELEASE_GAP_SAMPLE_WEIGHT * (now - c.lastReleaseAt - c.meanReleaseGapMs);
            }
            c.lastReleaseAt = moreQueued ? now : NEVER;
            send(now, active, host);
            return true;
        }
        return false;
    }

    private void send(double now, ActiveRequest active, HostRecord host) {
        Attempt attempt = new Attempt(active, host, now, active.expectedMs(), totalStallMs);
        if (active.attempts.isEmpty()) {
            retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
            active.cls.recordDelay(now - active.arrivedAt, 0);
            if (active.customer != null) active.customer.unsentCeilingUnits -= active.request.units();
        }
        active.attempts.add(attempt);
        if (active.request.bodyTimeMs() == 0) { // a host starts no request before its last byte has arrived
            takeSlot(attempt);
        }
        counters.increment(Item.SENT);
        if (warmth(host, now) < 1) counters.increment(Item.TO_COLD);
        actions.send(active.request.id(), host.info.id(), 0);
    }

    /**
     * The time by which a queued request must be sent or answered: before its deadline (rule 1), and while an
     * answer is useful.
     */
    private double giveUpAt(ActiveRequest active) {
        double end = active.request.deadlineMs() - DEADLINE_MARGIN_MS;
        Attempt ran = active.firstPossiblyRun();
        if (ran != null) return Math.min(end, repeatableUntil(active, ran));
        // A request that reached no host is refused early, so that the client has time left for a further
        // try.
        double time = active.request.deadlineMs() - active.arrivedAt;
        if (!active.mayHaveReachedHost()) end = Math.min(end, active.arrivedAt + UNSENT_TIME_SHARE * time);
        double goal = active.cls.spec.goalMs();
        double useful = active.cls.spec.lateValue() >= MIN_LATE_VALUE ? end
                : Math.min(end, active.arrivedAt + goal);
        double hold = useful - active.arrivedAt - FINISH_TIME_FACTOR * active.expectedMs();
        double sendBy = active.mayHaveReachedHost() ? end : Math.min(end, active.sendBy);
        return Math.min(sendBy, active.arrivedAt + Math.max(MIN_HOLD_GOAL_SHARE * goal, hold));
    }

    private void expireQueued(double now) {
        for (ClassState c : classes.values()) {
            for (ActiveRequest active : c.queue.stream().filter(a -> now >= giveUpAt(a)).toList()) {
                counters.increment(active.attempts.isEmpty() ? Item.NO_PLACE : Item.TRIED);
                c.recordDelay(now - active.arrivedAt, 0);
                answerUnserved(active); // also removes it from the queue
            }
        }
    }

    /**
     * Gives the final answer to an unserved request: a refusal only where a further try is harmless (rule 2).
     */
    private void answerUnserved(ActiveRequest active) {
        RequestClass spec = active.cls.spec;
        boolean harmless = active.firstPossiblyRun() == null || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && spec.scope() == EngineApi.Scope.ALL;
        close(active);
        // A slot can be expected once the requests that are queued now have been sent.
        if (harmless) {
            actions.refuse(active.request.id(),
                    retryAfterMs(active.cls.queue.size() * active.cls.meanReleaseGapMs));
        } else actions.fail(active.request.id());
    }

    /** Ends the handling of a request, and returns the units of one that was never sent. */
    private void close(ActiveRequest active) {
        if (!active.hasAttemptInFlight()) activeRequests.remove(active.request.id());
        if (active.closed) return;
        active.closed = true;
        active.cls.queue.remove(active);
        Customer c = active.customer;
        if (c == null) return;
        c.pending.remove(active);
        if (!active.admitted && coordinator != null) coordinator.abandonRequest(active.request.id());
        if (!active.admitted) return;
        c.openRequests--;
        if (active.attempts.isEmpty()) { // admitted but never sent: return the units
            c.charge(-active.request.units(), -active.request.units(), DEMAND_WINDOW_MS);
            if (coordinator != null) coordinator.returnUnits(active.grant);
        }
    }

    /**
     * Adapts the slots per host to the latency of recent answers: multiplicative growth and multiplicative
     * cut.
     */
    private void adaptSlots(double now) {
        if (now - slotsAdaptedAt < SLOT_ADAPTATION_MS) return;
        // A few answers are not significant: one in five takes twice its usual latency even on idle hosts.
        if (latencySamples > 0 && latencySamples < MIN_ADAPTATION_SAMPLES
                && now - slotsAdaptedAt < MIN_ADAPTATION_SAMPLES * SLOT_ADAPTATION_MS) return;
        slotsAdaptedAt = now;
        if (latencySamples > 0) {
            boolean queueing = latencySumMs > QUEUEING_LATENCY_FACTOR * baselineSumMs
                    && goalShareSum > HARMLESS_GOAL_SHARE * latencySamples
                    || goalShareSum > QUEUEING_GOAL_SHARE * latencySamples;
            if (queueing) slotsPerHost = Math.max(MIN_SLOTS_PER_HOST, slotsPerHost * SLOT_CUT_FACTOR);
            else if (allSlotsUsed) {
                slotsPerHost = Math.min(MAX_SLOTS_PER_HOST, slotsPerHost * SLOT_GROWTH_FACTOR);
            }
        }
        latencySumMs = baselineSumMs = goalShareSum = 0;
        latencySamples = 0;
        for (ClassState c : classes.values()) {
            double baseline = c.samples < MIN_BASELINE_SAMPLES ? c.latencyMsPerUnit
                    : c.baselineMsPerUnit * BASELINE_GROWTH;
            c.baselineMsPerUnit = Math.min(baseline, c.latencyMsPerUnit);
        }
    }

    // ---- class weights by donation

    /** A class's goal for its mean delay, in milliseconds. */
    static double delayGoal(ClassState c) {
        return c.spec.goalMs() * DELAY_GOAL_SHARE;
    }

    /** Averages the delays of the classes and, at longer intervals, moves weight between the classes. */
    private void adaptClassWeights(double now) {
        if (now - delaysAveragedAt < DELAY_AVERAGING_INTERVAL_MS) return;
        delaysAveragedAt = now;
        for (ClassState c : classes.values()) {
            if (c.intervalRequests > 0) {
                double mean = c.intervalDelaySumMs / c.intervalRequests;
                c.averageDelayMs = c.averageDelayMs == 0 ? mean
                        : DELAY_SMOOTHING_OLD_WEIGHT * c.averageDelayMs
                                + (1 - DELAY_SMOOTHING_OLD_WEIGHT) * mean;
            }
            c.intervalDelaySumMs = 0;
            c.intervalRequests = 0;
        }
        if (now - lastDonationAt < donationIntervalMs) return;
        lastDonationAt = now;
        if (allSlotsUsed) classes.values().forEach(DecisionEngine::measureSlope);
        boolean donated = allSlotsUsed && donateWeight(new ArrayList<>(classes.values()));
        donationIntervalMs = donated ? Math.min(MAX_DONATION_INTERVAL_MS, donationIntervalMs * 2)
                : MIN_DONATION_INTERVAL_MS;
        allSlotsUsed = false;
    }

    /**
     * Measures how much delay a class has lost per unit of weight since the last measurement. A slope near
     * zero or of the wrong sign leaves the last good magnitude in place.
     */
    static void measureSlope(ClassState c) {
        double gained = c.weight - c.slopeStartWeight;
        if (c.slopeStartWeight > 0 && Math.abs(gained) > 1e-6) {
            double magnitude = -(c.averageDelayMs - c.slopeStartDelayMs) / gained;
            if (magnitude > delayGoal(c) * CONTENT_BAND_HALF_WIDTH) c.delaySlope = magnitude;
        }
        c.slopeStartWeight = c.weight;
        c.slopeStartDelayMs = c.averageDelayMs;
    }

    /**
     * Moves weight to the class that exceeds its delay goal most, from classes with delays below their goals,
     * in proportion to their surplus. Each donation is clamped so that the donor's expected delay stays at or
     * below the lower end of its content band; the sum of the weights stays the same. If no class exceeds its
     * goal or none has a surplus, the weights stay as they are.
     *
     * @return whether any weight was moved
     */
    static boolean donateWeight(List<ClassState> all) {
        ClassState worst = null;
        double totalSurplus = 0;
        for (ClassState c : all) {
            double over = c.averageDelayMs / delayGoal(c);
            if (over >= 1 + CONTENT_BAND_HALF_WIDTH
                    && (worst == null || over > worst.averageDelayMs / delayGoal(worst))) worst = c;
            totalSurplus += weightSurplus(c);
        }
        if (worst == null || totalSurplus <= 0) return false;
        double needed = worst.delaySlope > 0 ? (worst.averageDelayMs - delayGoal(worst)) / worst.delaySlope
                : INITIAL_WEIGHT_STEP;
        double moved = 0;
        for (ClassState c : all) {
            if (weightSurplus(c) <= 0) continue;
            double clamp = c.delaySlope > 0
                    ? ((1 - CONTENT_BAND_HALF_WIDTH) * delayGoal(c) - c.averageDelayMs) / c.delaySlope
                    : INITIAL_WEIGHT_STEP;
            double donation = COMMITTED_DONATION_SHARE
                    * Math.min(needed * weightSurplus(c) / totalSurplus, clamp);
            donation = Math.max(0, Math.min(donation, c.weight - MIN_CLASS_WEIGHT));
            c.weight -= donation;
            moved += donation;
        }
        worst.weight += moved;
        return moved > 0;
    }

    /**
     * Weight that a class could lose before its delay reaches its goal; 0 if it is not below the content
     * band.
     */
    private static double weightSurplus(ClassState c) {
        if (c.averageDelayMs > (1 - CONTENT_BAND_HALF_WIDTH) * delayGoal(c)) return 0;
        return (delayGoal(c) - c.averageDelayMs) / (c.delaySlope > 0 ? c.delaySlope : delayGoal(c));
    }

    // ---- hosts

    /**
     * {@inheritDoc}
     *
     * <p>{@code open} counts open requests, {@code out} attempts that hold a slot, and {@code places} the
     * slots of this gateway; {@code hosts} counts usable hosts, {@code cold} those that warm up, and
     * {@code avoided} the hosts of {@link #avoidedHostCount}.
     */
    @Override public String takeActivityLine(double now) {
        long cold = usableHosts.stream().filter(h -> warmth(h, now) < 1).count();
        return counters.takeLine() + " open=" + activeRequests.size() + " out=" + attemptsInFlight
                + " places=" + (int) slotLimit() + " hosts=" + usableHosts.size() + " cold=" + cold
                + " avoided=" + avoidedHostCount(now)
                + (coordinator == null ? "" : coordinator.takeActivityCounts());
    }

    @Override public boolean isColdHost(double now, String id) {
        HostRecord host = hostsById.get(id);
        return host != null && warmth(host, now) < 1;
    }

    @Override public int avoidedHostCount(double now) {
        return (int) hostsById.values().stream().filter(h -> h.listed).filter(h -> !h.acceptsRequests()
                || h.slowness.factor(now, SLOWNESS_FADE_MS) >= FULL_HOST_SLOWNESS).count();
    }

    /**
     * The slowness of a host for a class. Failures count against one class on a host, which may serve the
     * other classes as before; slow answers count against the host.
     */
    private static double slowness(double now, HostRecord host, ClassState c) {
        return host.slowness.factor(now, SLOWNESS_FADE_MS) * host.slownessOf(c).factor(now, SLOWNESS_FADE_MS);
    }

    /** The share of its capacity that a host has while it warms up; 1 when it is warm. */
    private double warmth(HostRecord host, double now) {
        double from = settings.rules().coldShare();
        double done = (now - host.startedAt) / Math.max(1, settings.rules().warmWithinMs());
        return done >= 1 ? 1 : Math.max(0.01, from + (1 - from) * Math.max(0, done));
    }

    /** Counts the usable hosts and chooses the preferred ones, so that each event needs only look-ups. */
    private void surveyHosts(double now) {
        surveyedAt = now;
        usableHosts.clear();
        warmCapacity = 0;
        for (HostRecord host : hostsById.values()) {
            if (!host.acceptsRequests()) continue;
            usableHosts.add(host);
            warmCapacity += host.slowness.factor(now, SLOWNESS_FADE_MS) < FULL_HOST_SLOWNESS
                    ? warmth(host, now) : 0;
        }
        // Each gateway sends to some hosts only, and the gateways take consecutive parts of the list: each
        // host gives a gateway more answers and warm connections, and with hundreds of gateways no host's
        // connection table fills up.
        usableHosts.sort(Comparator.comparingLong(h -> h.order));
        preferredHosts.clear();
        int preferred =
                Math.max(MIN_PREFERRED_HOSTS, MIN_GATEWAYS_PER_HOST * usableHosts.size() / peers.length);
        for (int i = 0; i < Math.min(preferred, usableHosts.size()); i++) {
            preferredHosts.add(usableHosts.get(
                    (int) (((long) settings.me() * preferred + i) % usableHosts.size())));
        }
    }

    /**
     * Chooses the best of a few hosts drawn at random; null if none may be used. Each gateway knows only its
     * own attempts in flight. If all gateways compared all hosts by these few counts, they would choose the
     * same host. So {@link #MIN_COMPARED_HOSTS} hosts are drawn, and two more for each own attempt in flight;
     * if that makes all preferred hosts, all of them are compared.
     */
    private HostRecord chooseHost(double now, ActiveRequest active) {
        int draws = Math.min(preferredHosts.size(), MIN_COMPARED_HOSTS + 2 * attemptsInFlight);
        HostRecord best = bestHost(now, active,
                comparesAll() ? preferredHosts : drawHosts(now, active.cls, draws), draws);
        return best != null ? best : bestHost(now, active, usableHosts, usableHosts.size());
    }

    /** Whether there are enough own attempts in flight for a comparison of all preferred hosts. */
    private boolean comparesAll() {
        return MIN_COMPARED_HOSTS + 2 * attemptsInFlight >= preferredHosts.size();
    }

    /** Draws preferred hosts, slow ones less often. */
    private Collection<HostRecord> drawHosts(double now, ClassState c, int draws) {
        LinkedHashSet<HostRecord> drawn = new LinkedHashSet<>();
        for (int i = 0; i < draws * SCAN_LIMIT && drawn.size() < draws; i++) {
            HostRecord host = preferredHosts.get(random.nextInt(preferredHosts.size()));
            if (random.nextDouble() * slowness(now, host, c) <= 1) drawn.add(host);
        }
        return drawn;
    }

    private HostRecord bestHost(double now, ActiveRequest active, Collection<HostRecord> drawn, int draws) {
        HostRecord best = null;
        double bestScore = Double.MAX_VALUE;
        // About {@code serving} of the compared hosts take requests, so a host's even chance is 1 / serving.
        // A cold host takes part with {@code share} of that chance.
        double serving = draws * Math.max(MIN_SERVING_SHARE, warmCapacity / Math.max(1, usableHosts.size()));
        for (HostRecord host : drawn) {
            if (!host.acceptsRequests() || !mayRunOn(now, active, active.firstPossiblyRun(), host)) continue;
            // A cold host has no attempts and would win each comparison, so it takes part only as often as it
            // may win (rule 4).
            double warmth = warmth(host, now);
            double share = COLD_HOST_SAFETY_SHARE * settings.rules().overloadFactor() * warmth;
            // Before any attempt may have run, a comparison of all usable hosts is the second one of this
            // request: the cold hosts were considered in the first.
            boolean hadChance = drawn == usableHosts && active.firstPossiblyRun() == null;
            boolean skipped = warmth < 1 && (hadChance || random.nextDouble() * serving > share);
            if (skipped && !mayTryOne(active, host, warmth)) continue;
            double score = score(now, active, host) * (1 + 1e-3 * random.nextDouble());
            if (score < bestScore) best = host;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    /**
     * Whether a cold host may get one request beyond its random share. Where nearly all hosts are cold,
     * chance alone would leave them idle, and the few warm ones would take four times their usual latency.
     * One request of each gateway at a time cannot overload a host: a gateway sends the next one only when
     * the host has finished the last one, so beyond the work that it finishes the host has at most one
     * request of each gateway. This work must fit into what rule 4 allows beyond the host's capacity.
     */
    private boolean mayTryOne(ActiveRequest active, HostRecord host, double warmth) {
        double allowed = (settings.rules().overloadFactor() - 1) * warmth * MIN_CORES_PER_HOST
                * settings.rules().overloadWindowMs();
        return host.attempts.isEmpty() && active.request.bodyTimeMs() == 0
                && peers.length * active.expectedMs() <= allowed;
    }

    /**
     * Expected time to serve the request at a host, raised by the host's slowness; the lowest is the best.
     */
    private double score(double now, ActiveRequest active, HostRecord host) {
        double doubt = slowness(now, host, active.cls);
        if (!comparesAll() && doubt < TROUBLED_SLOWNESS) doubt = 1; // the draw has taken it into account
        for (Attempt a : active.attempts) {
            if (a.host == host) doubt *= FULL_HOST_SLOWNESS;
        }
        // The own zone is preferred only if the own attempts in flight are enough to show its load. Otherwise
        // all gateways would send to an overloaded zone.
        double zone = !comparesAll() || host.info.zone().equals(settings.zone()) ? 0
                : CROSS_ZONE_COST_SHARE * active.expectedMs();
        // If not all usable hosts are preferred, only some gateways prefer a given cold host, so it is
        // already compared less often than if all did. Its score is not raised as well.
        double warmth = preferredHosts.size() < usableHosts.size() ? 1 : warmth(host, now);
        return (active.expectedMs() + host.workInFlightMs) * doubt / warmth + zone;
    }

    /** Rule 2: once an attempt may have run, a request goes only to hosts where a repeat does no harm. */
    private boolean mayRunOn(double now, ActiveRequest active, Attempt ran, HostRecord host) {
        return repeatable(now, active, ran) && (ran == null || active.cls.spec.effect() != Effect.KEYED
                || active.cls.spec.scope().sharesKeys(host.info, ran.hostInfo));
    }

    private static boolean repeatable(double now, ActiveRequest active, Attempt ran) {
        return ran == null || now < repeatableUntil(active, ran);
    }

    /** The time until which a request may run again after an attempt that may have run. */
    private static double repeatableUntil(ActiveRequest active, Attempt ran) {
        RequestClass spec = active.cls.spec;
        return switch (spec.effect()) {
            case REPEATABLE -> Double.POSITIVE_INFINITY;
            case KEYED -> ran.sentAt + KEY_WINDOW_SHARE * spec.windowMs();
            case ONCE -> NEVER;
        };
    }

    /** Whether a request may have a further attempt, which takes a retry token. */
    private boolean takeRetryToken(double now, ActiveRequest active) {
        boolean may = repeatable(now, active, active.firstPossiblyRun()) && !active.streaming
                && now < giveUpAt(active) && retryTokens >= 1
                && active.mayHaveAttempt(settings.limits());
        retryTokens -= may ? 1 : 0;
        return may;
    }

    /**
     * Updates latencies and host health from an attempt's end.
     *
     * <p>An answer that arrived during a stall of this process was read late, so its latency says nothing
     * about the host. After a failed connection the host, down or full, is avoided at once. A host that
     * rejects as full without another attempt of this gateway is avoided at once as well: the load is not
     * this gateway's, since the host drains or other gateways fill it. Without own attempts it would win each
     * comparison, and each gateway of a large tier has to find out by itself.
     */
    private void learn(double now, ActiveRequest active, Attempt attempt, AttemptResult result) {
        HostRecord host = attempt.host;
        ClassState c = active.cls;
        boolean clear = ownStallMs(now, attempt) <= MAX_OWN_STALL_SHARE * result.latencyMs();
        counters.increment(Item.of(result.outcome()));
        switch (result.outcome()) {
            case OK -> {
                host.slownessOf(c).update(now, 1, FAILURE_SAMPLE_WEIGHT, SLOWNESS_FADE_MS);
                if (clear) {
                    host.slowness.update(now, result.latencyMs() / Math.max(1, attempt.expectedMs),
                            LATENCY_SAMPLE_WEIGHT, SLOWNESS_FADE_MS);
                    double perUnit = result.latencyMs() / Math.max(0.1, active.request.units());
                    c.samples++;
                    c.latencyMsPerUnit += Math.max(0.03, 1.0 / c.samples) * (perUnit - c.latencyMsPerUnit);
                    c.recordDelay(0, result.latencyMs());
                }
                if (active.customer != null && settings.sharing().postPaid() && result.usedUnits() > 0) {
                    active.customer.charge(result.usedUnits() - active.request.units(), 0, DEMAND_WINDOW_MS);
                }
            }
            case CONNECT_FAILED -> host.slowness.update(now, MAX_SLOWNESS, 1, SLOWNESS_FADE_MS);
            case FULL -> {
                boolean idle = host.attempts.isEmpty(); // this gateway has no other attempt there
                host.slowness.update(now, idle ? MAX_SLOWNESS : FULL_HOST_SLOWNESS,
                        idle ? 1 : FAILURE_SAMPLE_WEIGHT, SLOWNESS_FADE_MS);
            }
            case ERROR, RESET, TIMEOUT ->
                    host.slownessOf(c).update(now, MAX_SLOWNESS, FAILURE_SAMPLE_WEIGHT, SLOWNESS_FADE_MS);
            default -> { }
        }
        if (clear && (result.outcome() == Outcome.OK || result.outcome() == Outcome.TIMEOUT)) {
            latencySumMs += result.latencyMs(); // a timeout is an answer that takes at least that long
            baselineSumMs += c.baselineMsPerUnit * active.request.units();
            goalShareSum += result.latencyMs() / c.spec.goalMs();
            latencySamples++;
        }
        if (active.customer != null && !settings.limits().peerMessages()) {
            active.customer.applyMeterReading(now, result.quotaUsedPct(), EVEN_DEMAND_SHARE);
        }
    }

    /**
     * Counts overdue attempts against their hosts, and cancels those whose request may run elsewhere in time.
     */
    private void handleOverdueAttempts(double now) {
        for (HostRecord host : new ArrayList<>(busyHosts)) {
            for (Attempt a : new ArrayList<>(host.attempts)) {
                double expected = a.expectedMs * Math.max(1, host.slowness.factor(now, SLOWNESS_FADE_MS));
                double waited = now - a.awaitedSince - ownStallMs(now, a);
                if (a.overdue || a.active.streaming
                        || waited <= OVERDUE_LATENCY_FACTOR * expected + OVERDUE_MARGIN_MS) continue;
                a.overdue = true;
                host.slownessOf(a.active.cls).update(now, MAX_SLOWNESS, FAILURE_SAMPLE_WEIGHT,
                        SLOWNESS_FADE_MS);
                boolean useful = !a.active.closed && now + a.expectedMs < giveUpAt(a.active);
                // The body of a streamed request is gone, so no other attempt could follow.
                boolean safe = a.active.cls.spec.effect() != Effect.ONCE && settings.limits().cancel()
                        && a.active.request.bodyTimeMs() == 0;
                if (useful && safe && retryTokens >= 1) actions.cancel(a.active.request.id(), a.number);
            }
        }
    }

    private void evictIdle(double now) {
        if (now - evictedAt < EVICTION_INTERVAL_MS) return;
        evictedAt = now;
        customers.values().stream().filter(c -> c.isIdle(now)).toList().forEach(this::evict);
        hostsById.values().removeIf(h -> !h.listed && h.attempts.isEmpty());
    }

    /**
     * Makes room for a new customer where there is none left, so that a flood under ever new names keeps out
     * no other. Only customers whose buckets are as full as those of a new one are evicted, which grants no
     * units.
     */
    private void evictReplenished(double now) {
        TableEviction.makeRoom(
                customers, MAX_TRACKED_CUSTOMERS, oldest -> oldest.isReplenished(now), this::evict);
    }

    /** Forgets a customer, also where it waits to be reported to a peer. */
    private void evict(Customer c) {
        customers.remove(c.id);
        for (Peer peer : peers) {
            peer.reports.remove(c);
            peer.replies.remove(c);
        }
    }
}
