package marlford.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.gossip.QuotaTransfers;
import marlford.gateway.gossip.UsageMessage;
import marlford.gateway.quota.PeerIncarnation;
import marlford.gateway.quota.QuotaCoordinator;
import marlford.gateway.quota.QuotaMessage;

/**
 * The mutable state of one {@link DecisionEngine}: plain fields and look-ups without decisions. Times are in milliseconds on the
 * clock of the engine's events. Not thread-safe; it belongs to the engine's event loop.
 */
final class EngineState {
    /** In the place of a time: it has not happened yet. */
    static final double NEVER = Double.NEGATIVE_INFINITY;
    /** In the place of a peer's number: a message to all peers. */
    static final int ALL_PEERS = -1;
    /** Upper limit of a slowness factor; larger measured ratios are clamped to it. */
    static final double MAX_SLOWNESS = 12;
    /**
     * Shortest time without requests after which a customer's state may be evicted. The engine uses it for three
     * more times: the retry time of a refusal of a request without customer state; how long heartbeats go on
     * after the last use of a leased ceiling; and how long after its start it adopts bucket levels that peers
     * broadcast.
     */
    static final double MIN_IDLE_EVICTION_MS = 20_000;
    private static final double EVICTION_REFILL_MULTIPLE = 2; // multiple of the time in which the slowest bucket fills from empty

    private EngineState() { }

    /**
     * How long a customer must be idle before its state is evicted. By then its buckets are as full as those of a new
     * customer, so eviction grants no units.
     */
    static double idleEvictionMs(Plan plan) {
        double quota = plan.rate() > 0 ? plan.burst() / plan.rate() : 0;
        double ceiling = plan.ceilingRate() > 0 ? plan.ceilingBurst() / plan.ceilingRate() : 0;
        return Math.max(MIN_IDLE_EVICTION_MS, EVICTION_REFILL_MULTIPLE * 1000 * Math.max(quota, ceiling));
    }

    /**
     * Rendezvous hashing: the gateways of a set that rank first for a key. Every gateway computes the same result without
     * communication.
     *
     * @param firstGateway number of the set's first gateway; the set wraps around at the end of the tier
     * @param setSize gateways in the set
     * @param gateways gateways in the tier
     * @param count gateways to return, at most; best rank first
     */
    static int[] rendezvousRanked(long key, int firstGateway, int setSize, int gateways, int count) {
        int[] ranked = new int[setSize];
        long[] hashes = new long[setSize];
        for (int i = 0; i < setSize; i++) {
            int gateway = Math.floorMod(firstGateway + i, gateways);
            long hash = mixBits(key * 31 + mixBits(gateway));
            int at = i;
            for (; at > 0 && hashes[at - 1] > hash; at--) {
                ranked[at] = ranked[at - 1];
                hashes[at] = hashes[at - 1];
            }
            ranked[at] = gateway;
            hashes[at] = hash;
        }
        return Arrays.copyOf(ranked, Math.min(setSize, count));
    }

    private static long mixBits(long x) {
        long h = (x ^ x >>> 32) * 0x9E3779B97F4A7C15L;
        return (h ^ h >>> 29) * 0xBF58476D1CE4E5B9L ^ h >>> 32;
    }

    /** One request class: its queue, its weight and virtual time in fair queueing, and its latency and delay averages. */
    static final class ClassState {
        final RequestClass spec;
        final ArrayDeque<ActiveRequest> queue = new ArrayDeque<>();
        double weight; // share of all classes; the weights sum to 1
        double virtualTime; // expected work released so far divided by weight; the lowest is released next
        double latencyMsPerUnit; // average
        double baselineMsPerUnit; // lowest recent average: latency without queueing at the hosts
        int samples; // answers in the average
        double lastReleaseAt = NEVER; // NEVER also while the queue is empty
        double meanReleaseGapMs; // between releases while the queue is not empty
        double averageDelayMs; // of queueing and serving; input of the weights
        double intervalDelaySumMs; // since the average was last updated
        int intervalRequests; // the requests of that sum
        double delaySlope; // magnitude: delay lost for each unit of weight gained; 0 = not known yet
        double slopeStartDelayMs; // delay and weight at the start of the present slope measurement
        double slopeStartWeight;

        ClassState(RequestClass spec) {
            this.spec = spec;
        }

        /**
         * Adds queueing time or latency to the interval's sum. A call with latency 0 also counts a request. That
         * happens when a request is first sent and when it expires in the queue, so a request that was queued again
         * after an attempt and then expires is counted twice.
         */
        void recordDelay(double queuedMs, double latencyMs) {
            intervalDelaySumMs += queuedMs + latencyMs;
            intervalRequests += latencyMs > 0 ? 0 : 1;
        }
    }

