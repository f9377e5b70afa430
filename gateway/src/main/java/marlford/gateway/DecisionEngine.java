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
 * Every decision of one gateway: admission, release, weights, host choice, health, tells and the rule guards.
 * Its interface (events, actions, settings) is EngineApi.java, beside this file.
 */
public final class DecisionEngine implements EngineApi.Events {
    // Housekeeping
    private static final double TICK_MS = 20; // held requests expire and tells leave on this beat
    private static final double SWEEP_MS = 5000; // how often customers and hosts long gone are forgotten
    private static final int CUSTOMERS_MAX = 20_000; // books kept; a new customer beyond them is refused
    // Admission by parts
    private static final double DEMAND_MS = 2000; // averaging of demand: longer than gaps between requests
    private static final double EVEN_PRIOR = 0.05; // of the rate, added to a set's demand: all have a part
    private static final double FRESH_MS = 1000; // a keeper's word this old no longer lets in without asking
    private static final double RELAX_MS = 3000; // and from here on the part is the even one
    private static final double LAG_MS = 60; // a told figure's age on arrival: half a gap and the way
    private static final double WARY = 0.6; // of the rate: what others may use unseen beside their demand
    // Keepers and tells
    private static final double RETRY_MIN_MS = TICK_MS; // shortest wait that a refusal tells
    private static final int KEEPERS = 2; // gateways of a set that keep its books: one may be down
    private static final double ANSWER_MS = 150; // a due answer is missing after so long
    private static final double SILENT_MS = 1000; // a peer that missed an answer is not asked so long
    private static final double MAIL_SHARE = 0.8; // share of the intake that is used: bursts fit in the rest
    private static final double MAIL_BURST_MS = 150; // time's worth of mail that may leave at once
    private static final double GAP_MAX_MS = 50; // longest of the shortest gaps between messages to a peer
    private static final double SYNC_MS = 300; // how often a keeper tells the other keeper of a customer
    private static final int TELL_BYTES = 256; // largest message
    private static final double OWNER_SHARE = 0.5; // of a ceiling, held by the first keeper; the rest evenly
    private static final double LEASED = 0.5; // of that: the second keeper's while the first is not heard
    private static final double PULSE_MS = 300; // a word is due so often between keepers of ceilings
    private static final double PULSE_SHARE = 0.15; // of the intake for such words: more peers, rarer words
    private static final int TERM_PULSES = 4; // a lease outlives so many words less one that are lost
    private static final double TERMS_APART_MS = 250; // between the end of a lease and its taking over
    // A tier too large for questions
    private static final int GIVERS = 2; // asked at once for units of a ceiling
    private static final double KEPT = 0.5; // of its share, that a gateway gives to nobody
    private static final int WISHES_MAX = 64; // wants of peers that wait for an answer; further ones get none
    // Release
    private static final double CHANCE = 0.7; // places beyond the even ones, in roots of them: for bursts
    private static final double BOUND_START = 6; // attempts out a host at first, by all gateways
    private static final double BOUND_MIN = 3; // never fewer by all gateways, or cores would idle
    private static final double BOUND_MAX = 128; // by all gateways: beyond this no host gains
    private static final double BOUND_UP = 1.15; // growth a beat while requests wait on fast hosts
    private static final double BOUND_DOWN = 0.85; // cut a beat while latency is stretched
    private static final double BOUND_BEAT_MS = 250; // how often the bound moves
    private static final int BOUND_ANSWERS = 8; // answers to move it by, or so many beats
    private static final double BASE_DRIFT = 1.002; // growth a beat, so that a lasting change is accepted
    private static final int BASE_SAMPLES = 20; // answers before the base is held
    private static final double STRETCHED = 1.7; // latency over its base that counts as queueing at the hosts
    private static final double AIM_USED = 0.1; // below this share of the aim latency does no harm
    private static final double LATE_WORTH_KEPT = 0.5; // late worth from which a late answer merits a place
    private static final double FINISH_SHARE = 3; // expected times a held request must still have
    private static final double HOLD_SHARE = 0.1; // share of the aim for which any request may be held
    private static final double AIM_LOST = 0.5; // mean share of the aim that is queueing for sure
    private static final double GAP_GAIN = 0.1; // weight of one release in the mean gap of releases
    private static final double FIRST_GUESS = 0.2; // of the aim: the largest request, before any answer
    private static final int SCAN = 16; // held requests passed over for want of a legal host, a turn
    // Weights: the paper's alpha, beta, epsilon
    private static final double ALPHA = 0.7; // weight of the old delay average
    private static final double BETA = 0.5; // share of a computed donation that is committed
    private static final double EPSILON = 0.1; // half-width of the band in which a class is content
    private static final double DELAY_GOAL = 0.6; // share of the aim that a class's mean delay may take
    private static final double WEIGHT_TICK_MS = 500; // delay averaging beat
    private static final double WEIGHT_GAP_MS = 1000; // first interval between donations; doubles after one
    private static final double WEIGHT_GAP_MAX_MS = 8000; // longest such interval
    private static final double WEIGHT_STEP = 0.05; // first step, before a slope is known, of all weight
    private static final double WEIGHT_MIN = 0.02; // least weight, as share of all
    // Hosts
    private static final double SLOW_GAIN = 0.12; // weight of one answer in a host's slowness
    private static final double FAILED_GAIN = 0.4; // weight of a failure or of an overdue attempt
    private static final double BAD_ANSWER = 4; // slowness of a full host, and of one tried before
    private static final double OWN_SHARE = 0.2; // of an attempt's time; a longer own stall hides the host's
    private static final double SLOW_FADE_MS = 6000; // slowness not confirmed fades: a trial by itself
    private static final double TROUBLED = 2.2; // slowness from which a host is worse than chance makes it
    private static final double SILENT_AFTER = 5; // expected times, and
    private static final double QUIET_MS = 400; // so much, after which it is overdue
    private static final double ZONE_COST = 0.05; // crossing zones, as share of the score of an idle host
    private static final double COLD_SAFETY = 0.7; // of a cold host's allowance: bursts fit in the rest
    private static final double SERVED_MIN = 0.5; // of the hosts in use: fewer are not believed to serve
    private static final double COLD_CORES = 2; // of a host at least; the smallest known have three
    private static final int HOMES = 8; // hosts a gateway keeps to, while they serve; more
    private static final int HOST_GATEWAYS = 6; // where a host would have fewer gateways than this
    private static final int DRAWS = 2; // hosts compared at least; more where own counts can tell them apart
    private static final double SURVEY_MS = 500; // how often the hosts are counted
    private static final double RETRY_SHARE = 0.2; // further attempts earned by each first one
    private static final double RETRY_MAX = 20; // most further attempts saved up
    private static final double WINDOW_SHARE = 0.9; // of a key's window: the rest covers the way to the host
    private static final double DEADLINE_MS = 40; // refuse or fail this long before a deadline: two beats
    private static final double UNSENT_SHARE = 0.4; // of its time: then what never left is decided

    private final Actions act;
    private final Map<String, ClassState> classes = new LinkedHashMap<>();
    private final Map<String, Integer> planNumbers = new LinkedHashMap<>();
    private final Map<Long, Customer> customers = new LinkedHashMap<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Ask> asks = new LinkedHashMap<>();
    private final ArrayDeque<Peer> outbox = new ArrayDeque<>();
    private final LinkedHashSet<Ask> questions = new LinkedHashSet<>();
    private final LinkedHashSet<Server> watched = new LinkedHashSet<>();
    private final List<Server> usable = new ArrayList<>();
    private final List<Server> homes = new ArrayList<>();
    private Peer[] peers = new Peer[0];
    private Settings set;
    private HostStarts starts;
    private TwoPartyLeases leases;
    private double pulse; // milliseconds between words of one keeper to another
    private final ActivityCounters account = new ActivityCounters();
    private Random random;
    private GossipScheduler rounds; // null where keepers are asked
    private QuotaCoordinator exchange; // null but where the tier is too large for rounds as well
    private final ArrayDeque<Wish> wishes = new ArrayDeque<>();
    private double roundHeardAt = NEVER;
    private int epoch, roundsTold;
    private double fillsSince; // the last life of this gateway spent its ceilings until then
    private double startedAt, beatAt, stalled, boundAt, sweptAt, delayAt, donateAt, mailAt, surveyedAt;
    private double mail, donateGap = WEIGHT_GAP_MS;
    private double replacedAt = Double.POSITIVE_INFINITY; // since when another process serves in this place
    private boolean waited;
    private int inFlight, answers;
    private double perHost = BOUND_START, capacity, turn;
    private double retryTokens = RETRY_MAX / 2;
    private double latencySum, baseSum, aimShareSum;

