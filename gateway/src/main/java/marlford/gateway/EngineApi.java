package marlford.gateway;

import java.util.List;

/** What the decision module is told and what it can do: settings, events and actions. No decision lives here. */
public final class EngineApi {
    private EngineApi() { }

    /** What repeating a request of a class does. */
    public enum Effect { REPEATABLE, KEYED, ONCE }

    /** The hosts that drop repeats of one key. */
    public enum Scope {
        ALL, ZONE, CELL;

        /** True where both hosts drop repeats of the same keys. */
        public boolean together(Host a, Host b) {
            return this == ALL || a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell());
        }
    }

    public enum HostState { RUNNING, DRAINING, GONE }

    /** How a list of hosts is to be read: changes, all, what was held before a restart, or none (a call failed). */
    public enum ListKind { CHANGES, FULL, CACHED, FAILED }

    /** How an attempt, a probe or a counter call ended; SPOILT: an answer came that can't be read. */
    public enum Outcome {
        OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT, SPOILT,
        /** Never left, for reasons of this gateway's machine: no word on the host. */
        UNSENT;

        /** True where the outcome proves that the host never ran the request. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT || this == UNSENT;
        }
    }

    public record RequestClass(String name, Effect effect, Scope scope, double windowMs, double aimMs,
            double deadlineMs, double worth, double lateValue, boolean streaming) { }

    /** A plan's quotas, for each customer over all gateways; a figure of 0 means that there is no such limit. */
    public record Plan(String name, double rate, double burst, int openLimit, double price, double overWorth,
            double overCost, double ceilingRate, double ceilingBurst, double ceilingSlack) {
        /** True where what goes beyond the quota earns at least what it costs. */
        public boolean excessPays() {
            return overWorth > 0 && overWorth >= overCost;
        }
    }

    public record Limits(int maxAttempts, boolean duplicates, boolean cancel, boolean probes, boolean peers,
            boolean retryAfter, double maxRetryAfterMs) { }

    public record Rules(double answerSlackMs, double drainGraceMs, double fallMultiple, double fallMs,
            double coldFrom, double warmWithinMs, double askWithinMs) { }

    /** Where gateways may learn of each other, and what one costs. */
    public record Sharing(boolean counter, double counterPrice, double meterPeriodMs, boolean postPaid,
            double maxUnits, double mailPerSecond, double peerPrice, double probePrice, double zonePrice) { }

    public record Settings(long seed, int me, int gateways, String zone, boolean subscribe,
            List<RequestClass> classes, List<Plan> plans, List<String> reportNames, Limits limits, Rules rules,
            Sharing sharing) { }

    public record Host(String id, String zone, String kind, int cell, HostState state, double rating,
            double startedMs) { }

    /**
     * A request, waiting since {@code arrivedMs}: {@code spread} gateways from number {@code first} on, counted round, may
     * receive the customer. The rest of its body may take {@code restMs}, on its way to the host, before it counts.
     */
    public record Request(String id, double deadlineMs, double arrivedMs, boolean retry, String requestClass, long customer,
            String plan, double units, int first, int spread, double restMs) {
        /** A request that is here with its last byte. */
        public Request(String id, double deadlineMs, double arrivedMs, boolean retry, String requestClass,
                long customer, String plan, double units, int first, int spread) {
            this(id, deadlineMs, arrivedMs, retry, requestClass, customer, plan, units, first, spread, 0);
        }
    }

    /** How an attempt ended; {@code usedPct} is 0 and {@code trueUnits} is 0 where nothing was told. */
    public record AttemptResult(String id, int attempt, String host, Outcome outcome, double latencyMs,
            boolean closed, int usedPct, double trueUnits, double[] report) { }

    /** Everything that a gateway sees; {@code now} is the only clock, in milliseconds. */
    public interface Events {
        void onStart(double now, Settings settings);

        void onHosts(double now, ListKind kind, List<Host> hosts);

        void onRequest(double now, Request request);

        void onStreamStarted(double now, String id, int attempt);

        void onAttemptEnded(double now, AttemptResult result);

        void onClientLeft(double now, String id);

        void onTimer(double now, String token);

        void onProbeResult(double now, String host, Outcome outcome, double latencyMs, double[] report);

        void onPeerMessage(double now, int peer, byte[] data);

        void onCounterResult(double now, String counter, Outcome outcome, double total);

        /**
         * No earlier life of this gateway has spent anything since then, on the clock of {@code now}; told once, right
         * after {@link #onStart}, and only where that is certain.
         */
        default void onNoOtherSpenderSince(double now, double since) { }

        /**
         * Another process serves in this one's place: what fills from now on is its, and no peer is heard. What is
         * open here, and what still comes, is decided by what was saved.
         */
        default void onReplaced(double now) { }

        /** The other process is gone, with what filled meanwhile. */
        default void onRestored(double now) { }

        /** This gateway ends within some hundred milliseconds: peers are to turn to others. */
        default void onShutdown(double now) { }

        /** What it did since it was last asked, by cause, and what is open now: one line for the log. */
        default String takeActivityLine(double now) {
            return "";
        }

        /** How many hosts of the list get nothing now, or as little as may be; changes nothing. */
        default int avoidedHostCount(double now) {
            return 0;
        }
    }

    /** Everything that a gateway can do. */
    public interface Actions {
        void send(String id, String host, double timeoutMs);

        void cancel(String id, int attempt);

        void refuse(String id, double retryAfterMs);

        void fail(String id);

        void startTimer(double delayMs, String token);

        void probe(String host);

        void sendToPeer(int peer, byte[] data);

        void addToCounter(String counter, double amount, double lifetimeMs);

        void watchHosts();
    }
}