    /** What is known of a peer gateway, and what is queued to be sent to it. */
    static final class Peer {
        final int number;
        final LinkedHashSet<Customer> reports = new LinkedHashSet<>(); // due to the peer, a ledger replica
        final LinkedHashSet<Customer> replies = new LinkedHashSet<>(); // due to the peer from the ledger kept here
        boolean inSendQueue;
        final PeerIncarnation incarnation = new PeerIncarnation();
        int sentSerial; // of the last message to it
        int receivedSerial; // of the last message from it
        double lastSentAt = NEVER;
        double unresponsiveUntil = NEVER;
        double lastBroadcastAt = NEVER; // when its last usage broadcast arrived
        double ceilingSharedAt = NEVER; // when a ceiling of which both gateways are replicas was last updated

        Peer(int number) {
            this.number = number;
        }

        /**
         * Whether to process a message: false for a message that arrives out of order or twice, or is of an earlier
         * incarnation of its sender.
         */
        boolean accepts(double now, int senderIncarnation, int serial) {
            boolean sameIncarnation = incarnation.isKnown() && senderIncarnation == incarnation.number();
            boolean late = sameIncarnation && !LedgerMessage.isLaterSerial(serial, receivedSerial);
            if (!incarnation.accept(now, senderIncarnation) || late) return false;
            receivedSerial = serial;
            return true;
        }
    }

    /**
     * What this gateway and one peer have reported to each other on one customer. It is replaced by an empty one when
     * either process starts a new incarnation.
     */
    static final class PeerUsage {
        int incarnation; // of the peer
        boolean known; // a report of this incarnation has arrived
        int usedField; // running total as encoded in the peer's broadcasts
        double bookedUnits; // running total of quota units booked in the ledger for the peer
        double grantedUnits; // part of it that was granted in advance by the last reply
        double demand; // in units per second
        double demandAt; // when that demand was reported
        int openRequests;
        double ceilingUnitsGiven; // running total of ceiling units given to the peer
        double ceilingUnitsTaken; // running total of ceiling units received from the peer

        /** The peer's demand now, decayed from its last report. */
        double demand(double now, double averagingMs) {
            return demand * Math.exp(-(now - demandAt) / averagingMs);
        }

        /** Units by which the broadcast total has grown since the last one; the whole total if it is new or was reset. */
        double usedSinceLastReport(int total) {
            double since = known ? UsageMessage.unitsAhead(total, usedField) : -1;
            known = true;
            usedField = total;
            return since < 0 ? UsageMessage.decodeUsed(total) : since;
        }
    }

    /** One customer's token buckets at this gateway and, where it is a ledger replica, what the peers reported. */
    static final class Customer {
        final long id;
        final int planNumber;
        final Plan plan;
        int firstGateway; // the customer's set: gateways that may receive its requests
        int setSize; // 0 while the customer is known from peers only
        int[] replicas = {}; // gateways of the set that hold the ledger, the primary first
        final Map<Integer, PeerUsage> usageByPeer = new TreeMap<>();
        final ArrayDeque<ActiveRequest> pending = new ArrayDeque<>(); // requests that wait for a replica's reply
        double localTokens; // this gateway's part of the quota
        double quotaLevel; // the whole quota bucket: as booked at a ledger replica, elsewhere an upper limit
        double ceilingTokens; // this gateway's part of the ceiling
        double leaseHeldSince; // when the leased part of the ceiling was acquired, or TwoPartyLeases.NOT_HELD
        final QuotaTransfers transfers = new QuotaTransfers(); // of ceiling units
        double refilledAt;
        double demand; // at this gateway, in units per second, averaged
        double othersDemand; // of the other gateways, in units per second
        int othersOpenRequests;
        double used; // units, as a running total
        private double maxUsedUnits;
        double unsentCeilingUnits; // admitted, while the request has not been sent to a host yet
        double lastReportAt = NEVER; // when a replica or a broadcast last reported on this customer
        double lastQueuedAt = NEVER; // when a report on this customer was last queued for a replica
        boolean historyKnown; // at a ledger replica: it knows what was used before its start
        double meteredShare; // of the quota, derived from a usage meter where there are no peer messages
        double meteredAt = NEVER;
        double usagePerSecond;
        int openRequests;

        Customer(long id, int planNumber, Plan plan, double now) {
            this.id = id;
            this.planNumber = planNumber;
            this.plan = plan;
            this.refilledAt = now;
        }

        QuotaMessage.CustomerKey named() {
            return new QuotaMessage.CustomerKey(id, planNumber, firstGateway, setSize);
        }

