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
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.gossip.QuotaTransfers;
import marlford.gateway.gossip.UsageMessage;
import marlford.gateway.quota.PeerIncarnation;
import marlford.gateway.quota.QuotaCoordinator;
import marlford.gateway.quota.QuotaMessage;

/** What one gateway remembers: plain fields and look-ups, no decision; DecisionEngine alone reads meaning into them. */
final class EngineState {
    static final double NEVER = Double.NEGATIVE_INFINITY;
    static final int EVERYONE = -1; // in the place of a peer
    static final double SLOW_MAX = 12; // largest slowness that is believed
    static final double FORGET_MS = 20_000; // idle so long a customer is forgotten, and not before
    private static final double FILLED = 2; // times the time in which its slowest store fills from nothing

    private EngineState() { }

    /** From then on an idle customer's stores are as full as those of a new one: forgetting gives nothing. */
    static double forgetMs(Plan p) {
        double quota = p.rate() > 0 ? p.burst() / p.rate() : 0;
        double ceiling = p.ceilingRate() > 0 ? p.ceilingBurst() / p.ceilingRate() : 0;
        return Math.max(FORGET_MS, FILLED * 1000 * Math.max(quota, ceiling));
    }

    /** The gateways of a set that stand first by the hash of a thing: each gateway finds the same by itself. */
    static int[] ranked(long thing, int first, int spread, int gateways, int count) {
        int[] found = new int[spread];
        long[] hashes = new long[spread];
        for (int i = 0; i < spread; i++) {
            int g = Math.floorMod(first + i, gateways);
            long hash = mixed(thing * 31 + mixed(g));
            int at = i;
            for (; at > 0 && hashes[at - 1] > hash; at--) {
                found[at] = found[at - 1];
                hashes[at] = hashes[at - 1];
            }
            found[at] = g;
            hashes[at] = hash;
        }
        return Arrays.copyOf(found, Math.min(spread, count));
    }

    private static long mixed(long x) {
        long h = (x ^ x >>> 32) * 0x9E3779B97F4A7C15L;
        return (h ^ h >>> 29) * 0xBF58476D1CE4E5B9L ^ h >>> 32;
    }

    /** A class's queue, its place in the fair turns, its delay and its slope. */
    static final class ClassState {
        final RequestClass spec;
        final ArrayDeque<Ask> queue = new ArrayDeque<>();
        double weight;
        double turn;
        double latencyPerUnit;
        double base;
        int samples;
        double releasedAt = NEVER;
        double releaseGap;
        double delay;
        double tickDelay;
        int tickCount;
        double slope; // magnitude: delay lost for each unit of weight gained; 0 = not known yet
        double markDelay;
        double markWeight;

        ClassState(RequestClass spec) {
            this.spec = spec;
        }

        /** A request that left has no latency yet, an answer no wait. */
        void noteDelay(double hold, double latency) {
            tickDelay += hold + latency;
            tickCount += latency > 0 ? 0 : 1;
        }
    }

    /** What is known of a peer gateway, and what waits to be told to it. */
    static final class Peer {
        final int number;
        final LinkedHashSet<Customer> tells = new LinkedHashSet<>(); // to it as a keeper
        final LinkedHashSet<Customer> answers = new LinkedHashSet<>(); // to it by this gateway as a keeper
        boolean waiting; // stands in the outbox
        final PeerIncarnation life = new PeerIncarnation();
        int serial; // of the last message to it
        int heardSerial;
        double toldAt = NEVER;
        double silentTill = NEVER;
        double roundAt = NEVER; // when it last told all
        double sharedAt = NEVER; // when a ceiling was seen to of which both are keepers

        Peer(int number) {
            this.number = number;
        }

        /** Whether a message is news: not overtaken on the way, told twice, or of a life before its sender's. */
        boolean hears(double now, int saidLife, int heard) {
            boolean sameLife = life.isKnown() && saidLife == life.number();
            boolean late = sameLife && !LedgerMessage.after(heard, heardSerial);
            if (!life.hears(now, saidLife) || late) return false;
            heardSerial = heard;
            return true;
        }
    }