    public DecisionEngine(Actions act) {
        this.act = act;
    }

    /** Quotas where hundreds of gateways share them. */
    private QuotaCoordinator exchange(double now) {
        List<QuotaTerms> plans = set.plans().stream().map(p -> new QuotaTerms(p.excessPays() ? 0 : p.rate(),
                p.burst(), p.ceilingRate(), p.ceilingBurst())).toList();
        return new QuotaCoordinator(now, new QuotaCoordinator.Config(set.me(), peers.length,
                set.sharing().mailPerSecond(), set.sharing().maxUnits(), CUSTOMERS_MAX, plans),
                epoch, random, new QuotaCoordinator.Link() {
            @Override public void tell(int peer, byte[] data) {
                account.note(Item.TOLD);
                act.sendToPeer(peer, data);
            }

            @Override public void decided(double at, String id, QuotaCoordinator.Decision d) {
                Ask ask = asks.get(id);
                ask.grant = d.grant();
                ask.leaveBy = d.leaveBy();
                if (d.in()) letIn(at, ask);
                if (d.in()) return;
                account.note(Item.of(d.why()));
                close(ask);
                act.refuse(id, waitTold(d.retryMs()));
            }
        });
    }

    // ---- events

    @Override public void onStart(double now, Settings settings) {
        set = settings;
        random = new Random(settings.seed());
        startedAt = fillsSince = now;
        starts = new HostStarts(settings.rules().warmWithinMs());
        peers = new Peer[Math.max(1, settings.gateways())];
        Arrays.setAll(peers, Peer::new);
        double pulses = PULSE_SHARE * Math.max(1, settings.sharing().mailPerSecond()) / 1000;
        pulse = Math.max(PULSE_MS, (peers.length - 1) / pulses);
        double gap = (peers.length - 1) / mailRate();
        beginLife(now);
        boolean hundreds = QuotaCoordinator.isFor(peers.length, settings.sharing().mailPerSecond());
        if (settings.limits().peers() && hundreds) exchange = exchange(now);
        else if (settings.limits().peers() && gap > ANSWER_MS) {
            rounds = new GossipScheduler(now, gap, CUSTOMERS_MAX, random);
        }
        double worth = settings.classes().stream().mapToDouble(c -> Math.max(WEIGHT_MIN, c.worth())).sum();
        for (RequestClass c : settings.classes()) {
            ClassState state = new ClassState(c);
            state.weight = Math.max(WEIGHT_MIN, c.worth()) / worth;
            state.latencyPerUnit = state.base = c.aimMs() * FIRST_GUESS / settings.sharing().maxUnits();
            classes.put(c.name(), state);
        }
        for (int i = 0; i < settings.plans().size(); i++) planNumbers.put(settings.plans().get(i).name(), i);
        beatAt = boundAt = sweptAt = delayAt = donateAt = mailAt = surveyedAt = now;
        if (settings.subscribe()) act.watchHosts();
        act.startTimer(TICK_MS, "beat");
    }

    @Override public void onHosts(double now, ListKind kind, List<Host> hosts) {
        if (kind == ListKind.FAILED) act.startTimer(RELAX_MS, "watch");
        if (kind == ListKind.FAILED) return;
        if (kind != ListKind.CHANGES) servers.values().forEach(s -> s.listed = false);
        starts.telling(hosts);
        for (Host h : hosts) {
            Server s = servers.computeIfAbsent(h.id(), id -> new Server(h));
            s.info = h;
            s.listed = h.state() != HostState.GONE;
            if (h.startedMs() > 0 && h.startedMs() != s.toldStartMs) {
                s.toldStartMs = h.startedMs();
                s.coldAt = starts.latestStart(now, h.startedMs());
                s.health.slow = 1;
            }
        }
        starts.told(kind);
        survey(now);
        release(now);
    }

    @Override public void onRequest(double now, Request r) {
        ClassState cls = classes.get(r.requestClass());
        if (cls == null) act.refuse(r.id(), 0); // a class that the settings do not name cannot be judged
        if (cls == null) return;
        Integer plan = planNumbers.get(r.plan());
        Customer c = plan == null ? null : customer(now, r.customer(), plan, r.first(), r.spread());
        Ask ask = new Ask(r, cls, c);
        asks.put(r.id(), ask);
        // A stall of ours has used up its time: it is told so at once, before it costs others theirs. It
        // also covers a crowd at a slow start, and could hurt where what was read is younger than the stall.
        account.note(Item.TRIES);
        if (r.arrivedMs() < now && now >= giveUpAt(ask)) {
            account.note(Item.READ_LATE);
            finish(ask);
            return;
        }
        boolean stranger = plan != null && c == null; // there is no room for its books
        switch (stranger ? Verdict.OUT : c == null ? Verdict.IN : judge(now, c, r.units())) {
            case IN -> letIn(now, ask);
            case OUT -> {
                boolean spent = c == null || c.level < r.units();
                boolean ceiling = !spent && c.plan.ceilingRate() > 0 && c.ceiling < r.units();
                account.note(spent ? Item.QUOTA : ceiling ? Item.CEILING : Item.PART);
                decide(now, ask, false);
            }
            // While this loop is late no answer would be heard in time, so the own part decides.
            default -> {
                if (exchange == null) question(now, ask, now - r.arrivedMs() < ANSWER_MS / 2 ? 0 : KEEPERS);
                else exchange.want(now, r.id(), c.named(), r.units(), giveUpAt(ask));
            }
        }
        if (c != null && ask.admitted) changed(now, c);
        post(now);
    }

    private void letIn(double now, Ask ask) {
        ClassState cls = ask.cls;
        ask.admitted = true;
        Customer c = ask.customer;
        if (c != null) c.open++;
        if (c != null) c.charge(ask.request.units(), ask.request.units(), DEMAND_MS);
        if (cls.queue.isEmpty()) cls.turn = Math.max(cls.turn, turn);
        cls.queue.addLast(ask);
        release(now);
        // What would wait beyond its use is refused at once, and what has no time left may not wait (rule 1).
        boolean held = !ask.done && ask.attempts.isEmpty();
        if (!held || now + cls.queue.size() * cls.releaseGap < giveUpAt(ask)) return;
        account.note(Item.NO_PLACE);
        finish(ask);
    }

    @Override public void onStreamStarted(double now, String id, int attempt) {
        Ask ask = asks.get(id);
        if (ask == null) return;
        ask.streaming = true;
        // A long answer has cost its host the work by now; what is left is the way to the client.
        boolean known = attempt >= 0 && attempt < ask.attempts.size();
        if (!known || ask.cls.spec.streaming()) return;
        leavePlace(ask.attempts.get(attempt));
        release(now);
    }

    /** From here on an attempt that is out takes nobody's place at its host. */
    private void leavePlace(Attempt a) {
        if (!a.placed) return;
        a.placed = false;
        inFlight--;
        a.server.out.remove(a);
        a.server.outWork = a.server.out.isEmpty() ? 0 : a.server.outWork - a.work;
        if (a.server.out.isEmpty()) watched.remove(a.server);
    }

