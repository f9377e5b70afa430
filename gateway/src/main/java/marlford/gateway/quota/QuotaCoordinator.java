package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Admission by quota and ceiling in a tier that is too large for every gateway to learn of all usage. Each customer's
 * ledger is kept by one gateway of the customer's set, the ledger replica in charge: the first of the customer's
 * replicas that can be reached. Apart from retransmissions it receives at most one query for a request, and none for one
 * that a lease covers. It answers from the ledger at once.
 *
 * <p><b>Leases.</b> A gateway with steady demand for a customer leases units in advance: quota units from the replica in
 * charge, ceiling units from a gateway that holds a share of the ceiling. {@link LeaseHolder} is the side that spends the
 * units, {@link LeaseLedger} the side that granted them.
 *
 * <p><b>Cost.</b> A query and its answer are two small messages, however large the tier is. A gateway that
 * knows from a recent answer that the bucket is empty refuses without a query. One budget for all peers bounds the messages
 * sent, since the scarce resource is the message budget of the receivers, and a hash spreads the requests over the
 * replicas.
 *
 * <p><b>Loss.</b> A query that is not answered within {@value #REPLY_TIMEOUT_MS} ms is sent again with its serial, for
 * which a replica caches its verdict. After at most {@value #MAX_SENDS} sendings the query moves on: to the next standby
 * replica, to which the replica in charge sends its ledgers every {@value #SYNC_INTERVAL_MS} ms, or, if it is for units of a
 * ceiling alone, to another share holder. It moves on sooner if the peer answers few queries, the message budget is used up,
 * other queries wait for it, or the deadline is near. A peer that answers none of the attempts and from which
 * nothing else is received meanwhile counts as silent: it is skipped until a message arrives from it, and receives a probe
 * message now and then. If no replica can be queried, {@link DegradedModeEstimator} decides. Units of a ceiling are only
 * ever granted by a {@link CeilingShare}.
 *
 * <p>Next to its answers a replica sends hints about customers that request more than their quota, a few at a time, since a
 * message costs its receiver the same whatever it contains. Most gateways have never sent a query for most customers; by the
 * hints they know the load of such customers when a network partition begins.
 *
 * <p><b>Restarts.</b> A gateway that shuts down sends its ledgers to the standby replicas and announces its shutdown. A
 * gateway that returns announces itself and receives the ledgers that were kept for it.
 *
 * <p>Bounds: {@link Config#maxCustomers} customers with queries and as many ledgers, where a new one takes the place of one that is as
 * good as unused; {@value #MAX_OPEN_QUERIES} open
 * queries, beyond which the degraded-mode estimate decides at once; {@value ReplyCache#MAX_ENTRIES} cached verdicts per
 * peer. No I/O and no clock; not thread-safe.
 */
public final class QuotaCoordinator {
    /** Time after which an unanswered query is sent again, in milliseconds: three times the round trip. */
    public static final double REPLY_TIMEOUT_MS = 50;
    // a query that waits longer than this for message budget is refused
    private static final double MAX_QUEUE_WAIT_MS = 6 * REPLY_TIMEOUT_MS;
    // sendings of one query to one replica; at a loss of one message in ten, seven queries in a thousand miss
    private static final int MAX_SENDS = 3;
    private static final double SYNC_INTERVAL_MS = 500;
    private static final double ANSWERED_SHARE_GAIN = 0.2; // weight of one query in a peer's share of answered queries
    private static final double MIN_ANSWERED_SHARE_TO_RESEND = 0.5; // below this share of answered queries a query is sent only once
    private static final double PROBE_INTERVAL_MS = 1000; // gap between probe messages to one silent peer
    private static final double PROBES_PER_S = 4; // sent by this gateway to all silent peers together
    private static final double PROBE_BURST = 8;
    // added for each silent peer that sends a message again: other peers may be back too
    private static final double PROBES_PER_RECOVERED_PEER = 2;
    private static final double ISOLATED_AFTER_MS = 500; // in a busy tier some message arrives well within this time
    // gap between probe messages to a silent peer that another gateway can reach, as far as is known
    private static final double HINTED_PROBE_INTERVAL_MS = 200;
    private static final double EMPTY_REPORT_VALID_MS = 400; // validity of a report that the bucket is empty, apart from its refill
    private static final double LOW_REPORT_VALID_MS = 1000; // for this long after a report of a low bucket, queries are thinned out
    private static final double LOW_LEVEL_SHARE = 0.25; // share of the burst below which a bucket is low
    private static final double LOW_LEVEL_QUERY_FACTOR = 1.25; // multiple of the fill rate that is queried for while the bucket is low
    private static final int OWN_LEASE = -1; // In place of a gateway's index: the units come from this gateway's own lease.
    private static final int MAX_OPEN_QUERIES = 512;
    private static final int MAX_ABANDONED_QUERIES = 256; // abandoned queries whose answer may still arrive
    private static final double USED_BUDGET_SHARE = 0.8; // share of the message budget; the rest absorbs bursts
    // interval between two broadcasts of one gateway from which on broadcasts report usage too late to be useful
    private static final double MAX_BROADCAST_INTERVAL_MS = 1000;
    private static final double BUDGET_BURST_MS = 250; // budget for queries that may be sent at once, as time
    // share of the full budget below which queries that are unnecessary or can wait are not sent at once
    private static final double AMPLE_BUDGET_SHARE = 0.5;
    private static final double PLENTIFUL_LEVEL_SHARE = 0.5; // share of the burst from which on a bucket counts as plentiful
    private static final double PLENTIFUL_DEMAND_SHARE = 0.9; // share of the rate up to which the demand leaves a bucket plentiful
    private static final double PLENTIFUL_REPORT_VALID_MS = 15_000; // validity of a report of a plentiful bucket
    private static final double SWEEP_INTERVAL_MS = 5000;
    private static final double MIN_FORGET_AFTER_MS = 20_000; // minimum idle time after which a customer is evicted
    private static final double FORGET_FILL_TIMES = 2; // minimum idle time as a multiple of the fill time of the slower bucket
    private static final double ACTIVE_LEDGER_MS = 10_000; // a ledger used within this time is passed on to a returned replica
    // Delays after the first message from a peer. The second announcement is for peers that lost the first.
    private static final int[] ANNOUNCEMENT_DELAYS_MS = {0, 400};
    private static final int REQUESTS_PER_CEILING_SHARE = 2; // number of largest requests that each share of a ceiling has room for
    private static final int MAX_LENDERS = 3; // gateways queried for units of a ceiling, one after the other
    private static final double OLDER_VERSION_EVEN_PART = 0.5; // part of a ceiling that gateways of older versions split evenly
    // time after its last message from which on a peer of an older version counts as gone
    private static final double OLDER_VERSION_TIMEOUT_MS = 60_000;
    private static final int HINTS_PER_ANSWER = 4; // hints sent next to an answer
    private static final int MAX_HINTED_CUSTOMERS = 4096; // customers known through hints alone

    /**
     * Settings of a coordinator.
     *
     * @param self index of this gateway
     * @param gateways number of gateways in the tier
     * @param messagesPerSecond messages that a gateway accepts per second
     * @param maxUnits units of the largest request
     * @param maxCustomers customers known here, and as many ledgers
     * @param plans limits of each plan, by plan number
     */
    public record Config(int self, int gateways, double messagesPerSecond, double maxUnits, int maxCustomers, List<QuotaTerms> plans) { }

    /**
     * Why a request was admitted or refused: units were granted or leased, the quota lacks units, the ceiling lacks units, or
     * the decision was made without the consent of a ledger replica.
     */
    public enum Reason { GRANTED, QUOTA_EXHAUSTED, CEILING_EXHAUSTED, DEGRADED_MODE }

    /**
     * Units granted by a replica, to be returned if they are not used.
     *
     * @param grantor index of the gateway that granted them; -1 if they were taken from this gateway's own lease
     * @param serial of the query that they were granted for
     */
    public record Grant(int grantor, int serial, long customer, double units) { }

    /**
     * The decision on a request.
     *
     * @param admitted whether the request is admitted
     * @param reason the reason
     * @param sendBy time by which the request must have been sent on, in milliseconds
     * @param retryAfterMs time in milliseconds until the bucket will have filled enough, 0 if that is not known
     * @param grant null if there is nothing to return
     */
    public record Decision(boolean admitted, Reason reason, double sendBy, double retryAfterMs, Grant grant) { }

    /** Counts of events since they were last logged. */
    private static final class Counts {
        int queries;
        int retransmissions;
        int misses;
        int degradedAdmissions;
        int standbyDecisions;
        int undecided;
        int leaseAdmissions;
    }

    /** Receives outgoing messages and decisions. */
    public interface Callbacks {
        /** Sends an encoded message to a peer. */
        void sendToPeer(int peer, byte[] data);

        /** Receives the decision on the request with this id. */
        void onDecision(double now, String id, Decision decision);
    }

    /** What this gateway knows of one peer. */
    private static final class Peer {
        final ReplyCache replyCache = new ReplyCache();
        final PeerIncarnation incarnation = new PeerIncarnation();
        boolean supportsLeases; // Whether the peer's version understands lease requests.
        int syncSequence;
        boolean hasSynced;
        boolean shuttingDown;
        double answeredShare = 1; // Moving share of the queries that the peer answered at their first sending.
        boolean silent;
        double silentAt;
        double lastReceivedAt = Double.NEGATIVE_INFINITY;
        double probedAt = Double.NEGATIVE_INFINITY;
    }

    /** A hint about a customer that has no entry here yet, with the time of its arrival. */
    private record ReceivedHint(double at, QuotaMessage.DemandHint hint) { }

    private final Config config;
    private final Callbacks link;
    private final Random random;
    private final Peer[] peers;
    private final Map<Long, CustomerView> customers = new LinkedHashMap<>();
    private final Map<Long, QuotaLedger> ledgers = new LinkedHashMap<>();
    private final Map<Integer, PendingAdmission> openQueries = new LinkedHashMap<>();
    private final LinkedHashSet<Integer> abandoned = new LinkedHashSet<>(); // Serials of abandoned queries.
    private final LinkedHashMap<Long, ReceivedHint> hints = new LinkedHashMap<>();
    private final LeaseRenewals renewals;
    private final UsageReports reports = new UsageReports();
    private final LenderQueue lenderQueue = new LenderQueue();
    // Ledgers of overloaded customers that this gateway is in charge of, as of the last synchronisation. See isOverloaded.
    private final List<QuotaLedger> overloaded = new ArrayList<>();
    private int nextHint;
    private final Map<Integer, List<QuotaMessage.Item>> outbox = new TreeMap<>();
    private final double budgetPerMs;
    private double budget;
    private double budgetAt;
    private double syncedAt;
    private double sweptAt;
    private double firstHeardAt = Double.POSITIVE_INFINITY; // Time of the first message that a peer sent to this incarnation.
    private double fillingSince;
    private boolean filling = true;
    private double lastReceivedAt = Double.NEGATIVE_INFINITY; // Time of the last message from any peer.
    private double probeBudget = PROBE_BURST;
    private double probeBudgetAt;
    private double olderVersionHeardAt = Double.NEGATIVE_INFINITY; // Time of the last message from a peer of an older version.
    private int incarnation;
    private int serial;
    private int sequence;
    private int announcements;
    private Counts counts = new Counts();

    private final LeaseRenewals.Context renewalContext = new LeaseRenewals.Context() {
        @Override
        public int owner(double now, CustomerView view, QuotaMessage.UnitScope scope) {
            return leaseOwner(now, view, scope);
        }

        @Override
        public int newSerial() {
            return nextSerial();
        }

        @Override
        public boolean takeMessage(double now) {
            return takeBudget(now);
        }

        @Override
        public void enqueue(int peer, QuotaMessage.LeaseRequest request) {
            QuotaCoordinator.this.enqueue(peer, request);
        }
    };

    private final UsageReports.Context reportContext = new UsageReports.Context() {
        @Override
        public int replicaInCharge(double now, CustomerView view) {
            return reachableReplica(now, view);
        }

        @Override
        public boolean takeMessage(double now) {
            return takeBudget(now);
        }

        @Override
        public void report(double now, int replica, CustomerView view) {
            reportUsage(now, replica, view);
        }
    };

    /**
     * Returns whether the tier is so large that even a broadcast of each gateway to all others could be sent only once per
     * second or less often.
     */
    public static boolean isRequiredFor(int gateways, double messagesPerSecond) {
        return gateways - 1 >= USED_BUDGET_SHARE * Math.max(1, messagesPerSecond) * MAX_BROADCAST_INTERVAL_MS / 1000;
    }

    /**
     * Creates the coordinator.
     *
     * @param incarnation of this gateway; later ones are greater, compared by difference
     */
    public QuotaCoordinator(double now, Config config, int incarnation, Random random, Callbacks link) {
        this.config = config;
        this.link = link;
        this.random = random;
        this.incarnation = incarnation;
        peers = new Peer[config.gateways()];
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new Peer();
        }
        budgetPerMs = Math.max(1, config.messagesPerSecond()) * USED_BUDGET_SHARE / 1000;
        budget = budgetPerMs * BUDGET_BURST_MS;
        renewals = new LeaseRenewals(config.messagesPerSecond());
        budgetAt = probeBudgetAt = syncedAt = sweptAt = fillingSince = now;
    }

    /** Declares that no earlier incarnation of this gateway has granted anything since the given time. */
    public void onNoOtherSpenderSince(double since) {
        fillingSince = Math.min(fillingSince, since);
    }

    /** Declares that another process of this gateway holds the right to fill buckets from now on. */
    public void onReplaced(double now) {
        ledgers.values().forEach(ledger -> ledger.advanceTo(now, new CeilingShare.FillMode(true, 1)));
        filling = false;
    }

    /** Declares that the other process has ended. Its ledgers and the units that its buckets gained are lost. */
    public void onRestored(double now, int newIncarnation) {
        filling = true;
        incarnation = newIncarnation;
        fillingSince = now;
        firstHeardAt = Double.POSITIVE_INFINITY;
        announcements = 0;
        ledgers.clear();
        overloaded.clear();
        renewals.clear();
        customers.values().forEach(CustomerView::dropLeases); // the leases belong to the former incarnation
    }

    /**
     * Extends the deadlines of answers by the time for which this event loop was stalled: messages that arrived meanwhile
     * are only read now.
     */
    public void extendReplyDeadlines(double ms) {
        openQueries.values().forEach(pending -> pending.replyDueAt += ms);
    }

    /** Returns whether this gateway holds a lease of units of the customer's quota. */
    boolean holdsLease(double now, long customer) {
        CustomerView view = customers.get(customer);
        return view != null && view.quotaLease.isHeld(now);
    }

    // ---- admission

    /**
     * Decides on a request, at once or when a ledger replica has answered. The decision is passed to the {@link Callbacks}
     * exactly once, unless the request is abandoned first.
     *
     * @param deadlineMs time at which the request must be decided at the latest
     */
    public void requestAdmission(double now, String id, QuotaMessage.CustomerKey key, double units, double deadlineMs) {
        CustomerView view = customerView(now, key);
        if (view == null) {
            link.onDecision(now, id, new Decision(false, Reason.DEGRADED_MODE, 0, 0, null));
            return;
        }
        PendingAdmission pending = new PendingAdmission(id, view, units, deadlineMs);
        if (view.terms.rate() <= 0) {
            if (view.hasCeiling()) {
                seekCeilingUnits(now, pending);
            } else {
                queryNextReplica(now, pending);
            }
            return;
        }
        view.quotaLease.recordAttempt(now, units);
        renewals.add(view);
        if (!view.quotaLease.spend(now, units)) {
            queryNextReplica(now, pending);
            return;
        }
        counts.leaseAdmissions++;
        pending.quotaGrant = new Grant(OWN_LEASE, 0, key.customer(), units);
        if (view.hasCeiling()) {
            seekCeilingUnits(now, pending);
        } else {
            link.onDecision(now, id, new Decision(true, Reason.GRANTED, Double.POSITIVE_INFINITY, 0, pending.quotaGrant));
        }
    }

    /** Abandons a request: its decision is no longer wanted, and units granted for it are returned. */
    public void abandonRequest(String id) {
        PendingAdmission queued = lenderQueue.remove(id);
        if (queued != null) {
            returnUnits(queued.quotaGrant);
            return;
        }
        for (Iterator<PendingAdmission> it = openQueries.values().iterator(); it.hasNext();) {
            PendingAdmission pending = it.next();
            if (pending.id.equals(id)) {
                it.remove();
                abandon(pending);
                returnUnits(pending.quotaGrant);
                return;
            }
        }
    }

    /**
     * Returns granted units that were never sent on; does nothing for null. The message leaves with the next message to the
     * same gateway or with the next tick.
     */
    public void returnUnits(Grant grant) {
        if (grant == null) {
            return;
        }
        if (grant.grantor() == OWN_LEASE) {
            CustomerView view = customers.get(grant.customer());
            if (view != null) {
                view.quotaLease.returnUnits(grant.units());
            }
            return;
        }
        if (grant.grantor() != config.self()) {
            enqueue(grant.grantor(), new QuotaMessage.UnitsReturned(grant.serial()));
            return;
        }
        QuotaLedger ledger = ledgers.get(grant.customer());
        if (ledger != null) {
            ledger.returnUnits(grant.units());
        }
    }

    /** Finds or adds the entry of a customer; returns null if the table is full or the plan is unknown. */
    private CustomerView customerView(double now, QuotaMessage.CustomerKey key) {
        CustomerView view = customers.get(key.customer());
        if (view == null) {
            TableEviction.makeRoom(customers, config.maxCustomers(), oldest -> oldest.isExpendable(now), oldest -> { });
        }
        if (view == null && customers.size() < config.maxCustomers() && key.plan() < config.plans().size()) {
            view = new CustomerView(key, config.plans().get(key.plan()), placementOf(key));
            customers.put(key.customer(), view);
            ReceivedHint received = hints.remove(key.customer());
            if (received != null && received.hint().plan() == key.plan()) {
                view.recordReport(received.at(), received.hint().fullness() * view.terms.burst(), received.hint().demand());
            }
        }
        if (view != null) {
            view.lastUsedAt = now;
        }
        return view;
    }

    private LedgerPlacement placementOf(QuotaMessage.CustomerKey key) {
        return LedgerPlacement.of(key, peers.length, config.plans().get(key.plan()), REQUESTS_PER_CEILING_SHARE * config.maxUnits());
    }

    /** Returns whether queries may go to that gateway. If not, it is probed. */
    private boolean isReachable(double now, int gateway) {
        Peer peer = peers[gateway];
        boolean reachable = gateway == config.self() || !peer.silent && !peer.shuttingDown;
        if (!reachable) {
            probe(now, gateway, PROBE_INTERVAL_MS);
        }
        return reachable;
    }

    /** Sends a probe message to a peer that is being skipped. If many are skipped, only some of them get one. */
    private void probe(double now, int gateway, double intervalMs) {
        Peer peer = peers[gateway];
        probeBudget = Math.min(PROBE_BURST, probeBudget + (now - probeBudgetAt) * PROBES_PER_S / 1000);
        probeBudgetAt = now;
        if (now - peer.probedAt >= intervalMs && probeBudget >= 1) {
            probeBudget--;
            peer.probedAt = now;
            enqueue(gateway, new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.PROBE));
        }
    }

    /**
     * Records that a message arrived from a peer, which is thus not silent. If this gateway had received nothing from any peer for a
     * while, the peers that turned silent in that time may be reachable as well.
     */
    private void noteReceived(double now, Peer peer) {
        if (peer.silent) {
            peer.silent = false;
            probeBudget += PROBES_PER_RECOVERED_PEER;
        }
        if (now - lastReceivedAt >= ISOLATED_AFTER_MS) {
            for (Peer other : peers) {
                other.silent &= other.silentAt < lastReceivedAt;
            }
            // recorded during a partition: too old to derive the demand from
            customers.values().forEach(view -> view.unreportedUnits = 0);
        }
        lastReceivedAt = now;
        peer.lastReceivedAt = now;
    }

    /** Queries the next reachable replica of the ledger, or decides here if that is this gateway or no query is needed. */
    private void queryNextReplica(double now, PendingAdmission pending) {
        CustomerView view = pending.customer;
        int[] replicas = view.placement.replicas();
        while (++pending.replicaIndex < replicas.length) {
            pending.peer = replicas[pending.replicaIndex];
            if (pending.peer == config.self()) {
                decideLocally(now, pending);
                return;
            }
            if (!isReachable(now, pending.peer)) {
                continue;
            }
            if (isLikelyRefused(now, view, pending.units)) {
                view.refusedLocally += pending.units;
                refuse(now, pending, Reason.QUOTA_EXHAUSTED);
                return;
            }
            if (!isBudgetAmple(now) && isPlentiful(now, view)) {
                decideDegraded(now, pending, true);
                return;
            }
            pending.scope = ownCeilingUnits(now, view) >= pending.units
                    ? QuotaMessage.UnitScope.QUOTA : QuotaMessage.UnitScope.BOTH;
            if (!query(now, pending)) {
                decideDegraded(now, pending, true);
            }
            return;
        }
        decideDegraded(now, pending, false);
    }

    /**
     * Seeks units of the ceiling: in this gateway's own share, then in its lease, then by queries to up to
     * {@value #MAX_LENDERS} other share holders. Refuses the request if none of them has the units.
     */
    private void seekCeilingUnits(double now, PendingAdmission pending) {
        CustomerView view = pending.customer;
        boolean first = pending.scope != QuotaMessage.UnitScope.CEILING;
        pending.scope = QuotaMessage.UnitScope.CEILING;
        if (pending.triedLenders.add(config.self()) && ownCeilingUnits(now, view) >= pending.units) {
            decideLocally(now, pending);
            return;
        }
        if (first) {
            view.ceilingLease.recordAttempt(now, pending.units);
            renewals.add(view);
        }
        if (view.ceilingLease.spend(now, pending.units)) {
            double leaveBy = Math.min(now + CeilingShare.SEND_WITHIN_MS, view.ceilingLease.sendBy());
            admit(now, pending, leaveBy);
            return;
        }
        if (pending.triedLenders.size() <= MAX_LENDERS && now + REPLY_TIMEOUT_MS < pending.deadlineMs) {
            if (!lenderQueue.isEmpty() || !isBudgetAmple(now)) {
                pending.markQueued(now, MAX_QUEUE_WAIT_MS);
                if (now < pending.sendDeadline(REPLY_TIMEOUT_MS) && hasUsableLender(now, pending) && lenderQueue.add(pending)) {
                    return;
                }
            } else if (queryLender(now, pending)) {
                return;
            }
        }
        returnUnits(pending.quotaGrant);
        refuse(now, pending, Reason.CEILING_EXHAUSTED);
    }

    /** Returns whether any share holder may still be queried for the request. */
    private boolean hasUsableLender(double now, PendingAdmission pending) {
        return IntStream.of(pending.customer.placement.shareHolders()).anyMatch(peer -> isUsableLender(now, pending, peer));
    }

    /** Queries share holders from a random one on; returns false if no query could be sent. */
    private boolean queryLender(double now, PendingAdmission pending) {
        int[] shares = pending.customer.placement.shareHolders();
        int from = shares.length == 0 ? 0 : random.nextInt(shares.length);
        for (int i = 0; i < shares.length && pending.triedLenders.size() <= MAX_LENDERS; i++) {
            pending.peer = shares[(from + i) % shares.length];
            if (isUsableLender(now, pending, pending.peer) && pending.triedLenders.add(pending.peer) && query(now, pending)) {
                return true;
            }
        }
        return false;
    }

    /** Sends queries that waited for message budget, as many in one message as one gateway can be sent. */
    private void sendQueuedQueries(double now) {
        for (PendingAdmission pending : lenderQueue.expired(now, REPLY_TIMEOUT_MS)) {
            returnUnits(pending.quotaGrant);
            refuse(now, pending, Reason.CEILING_EXHAUSTED);
        }
        while (!lenderQueue.isEmpty() && openQueries.size() < MAX_OPEN_QUERIES && takeBudget(now)) {
            LenderQueue.Batch batch = lenderQueue.next((pending, peer) -> isUsableLender(now, pending, peer));
            if (batch == null) {
                return;
            }
            for (PendingAdmission pending : batch.queries()) {
                pending.peer = batch.peer();
                pending.triedLenders.add(pending.peer);
                openQuery(now, pending);
                enqueueQuery(now, pending);
            }
            flush();
        }
    }

    /** Returns whether a query to that peer is worth sending. A peer that shuts down still has units while it is reachable. */
    private boolean isUsableLender(double now, PendingAdmission pending, int peer) {
        boolean silent = peers[peer].silent;
        if (silent) {
            probe(now, peer, PROBE_INTERVAL_MS);
        }
        return !silent && !pending.triedLenders.contains(peer);
    }

    /** Returns the units of a ceiling that this gateway can grant itself. */
    private double ownCeilingUnits(double now, CustomerView view) {
        QuotaLedger own = view.placement.holdsShare(config.self()) ? ledgerFor(now, view.key) : null;
        return own == null ? 0 : own.ceilingUnits(now, fillMode(now, own));
    }

    /** Sends a query; returns false if none may be sent. */
    private boolean query(double now, PendingAdmission pending) {
        if (openQueries.size() >= MAX_OPEN_QUERIES || now + REPLY_TIMEOUT_MS >= pending.deadlineMs || !takeBudget(now)) {
            return false;
        }
        openQuery(now, pending);
        sendQuery(now, pending);
        return true;
    }

    private void openQuery(double now, PendingAdmission pending) {
        pending.serial = nextSerial();
        pending.sendCount = 0;
        pending.queriedAt = now;
        openQueries.put(pending.serial, pending);
        counts.queries++;
    }

    /**
     * Returns whether, by a recent report, the bucket cannot have the units, or has so little left that most queries would
     * be refused.
     */
    private boolean isLikelyRefused(double now, CustomerView view, double units) {
        double age = now - view.reportedAt;
        if (view.terms.rate() <= 0 || age >= LOW_REPORT_VALID_MS) {
            return false;
        }
        double maxLevel = view.level + view.terms.rate() * age / 1000;
        if (age < EMPTY_REPORT_VALID_MS && maxLevel < units) {
            return true;
        }
        boolean low = maxLevel < LOW_LEVEL_SHARE * view.terms.burst();
        return low && random.nextDouble() * view.demand > LOW_LEVEL_QUERY_FACTOR * view.terms.rate();
    }

    /** Returns whether, by a replica's report, the bucket is well filled and fills faster than it is used. */
    private boolean isPlentiful(double now, CustomerView view) {
        boolean hasReport = view.reportedAt != Double.NEGATIVE_INFINITY && now - view.reportedAt < PLENTIFUL_REPORT_VALID_MS;
        return hasReport && view.level >= PLENTIFUL_LEVEL_SHARE * view.terms.burst()
                && view.demand <= PLENTIFUL_DEMAND_SHARE * view.terms.rate();
    }

    private double refillBudget(double now) {
        budget = Math.min(Math.max(1, budgetPerMs * BUDGET_BURST_MS), budget + (now - budgetAt) * budgetPerMs);
        budgetAt = now;
        return budget;
    }

    private boolean isBudgetAmple(double now) {
        return refillBudget(now) >= Math.max(1, AMPLE_BUDGET_SHARE * budgetPerMs * BUDGET_BURST_MS);
    }

    private boolean takeBudget(double now) {
        refillBudget(now);
        boolean available = budget >= 1;
        budget -= available ? 1 : 0;
        return available;
    }

    private void sendQuery(double now, PendingAdmission pending) {
        enqueueQuery(now, pending);
        flush();
    }

    private void enqueueQuery(double now, PendingAdmission pending) {
        pending.sendCount++;
        pending.replyDueAt = now + REPLY_TIMEOUT_MS;
        enqueue(pending.peer, new QuotaMessage.Query(
                pending.serial, pending.customer.key, pending.units, pending.customer.refusedLocally, pending.scope));
        pending.customer.refusedLocally = 0;
        if (!peers[pending.peer].supportsLeases) {
            enqueue(pending.peer, new QuotaMessage.LeaseCapable());
        }
    }

    private void decideLocally(double now, PendingAdmission pending) {
        QuotaLedger ledger = ledgerFor(now, pending.customer.key);
        if (ledger == null) {
            decideDegraded(now, pending, false);
            return;
        }
        pending.queriedAt = now;
        pending.peer = config.self();
        QuotaMessage.Verdict verdict = ledger.decide(now, pending.units, 0, pending.scope, 0, fillMode(now, ledger));
        if (pending.scope != QuotaMessage.UnitScope.CEILING) {
            pending.customer.recordReport(now, ledger.grantable(now) * ledger.terms.burst(), ledger.demand());
        }
        onVerdict(now, pending, verdict, new Grant(config.self(), 0, pending.customer.key.customer(), pending.units));
    }

    /**
     * Continues a request by the verdict on its last query.
     *
     * @param grant of the quota units, if these were queried for
     */
    private void onVerdict(double now, PendingAdmission pending, QuotaMessage.Verdict verdict, Grant grant) {
        boolean hasCeiling = pending.customer.terms.ceilingRate() > 0;
        if (pending.scope != QuotaMessage.UnitScope.CEILING
                && (verdict == QuotaMessage.Verdict.GRANTED || verdict == QuotaMessage.Verdict.CEILING_EXHAUSTED)) {
            pending.quotaGrant = grant;
        }
        if (verdict == QuotaMessage.Verdict.GRANTED && pending.scope != QuotaMessage.UnitScope.QUOTA && pending.peer != config.self()) {
            pending.customer.lastLender = pending.peer;
        }
        if (verdict == QuotaMessage.Verdict.GRANTED && !(hasCeiling && pending.scope == QuotaMessage.UnitScope.QUOTA)) {
            double leaveBy = hasCeiling ? pending.queriedAt + CeilingShare.SEND_WITHIN_MS : Double.POSITIVE_INFINITY;
            if (now < leaveBy) {
                admit(now, pending, leaveBy);
            } else { // the units arrived too late to be used
                returnUnits(pending.quotaGrant);
                refuse(now, pending, Reason.CEILING_EXHAUSTED);
            }
        } else if (verdict == QuotaMessage.Verdict.GRANTED || verdict == QuotaMessage.Verdict.CEILING_EXHAUSTED) {
            if (verdict == QuotaMessage.Verdict.CEILING_EXHAUSTED) {
                pending.triedLenders.add(pending.peer);
            }
            seekCeilingUnits(now, pending);
        } else { // the quota lacks the units, or the queried gateway cannot decide: see Verdict.CANNOT_DECIDE
            returnUnits(pending.quotaGrant);
            refuse(now, pending, verdict == QuotaMessage.Verdict.QUOTA_EXHAUSTED ? Reason.QUOTA_EXHAUSTED : Reason.DEGRADED_MODE);
        }
    }

    private void refuse(double now, PendingAdmission pending, Reason why) {
        CustomerView view = pending.customer;
        double missingUnits = pending.units - (view.level + view.terms.rate() * view.reportAgeMs(now) / 1000);
        double retryMs = why == Reason.QUOTA_EXHAUSTED && view.terms.rate() > 0 ? 1000 * Math.max(0, missingUnits) / view.terms.rate() : 0;
        link.onDecision(now, pending.id, new Decision(false, why, 0, retryMs, null));
    }

    /**
     * Decides in degraded mode, if no replica can be queried or a query is not needed: the quota by the last known state of
     * the bucket, the ceiling by the share holders.
     *
     * @param replicaReachable whether a replica is reachable. Only then is the request recorded for a usage report: demand
     *     during a partition is outdated when it can be reported
     */
    private void decideDegraded(double now, PendingAdmission pending, boolean replicaReachable) {
        CustomerView view = pending.customer;
        double probability = DegradedModeEstimator.admissionProbability(
                view.terms, view.level, view.demand, view.reportAgeMs(now), pending.units);
        if (random.nextDouble() >= probability) {
            if (replicaReachable) {
                view.unreportedUnits += pending.units;
                reports.add(now, view);
            }
            refuse(now, pending, Reason.DEGRADED_MODE);
            return;
        }
        pending.degraded = true;
        view.unreportedUnits += replicaReachable ? pending.units : 0;
        if (view.hasCeiling()) {
            seekCeilingUnits(now, pending);
        } else {
            admit(now, pending, Double.POSITIVE_INFINITY);
        }
    }

    private void admit(double now, PendingAdmission pending, double leaveBy) {
        if (pending.degraded) {
            CustomerView view = pending.customer;
            counts.degradedAdmissions++;
            view.level -= pending.units;
            view.recordDegraded(now, pending.units);
            if (view.unreportedUnits > 0) {
                reports.add(now, view);
            }
        }
        link.onDecision(now, pending.id,
                new Decision(true, pending.degraded ? Reason.DEGRADED_MODE : Reason.GRANTED, leaveBy, 0, pending.quotaGrant));
    }

    // ---- leases

    /** Returns the gateway to request a lease from; -1 if there is none or this gateway has the units itself. */
    private int leaseOwner(double now, CustomerView view, QuotaMessage.UnitScope scope) {
        if (scope == QuotaMessage.UnitScope.CEILING) {
            boolean usable = view.lastLender >= 0 && view.lastLender != config.self() && !peers[view.lastLender].silent;
            return usable && peers[view.lastLender].supportsLeases ? view.lastLender : -1;
        }
        for (int replica : view.placement.replicas()) {
            if (replica == config.self()) {
                return -1;
            }
            if (isReachable(now, replica)) {
                return peers[replica].supportsLeases ? replica : -1;
            }
        }
        return -1;
    }

    /**
     * Reports what was admitted while no replica was reachable, as soon as one is: the amounts are large, and are soon
     * outdated.
     */
    private void reportDegradedUnits(double now, CustomerView view) {
        int replica = view.degradedUnits > 0 && view.unreportedUnits <= 0 ? reachableReplica(now, view) : -1;
        if (replica >= 0) {
            reportUsage(now, replica, view);
        }
    }

    /** Returns the first reachable replica of the customer's ledger, or -1. */
    private int reachableReplica(double now, CustomerView view) {
        for (int replica : view.placement.replicas()) {
            if (isReachable(now, replica)) {
                return replica;
            }
        }
        return -1;
    }

    private void reportUsage(double now, int replica, CustomerView view) {
        double units = view.decayedDegradedUnits(now);
        if (replica == config.self()) {
            QuotaLedger own = ledgerFor(now, view.key);
            if (own != null) {
                own.recordSpent(now, units, view.unreportedUnits, fillMode(now, own));
                view.recordReport(now, own.level(), own.demand());
            }
        } else if (view.unreportedUnits > 0 && peers[replica].supportsLeases) {
            enqueue(replica, new QuotaMessage.UsageReport(nextSerial(), view.key, units, view.unreportedUnits));
        } else {
            enqueue(replica, new QuotaMessage.UnitsSpent(nextSerial(), view.key, units));
        }
        view.degradedUnits = 0;
        view.unreportedUnits = 0;
    }

    private void onUsageReport(double now, int from, Peer peer, QuotaMessage.UsageReport report) {
        QuotaLedger ledger = peer.replyCache.find(now, report.serial()) == null ? ledgerForMessage(now, report.key(), from) : null;
        if (ledger != null) {
            peer.replyCache.put(now, report.serial(), QuotaMessage.Verdict.GRANTED, ledger, 0);
            ledger.recordSpent(now, report.units(), report.attempted(), fillMode(now, ledger));
            enqueue(from, new QuotaMessage.DemandHint(
                    report.key().customer(), report.key().plan(), ledger.grantable(now), ledger.demand()));
        }
    }

    private int nextSerial() {
        serial = serial + 1 & QuotaMessage.UINT16_MASK;
        return serial;
    }

    private void onLeaseRequest(double now, int from, Peer peer, QuotaMessage.LeaseRequest request) {
        QuotaLedger ledger = ledgerForMessage(now, request.key(), from);
        double units = 0;
        if (ledger != null) {
            units = ledger.lease(now, from, peer.incarnation.number(), request, precedingReplica(now, ledger) < 0, fillMode(now, ledger));
        }
        if (request.units() > 0) {
            double fullness = ledger == null ? 0 : ledger.grantable(now);
            enqueue(from, new QuotaMessage.LeaseGrant(request.serial(), units, fullness, ledger == null ? 0 : ledger.demand()));
        }
    }

    private void onLeaseGrant(double now, int from, Peer peer, QuotaMessage.LeaseGrant grant) {
        CustomerView view = renewals.onGrant(now, from, peer.incarnation.number(), grant);
        if (view != null) {
            view.recordReport(now, grant.fullness() * view.terms.burst(), grant.demand());
        }
    }

    private void abandon(PendingAdmission pending) {
        abandoned.add(pending.serial);
        if (abandoned.size() > MAX_ABANDONED_QUERIES) {
            abandoned.remove(abandoned.iterator().next());
        }
    }

    // ---- periodic work

    /**
     * Handles missing answers, sends ledgers to standby replicas, renews leases and evicts idle customers; to be called
     * every few tens of milliseconds.
     */
    public void tick(double now) {
        if (announcements < ANNOUNCEMENT_DELAYS_MS.length && now - firstHeardAt >= ANNOUNCEMENT_DELAYS_MS[announcements]) {
            announcements++;
            announce();
        }
        for (PendingAdmission pending : openQueries.values().stream().filter(x -> now >= x.replyDueAt).toList()) {
            if (openQueries.get(pending.serial) == pending) { // a decision in this loop may have ended it
                onReplyTimeout(now, pending);
            }
        }
        if (now - syncedAt >= SYNC_INTERVAL_MS) {
            syncedAt = now;
            overloaded.clear();
            ledgers.values().forEach(ledger -> syncStandby(now, ledger));
            ledgers.values().stream().filter(ledger -> isOverloaded(now, ledger)).forEach(overloaded::add);
            customers.values().forEach(view -> reportDegradedUnits(now, view));
        }
        renewals.tick(now, renewalContext);
        reports.tick(now, reportContext);
        sendQueuedQueries(now);
        if (now - sweptAt >= SWEEP_INTERVAL_MS) {
            sweptAt = now;
            customers.values().removeIf(view -> now - view.lastUsedAt > forgetMs(view.terms));
            ledgers.values().removeIf(ledger -> now - ledger.lastUsedAt > forgetMs(ledger.terms));
        }
        flush();
    }

    /**
     * Announces this gateway to its potential standby replicas, which then send the ledgers that they keep for it. Called only
     * after a peer has sent a message: then the tier is in service, and such ledgers may exist.
     */
    private void announce() {
        IntStream.of(LedgerPlacement.potentialStandbys(config.self(), peers.length))
                .forEach(g -> enqueue(g, new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.SERVING)));
    }

    /**
     * Returns whether this gateway is in charge of the ledger and the customer is overloaded: it requests more than its quota
     * and its bucket is low.
     */
    private boolean isOverloaded(double now, QuotaLedger ledger) {
        boolean isReplica = ledger.placement.replicaIndex(config.self()) >= 0 && ledger.terms.rate() > 0
                && ledger.demand() > ledger.terms.rate();
        if (!isReplica || precedingReplica(now, ledger) >= 0) {
            return false;
        }
        ledger.advanceTo(now, fillMode(now, ledger));
        return ledger.demand() > ledger.terms.rate() && ledger.fullness() < LOW_LEVEL_SHARE;
    }

    /** Enqueues the next few hints about overloaded customers for the given peer, in rotation. */
    private void enqueueHints(double now, int to) {
        for (int i = 0; i < Math.min(HINTS_PER_ANSWER, overloaded.size()); i++) {
            QuotaLedger ledger = overloaded.get(nextHint++ % overloaded.size());
            ledger.advanceTo(now, fillMode(now, ledger));
            enqueue(to, new QuotaMessage.DemandHint(ledger.key.customer(), ledger.key.plan(), ledger.fullness(), ledger.demand()));
        }
        nextHint %= Math.max(1, overloaded.size());
    }

    private void onHint(double now, QuotaMessage.DemandHint hint) {
        if (hint.plan() >= config.plans().size()) {
            return;
        }
        CustomerView view = customers.get(hint.customer());
        if (view == null) {
            hints.remove(hint.customer());
            hints.put(hint.customer(), new ReceivedHint(now, hint));
        } else if (view.key.plan() == hint.plan()) {
            view.recordReport(now, hint.fullness() * view.terms.burst(), hint.demand());
        }
        if (hints.size() > MAX_HINTED_CUSTOMERS) { // evicts the oldest hint
            hints.remove(hints.keySet().iterator().next());
        }
    }

    private static double forgetMs(QuotaTerms terms) {
        return Math.max(MIN_FORGET_AFTER_MS, FORGET_FILL_TIMES * terms.fillMs());
    }

    /** Sends the query again, or abandons it and queries the next replica or share holder. */
    private void onReplyTimeout(double now, PendingAdmission pending) {
        Peer peer = peers[pending.peer];
        if (pending.sendCount == 1) {
            peer.answeredShare -= ANSWERED_SHARE_GAIN * peer.answeredShare;
        }
        // A peer that cannot process all queries it receives must not be sent three times as many.
        boolean resend = pending.sendCount < MAX_SENDS && peer.answeredShare >= MIN_ANSWERED_SHARE_TO_RESEND && lenderQueue.isEmpty();
        if (resend && now + REPLY_TIMEOUT_MS < pending.deadlineMs && takeBudget(now)) {
            counts.retransmissions++;
            sendQuery(now, pending);
            return;
        }
        counts.misses++;
        openQueries.remove(pending.serial);
        abandon(pending); // a grant that still arrives is returned: the next replica's grant counts
        if (peer.lastReceivedAt < Math.min(pending.queriedAt, now - MAX_SENDS * REPLY_TIMEOUT_MS)) {
            peer.silentAt = peer.silent ? peer.silentAt : now;
            peer.silent = true;
            peer.probedAt = now - PROBE_INTERVAL_MS + HINTED_PROBE_INTERVAL_MS; // a probe soon: all messages may have been lost by chance
        }
        if (pending.scope == QuotaMessage.UnitScope.CEILING) {
            seekCeilingUnits(now, pending);
        } else {
            queryNextReplica(now, pending);
        }
    }

    /** Sends the ledger to the next reachable replica, if this gateway is the first reachable one. */
    private void syncStandby(double now, QuotaLedger ledger) {
        int ownIndex = ledger.placement.replicaIndex(config.self());
        if (ownIndex < 0 || ledger.lastUsedAt <= ledger.syncSentAt || ledger.terms.rate() <= 0
                || precedingReplica(now, ledger) >= 0) {
            return;
        }
        int[] replicas = ledger.placement.replicas();
        for (int i = ownIndex + 1; i < replicas.length; i++) {
            if (isReachable(now, replicas[i])) {
                ledger.syncSentAt = now;
                enqueueSync(now, ledger, replicas[i]);
                return;
            }
        }
    }

    private void enqueueSync(double now, QuotaLedger ledger, int to) {
        ledger.advanceTo(now, fillMode(now, ledger));
        enqueue(to, new QuotaMessage.LedgerSync(ledger.key, ledger.fullness(), ledger.demand()));
    }

    /**
     * Prepares the shutdown of this gateway: sends its ledgers to the standby replicas and announces the shutdown to them. The
     * other gateways get no message, since they soon notice that this gateway is silent. A message to all would cost each of
     * them one message, while only one in six would send a query to this gateway before it has restarted.
     */
    public void prepareShutdown(double now) {
        ledgers.values().forEach(ledger -> syncStandby(now, ledger));
        IntStream.of(LedgerPlacement.potentialStandbys(config.self(), peers.length))
                .forEach(g -> enqueue(g, new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.LEAVING)));
        flush();
    }

    // ---- received messages

    /**
     * Handles a message of a peer. Items that are outdated or do not concern this gateway are ignored.
     *
     * @param message null if it was of an older version
     */
    public void onMessage(double now, int from, QuotaMessage message) {
        if (message == null) {
            olderVersionHeardAt = now;
            return;
        }
        Peer peer = peers[from];
        boolean begins = !peer.incarnation.isKnown() || message.incarnation() != peer.incarnation.number();
        if (!peer.incarnation.accept(now, message.incarnation())) {
            return;
        }
        if (begins) {
            peer.hasSynced = false;
            peer.shuttingDown = false;
            peer.supportsLeases = false;
            peer.replyCache.clear();
        }
        noteReceived(now, peer);
        firstHeardAt = Math.min(firstHeardAt, now);
        boolean answersThisIncarnation = message.answeredIncarnation() == (incarnation & QuotaMessage.UINT16_MASK);
        boolean fresh = !peer.hasSynced || (short) (message.sequence() - peer.syncSequence) > 0;
        for (QuotaMessage.Item item : message.items()) {
            if (item instanceof QuotaMessage.LeaseCapable) {
                peer.supportsLeases = true;
                if (message.items().stream().anyMatch(i -> i instanceof QuotaMessage.Query)) { // sent until answered
                    enqueue(from, item);
                }
            } else if (item instanceof QuotaMessage.LeaseRequest r) {
                peer.supportsLeases = true;
                onLeaseRequest(now, from, peer, r);
            } else if (item instanceof QuotaMessage.UsageReport u) {
                peer.supportsLeases = true;
                onUsageReport(now, from, peer, u);
            } else if (item instanceof QuotaMessage.LeaseGrant g && answersThisIncarnation) {
                onLeaseGrant(now, from, peer, g);
            } else if (item instanceof QuotaMessage.Query a) {
                onQuery(now, from, peer, a);
            } else if (item instanceof QuotaMessage.Reply a && answersThisIncarnation) {
                onAnswer(now, from, a);
            } else if (item instanceof QuotaMessage.UnitsReturned back) {
                peer.replyCache.returnUnits(now, back.serial());
            } else if (item instanceof QuotaMessage.UnitsSpent u) {
                onUnitsSpent(now, from, peer, u);
            } else if (item instanceof QuotaMessage.LedgerSync s && fresh) {
                peer.hasSynced = true;
                peer.syncSequence = message.sequence();
                onSync(now, from, s);
            } else if (item instanceof QuotaMessage.DemandHint h) {
                onHint(now, h);
            } else if (item instanceof QuotaMessage.PresenceNotice s) {
                onPresence(now, from, peer, s.state());
            }
        }
        // Replies are sent without taking budget. Instead a received message costs one unit of budget, but does not take it
        // below zero. Messages with an answer cost nothing: the query or lease request that they answer has taken budget.
        if (message.items().stream().noneMatch(i -> i instanceof QuotaMessage.Reply || i instanceof QuotaMessage.LeaseGrant
                || i instanceof QuotaMessage.DemandHint)) {
            budget = Math.max(Math.min(budget, 0), refillBudget(now) - 1);
        }
        flush();
    }

    /**
     * Returns how ceiling shares fill here. Earlier versions split a ceiling differently: half of it to the primary
     * replica, half evenly over the set. While a gateway of such a version sends messages, this gateway has no more than
     * such an even part, so that all shares together stay within the ceiling.
     */
    private CeilingShare.FillMode fillMode(double now, QuotaLedger ledger) {
        boolean besideOlderVersion = now - olderVersionHeardAt < OLDER_VERSION_TIMEOUT_MS;
        int shares = ledger.placement.shareHolders().length;
        return new CeilingShare.FillMode(filling,
                besideOlderVersion && shares > 0 ? OLDER_VERSION_EVEN_PART * shares / ledger.key.spread() : 1);
    }

    /**
     * Finds or creates the ledger of a customer; returns null if this gateway is no replica and no share holder, if the table
     * is full, or if the ledger was created for another plan or set.
     */
    private QuotaLedger ledgerFor(double now, QuotaMessage.CustomerKey key) {
        QuotaLedger ledger = ledgers.get(key.customer());
        if (ledger != null) {
            return ledger.key.equals(key) ? ledger : null; // the plan and the set received first stay in force
        }
        TableEviction.makeRoom(ledgers, config.maxCustomers(), oldest -> oldest.isExpendable(now, fillMode(now, oldest)),
                overloaded::remove);
        if (ledgers.size() >= config.maxCustomers() || key.plan() >= config.plans().size()) {
            return null;
        }
        LedgerPlacement placement = placementOf(key);
        boolean holdsShare = placement.holdsShare(config.self());
        if (placement.replicaIndex(config.self()) < 0 && !holdsShare) {
            return null;
        }
        QuotaTerms terms = config.plans().get(key.plan());
        CeilingShare ceiling = holdsShare ? new CeilingShare(terms, 1.0 / placement.shareHolders().length, fillingSince) : null;
        ledger = new QuotaLedger(key, placement, terms, ceiling, now);
        ledgers.put(key.customer(), ledger);
        return ledger;
    }

    /**
     * Returns the ledger of a customer that a peer's message is about; null also if the peer or this gateway cannot belong
     * to its set.
     */
    private QuotaLedger ledgerForMessage(double now, QuotaMessage.CustomerKey key, int from) {
        boolean possible = key.holds(from, peers.length) && key.holds(config.self(), peers.length);
        return possible ? ledgerFor(now, key) : null;
    }

    private void onQuery(double now, int from, Peer peer, QuotaMessage.Query query) {
        ReplyCache.CachedVerdict cached = peer.replyCache.find(now, query.serial());
        boolean isNew = cached == null;
        QuotaLedger ledger = isNew ? ledgerForMessage(now, query.key(), from) : cached.ledger();
        int preceding = ledger == null || query.scope() == QuotaMessage.UnitScope.CEILING ? -1 : precedingReplica(now, ledger);
        if (isNew) {
            double spentElsewhere = preceding >= 0 ? ledger.spentElsewhere(now) : 0;
            QuotaMessage.Verdict verdict = ledger == null ? QuotaMessage.Verdict.CANNOT_DECIDE
                    : ledger.decide(now, query.units(), query.refusedLocally(), query.scope(), spentElsewhere, fillMode(now, ledger));
            boolean quotaGranted = query.scope() != QuotaMessage.UnitScope.CEILING
                    && (verdict == QuotaMessage.Verdict.GRANTED || verdict == QuotaMessage.Verdict.CEILING_EXHAUSTED);
            cached = peer.replyCache.put(now, query.serial(), verdict, ledger, quotaGranted ? query.units() : 0);
            counts.undecided += verdict == QuotaMessage.Verdict.CANNOT_DECIDE ? 1 : 0;
            counts.standbyDecisions += preceding >= 0 ? 1 : 0;
        }
        if (isNew && preceding >= 0 && cached.units() > 0) { // two replicas receive queries for one ledger at present
            enqueue(preceding, new QuotaMessage.UnitsSpent(nextSerial(), query.key(), cached.units()));
        }
        enqueue(from, new QuotaMessage.Reply(query.serial(), cached.verdict(), ledger == null ? 0 : ledger.grantable(now),
                ledger == null ? 0 : ledger.demand(), preceding >= 0));
        enqueueHints(now, from);
    }

    /** Returns the reachable replica that precedes this gateway, or -1 if this gateway is in charge. */
    private int precedingReplica(double now, QuotaLedger ledger) {
        int ownIndex = ledger.placement.replicaIndex(config.self());
        for (int i = 0; i < ownIndex; i++) {
            if (isReachable(now, ledger.placement.replicas()[i])) {
                return ledger.placement.replicas()[i];
            }
        }
        return -1;
    }

    private void onUnitsSpent(double now, int from, Peer peer, QuotaMessage.UnitsSpent spent) {
        QuotaLedger ledger = peer.replyCache.find(now, spent.serial()) == null ? ledgerForMessage(now, spent.key(), from) : null;
        if (ledger != null) {
            peer.replyCache.put(now, spent.serial(), QuotaMessage.Verdict.GRANTED, ledger, 0);
            ledger.recordSpent(now, spent.units(), 0, fillMode(now, ledger));
        }
    }

    private void onAnswer(double now, int from, QuotaMessage.Reply answer) {
        PendingAdmission pending = openQueries.get(answer.serial());
        if (pending == null || pending.peer != from) {
            boolean quotaGranted = answer.verdict() == QuotaMessage.Verdict.GRANTED
                    || answer.verdict() == QuotaMessage.Verdict.CEILING_EXHAUSTED;
            if (abandoned.remove(answer.serial()) && quotaGranted) {
                enqueue(from, new QuotaMessage.UnitsReturned(answer.serial()));
            }
            return;
        }
        openQueries.remove(answer.serial());
        if (pending.sendCount == 1) {
            peers[from].answeredShare += ANSWERED_SHARE_GAIN * (1 - peers[from].answeredShare);
        }
        if (answer.fromStandby()) { // this query skipped all replicas that precede the sender; probe them
            IntStream.range(0, pending.replicaIndex)
                    .forEach(i -> probe(now, pending.customer.placement.replicas()[i], HINTED_PROBE_INTERVAL_MS));
        }
        if (answer.verdict() != QuotaMessage.Verdict.CANNOT_DECIDE && pending.scope != QuotaMessage.UnitScope.CEILING) {
            pending.customer.recordReport(now, answer.fullness() * pending.customer.terms.burst(), answer.demand());
        }
        onVerdict(now, pending, answer.verdict(), new Grant(from, answer.serial(), pending.customer.key.customer(), pending.units));
    }

    private void onSync(double now, int from, QuotaMessage.LedgerSync sync) {
        QuotaLedger ledger = ledgerForMessage(now, sync.key(), from);
        int senderIndex = ledger == null ? -1 : ledger.placement.replicaIndex(from);
        int ownIndex = ledger == null ? -1 : ledger.placement.replicaIndex(config.self());
        if (senderIndex < 0 || ownIndex < 0) {
            return;
        }
        boolean senderInCharge = senderIndex < ownIndex;
        if (senderInCharge || !ledger.informed) {
            ledger.applySync(now, sync, senderInCharge, fillMode(now, ledger));
        }
    }

    private void onPresence(double now, int from, Peer peer, QuotaMessage.PresenceState state) {
        switch (state) {
            case SERVING -> {
                peer.shuttingDown = false;
                for (QuotaLedger ledger : ledgers.values()) {
                    int senderIndex = ledger.placement.replicaIndex(from);
                    boolean active = now - ledger.lastUsedAt < ACTIVE_LEDGER_MS && ledger.terms.rate() > 0;
                    if (active && senderIndex >= 0 && senderIndex < ledger.placement.replicaIndex(config.self())) {
                        enqueueSync(now, ledger, from);
                    }
                }
            }
            case LEAVING -> peer.shuttingDown = true;
            case PROBE -> enqueue(from, new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.PROBE_REPLY));
            default -> { }
        }
    }

    /**
     * Returns {@code name=count} of the events since the last call, each with a leading blank: {@code asked} counts queries,
     * {@code again} retransmissions, {@code missed} queries without an answer, {@code guessed} admissions in degraded mode,
     * {@code stood_in} decisions as a standby replica, {@code unable} queries that could not be decided, and {@code leased}
     * admissions by a lease.
     */
    public String takeActivityCounts() {
        Counts taken = counts;
        counts = new Counts();
        return " asked=" + taken.queries + " again=" + taken.retransmissions + " missed=" + taken.misses
                + " guessed=" + taken.degradedAdmissions + " stood_in=" + taken.standbyDecisions
                + " unable=" + taken.undecided + " leased=" + taken.leaseAdmissions;
    }

    // ---- sending

    private void enqueue(int to, QuotaMessage.Item item) {
        outbox.computeIfAbsent(to, peer -> new ArrayList<>()).add(item);
    }

    /** Sends all items that are due, in as few messages per peer as they fit into. */
    private void flush() {
        for (Map.Entry<Integer, List<QuotaMessage.Item>> e : outbox.entrySet()) {
            List<QuotaMessage.Item> part = new ArrayList<>();
            int size = QuotaMessage.HEADER_BYTES;
            for (QuotaMessage.Item item : e.getValue()) {
                int more = QuotaMessage.encodedSize(item);
                if (size + more > QuotaMessage.MAX_BYTES) {
                    sendNow(e.getKey(), peers[e.getKey()].incarnation.number(), part);
                    part = new ArrayList<>();
                    size = QuotaMessage.HEADER_BYTES;
                }
                part.add(item);
                size += more;
            }
            sendNow(e.getKey(), peers[e.getKey()].incarnation.number(), part);
        }
        outbox.clear();
    }

    private void sendNow(int to, int receiverIncarnation, List<QuotaMessage.Item> items) {
        sequence = sequence + 1 & QuotaMessage.UINT16_MASK;
        link.sendToPeer(to, new QuotaMessage(incarnation, receiverIncarnation & QuotaMessage.UINT16_MASK, sequence, items).encode());
    }
}