    /** What a gateway of a customer's set and its keeper know of each other; starts anew with either's life. */
    static final class Member {
        int epoch;
        boolean known;
        int used; // as its broadcasts say it
        double booked;
        double granted;
        double demand;
        double demandAt;
        int open;
        double given;
        double taken;

        /** Its demand as it is by now, if it told nothing further. */
        double demand(double now, double averagedMs) {
            return demand * Math.exp(-(now - demandAt) / averagedMs);
        }

        /** Units that its broadcasts' total has grown by; all of it where the total is new or began anew. */
        double usedSince(int total) {
            double since = known ? UsageMessage.ahead(total, used) : -1;
            known = true;
            used = total;
            return since < 0 ? UsageMessage.units(total) : since;
        }
    }

    /** One customer's stores here; as its keeper, also what the others of its set told. */
    static final class Customer {
        final long id;
        final int planNumber;
        final Plan plan;
        int first;
        int spread; // gateways of its set; 0 while only peers have spoken of it
        int[] keepers = {}; // gateways of its set, the first in charge
        final Map<Integer, Member> members = new TreeMap<>();
        final ArrayDeque<Ask> pending = new ArrayDeque<>(); // requests that wait for a keeper's word
        double tokens; // the own bucket
        double level; // the whole store: as a keeper what is booked, else the most that it can hold
        double ceiling;
        double leasedSince; // when what is leased of the ceiling came here, or TwoPartyLeases.NOT
        final QuotaTransfers loans = new QuotaTransfers(); // of its ceiling
        double touchedAt;
        double demand;
        double others; // demand of the other gateways
        int othersOpen;
        double used;
        private double usedMost;
        double unsent; // ceiling units let in whose requests have not left yet
        double newsAt = NEVER; // when a keeper last told
        double toldAt = NEVER;
        boolean informed; // as a keeper: knows what was used before its start
        double meterPart;
        double meterAt = NEVER;
        double useRate;
        int open;

        Customer(long id, int planNumber, Plan plan, double now) {
            this.id = id;
            this.planNumber = planNumber;
            this.plan = plan;
            this.touchedAt = now;
        }

        QuotaMessage.Named named() {
            return new QuotaMessage.Named(id, planNumber, first, spread);
        }

        /** What is known between this gateway and a peer on this customer, new for each life of the peer. */
        Member member(Peer peer) {
            Member m = members.get(peer.number);
            if (m == null || m.epoch != peer.life.number()) {
                othersOpen -= m == null ? 0 : m.open;
                m = new Member();
                m.epoch = peer.life.number();
                members.put(peer.number, m);
            }
            return m;
        }

        /** The most that was ever used, which falls with nothing that is given back. */
        double usedAtMost() {
            usedMost = Math.max(usedMost, used);
            return usedMost;
        }

        /** Takes units from the quota's and the ceiling's stores, or gives them back where negative. */
        void charge(double units, double ceilingUnits, double averagedMs) {
            tokens = Math.max(tokens - units, -plan.burst() / spread);
            level = Math.max(-plan.burst(), Math.min(plan.burst(), level - units));
            used += units;
            useRate += units / averagedMs * 1000;
            unsent += ceilingUnits;
            ceiling -= ceilingUnits;
        }

        /** Takes in what a meter tells: the share of the quota that all used, where no peers can be asked. */
        void meter(double now, int usedPct, double step) {
            if (usedPct <= 0 || plan.rate() <= 0) return;
            double total = (usedPct - 1) / 100.0 * plan.rate();
            double part = total > 0 ? Math.min(1, useRate / total) : 1.0 / spread;
            boolean rises = total < plan.rate() && demand > part * plan.rate();
            meterPart = rises ? Math.min(1, Math.max(part, meterPart) + step) : part;
            meterAt = now;
        }

        /** When the store will have filled enough. */
        double refillMs(double units) {
            return plan.rate() > 0 ? 1000 * (units - level) / plan.rate() : 0;
        }

        double fullness() {
            return plan.burst() > 0 ? level / plan.burst() : 1;
        }