    @Override public void onAttemptEnded(double now, AttemptResult r) {
        Ask ask = asks.get(r.id());
        if (ask == null || r.attempt() < 0 || r.attempt() >= ask.attempts.size()) return;
        Attempt a = ask.attempts.get(r.attempt());
        if (!a.out) return;
        a.out = false;
        a.neverRan = r.outcome().neverRan();
        a.unsent = a.neverRan && r.outcome() != Outcome.FULL;
        leavePlace(a);
        learn(now, ask, a, r);
        if (r.closed()) {
            close(ask);
        } else if (!ask.done && !ask.anyOut()) {
            if (mayTryAgain(now, ask) && r.outcome() != Outcome.MOOT) ask.cls.queue.addFirst(ask);
            else {
                account.note(Item.TRIED);
                finish(ask);
            }
        }
        if (ask.done && !ask.anyOut()) asks.remove(ask.request.id());
        release(now);
    }

    @Override public void onClientLeft(double now, String id) {
        Ask ask = asks.get(id);
        if (ask == null) return;
        close(ask);
        for (Attempt a : ask.attempts) {
            if (a.out && set.limits().cancel() && !ask.streaming) act.cancel(id, a.number);
        }
    }

    @Override public void onTimer(double now, String token) {
        if (token.equals("watch")) act.watchHosts();
        if (!token.equals("beat")) return;
        act.startTimer(TICK_MS, "beat");
        noteStall(now);
        leases.beat(now);
        expire(now);
        missAnswers(now);
        if (exchange != null) exchange.beat(now);
        if (now - surveyedAt >= SURVEY_MS) survey(now);
        watchHealth(now);
        adaptBound(now);
        weighClasses(now);
        sweep(now);
        release(now);
        pulse(now);
        post(now);
    }

    /** Leases last by words and their answers, also where there is nothing else to tell. */
    private void pulse(double now) {
        for (Peer peer : peers) {
            if (now - peer.sharedAt < FORGET_MS && now - peer.toldAt >= pulse) queue(peer, null);
        }
    }

    /** What came while this gateway stood still is read only now: no peer or host is blamed for that. */
    private void noteStall(double now) {
        double late = late(now);
        beatAt = now;
        if (late == 0) return;
        stalled += late;
        leases.stalled(late);
        if (exchange != null) exchange.stalled(late);
        questions.forEach(a -> a.answerBy += late);
    }

    /** How late the next beat is, where that is more than the timers' own doing. */
    private double late(double now) {
        double late = now - beatAt - TICK_MS;
        return late > TICK_MS ? late : 0;
    }

    /** How long this gateway itself has stood still while an attempt was out. */
    private double ownStall(double now, Attempt a) {
        return stalled - a.stalled + late(now);
    }

    /** Peers take this for a gateway that has just started: it has no lease. */
    private void beginLife(double now) {
        epoch = (int) (long) now;
        double term = TERM_PULSES * pulse;
        leases = new TwoPartyLeases(new TwoPartyLeases.Terms(term, term + TERMS_APART_MS), peers.length, now);
    }

    @Override public void onNoOtherSpenderSince(double now, double since) {
        fillsSince = Math.min(fillsSince, since);
        if (exchange != null) exchange.aloneSince(since);
    }

    @Override public void onReplaced(double now) {
        customers.values().forEach(c -> touch(now, c)); // up to here all is this process's
        replacedAt = now;
        if (exchange != null) exchange.replaced(now);
    }

    @Override public void onRestored(double now) {
        beginLife(now); // peers know the other process as the later life
        customers.values().forEach(c -> touch(now, c)); // what filled since went with the other
        startedAt += now - replacedAt;
        fillsSince += now - replacedAt;
        replacedAt = Double.POSITIVE_INFINITY;
        if (exchange != null) exchange.restored(now, epoch);
    }

    @Override public void onShutdown(double now) { if (exchange != null) exchange.leave(now); }

    @Override public void onProbeResult(double now, String host, Outcome outcome, double took,
            double[] report) {
        Server s = servers.get(host); // now is when the probe was sent, which may be another gateway's
        if (s != null) s.health.probed(now, outcome, BAD_ANSWER, FAILED_GAIN, SLOW_FADE_MS);
    }

    @Override public void onCounterResult(double now, String counter, Outcome outcome, double total) { }

    // ---- admission by parts

    private enum Verdict { IN, OUT, ASK }

    /**
     * A customer's books; null where there is no room for new ones. The plan and the set that came first
     * stand as long as it is remembered: who claims others gets no fresh stores and moves no keeper.
     */
    private Customer customer(double now, long id, int plan, int first, int spread) {
        Customer c = customers.get(id);
        if (c == null && (customers.size() >= CUSTOMERS_MAX || plan >= set.plans().size())) return null;
        if (c == null) {
            Plan p = set.plans().get(plan);
            c = new Customer(id, plan, p, now);
            c.level = p.burst();
            customers.put(id, c);
        }
        if (c.spread == 0 && spread > 0) { // till now it is known from peers at most
            Plan p = c.plan;
            c.spread = Math.min(spread, peers.length);
            c.first = first;
            c.keepers = EngineState.ranked(id, first, c.spread, peers.length, KEEPERS);
            c.tokens = p.burst() / c.spread;
            // The ceiling's store starts with what has filled since this gateway's last life ended, as far as
            // that is known, never with a burst: that life may have spent it (rule 5).
            double filled = (Math.min(now, replacedAt) - fillsSince) / 1000 * p.ceilingRate();
            c.ceiling = ownShare(c) * Math.min(p.ceilingBurst(), filled);
            c.leasedSince = leasedSince(now, c);
        }
        touch(now, c);
        return c;
    }

    /** What this gateway has of a ceiling for good: with what is leased all shares sum to one. */
    private double ownShare(Customer c) {
        if (c.spread <= 1) return c.spread;
        if (rounds != null) return 1.0 / c.spread;
        double first = c.keepers[0] == set.me() ? OWNER_SHARE * (otherKeeper(c) < 0 ? 1 : 1 - LEASED) : 0;
        return first + (1 - OWNER_SHARE) / c.spread;
    }

    /** With whom this gateway has a part of the customer's ceiling in lease; -1 where with nobody. */
    private int otherKeeper(Customer c) {
        boolean asked = set.limits().peers() && rounds == null && exchange == null;
        if (!asked || c.plan.ceilingRate() <= 0 || c.spread <= 1) return -1;
        return c.keepers[0] == set.me() ? c.keepers[1] : c.keepers[1] == set.me() ? c.keepers[0] : -1;
    }

    /** Since when this gateway has the share that either keeper has: the second when the first is silent. */
    private double leasedSince(double now, Customer c) {
        int other = otherKeeper(c);
        if (other < 0) return TwoPartyLeases.NOT;
        return c.keepers[0] == set.me() ? leases.heldSince(now, other) : leases.takenSince(other);
    }

    private double ceilingShare(Customer c) {
        return ownShare(c) + (c.leasedSince == TwoPartyLeases.NOT ? 0 : OWNER_SHARE * LEASED);
    }

    private double ceilingHold(Customer c) {
        return c.plan.ceilingBurst() * ceilingShare(c);
    }

    /** What may be in the store: the rest of the share is let in and unsent, or on its way to another. */
    private double ceilingRoom(double now, Customer c) {
        return ceilingHold(c) - c.unsent - c.loans.lent(now);
    }

    /** Each share is spent by its holder alone; what was saved of one that left is gone when it returns. */
    private void fillCeiling(double now, Customer c) {
        int other = otherKeeper(c);
        if (other >= 0) peers[other].sharedAt = now;
        double from = c.touchedAt;
        double since = leasedSince(now, c);
        if (since != c.leasedSince) { // till then at most the own share was here
            from = Math.min(now, Math.max(from, since));
            c.leasedSince = TwoPartyLeases.NOT;
            fillShare(c, from - c.touchedAt);
            c.leasedSince = since;
        }
        fillShare(c, now - from);
    }

    /** Units let in but not sent yet are still in the true store, and it may not overfill (rule 5). */
    private void fillShare(Customer c, double ms) {
        double filled = c.ceiling + c.plan.ceilingRate() / 1000 * ceilingShare(c) * ms;
        c.ceiling = Math.min(ceilingRoom(c.touchedAt, c), filled);
    }