        /** What this gateway and a peer have reported to each other, empty for each new incarnation of the peer. */
        PeerUsage usageOf(Peer peer) {
            PeerUsage usage = usageByPeer.get(peer.number);
            if (usage == null || usage.incarnation != peer.incarnation.number()) {
                othersOpenRequests -= usage == null ? 0 : usage.openRequests;
                usage = new PeerUsage();
                usage.incarnation = peer.incarnation.number();
                usageByPeer.put(peer.number, usage);
            }
            return usage;
        }

        /** The highest total of used units so far; returned units do not lower it. */
        double maxUsedUnits() {
            maxUsedUnits = Math.max(maxUsedUnits, used);
            return maxUsedUnits;
        }

        /** Takes units from the buckets of the quota and of the ceiling, or returns them where negative. */
        void charge(double units, double ceilingUnits, double averagingMs) {
            localTokens = Math.max(localTokens - units, -plan.burst() / setSize);
            quotaLevel = Math.max(-plan.burst(), Math.min(plan.burst(), quotaLevel - units));
            used += units;
            usagePerSecond += units / averagingMs * 1000;
            unsentCeilingUnits += ceilingUnits;
            ceilingTokens -= ceilingUnits;
        }

        /**
         * Applies a usage meter's reading: the percentage of the quota that all gateways used. It is the only source
         * of the others' use where peer messages are not available.
         *
         * @param step amount by which the share may rise while the quota is not used up and demand exceeds it
         */
        void applyMeterReading(double now, int usedPct, double step) {
            if (usedPct <= 0 || plan.rate() <= 0) return;
            double total = (usedPct - 1) / 100.0 * plan.rate();
            double share = total > 0 ? Math.min(1, usagePerSecond / total) : 1.0 / setSize;
            boolean rises = total < plan.rate() && demand > share * plan.rate();
            meteredShare = rises ? Math.min(1, Math.max(share, meteredShare) + step) : share;
            meteredAt = now;
        }

        /** Whether no request of this gateway uses or awaits the customer's units. */
        boolean isUnused() {
            return openRequests == 0 && pending.isEmpty();
        }

        /** Whether the customer has not been used for so long that it can be evicted. */
        boolean isIdle(double now) {
            return isUnused() && now - refilledAt > idleEvictionMs(plan);
        }

        /**
         * Whether the customer's buckets are as full as those of a new customer, without those of customers that
         * peers know.
         */
        boolean isReplenished(double now) {
            double idleMs = now - refilledAt;
            double missing = Math.max(plan.burst() - quotaLevel, plan.burst() - localTokens * Math.max(1, setSize));
            boolean quotaFull = plan.rate() <= 0 || idleMs >= EVICTION_REFILL_MULTIPLE * 1000 * missing / plan.rate();
            boolean ceilingFull = plan.ceilingRate() <= 0
                    || idleMs >= EVICTION_REFILL_MULTIPLE * 1000 * plan.ceilingBurst() / plan.ceilingRate();
            return isUnused() && usageByPeer.isEmpty() && quotaFull && ceilingFull;
        }

        /** Milliseconds until the quota bucket holds that many units; 0 where the plan has no quota. */
        double refillMs(double units) {
            return plan.rate() > 0 ? 1000 * (units - quotaLevel) / plan.rate() : 0;
        }

        /** Fill level of the quota bucket as a share of its burst; 1 where the plan has no quota. */
        double fullness() {
            return plan.burst() > 0 ? quotaLevel / plan.burst() : 1;
        }

        double pendingUnits() {
            return pending.stream().mapToDouble(active -> active.request.units()).sum();
        }
    }

    /**
     * A peer's request for a transfer of ceiling units, since it has none left.
     *
     * @param incarnation lowest 16 bits of the peer's incarnation
     * @param count number of the peer's broadcast that carried the request
     */
    record CeilingTransferRequest(Customer customer, int peer, int incarnation, int count, double units,
            double receivedAt) { }

    /** A decaying estimate of how many times slower than usual a host is; 1 is normal. */
    static final class SlownessEstimate {
        double factor = 1; // at the time of the last update
        double updatedAt;

        /** The estimate now: it decays towards 1 unless new samples confirm it. */
        double factor(double now, double fadeMs) {
            return 1 + (factor - 1) * Math.exp(-(now - updatedAt) / fadeMs);
        }

        /** Averages in one sample: a ratio to the usual latency, with that weight in the average. */
        void update(double now, double ratio, double sampleWeight, double fadeMs) {
            factor = factor(now, fadeMs) + sampleWeight * (Math.min(MAX_SLOWNESS, ratio) - factor(now, fadeMs));
            updatedAt = now;
        }