        double pendingUnits() {
            return pending.stream().mapToDouble(a -> a.request.units()).sum();
        }
    }

    /** Units of a customer's ceiling that a peer wants, since it has none left. */
    record Wish(Customer customer, int peer, int life, int count, double units, double at) { }

    /** How many times slower than usual a host was last taken to be, and when. */
    static final class Health {
        double slow = 1;
        double at;

        /** What is not confirmed fades. */
        double slowness(double now, double fadeMs) {
            return 1 + (slow - 1) * Math.exp(-(now - at) / fadeMs);
        }

        /** Takes in one answer, that many times slower than usual, with that weight. */
        void judge(double now, double ratio, double gain, double fadeMs) {
            slow = slowness(now, fadeMs) + gain * (Math.min(SLOW_MAX, ratio) - slowness(now, fadeMs));
            at = now;
        }

        /**
         * Takes in what a probe found, of this gateway or another, unless an answer has told since. A host that can't be
         * reached is as bad as may be, one that is late as bad as a full one; to be well is worth as much as one answer.
         */
        void probed(double sentAt, Outcome outcome, double late, double gain, double fadeMs) {
            if (sentAt > at && outcome != Outcome.UNSENT) {
                judge(sentAt, switch (outcome) {
                    case OK -> 1;
                    case TIMEOUT, ERROR, FULL, SPOILT -> late;
                    default -> SLOW_MAX;
                }, gain, fadeMs);
            }
        }
    }

    /** A host as this gateway sees it. */
    static final class Server {
        final LinkedHashSet<Attempt> out = new LinkedHashSet<>();
        final long order; // among all hosts, alike at each gateway; hashed: names in sequence may tell size or zone
        Host info;
        boolean listed = true;
        double outWork;
        final Health health = new Health();
        private final Map<String, Health> byClass = new TreeMap<>();
        double toldStartMs; // as discovery told it; 0 for long ago
        double coldAt = NEVER; // its start on this gateway's clock

        Server(Host info) {
            this.info = info;
            this.order = mixed(info.id().hashCode());
        }

        Health of(ClassState c) {
            return byClass.computeIfAbsent(c.spec.name(), n -> new Health());
        }

        boolean open() {
            return listed && info.state() == HostState.RUNNING;
        }
    }

    static final class Attempt {
        final Ask ask;
        final int number;
        final Server server;
        final double sentAt;
        final double work;
        final double stalled; // own stalls before it was sent, in all
        boolean out = true;
        boolean placed; // counts among what its host is doing
        boolean neverRan;
        boolean unsent; // it never came whole to the host
        boolean overdue;

        Attempt(Ask ask, Server server, double sentAt, double work, double stalled) {
            this.ask = ask;
            this.number = ask.attempts.size();
            this.server = server;
            this.sentAt = sentAt;
            this.work = work;
            this.stalled = stalled;
        }
    }

    /** A request held or under way. */
    static final class Ask {
        final Request request;
        final ClassState cls;
        final Customer customer;
        final double arrived;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean admitted;
        boolean done;
        boolean streaming;
        int stage; // which of the customer's keepers is asked
        int keeper; // its number
        int askSerial; // of the message that asked
        double answerBy; // when its answer counts as missing
        QuotaCoordinator.Grant grant; // units to give back where none are used
        double leaveBy = Double.POSITIVE_INFINITY; // its units are good until then

        Ask(Request request, ClassState cls, Customer customer) {
            this.request = request;
            this.cls = cls;
            this.customer = customer;
            this.arrived = request.arrivedMs();
        }

        /** Time that the class's requests of this size have been taking. */
        double work() {
            return cls.latencyPerUnit * Math.max(request.units(), 0.1);
        }

        /** The first attempt not known never to have run, or null. */
        Attempt ran() {
            return attempts.stream().filter(a -> !a.neverRan).findFirst().orElse(null);
        }

        /** Whether an attempt may have come whole to a host. */
        boolean leftWhole() {
            return attempts.stream().anyMatch(a -> !a.unsent);
        }

        boolean anyOut() {
            return attempts.stream().anyMatch(a -> a.out);
        }
    }
}