    private void touch(double now, Customer c) {
        double s = (now - c.touchedAt) / 1000;
        if (s <= 0) return;
        if (now > replacedAt) { // what fills is the other process's, and with a lease goes what it gave
            c.touchedAt = now;
            fillCeiling(now, c);
            return;
        }
        double fade = Math.exp(-(now - c.touchedAt) / DEMAND_MS);
        Plan p = c.plan;
        double part = part(now, c);
        fillCeiling(now, c);
        c.demand *= fade;
        c.others *= fade;
        c.useRate *= fade;
        c.touchedAt = now;
        c.level = Math.min(p.burst(), c.level + p.rate() * s);
        double hold = Math.max(part * p.burst(), Math.min(p.burst(), set.sharing().maxUnits()));
        c.tokens = Math.min(hold, c.tokens + part * p.rate() * s);
    }

    /** This gateway's part of a customer's demand: all parts of one keeper's word sum to one. */
    private double part(double now, Customer c) {
        if (c.spread <= 1) return c.spread;
        if (rounds != null && now - roundHeardAt > RELAX_MS) return 1.0 / c.spread;
        if (!set.limits().peers()) return now - c.meterAt < RELAX_MS ? c.meterPart : 1.0 / c.spread;
        boolean stale = rounds == null && now - c.newsAt > RELAX_MS;
        if (stale && keeper(now, c, 0) != set.me()) return 1.0 / c.spread;
        double prior = EVEN_PRIOR * c.plan.rate();
        return (c.demand + prior / c.spread) / (c.demand + c.others + prior);
    }

    /** The gateway that decides on a customer, from its keeper {@code stage} on; -1 where none can be had. */
    private int keeper(double now, Customer c, int stage) {
        for (int i = stage; i < c.keepers.length; i++) {
            int k = c.keepers[i];
            boolean last = i == c.keepers.length - 1;
            if (k == set.me() ? last || !unsure(now, c) : now >= peers[k].silentTill) return k;
        }
        return c.keepers[0] == set.me() ? set.me() : -1;
    }

    /** A keeper new to its life does not know what was used before, until told or until it cannot matter. */
    private boolean unsure(double now, Customer c) {
        return !c.informed && (now - startedAt) / 1000 * c.plan.rate() < c.plan.burst();
    }

    private Verdict judge(double now, Customer c, double units) {
        c.demand += units / DEMAND_MS * 1000;
        if (rounds != null && c.spread > 1) rounds.changed(c.id);
        Plan p = c.plan;
        boolean limited = p.rate() > 0 && !p.excessPays();
        if (!p.excessPays() && !openAdmits(now, c) || limited && c.level < units) {
            if (now - c.toldAt > SYNC_MS) changed(now, c);
            return Verdict.OUT;
        }
        boolean bound = limited || p.ceilingRate() > 0;
        if (exchange != null && c.spread > 1) return bound ? Verdict.ASK : Verdict.IN;
        if (rounds != null && c.spread > 1) {
            boolean fits = !limited || c.tokens >= units || c.level - reserve(now, c) >= units;
            return fits && (p.ceilingRate() <= 0 || c.ceiling >= units) ? Verdict.IN : Verdict.OUT;
        }
        boolean asks = set.limits().peers() && c.spread > 1;
        int keeper = keeper(now, c, 0);
        boolean room = !limited || keeper == set.me() && asks
                || c.tokens >= units && (!asks || now - c.newsAt < FRESH_MS)
                || asks && now - c.newsAt < FRESH_MS && c.level - reserve(now, c) >= units;
        boolean ceiling = p.ceilingRate() <= 0 || c.ceiling >= units; // rule 5: own units need no peer
        if (room && ceiling) return Verdict.IN;
        return asks ? Verdict.ASK : Verdict.OUT;
    }

    /** What the others may have used since a keeper told, as far as it matters against the excess cost. */
    private double reserve(double now, Customer c) {
        double cost = c.plan.overCost() - c.plan.overWorth();
        double rate = c.others + WARY * c.plan.rate();
        double age = rounds == null ? now - c.newsAt + LAG_MS : rounds.gapMs() / 2;
        return rate * age / 1000 * 2 * cost / (1 + cost);
    }

    private boolean openAdmits(double now, Customer c) {
        int limit = c.plan.openLimit();
        boolean fresh = c.spread == 1 || set.limits().peers() && rounds == null && exchange == null
                && (keeper(now, c, 0) == set.me() || now - c.newsAt < FRESH_MS);
        return limit <= 0 || (fresh ? c.open + c.othersOpen < limit
                : c.open < Math.max(1, (int) (limit * part(now, c))));
    }

    private double waitTold(double ms) {
        double longest = set.limits().maxRetryAfterMs();
        return set.limits().retryAfter() ? Math.min(longest, Math.max(RETRY_MIN_MS, ms)) : 0;
    }

    // ---- questions to keepers

    /** Holds a request for the word of the next keeper that may know; without one the even part decides. */
    private void question(double now, Ask ask, int stage) {
        Customer c = ask.customer;
        int keeper = stage < c.keepers.length ? keeper(now, c, stage) : -1;
        if (keeper < 0 || keeper == set.me() || now + ANSWER_MS >= ask.request.deadlineMs() - DEADLINE_MS) {
            c.pending.remove(ask);
            boolean room = c.plan.rate() <= 0 || (keeper < 0 ? c.tokens : c.level) >= ask.request.units();
            boolean in = room && (c.plan.ceilingRate() <= 0 || c.ceiling >= ask.request.units());
            if (!in) account.note(Item.KEEPER);
            decide(now, ask, in);
            changed(now, c);
            return;
        }
        ask.stage = keeper == c.keepers[0] ? 0 : c.keepers.length - 1;
        ask.keeper = keeper;
        ask.askSerial = peers[keeper].serial + 1; // of the next message: the last one did not ask for it
        ask.answerBy = now + ANSWER_MS;
        if (!c.pending.contains(ask)) c.pending.addLast(ask);
        questions.add(ask);
        c.toldAt = now;
        queue(peers[keeper], c);
    }

    private void decide(double now, Ask ask, boolean in) {
        if (in) letIn(now, ask);
        if (in) return;
        close(ask);
        Customer c = ask.customer;
        act.refuse(ask.request.id(), waitTold(c == null ? FORGET_MS : c.refillMs(ask.request.units())));
    }

    /** Silence of a peer shows only where an answer was due: then it is passed over for a while. */
    private void missAnswers(double now) {
        questions.removeIf(a -> a.done || a.admitted);
        for (Ask ask : questions.stream().filter(a -> now >= a.answerBy).toList()) {
            questions.remove(ask);
            peers[ask.keeper].silentTill = now + SILENT_MS;
            touch(now, ask.customer);
            question(now, ask, ask.stage + 1);
        }
    }

    // ---- tells between gateways

    /** The keeper in charge is to know at once; where it is this gateway, the other keepers now and then. */
    private void changed(double now, Customer c) {
        if (!set.limits().peers() || c.spread == 1 || rounds != null || exchange != null) return;
        int keeper = keeper(now, c, 0);
        if (keeper != set.me()) {
            c.toldAt = now;
            if (keeper >= 0) queue(peers[keeper], c);
        } else if (now - c.toldAt > SYNC_MS) {
            c.toldAt = now;
            IntStream.of(c.keepers).filter(k -> k != set.me()).forEach(k -> queue(peers[k], c));
        }
    }

    private void queue(Peer peer, Customer told) {
        if (told != null) peer.tells.add(told);
        if (!peer.waiting) outbox.addLast(peer);
        peer.waiting = true;
    }