        /**
         * Averages in a probe result of this gateway or of another, unless a newer sample has arrived. An unreachable host
         * counts as {@link #MAX_SLOWNESS}, one that is late or fails as {@code lateRatio}. Every probe result has the
         * given weight.
         *
         * @param sentAt time of the result, as {@link EngineApi.Events#onProbeResult} defines it
         */
        void updateFromProbe(double sentAt, Outcome outcome, double lateRatio, double sampleWeight, double fadeMs) {
            if (sentAt > updatedAt && outcome != Outcome.UNSENT) {
                update(sentAt, switch (outcome) {
                    case OK -> 1;
                    case TIMEOUT, ERROR, FULL, SPOILT -> lateRatio;
                    default -> MAX_SLOWNESS;
                }, sampleWeight, fadeMs);
            }
        }
    }

    /** A host as this gateway sees it. */
    static final class HostRecord {
        final LinkedHashSet<Attempt> attempts = new LinkedHashSet<>(); // in flight, each of which holds a slot
        final long order; // same at each gateway; hashed, since consecutive names may correlate with size or zone
        Host info;
        boolean listed = true;
        double workInFlightMs; // expected work of those attempts
        final SlownessEstimate slowness = new SlownessEstimate();
        private final Map<String, SlownessEstimate> slownessByClass = new TreeMap<>();
        double reportedStartMs; // as reported by discovery; 0 for long ago
        double startedAt = NEVER; // latest possible start on this gateway's clock

        HostRecord(Host info) {
            this.info = info;
            this.order = mixBits(info.id().hashCode());
        }

        SlownessEstimate slownessOf(ClassState cls) {
            return slownessByClass.computeIfAbsent(cls.spec.name(), n -> new SlownessEstimate());
        }

        boolean acceptsRequests() {
            return listed && info.state() == HostState.RUNNING;
        }
    }

    /** One attempt of a request at a host. */
    static final class Attempt {
        final ActiveRequest active;
        final int number; // among the request's attempts, from 0
        final HostRecord host;
        final Host hostInfo; // as listed when it was sent
        final double sentAt;
        double awaitedSince; // the host can work on it since then
        final double expectedMs; // latency expected when it was sent
        double stallMsBefore; // total of this gateway's own stalls before the host could work on it
        boolean inFlight = true;
        boolean holdsSlot; // counts as work of its host
        boolean neverRan;
        boolean undelivered; // it never reached the host completely
        boolean unsent; // no byte of it left this machine
        boolean overdue;

        Attempt(ActiveRequest active, HostRecord host, double sentAt, double expectedMs, double stallMsBefore) {
            this.active = active;
            this.number = active.attempts.size();
            this.host = host;
            this.hostInfo = host.info;
            this.sentAt = sentAt;
            this.awaitedSince = sentAt;
            this.expectedMs = expectedMs;
            this.stallMsBefore = stallMsBefore;
        }
    }

    /** A client's request from its arrival until it is answered and its last attempt has ended. */
    static final class ActiveRequest {
        Request request; // the deadline of one with a streamed body is known when the body is complete
        final ClassState cls;
        final Customer customer; // null where there is no quota to apply
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean admitted;
        boolean closed; // answered, or the client has disconnected
        boolean streaming; // the response has begun
        int replicaStage; // index in the customer's replicas of the one that is queried
        int queriedReplica; // its gateway number
        int querySerial; // of the message that carries the query
        double replyDueAt; // when the reply counts as missing
        QuotaCoordinator.Grant grant; // units to return if they are not used
        double sendBy = Double.POSITIVE_INFINITY; // the granted ceiling units expire then

        ActiveRequest(Request request, ClassState cls, Customer customer) {
            this.request = request;
            this.cls = cls;
            this.customer = customer;
            this.arrivedAt = request.arrivedMs();
        }

        /** Expected latency: what requests of this class and size have been taking. */
        double expectedMs() {
            return cls.latencyMsPerUnit * Math.max(request.units(), 0.1);
        }

        /** The first attempt that may have run, or null if all are known not to have run. */
        Attempt firstPossiblyRun() {
            return attempts.stream().filter(attempt -> !attempt.neverRan).findFirst().orElse(null);
        }

        /** Whether an attempt may have reached a host completely. */
        boolean mayHaveReachedHost() {
            return attempts.stream().anyMatch(attempt -> !attempt.undelivered);
        }

        /** Whether the request may have one more attempt. */
        boolean mayHaveAttempt(Limits limits) {
            long unsent = attempts.stream().filter(attempt -> attempt.unsent).count();
            return limits.allowAttempt(attempts.size() - unsent, unsent);
        }

        boolean hasAttemptInFlight() {
            return attempts.stream().anyMatch(attempt -> attempt.inFlight);
        }
    }
}
