package marlford.gateway;

import java.util.List;

/**
 * The interface of the {@link DecisionEngine}: its settings, the events that it gets and the actions that it takes. It contains no
 * decisions. Times are in milliseconds.
 */
public final class EngineApi {
    private EngineApi() { }

    /** What repeating a request of a class does: no harm, no harm with the same idempotency key, or harm. */
    public enum Effect { REPEATABLE, KEYED, ONCE }

    /** The hosts that detect a repeat of an idempotency key among each other. */
    public enum Scope {
        ALL, ZONE, CELL;

        /** True where both hosts detect repeats of the same keys. */
        public boolean sharesKeys(Host a, Host b) {
            return this == ALL || a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell());
        }
    }

    /** A host's state as reported by discovery. */
    public enum HostState { RUNNING, DRAINING, GONE }

    /**
     * How a list of hosts is to be read: as changes only, as the complete list, as the complete list from before a restart, or
     * as no list since the discovery call failed.
     */
    public enum ListKind { CHANGES, FULL, CACHED, FAILED }

    /** How an attempt, a probe or a counter call ended. */
    public enum Outcome {
        /** The host has answered. */
        OK,
        /** The host has answered with an error. */
        ERROR,
        /** The host has rejected the request and states that it has not run it. */
        FULL,
        /** No answer arrived in time. The host may have run the request. */
        TIMEOUT,
        /** The request did not reach the host completely, so the host has not run it. */
        CONNECT_FAILED,
        /** The connection was lost after the request was sent. The host may have run the request. */
        RESET,
        /** The attempt was cancelled. The host may have run the request. */
        CANCELLED,
        /**
         * The attempt was not sent, since it was pointless or not permitted: for example the request is closed or its
         * deadline has passed.
         */
        MOOT,
        /** An answer arrived that cannot be parsed. The host has run the request. */
        SPOILT,
        /** Not sent for reasons of this gateway's machine. It says nothing about the host. */
        UNSENT;

        /** True where the outcome proves that the host did not run the request. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT || this == UNSENT;
        }
    }

    /**
     * A class of requests.
     *
     * @param scope hosts among which a keyed request may be repeated
     * @param windowMs how long hosts remember an idempotency key
     * @param goalMs latency goal
     * @param deadlineMs hard limit of the time to answer
     * @param worth value of an answer within the goal; the first weights of the classes follow it
     * @param lateValue value of an answer after the goal; the engine only decides by it whether requests may wait beyond
     *     their goal
     * @param streaming responses are long, and their hosts work until the last byte
     */
    public record RequestClass(String name, Effect effect, Scope scope, double windowMs, double goalMs,
            double deadlineMs, double worth, double lateValue, boolean streaming) { }

    /**
     * A plan's limits for each customer over all gateways; a value of 0 means that there is no such limit.
     *
     * @param rate quota, in units per second
     * @param burst size of the quota's token bucket, in units
     * @param openLimit open requests at a time
     * @param price factor of the value of the plan's requests; the engine does not use it
     * @param excessValue value of one unit used beyond the quota
     * @param excessCost cost of one unit used beyond the quota, on the same scale
     * @param ceilingRate ceiling that is never exceeded, in units per second
     * @param ceilingBurst size of the ceiling's token bucket, in units
     * @param ceilingSlack tolerance, in units, when use is compared with the ceiling; the engine does not use it
     */
    public record Plan(String name, double rate, double burst, int openLimit, double price, double excessValue,
            double excessCost, double ceilingRate, double ceilingBurst, double ceilingSlack) {
        /** True where use beyond the quota earns at least what it costs. */
        public boolean excessPays() {
            return excessValue > 0 && excessValue >= excessCost;
        }
    }

    /**
     * What the gateway may do.
     *
     * @param maxAttempts attempts for one request
     * @param mayDuplicate a second attempt may be sent while the first is in flight
     * @param cancel attempts can be cancelled
     * @param probes hosts can be probed
     * @param peerMessages gateways can send messages to each other
     * @param retryAfter a refusal can name a time after which the client may retry
     * @param maxRetryAfterMs upper limit of that time
     */
    public record Limits(int maxAttempts, boolean mayDuplicate, boolean cancel, boolean probes, boolean peerMessages,
            boolean retryAfter, double maxRetryAfterMs) {
        /** True where a request may have one more attempt. Those that were not sent cost no host anything, but must come to an end. */
        public boolean allowAttempt(long sent, long unsent) {
            return sent < maxAttempts && sent + unsent < 2L * maxAttempts;
        }
    }

    /**
     * Parameters of the rules that hold whatever else happens.
     *
     * @param answerSlackMs tolerance for answers after a deadline
     * @param drainGraceMs time for which a host may still get requests after it is reported to be draining
     * @param overloadFactor multiple of its capacity beyond which a host is overloaded
     * @param overloadWindowMs window over which that is counted
     * @param coldShare share of its capacity that a host has right after its start
     * @param warmWithinMs time from its start until a host has its full capacity
     * @param askWithinMs the setting {@code rules.ask_within_ms}; this process only stores it
     */
    public record Rules(double answerSlackMs, double drainGraceMs, double overloadFactor, double overloadWindowMs,
            double coldShare, double warmWithinMs, double askWithinMs) { }

    /**
     * How gateways can share what they know, and what that costs. The engine uses no prices.
     *
     * @param counter a shared counter is available, at {@code counterPrice} for each call
     * @param meterPeriodMs period of the usage meter
     * @param postPaid the units of a request are known only from its answer
     * @param maxUnits units of the largest request
     * @param messagesPerSecond messages that a gateway accepts per second
     * @param peerPrice cost of a message between gateways
     * @param probePrice cost of a probe
     * @param crossZonePrice cost of a request that crosses zones
     */
    public record Sharing(boolean counter, double counterPrice, double meterPeriodMs, boolean postPaid,
            double maxUnits, double messagesPerSecond, double peerPrice, double probePrice, double crossZonePrice) { }

    /**
     * All settings of one engine.
     *
     * @param seed of its random choices
     * @param me number of this gateway, from 0 and below {@code gateways}
     * @param gateways in the tier
     * @param subscribe discovery must be called for hosts; otherwise lists arrive without a call
     * @param reportNames names of the values in {@code report} arrays
     */
    public record Settings(long seed, int me, int gateways, String zone, boolean subscribe,
            List<RequestClass> classes, List<Plan> plans, List<String> reportNames, Limits limits, Rules rules,
            Sharing sharing) { }

    /**
     * A host as reported by discovery.
     *
     * @param cell group of hosts within the zone
     * @param rating capacity rating; the engine does not use it
     * @param startedMs wall clock time of the host's start; 0 where that is long ago or not known
     */
    public record Host(String id, String zone, String kind, int cell, HostState state, double rating,
            double startedMs) {
        /** Returns this host in another state. */
        public Host withState(HostState other) {
            return state == other ? this : new Host(id, zone, kind, cell, other, rating, startedMs);
        }
    }

    /**
     * A client's request, waiting since {@code arrivedMs}. The customer's requests may arrive at {@code spread} gateways of
     * consecutive numbers from {@code first} on; after the last gateway of the tier follows number 0.
     *
     * @param retry the client has sent the request before
     * @param units of the customer's quota that the request uses
     * @param bodyTimeMs time in milliseconds that the client may take for the rest of the body, which is sent on to the host
     *     as it arrives; 0 if the request was received completely. An attempt of another request gets its slot once it is
     *     written completely.
     */
    public record Request(String id, double deadlineMs, double arrivedMs, boolean retry, String requestClass, long customer,
            String plan, double units, int first, int spread, double bodyTimeMs) {
        /** A request that has arrived completely. */
        public Request(String id, double deadlineMs, double arrivedMs, boolean retry, String requestClass,
                long customer, String plan, double units, int first, int spread) {
            this(id, deadlineMs, arrivedMs, retry, requestClass, customer, plan, units, first, spread, 0);
        }

        /** Returns this request with another deadline. */
        Request withDeadline(double otherDeadlineMs) {
            return new Request(id, otherDeadlineMs, arrivedMs, retry, requestClass, customer, plan, units, first, spread, bodyTimeMs);
        }
    }

    /**
     * How an attempt ended.
     *
     * @param attempt number among the request's attempts, from 0
     * @param closed the request has its final answer
     * @param quotaUsedPct percentage of the customer's quota that all gateways used; 0 where none was reported
     * @param usedUnits units that the request used; 0 where that was not reported
     * @param report load values of the host, in the order of {@link Settings#reportNames}
     */
    public record AttemptResult(String id, int attempt, String host, Outcome outcome, double latencyMs,
            boolean closed, int quotaUsedPct, double usedUnits, double[] report) { }

    /** The events of an engine. The argument {@code now}, in milliseconds, is its only clock. */
    public interface Events {
        /** The first event, sent once. */
        void onStart(double now, Settings settings);

        /** Discovery has reported hosts; {@code kind} tells how to read the list. */
        void onHosts(double now, ListKind kind, List<Host> hosts);

        void onRequest(double now, Request request);

        /**
         * An attempt has been written to its host completely. Sent for requests whose body was not received completely when they
         * arrived: the host can begin only now.
         *
         * @param deadlineMs the request's deadline, which counts from the last byte of its body
         */
        default void onBodySent(double now, String id, int attempt, double deadlineMs) { }

        /** The response of an attempt has begun to arrive. */
        void onStreamStarted(double now, String id, int attempt);

        void onAttemptEnded(double now, AttemptResult result);

        /** The client has disconnected or abandoned the request. */
        void onClientLeft(double now, String id);

        /** A timer set by {@link Actions#startTimer} has expired. */
        void onTimer(double now, String token);

        /**
         * A probe has ended. For a probe of this gateway {@code now} is when the result arrived. For a result that was
         * reported by another part of the process, {@code now} is the present time less the age of the result, so it can
         * be before earlier events. A result that is older than the host's newest sample is ignored.
         */
        void onProbeResult(double now, String host, Outcome outcome, double latencyMs, double[] report);

        /** A message of another gateway has arrived. */
        void onPeerMessage(double now, int peer, byte[] data);

        /** A call to a shared counter has ended. */
        void onCounterResult(double now, String counter, Outcome outcome, double total);

        /**
         * No earlier incarnation of this gateway has spent anything since {@code since}, on the clock of {@code now}. Sent
         * once, right after {@link #onStart}, and only where that is certain.
         */
        default void onNoOtherSpenderSince(double now, double since) { }

        /**
         * Another process has taken over from this one. Units that buckets gain from now on belong to that process, and no
         * peer message arrives here. Requests that are open here or still arrive are decided by the units left in the
         * buckets.
         */
        default void onReplaced(double now) { }

        /** The other process has ended. The units that buckets gained since {@link #onReplaced} are lost. */
        default void onRestored(double now) { }

        /** This gateway ends within some hundred milliseconds; peers should use other gateways instead. */
        default void onShutdown(double now) { }

        /** One log line: counts of what the engine did since the last call, by cause, and the present state. */
        default String takeActivityLine(double now) {
            return "";
        }

        /** True while a host is within its slow start. Changes nothing. */
        default boolean isColdHost(double now, String host) {
            return false;
        }

        /** The number of listed hosts that get no requests now, or as few as possible. Changes nothing. */
        default int avoidedHostCount(double now) {
            return 0;
        }
    }

    /** The actions that an engine can take. */
    public interface Actions {
        /** Sends an attempt of a request to a host; a timeout of 0 means the request's deadline. */
        void send(String id, String host, double timeoutMs);

        void cancel(String id, int attempt);

        /**
         * Answers a request that was not served and may be retried. With {@code retryAfterMs} 0 the answer names no time for
         * the retry.
         */
        void refuse(String id, double retryAfterMs);

        /** Answers a request that was not served and may have run. */
        void fail(String id);

        void startTimer(double delayMs, String token);

        void probe(String host);

        /** Sends a message to the gateway of that number, or to all others for -1. */
        void sendToPeer(int peer, byte[] data);

        void addToCounter(String counter, double amount, double lifetimeMs);

        /** Calls discovery for the list of hosts. */
        void watchHosts();
    }
}