    /** Questions take half of the intake, since each brings an answer; answers only keep the shortest gap. */
    private void post(double now) {
        if (rounds != null && rounds.due(now, !wishes.isEmpty())) tellAll(now);
        double rate = mailRate();
        mail = Math.min(Math.max(1, rate * MAIL_BURST_MS), mail + (now - mailAt) * rate / 2);
        mailAt = now;
        double gap = Math.min(GAP_MAX_MS, (peers.length - 1) / rate);
        for (Peer peer : new ArrayList<>(outbox)) {
            if (now - peer.toldAt < gap || peer.answers.isEmpty() && mail < 1) continue;
            if (peer.answers.isEmpty()) mail -= 1;
            tell(now, peer);
            if (!peer.tells.isEmpty() || !peer.answers.isEmpty()) continue;
            outbox.remove(peer);
            peer.waiting = false;
        }
    }

    /** Messages a millisecond that a gateway may take in, and so the tier may send it. */
    private double mailRate() {
        return Math.max(1, set.sharing().mailPerSecond()) * MAIL_SHARE / 1000;
    }

    /** Where keepers can't be asked in time, all hear of all use, and each lets in by its own view. */
    private void tellAll(double now) {
        int count = UsageMessage.word(++roundsTold);
        List<Customer> told = new ArrayList<>();
        List<UsageMessage.Want> wants = new ArrayList<>();
        List<UsageMessage.Gift> gifts = gifts(now);
        for (long id : rounds.next(now, UsageMessage.room(UsageMessage.LOANS + gifts.size()))) {
            Customer c = customers.get(id);
            if (c == null) continue;
            touch(now, c);
            told.add(c);
            double units = UsageMessage.loan(ceilingShort(now, c));
            for (int i = 0; units > 0 && i < GIVERS && wants.size() < UsageMessage.LOANS; i++) {
                int giver = c.loans.giver(now, c.first, c.spread, peers.length, random,
                        g -> g != set.me() && now - peers[g].roundAt < RELAX_MS);
                if (giver < 0) break;
                c.loans.asked(now, giver, count);
                wants.add(new UsageMessage.Want(id, c.planNumber, c.first, c.spread, giver, units));
            }
        }
        List<UsageMessage.Entry> entries = told.stream().map(c -> new UsageMessage.Entry(c.id, c.planNumber,
                UsageMessage.usedField(c.usedAtMost()), c.demand, c.fullness())).toList();
        account.note(Item.TOLD);
        act.sendToPeer(EVERYONE, new UsageMessage(epoch, count, entries, wants, gifts).bytes());
    }

    /** What fits into the own share of a ceiling, where little is left and the quota has room. */
    private double ceilingShort(double now, Customer c) {
        double least = set.sharing().maxUnits();
        boolean needs = c.plan.ceilingRate() > 0 && c.spread > 1 && c.level >= least
                && c.ceiling - c.demand * 2 * rounds.gapMs() / 1000 < least;
        return needs ? ceilingRoom(now, c) - c.ceiling : 0;
    }

    /** Answers to wants: what is beyond the own need, deducted here first. */
    private List<UsageMessage.Gift> gifts(double now) {
        List<UsageMessage.Gift> gifts = new ArrayList<>();
        for (Wish w = wishes.poll(); w != null; w = wishes.poll()) {
            Customer c = w.customer();
            touch(now, c);
            double spare = c.ceiling - Math.max(KEPT * ceilingHold(c), c.demand);
            double units = UsageMessage.loan(Math.min(w.units(), spare));
            if (units <= 0 || now - w.at() > RELAX_MS) continue;
            c.ceiling -= units;
            c.loans.gave(now, units);
            gifts.add(new UsageMessage.Gift(c.id, w.peer(), w.life(), w.count(), units));
            if (gifts.size() == UsageMessage.LOANS) break;
        }
        return gifts;
    }

    private void heardLoans(double now, Peer peer, UsageMessage m) {
        for (UsageMessage.Want w : m.wants()) {
            boolean both = w.inSet(peer.number, peers.length) && w.inSet(set.me(), peers.length);
            if (w.giver() != set.me() || !both || wishes.size() >= WISHES_MAX) continue;
            Customer c = customer(now, w.customer(), w.plan(), w.first(), w.spread());
            if (c == null || c.planNumber != w.plan()) continue;
            wishes.add(new Wish(c, peer.number, UsageMessage.word(m.life()), m.count(), w.units(), now));
        }
        for (UsageMessage.Gift g : m.gifts()) {
            Customer c = g.to() == set.me() ? customers.get(g.customer()) : null;
            if (c == null || g.toLife() != UsageMessage.word(epoch)) continue;
            touch(now, c);
            if (!c.loans.takes(now, peer.number, g.toCount())) continue;
            c.ceiling = Math.max(c.ceiling, Math.min(ceilingRoom(now, c), c.ceiling + g.units()));
        }
    }

    private void heardUse(double now, Peer peer, UsageMessage m) {
        if (!peer.hears(now, m.life(), m.count())) return;
        roundHeardAt = peer.roundAt = now;
        for (UsageMessage.Entry e : m.entries()) {
            Customer c = customer(now, e.customer(), e.plan(), 0, 0);
            if (c == null || c.planNumber != e.plan()) continue;
            // What a peer used in a life that began before this one was taken from the store that it sees.
            Member told = c.member(peer);
            boolean learns = !told.known && now - startedAt < FORGET_MS && m.life() - epoch < 0;
            double since = told.usedSince(e.used());
            c.others = Math.max(0, c.others + e.demand() - told.demand(now, DEMAND_MS));
            told.demand = e.demand();
            told.demandAt = now;
            c.newsAt = now;
            c.level = Math.max(-set.sharing().maxUnits(), c.level - (learns ? 0 : since));
            if (learns) c.level = Math.min(c.level, e.fullness() * c.plan.burst());
        }
        heardLoans(now, peer, m);
    }

    private void tell(double now, Peer peer) {
        List<LedgerMessage.Entry> entries = new ArrayList<>();
        int room = (TELL_BYTES - LedgerMessage.HEAD_BYTES) / LedgerMessage.ENTRY_BYTES;
        peer.serial++;
        for (LinkedHashSet<Customer> due : List.of(peer.answers, peer.tells)) {
            for (Iterator<Customer> it = due.iterator(); it.hasNext() && entries.size() < room; it.remove()) {
                Customer c = it.next();
                touch(now, c);
                entries.add(due == peer.answers ? answer(now, c, peer) : tellOf(now, c, peer));
            }
        }
        peer.toldAt = now;
        account.note(Item.TOLD);
        leases.told(now, peer.number, peer.serial);
        var message = new LedgerMessage(epoch, peer.life.number(), peer.serial, peer.heardSerial, entries);
        act.sendToPeer(peer.number, message.bytes());
    }

    private LedgerMessage.Entry tellOf(double now, Customer c, Peer keeper) {
        for (Ask a : c.pending) if (a.keeper == keeper.number) a.askSerial = keeper.serial;
        double want = c.pendingUnits();
        boolean asked = keeper(now, c, 0) == keeper.number || now < keeper.silentTill
                || c.pending.stream().anyMatch(a -> a.keeper == keeper.number);
        boolean view = keeper(now, c, 0) == set.me() || now - c.newsAt < FRESH_MS;
        return new LedgerMessage.Entry(false, asked, c.plan.ceilingRate() > 0 && c.ceiling < want, false,
                view, c.id, c.planNumber, c.first, c.spread, c.used, want, c.demand, c.fullness(), c.open, 0);
    }

    private LedgerMessage.Entry answer(double now, Customer c, Peer to) {
        Member m = c.member(to);
        double others = Math.max(0, c.demand + c.others - m.demand(now, DEMAND_MS));
        return new LedgerMessage.Entry(true, false, c.plan.ceilingRate() > 0, unsure(now, c), false, c.id,
                c.planNumber, c.first, c.spread, m.booked, m.granted, others, c.fullness(),
                c.open + c.othersOpen - m.open, m.given);
    }

    @Override public void onPeerMessage(double now, int from, byte[] data) {
        if (from < 0 || from >= peers.length || from == set.me()) return; // a stranger
        if (rounds != null) {
            UsageMessage m = UsageMessage.read(data);
            if (m != null) account.note(Item.HEARD);
            if (m != null) heardUse(now, peers[from], m);
        }
        QuotaMessage talk = exchange == null ? null : QuotaMessage.read(data);
        LedgerMessage tell = talk == null ? LedgerMessage.read(data) : null;
        if (talk == null && tell == null) return; // damaged, or of a version unknown here
        account.note(Item.HEARD);
        if (exchange != null) exchange.heard(now, from, talk);
        if (exchange != null) return;
        Peer peer = peers[from];
        if (!peer.hears(now, tell.epoch(), tell.serial())) return;
        peer.silentTill = NEVER;
        boolean toThisLife = tell.yourEpoch() == epoch;
        leases.heard(now, from);
        if (toThisLife) leases.answered(now, from, tell.yourSerial());
        for (LedgerMessage.Entry e : tell.entries()) {
            if (e.answer()) hearAnswer(now, peer, e, tell.yourSerial(), toThisLife);
            else hearTell(now, peer, e);
        }
        post(now);
    }

    /** As a keeper: books what was used, grants of what is wanted as far as the store has it. */
    private void hearTell(double now, Peer peer, LedgerMessage.Entry e) {
        int place = Math.floorMod(peer.number - e.first(), peers.length);
        if (e.spread() > peers.length || place >= e.spread()) return; // a set that cannot be
        Customer c = customer(now, e.customer(), e.plan(), e.first(), e.spread());
        if (c == null) return;
        if (IntStream.of(c.keepers).noneMatch(k -> k == set.me())) return;
        boolean unsure = unsure(now, c);
        boolean adopts = e.view() && (unsure || keeper(now, c, 0) == peer.number);
        if (adopts) { // the word of the keeper in charge, or of anyone fresh where this one knows nothing
            c.level = Math.min(unsure ? c.level : c.plan.burst(), e.fullness() * c.plan.burst());
            c.informed = true;
        }
        Member m = c.member(peer);
        c.others = Math.max(0, c.others + e.demand() - m.demand(now, DEMAND_MS));
        m.demand = e.demand();
        m.demandAt = now;
        // Given back is at most what was granted or open. A count that falls further began anew, since its
        // sender had forgotten the customer, and would fill the store.
        double back = m.granted + m.open * set.sharing().maxUnits();
        c.othersOpen += e.open() - m.open;
        m.open = e.open();
        double spent = m.known && !adopts ? Math.max(-back, LedgerMessage.ahead(e.used(), m.booked)) : 0;
        m.known = true;
        c.level = Math.max(-c.plan.burst(), Math.min(c.plan.burst(), c.level - spent));
        boolean gives = e.ceiling() && c.plan.ceilingRate() > 0;
        boolean grants = e.want() > 0 && (c.plan.rate() <= 0 || c.level >= e.want())
                && (!gives || c.ceiling >= e.want());
        m.granted = grants ? e.want() : 0;
        m.booked = e.used() + m.granted;
        c.level -= m.granted;
        if (keeper(now, c, 0) == set.me() && spent + m.granted != 0) changed(now, c);
        if (grants && gives && e.reply()) { // deducted here first, so a lost message loses units
            c.ceiling -= e.want();
            m.given += e.want();
        }
        if (e.reply()) {
            peer.answers.add(c);
            queue(peer, null);
        }
    }

    /** A keeper's word: the store and the others' demand, and what of the wanted units is granted. */
    private void hearAnswer(double now, Peer peer, LedgerMessage.Entry e, int mySerial, boolean toThisLife) {
        Customer c = customers.get(e.customer());
        if (c == null || !toThisLife) return;
        touch(now, c);
        if (c.planNumber != e.plan()) { // one of the two was told a wrong plan: this grants nothing
            List<Ask> asked = c.pending.stream().filter(a -> a.keeper == peer.number).toList();
            asked.forEach(a -> decide(now, a, false));
            return;
        }
        Member m = c.member(peer);
        if (e.ceiling() && e.given() > m.taken) {
            c.ceiling = Math.min(ceilingHold(c) - c.unsent, c.ceiling + e.given() - m.taken);
            m.taken = e.given();
        }
        List<Ask> judged = c.pending.stream()
                .filter(a -> a.keeper == peer.number && !LedgerMessage.after(a.askSerial, mySerial)).toList();
        if (!e.unsure()) {
            c.others = e.demand();
            c.othersOpen = e.open();
            c.newsAt = now;
            c.informed = true;
            c.level = e.fullness() * c.plan.burst() - LedgerMessage.ahead(c.used, e.used());
        }
        double granted = e.want();
        for (Ask ask : judged) {
            double units = ask.request.units();
            if (e.unsure() && ask.stage + 1 < c.keepers.length) {
                question(now, ask, ask.stage + 1);
                continue;
            }
            c.pending.remove(ask);
            boolean in = granted >= units && (c.plan.ceilingRate() <= 0 || c.ceiling >= units);
            granted -= in ? units : 0;
            if (!in) account.note(Item.KEEPER);
            decide(now, ask, in);
            int first = c.keepers[0]; // it did not book what another let in
            if (in && peer.number != first && first != set.me()) queue(peers[first], c);
        }
    }

    // ---- release

    /** Places for attempts out: the even ones of what hosts get fleet-wide, and some for chance bursts. */
    private double bound() {
        double even = perHost * Math.max(1, capacity) / peers.length;
        return Math.max(1, even + CHANCE * Math.sqrt(even) * (1 - 1.0 / peers.length));
    }

    /** Work-conserving fair turns: the backlogged class with the earliest turn goes next. */
    private void release(double now) {
        double bound = bound();
        LinkedHashSet<ClassState> stuck = new LinkedHashSet<>();
        while (inFlight < bound) {
            ClassState next = null;
            for (ClassState c : classes.values()) {
                boolean earlier = next == null || c.turn < next.turn;
                if (earlier && !c.queue.isEmpty() && !stuck.contains(c)) next = c;
            }
            if (next == null) return;
            if (!releaseOne(now, next)) stuck.add(next);
        }
        waited = true;
    }

    private boolean releaseOne(double now, ClassState c) {
        for (Ask ask : c.queue.stream().limit(SCAN).toList()) {
            Server s = now > ask.leaveBy && !ask.leftWhole() ? null : pick(now, ask);
            if (s == null) continue;
            c.queue.remove(ask);
            turn = Math.max(turn, c.turn);
            c.turn += ask.work() / c.weight;
            boolean goesOn = !c.queue.isEmpty();
            if (goesOn && c.releasedAt > NEVER) {
                c.releaseGap += GAP_GAIN * (now - c.releasedAt - c.releaseGap);
            }
            c.releasedAt = goesOn ? now : NEVER;
            send(now, ask, s);
            return true;
        }
        return false;
    }

    private void send(double now, Ask ask, Server s) {
        Attempt a = new Attempt(ask, s, now, ask.work(), stalled);
        if (ask.attempts.isEmpty()) {
            retryTokens = Math.min(RETRY_MAX, retryTokens + RETRY_SHARE);
            ask.cls.noteDelay(now - ask.arrived, 0);
            if (ask.customer != null) ask.customer.unsent -= ask.request.units();
        }
        ask.attempts.add(a);
        if (ask.request.restMs() == 0) { // a host begins no sooner than the last byte is there
            a.placed = true;
            s.out.add(a);
            s.outWork += a.work;
            watched.add(s);
            inFlight++;
        }
        account.note(Item.SENT);
        if (rampOf(s, now) < 1) account.note(Item.TO_COLD);
        act.send(ask.request.id(), s.info.id(), 0);
    }

    /** When a held request must have left or be answered here: rule 1, and no work for late answers. */
    private double giveUpAt(Ask ask) {
        double end = ask.request.deadlineMs() - DEADLINE_MS;
        if (ask.ran() != null) return end;
        // What reached no host by half of the client's time has cost it that time for nothing.
        double time = ask.request.deadlineMs() - ask.arrived;
        if (!ask.leftWhole()) end = Math.min(end, ask.arrived + UNSENT_SHARE * time);
        double aim = ask.cls.spec.aimMs();
        double useful = ask.cls.spec.lateValue() >= LATE_WORTH_KEPT ? end : Math.min(end, ask.arrived + aim);
        double hold = useful - ask.arrived - FINISH_SHARE * ask.work();
        double leave = ask.leftWhole() ? end : Math.min(end, ask.leaveBy);
        return Math.min(leave, ask.arrived + Math.max(HOLD_SHARE * aim, hold));
    }

    private void expire(double now) {
        for (ClassState c : classes.values()) {
            for (Ask ask : c.queue.stream().filter(a -> now >= giveUpAt(a)).toList()) {
                account.note(ask.attempts.isEmpty() ? Item.NO_PLACE : Item.TRIED);
                c.noteDelay(now - ask.arrived, 0);
                finish(ask); // takes it from the queue
            }
        }
    }

    /** The final answer where none was served: a refusal only where a further try is harmless (rule 2). */
    private void finish(Ask ask) {
        RequestClass spec = ask.cls.spec;
        boolean harmless = ask.ran() == null || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && spec.scope() == EngineApi.Scope.ALL;
        close(ask);
        // A place may be had once what is held now has left.
        if (harmless) act.refuse(ask.request.id(), waitTold(ask.cls.queue.size() * ask.cls.releaseGap));
        else act.fail(ask.request.id());
    }

    private void close(Ask ask) {
        if (!ask.anyOut()) asks.remove(ask.request.id());
        if (ask.done) return;
        ask.done = true;
        ask.cls.queue.remove(ask);
        Customer c = ask.customer;
        if (c == null) return;
        c.pending.remove(ask);
        if (!ask.admitted && exchange != null) exchange.gone(ask.request.id());
        if (!ask.admitted) return;
        c.open--;
        if (ask.attempts.isEmpty()) { // let in but never sent: the units go back
            c.charge(-ask.request.units(), -ask.request.units(), DEMAND_MS);
            if (exchange != null) exchange.back(ask.grant);
        }
    }

    private void adaptBound(double now) {
        if (now - boundAt < BOUND_BEAT_MS) return;
        // Few answers say nothing of the hosts: one in five takes twice its time on idle ones.
        if (answers > 0 && answers < BOUND_ANSWERS && now - boundAt < BOUND_ANSWERS * BOUND_BEAT_MS) return;
        boundAt = now;
        if (answers > 0) {
            boolean stretched = latencySum > STRETCHED * baseSum && aimShareSum > AIM_USED * answers
                    || aimShareSum > AIM_LOST * answers;
            if (stretched) perHost = Math.max(BOUND_MIN, perHost * BOUND_DOWN);
            else if (waited) perHost = Math.min(BOUND_MAX, perHost * BOUND_UP);
        }
        latencySum = baseSum = aimShareSum = 0;
        answers = 0;
        for (ClassState c : classes.values()) {
            double base = c.samples < BASE_SAMPLES ? c.latencyPerUnit : c.base * BASE_DRIFT;
            c.base = Math.min(base, c.latencyPerUnit);
        }
    }

    // ---- weights by donation

    static double goal(ClassState c) {
        return c.spec.aimMs() * DELAY_GOAL;
    }

    private void weighClasses(double now) {
        if (now - delayAt < WEIGHT_TICK_MS) return;
        delayAt = now;
        for (ClassState c : classes.values()) {
            if (c.tickCount > 0) {
                double mean = c.tickDelay / c.tickCount;
                c.delay = c.delay == 0 ? mean : ALPHA * c.delay + (1 - ALPHA) * mean;
            }
            c.tickDelay = 0;
            c.tickCount = 0;
        }
        if (now - donateAt < donateGap) return;
        donateAt = now;
        if (waited) classes.values().forEach(DecisionEngine::measureSlope);
        boolean gave = waited && donate(new ArrayList<>(classes.values()));
        donateGap = gave ? Math.min(WEIGHT_GAP_MAX_MS, donateGap * 2) : WEIGHT_GAP_MS;
        waited = false;
    }

    /** Slopes are negative; a near-nought or wrongly signed one leaves the last good magnitude in place. */
    static void measureSlope(ClassState c) {
        double moved = c.weight - c.markWeight;
        if (c.markWeight > 0 && Math.abs(moved) > 1e-6) {
            double magnitude = -(c.delay - c.markDelay) / moved;
            if (magnitude > goal(c) * EPSILON) c.slope = magnitude;
        }
        c.markWeight = c.weight;
        c.markDelay = c.delay;
    }

    /** The worst underweight class asks, overweight ones give by surplus, clamped; the sum stays. */
    static boolean donate(List<ClassState> all) {
        ClassState worst = null;
        double surplus = 0;
        for (ClassState c : all) {
            double over = c.delay / goal(c);
            if (over >= 1 + EPSILON && (worst == null || over > worst.delay / goal(worst))) worst = c;
            surplus += surplus(c);
        }
        if (worst == null || surplus <= 0) return false; // all content, or all underweight: weights freeze
        double ask = worst.slope > 0 ? (worst.delay - goal(worst)) / worst.slope : WEIGHT_STEP;
        double moved = 0;
        for (ClassState c : all) {
            if (surplus(c) <= 0) continue;
            double clamp = c.slope > 0 ? ((1 - EPSILON) * goal(c) - c.delay) / c.slope : WEIGHT_STEP;
            double gift = BETA * Math.min(ask * surplus(c) / surplus, clamp);
            gift = Math.max(0, Math.min(gift, c.weight - WEIGHT_MIN));
            c.weight -= gift;
            moved += gift;
        }
        worst.weight += moved;
        return moved > 0;
    }

    private static double surplus(ClassState c) {
        if (c.delay > (1 - EPSILON) * goal(c)) return 0;
        return (goal(c) - c.delay) / (c.slope > 0 ? c.slope : goal(c));
    }

    // ---- hosts

    @Override public String takeActivityLine(double now) {
        long cold = usable.stream().filter(s -> rampOf(s, now) < 1).count();
        return account.take() + " open=" + asks.size() + " out=" + inFlight + " places=" + (int) bound()
                + " hosts=" + usable.size() + " cold=" + cold + " avoided=" + avoidedHostCount(now)
                + (exchange == null ? "" : exchange.counts());
    }

    @Override public int avoidedHostCount(double now) {
        return (int) servers.values().stream().filter(s -> s.listed)
                .filter(s -> !s.open() || s.health.slowness(now, SLOW_FADE_MS) >= BAD_ANSWER).count();
    }

    /** Failures tell of a class on a host, which may serve the others as before; slow answers of the host. */
    private static double slowness(double now, Server s, ClassState c) {
        return s.health.slowness(now, SLOW_FADE_MS) * s.of(c).slowness(now, SLOW_FADE_MS);
    }

    private double rampOf(Server s, double now) {
        double from = set.rules().coldFrom();
        double done = (now - s.coldAt) / Math.max(1, set.rules().warmWithinMs());
        return done >= 1 ? 1 : Math.max(0.01, from + (1 - from) * Math.max(0, done));
    }

    /** Counts the hosts in use, so that each event needs only look-ups. */
    private void survey(double now) {
        surveyedAt = now;
        usable.clear();
        capacity = 0;
        for (Server s : servers.values()) {
            if (!s.open()) continue;
            usable.add(s);
            capacity += s.health.slowness(now, SLOW_FADE_MS) < BAD_ANSWER ? rampOf(s, now) : 0;
        }
        // Each gateway keeps to some hosts, in turn with the others: more answers and warm connections at
        // each, and tables that do not fill where there are hundreds of gateways.
        usable.sort(Comparator.comparingLong(s -> s.order));
        homes.clear();
        int kept = Math.max(HOMES, HOST_GATEWAYS * usable.size() / peers.length);
        for (int i = 0; i < Math.min(kept, usable.size()); i++) {
            homes.add(usable.get((int) (((long) set.me() * kept + i) % usable.size())));
        }
    }

    /**
     * The best of a few hosts drawn by what each can do; null where none may be used. The best by the few own
     * counts of one of many gateways would be the best of all at once, so hosts are drawn: as many as own
     * attempts out can tell apart, and where that is all of them, all.
     */
    private Server pick(double now, Ask ask) {
        int draws = Math.min(homes.size(), DRAWS + 2 * inFlight);
        Server best = best(now, ask, ownCounts() ? homes : drawn(now, ask.cls, draws), draws);
        return best != null ? best : best(now, ask, usable, usable.size());
    }

    private boolean ownCounts() {
        return DRAWS + 2 * inFlight >= homes.size();
    }

    private Collection<Server> drawn(double now, ClassState c, int draws) {
        LinkedHashSet<Server> drawn = new LinkedHashSet<>();
        for (int i = 0; i < draws * SCAN && drawn.size() < draws; i++) {
            Server s = homes.get(random.nextInt(homes.size()));
            if (random.nextDouble() * slowness(now, s, c) <= 1) drawn.add(s);
        }
        return drawn;
    }

    private Server best(double now, Ask ask, Collection<Server> drawn, int draws) {
        Server best = null;
        double bestScore = Double.MAX_VALUE;
        // What is sent goes to those that serve, so a cold host's part is one of these.
        double among = draws * Math.max(SERVED_MIN, capacity / Math.max(1, usable.size()));
        for (Server s : drawn) {
            if (!s.open() || !legal(now, ask, ask.ran(), s)) continue;
            // A cold host has nothing out and so wins: it takes part as seldom as it may win (rule 4).
            double ramp = rampOf(s, now);
            double share = COLD_SAFETY * set.rules().fallMultiple() * ramp;
            // The look at all hosts is a second one, without counts: a cold host had its chance in the first.
            boolean hadChance = drawn == usable && ask.ran() == null;
            boolean seldom = ramp < 1 && (hadChance || random.nextDouble() * among > share);
            if (seldom && !mayTryOne(ask, s, ramp)) continue;
            double score = score(now, ask, s) * (1 + 1e-3 * random.nextDouble());
            if (score < bestScore) best = s;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    /**
     * Where nearly all are cold, chance alone leaves them idle and the few warm ones with four times their
     * time. One request of each gateway at a time can't push a host over: it gets no more than it finishes,
     * and beyond that at most what all gateways have there, which must fit what the rule allows beyond its
     * capacity (rule 4).
     */
    private boolean mayTryOne(Ask ask, Server s, double ramp) {
        double beyond = (set.rules().fallMultiple() - 1) * ramp * COLD_CORES * set.rules().fallMs();
        return s.out.isEmpty() && ask.request.restMs() == 0 && peers.length * ask.work() <= beyond;
    }

    private double score(double now, Ask ask, Server s) {
        double doubt = slowness(now, s, ask.cls);
        if (!ownCounts() && doubt < TROUBLED) doubt = 1; // drawn by it already
        for (Attempt a : ask.attempts) {
            if (a.server == s) doubt *= BAD_ANSWER;
        }
        // A zone is preferred only where own counts show its load, or all would gather in a crowded one.
        double zone = !ownCounts() || s.info.zone().equals(set.zone()) ? 0 : ZONE_COST * ask.work();
        double ramp = homes.size() < usable.size() ? 1 : rampOf(s, now); // else it is seldom drawn already
        return (ask.work() + s.outWork) * doubt / ramp + zone;
    }

    /** Rule 2: once an attempt may have run, only where a repeat does no harm. */
    private boolean legal(double now, Ask ask, Attempt ran, Server s) {
        return repeatable(now, ask, ran) && (ran == null || ask.cls.spec.effect() != Effect.KEYED
                || ask.cls.spec.scope().together(s.info, ran.server.info));
    }

    private static boolean repeatable(double now, Ask ask, Attempt ran) {
        RequestClass spec = ask.cls.spec;
        return ran == null || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && now < ran.sentAt + WINDOW_SHARE * spec.windowMs();
    }

    private boolean mayTryAgain(double now, Ask ask) {
        boolean may = repeatable(now, ask, ask.ran()) && !ask.streaming && now < giveUpAt(ask)
                && retryTokens >= 1 && ask.attempts.size() < set.limits().maxAttempts();
        retryTokens -= may ? 1 : 0;
        return may;
    }

    private void learn(double now, Ask ask, Attempt a, AttemptResult r) {
        Server s = a.server;
        ClassState c = ask.cls;
        // What came while this gateway stood still was read after it: its time says nothing of the host.
        boolean clear = ownStall(now, a) <= OWN_SHARE * r.latencyMs();
        account.note(Item.of(r.outcome()));
        switch (r.outcome()) {
            case OK -> {
                s.of(c).judge(now, 1, FAILED_GAIN, SLOW_FADE_MS);
                if (clear) {
                    s.health.judge(now, r.latencyMs() / Math.max(1, a.work), SLOW_GAIN, SLOW_FADE_MS);
                    double perUnit = r.latencyMs() / Math.max(0.1, ask.request.units());
                    c.samples++;
                    c.latencyPerUnit += Math.max(0.03, 1.0 / c.samples) * (perUnit - c.latencyPerUnit);
                    c.noteDelay(0, r.latencyMs());
                }
                if (ask.customer != null && set.sharing().postPaid() && r.trueUnits() > 0) {
                    ask.customer.charge(r.trueUnits() - ask.request.units(), 0, DEMAND_MS);
                }
            }
            // No connection: down or full, the host takes nothing from us now; one is enough.
            case CONNECT_FAILED -> s.health.judge(now, SLOW_MAX, 1, SLOW_FADE_MS);
            // With nothing of ours there it is no crowd of our making: it drains, or others fill it. An idle
            // host would else win every comparison, and each gateway of a large tier learns for itself.
            case FULL -> {
                boolean idle = s.out.isEmpty();
                s.health.judge(now, idle ? SLOW_MAX : BAD_ANSWER, idle ? 1 : FAILED_GAIN, SLOW_FADE_MS);
            }
            case ERROR, RESET, TIMEOUT -> s.of(c).judge(now, SLOW_MAX, FAILED_GAIN, SLOW_FADE_MS);
            default -> { }
        }
        if (clear && (r.outcome() == Outcome.OK || r.outcome() == Outcome.TIMEOUT)) {
            latencySum += r.latencyMs(); // a time-out is an answer at least that late
            baseSum += c.base * ask.request.units();
            aimShareSum += r.latencyMs() / c.spec.aimMs();
            answers++;
        }
        if (ask.customer != null && !set.limits().peers()) ask.customer.meter(now, r.usedPct(), EVEN_PRIOR);
    }

    private void watchHealth(double now) {
        for (Server s : new ArrayList<>(watched)) {
            for (Attempt a : new ArrayList<>(s.out)) {
                double expected = a.work * Math.max(1, s.health.slowness(now, SLOW_FADE_MS));
                double waited = now - a.sentAt - ownStall(now, a);
                if (a.overdue || a.ask.streaming || waited <= SILENT_AFTER * expected + QUIET_MS) continue;
                a.overdue = true;
                s.of(a.ask.cls).judge(now, SLOW_MAX, FAILED_GAIN, SLOW_FADE_MS);
                boolean useful = !a.ask.done && now + a.work < giveUpAt(a.ask);
                boolean safe = a.ask.cls.spec.effect() != Effect.ONCE && set.limits().cancel();
                if (useful && safe && retryTokens >= 1) act.cancel(a.ask.request.id(), a.number);
            }
        }
    }

    private void sweep(double now) {
        if (now - sweptAt < SWEEP_MS) return;
        sweptAt = now;
        customers.values().removeIf(c -> now - c.touchedAt > EngineState.forgetMs(c.plan)
                && c.open == 0 && c.pending.isEmpty());
        servers.values().removeIf(s -> !s.listed && s.out.isEmpty());
    }
}
