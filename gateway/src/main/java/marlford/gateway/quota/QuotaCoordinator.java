package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.HashMap;
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
 * Who may be let in, in a tier too large for all to hear of all use: each customer's book is kept by one gateway of its set,
 * which is asked once for each request and answers from the book at once.
 *
 * <p><b>Cost.</b> A question and its answer are two small messages for a request, however large the tier is; a gateway
 * that knows from a recent answer that the store is empty refuses without one. Sending is bounded by one bucket for all
 * peers, since it is the receivers' intake that is short and requests are spread over the keepers by a hash.
 *
 * <p><b>Loss.</b> A question not answered in {@value #ANSWER_MS} ms is sent again with its serial, for which a keeper keeps
 * its verdict; the third miss turns to the stand-in, to which the keeper tells its books every {@value #SYNC_MS} ms. Who
 * missed two is passed over until it is heard of, and is asked for a sign of life now and then. Where nobody is left to
 * ask, {@link DegradedModeEstimator} decides. Ceiling units are only ever given by a {@link CeilingShare}.
 *
 * <p>Beside its answers a keeper tells of customers that ask for more than they may, a few at a time, since a message costs
 * its receiver the same whatever it holds: in a cut most gateways have never asked for most customers.
 *
 * <p><b>Restarts.</b> Who leaves passes its books to the stand-ins and says so; who returns says so and is told the books
 * that were kept for it.
 *
 * <p>Bounds: {@link Config#most} customers asked about and as many books; {@value #OPEN_MAX} open questions, beyond which
 * the guess decides at once; {@value ReplyCache#MOST} verdicts kept for each peer. Pure, not thread-safe.
 */
public final class QuotaCoordinator {
    /** How long an answer may take before its question is sent again, in milliseconds: three times the way there and back. */
    public static final double ANSWER_MS = 50;
    private static final double QUEUED_MS = 6 * ANSWER_MS; // what waits longer for a message to leave is refused then
    private static final int SENDS = 3; // of one question to one keeper: at one loss in ten seven in a thousand miss
    private static final double SYNC_MS = 500;
    private static final double ANSWERS_GAIN = 0.2; // weight of one question in that share
    private static final double ANSWERS_FEW = 0.5; // below it a question is sent once
    private static final double KNOCK_MS = 1000; // between signs of life asked of one that is silent
    private static final double KNOCKS_PER_S = 4; // by this gateway, to all that are silent
    private static final double KNOCKS_MAX = 8;
    private static final double KNOCKS_WON = 2; // for each that is heard again: others may be back, too
    private static final double DEAF_MS = 500; // in a busy tier nobody hears nothing for so long
    private static final double HINTED_MS = 200; // the same, where another gateway hears that one
    private static final double FRESH_MS = 400; // so long a word that the store is empty is taken up to its refill
    private static final double PRESSED_MS = 1000; // so long a word that there is little left thins out questions
    private static final double PRESSED = 0.25; // share of the burst that is little
    private static final double ASKED_MORE = 1.25; // times what the store fills by, that is asked for when pressed
    private static final int LEASED = -1; // in place of a keeper: the units are of this gateway's own lease
    private static final int OPEN_MAX = 512;
    private static final int ENDED_MAX = 256; // questions given up whose answer may yet come
    private static final double SHARE_USED = 0.8; // of the intake: bursts fit in the rest
    private static final double BROADCAST_MS = 1000; // between broadcasts, from which on they tell too little too late
    private static final double CREDIT_MS = 250; // time's worth of questions that may leave at once
    private static final double CREDIT_LOW = 0.5; // of that: below it what need not be asked, or can wait, is not asked at once
    private static final double PLENTY = 0.5; // share of the burst that is plenty
    private static final double PLENTY_RATE = 0.9; // share of the rate up to which demand leaves plenty
    private static final double PLENTY_MS = 15_000; // so long a word of it holds
    private static final double SWEEP_MS = 5000;
    private static final double FORGET_MS = 20_000; // idle so long a customer is forgotten, and not before
    private static final double FILLED = 2; // times the time in which its slower store fills
    private static final double ACTIVE_MS = 10_000; // a book used since then is passed on
    private static final int[] HELLOS_MS = {0, 400}; // after others were first heard; the second for who lost the first
    private static final int ROOM = 2; // largest requests that each share of a ceiling has room for
    private static final int LENDERS = 3; // asked for units of a ceiling, one after the other
    private static final double OLDER_EVEN = 0.5; // of a ceiling, that gateways of older versions split evenly
    private static final double OLDER_MS = 60_000; // after its last word an older version is taken to be gone
    private static final int HINTS = 4; // beside an answer
    private static final int HINTS_MAX = 4096; // customers known by hints alone

    /**
     * @param mailPerSecond messages that a gateway takes in
     * @param maxUnits of one request
     * @param most customers known here, and as many books
     */
    public record Config(int me, int gateways, double mailPerSecond, double maxUnits, int most, List<QuotaTerms> plans) { }

    /** Why a request was let in or not. */
    public enum Why { GRANTED, STORE, CEILING, GUESSED }

    /** Units had of a keeper, to be given back where they were not used. */
    public record Grant(int keeper, int serial, long customer, double units) { }

    /**
     * @param leaveBy until then it must have been sent on
     * @param retryMs when the store will have filled enough, 0 where that is not known
     * @param grant null where there is nothing to give back
     */
    public record Decision(boolean in, Why why, double leaveBy, double retryMs, Grant grant) { }

    /** What happened since it was last taken, for the log. */
    private static final class Counts {
        int asked;
        int again;
        int missed;
        int guessed;
        int stoodIn;
        int unable;
        int leased;
    }

    /** What is done with messages and decisions. */
    public interface Link {
        void tell(int peer, byte[] data);

        void decided(double now, String id, Decision decision);
    }

    private static final class Peer {
        final ReplyCache verdicts = new ReplyCache();
        final PeerIncarnation life = new PeerIncarnation();
        boolean leases; // its version understands requests for leases
        int syncCount;
        boolean synced;
        boolean leaves;
        double answers = 1; // share of its questions that it answered at the first asking, lately
        boolean silent;
        double silentAt;
        double heardAt = Double.NEGATIVE_INFINITY;
        double knockedAt = Double.NEGATIVE_INFINITY;
    }

    private record Heard(double at, QuotaMessage.Hint hint) { }

    private final Config config;
    private final Link link;
    private final Random random;
    private final Peer[] peers;
    private final Map<Long, CustomerView> customers = new HashMap<>();
    private final Map<Long, QuotaLedger> books = new LinkedHashMap<>();
    private final Map<Integer, PendingAdmission> open = new LinkedHashMap<>();
    private final LinkedHashSet<Integer> ended = new LinkedHashSet<>(); // serials that nobody waits for
    private final LinkedHashMap<Long, Heard> hints = new LinkedHashMap<>();
    private final LeaseRenewals renewals;
    private final UsageReports reports = new UsageReports();
    private final LenderQueue queue = new LenderQueue();
    private final List<QuotaLedger> pressed = new ArrayList<>(); // of those kept here, as of the last word to stand-ins
    private int hinted;
    private final Map<Integer, List<QuotaMessage.Item>> due = new TreeMap<>();
    private final double perMs;
    private double credit;
    private double creditAt;
    private double syncedAt;
    private double sweptAt;
    private double heardSince = Double.POSITIVE_INFINITY; // others speak to this life
    private double fillsSince;
    private boolean filling = true;
    private double heardAt = Double.NEGATIVE_INFINITY; // anybody
    private double knocks = KNOCKS_MAX;
    private double knocksAt;
    private double olderAt = Double.NEGATIVE_INFINITY; // when a peer of an older version last spoke
    private int life;
    private int serial;
    private int count;
    private int hellos;
    private Counts counts = new Counts();

    private final LeaseRenewals.Side renewing = new LeaseRenewals.Side() {
        @Override
        public int owner(double now, CustomerView k, QuotaMessage.Of of) {
            return leaseOwner(now, k, of);
        }

        @Override
        public int serial() {
            return nextSerial();
        }

        @Override
        public boolean mayAsk(double now) {
            return takeCredit(now);
        }

        @Override
        public void say(int peer, QuotaMessage.LeaseRequest request) {
            QuotaCoordinator.this.say(peer, request);
        }
    };

    private final UsageReports.Side reporting = new UsageReports.Side() {
        @Override
        public int keeper(double now, CustomerView k) {
            return keeperInCharge(now, k);
        }

        @Override
        public boolean mayTell(double now) {
            return takeCredit(now);
        }

        @Override
        public void report(double now, int keeper, CustomerView k) {
            reportUsage(now, keeper, k);
        }
    };

    /** Whether a tier is so large that even a broadcast of each to all would come a second apart. */
    public static boolean isFor(int gateways, double mailPerSecond) {
        return gateways - 1 >= SHARE_USED * Math.max(1, mailPerSecond) * BROADCAST_MS / 1000;
    }

    /** @param life of this gateway; later ones are greater, by difference */
    public QuotaCoordinator(double now, Config config, int life, Random random, Link link) {
        this.config = config;
        this.link = link;
        this.random = random;
        this.life = life;
        peers = new Peer[config.gateways()];
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new Peer();
        }
        perMs = Math.max(1, config.mailPerSecond()) * SHARE_USED / 1000;
        credit = perMs * CREDIT_MS;
        renewals = new LeaseRenewals(config.mailPerSecond());
        creditAt = knocksAt = syncedAt = sweptAt = fillsSince = now;
    }

    /** No earlier life of this gateway has given anything out since then. */
    public void aloneSince(double since) {
        fillsSince = Math.min(fillsSince, since);
    }

    /** What fills from now on is another process's. */
    public void replaced(double now) {
        books.values().forEach(b -> b.touch(now, new CeilingShare.Fill(true, 1)));
        filling = false;
    }

    /** The other process is gone, with what it knew and what filled meanwhile. */
    public void restored(double now, int newLife) {
        filling = true;
        life = newLife;
        fillsSince = now;
        heardSince = Double.POSITIVE_INFINITY;
        hellos = 0;
        books.clear();
        pressed.clear();
        renewals.clear();
        customers.values().forEach(CustomerView::dropLeases); // they are the former life's
    }

    /** This loop stood still for so long: what came meanwhile is read only now. */
    public void stalled(double ms) {
        open.values().forEach(q -> q.answerBy += ms);
    }

    /** Whether units of that customer's quota are leased here. */
    boolean holdsLease(double now, long customer) {
        CustomerView k = customers.get(customer);
        return k != null && k.quotaLease.held(now);
    }

    // ---- asking

    /**
     * Decides on a request, at once or when its keeper has answered; {@link Link#decided} is told, once.
     *
     * @param lastMs when it must be decided at the latest
     */
    public void want(double now, String id, QuotaMessage.Named named, double units, double lastMs) {
        CustomerView k = known(now, named);
        if (k == null) {
            link.decided(now, id, new Decision(false, Why.GUESSED, 0, 0, null));
            return;
        }
        PendingAdmission q = new PendingAdmission(id, k, units, lastMs);
        if (k.terms.rate() <= 0) {
            if (k.capped()) {
                lender(now, q);
            } else {
                next(now, q);
            }
            return;
        }
        k.quotaLease.tried(now, units);
        renewals.add(k);
        if (!k.quotaLease.take(now, units)) {
            next(now, q);
            return;
        }
        counts.leased++;
        q.quota = new Grant(LEASED, 0, named.customer(), units);
        if (k.capped()) {
            lender(now, q);
        } else {
            link.decided(now, id, new Decision(true, Why.GRANTED, Double.POSITIVE_INFINITY, 0, q.quota));
        }
    }

    /** Nobody waits for the answer any more. */
    public void gone(String id) {
        PendingAdmission waiting = queue.remove(id);
        if (waiting != null) {
            back(waiting.quota);
            return;
        }
        for (Iterator<PendingAdmission> it = open.values().iterator(); it.hasNext();) {
            PendingAdmission q = it.next();
            if (q.id.equals(id)) {
                it.remove();
                end(q);
                back(q.quota);
                return;
            }
        }
    }

    /** What was granted was never sent on; null where nothing was. The word of it leaves with the next message or beat. */
    public void back(Grant grant) {
        if (grant == null) {
            return;
        }
        if (grant.keeper() == LEASED) {
            CustomerView k = customers.get(grant.customer());
            if (k != null) {
                k.quotaLease.back(grant.units());
            }
            return;
        }
        if (grant.keeper() != config.me()) {
            say(grant.keeper(), new QuotaMessage.Back(grant.serial()));
            return;
        }
        QuotaLedger b = books.get(grant.customer());
        if (b != null) {
            b.back(grant.units());
        }
    }

    private CustomerView known(double now, QuotaMessage.Named named) {
        CustomerView k = customers.get(named.customer());
        if (k == null && customers.size() < config.most() && named.plan() < config.plans().size()) {
            k = new CustomerView(named, config.plans().get(named.plan()), keepers(named));
            customers.put(named.customer(), k);
            Heard h = hints.remove(named.customer());
            if (h != null && h.hint().plan() == named.plan()) {
                k.told(h.at(), h.hint().fullness() * k.terms.burst(), h.hint().demand());
            }
        }
        if (k != null) {
            k.usedAt = now;
        }
        return k;
    }

    private LedgerPlacement keepers(QuotaMessage.Named named) {
        return LedgerPlacement.of(named, peers.length, config.plans().get(named.plan()), ROOM * config.maxUnits());
    }

    private boolean there(double now, int gateway) {
        Peer p = peers[gateway];
        boolean there = gateway == config.me() || !p.silent && !p.leaves;
        if (!there) {
            knock(now, gateway, KNOCK_MS);
        }
        return there;
    }

    /** Asks one that is passed over for a sign of life; where many are, only some of them. */
    private void knock(double now, int gateway, double everyMs) {
        Peer p = peers[gateway];
        knocks = Math.min(KNOCKS_MAX, knocks + (now - knocksAt) * KNOCKS_PER_S / 1000);
        knocksAt = now;
        if (now - p.knockedAt >= everyMs && knocks >= 1) {
            knocks--;
            p.knockedAt = now;
            say(gateway, new QuotaMessage.Presence(QuotaMessage.State.ASKS));
        }
    }

    /** A peer is heard: not silent, and where this gateway had heard nobody, the others need not be either. */
    private void hears(double now, Peer p) {
        if (p.silent) {
            p.silent = false;
            knocks += KNOCKS_WON;
        }
        if (now - heardAt >= DEAF_MS) {
            for (Peer other : peers) {
                other.silent &= other.silentAt < heardAt;
            }
            customers.values().forEach(k -> k.unreported = 0); // of the time of a cut: too old to tell demand by
        }
        heardAt = now;
        p.heardAt = now;
    }

    /** Turns to the next keeper of the book that is there, this gateway perhaps. */
    private void next(double now, PendingAdmission q) {
        CustomerView k = q.customer;
        int[] books = k.keepers.books();
        while (++q.place < books.length) {
            q.peer = books[q.place];
            if (q.peer == config.me()) {
                judgeHere(now, q);
                return;
            }
            if (!there(now, q.peer)) {
                continue;
            }
            if (emptyFor(now, k, q.units)) {
                k.more += q.units;
                refuse(now, q, Why.STORE);
                return;
            }
            if (!creditRich(now) && plenty(now, k)) {
                guess(now, q, true);
                return;
            }
            q.of = ownCeiling(now, k) >= q.units ? QuotaMessage.Of.STORE : QuotaMessage.Of.BOTH;
            if (!ask(now, q)) {
                guess(now, q, true);
            }
            return;
        }
        guess(now, q, false);
    }

    /** Turns to who may have units of the ceiling: this gateway, its lease, or any other with a share, in an order of chance. */
    private void lender(double now, PendingAdmission q) {
        CustomerView k = q.customer;
        boolean first = q.of != QuotaMessage.Of.CEILING;
        q.of = QuotaMessage.Of.CEILING;
        if (q.lenders.add(config.me()) && ownCeiling(now, k) >= q.units) {
            judgeHere(now, q);
            return;
        }
        if (first) {
            k.ceilingLease.tried(now, q.units);
            renewals.add(k);
        }
        if (k.ceilingLease.take(now, q.units)) {
            double leaveBy = Math.min(now + CeilingShare.USE_MS, k.ceilingLease.leaveBy());
            accept(now, q, leaveBy);
            return;
        }
        if (q.lenders.size() <= LENDERS && now + ANSWER_MS < q.lastMs) {
            if (!queue.isEmpty() || !creditRich(now)) {
                q.queued(now, QUEUED_MS);
                if (now < q.leavesBy(ANSWER_MS) && anyLender(now, q) && queue.add(q)) {
                    return;
                }
            } else if (askLender(now, q)) {
                return;
            }
        }
        back(q.quota);
        refuse(now, q, Why.CEILING);
    }

    private boolean anyLender(double now, PendingAdmission q) {
        return IntStream.of(q.customer.keepers.shares()).anyMatch(peer -> mayLend(now, q, peer));
    }

    private boolean askLender(double now, PendingAdmission q) {
        int[] shares = q.customer.keepers.shares();
        int from = shares.length == 0 ? 0 : random.nextInt(shares.length);
        for (int i = 0; i < shares.length && q.lenders.size() <= LENDERS; i++) {
            q.peer = shares[(from + i) % shares.length];
            if (mayLend(now, q, q.peer) && q.lenders.add(q.peer) && ask(now, q)) {
                return true;
            }
        }
        return false;
    }

    /** Questions that waited leave, as many in a message as one gateway can be asked. */
    private void askQueued(double now) {
        for (PendingAdmission q : queue.expired(now, ANSWER_MS)) {
            back(q.quota);
            refuse(now, q, Why.CEILING);
        }
        while (!queue.isEmpty() && open.size() < OPEN_MAX && takeCredit(now)) {
            LenderQueue.Batch batch = queue.next((q, peer) -> mayLend(now, q, peer));
            if (batch == null) {
                return;
            }
            for (PendingAdmission q : batch.questions()) {
                q.peer = batch.peer();
                q.lenders.add(q.peer);
                begin(now, q);
                put(now, q);
            }
            flush();
        }
    }

    /** Whether that peer is worth asking; one that leaves has units while it is there. */
    private boolean mayLend(double now, PendingAdmission q, int peer) {
        boolean silent = peers[peer].silent;
        if (silent) {
            knock(now, peer, KNOCK_MS);
        }
        return !silent && !q.lenders.contains(peer);
    }

    /** What this gateway may give itself of a ceiling. */
    private double ownCeiling(double now, CustomerView k) {
        QuotaLedger own = k.keepers.shares(config.me()) ? book(now, k.named) : null;
        return own == null ? 0 : own.ceiling(now, fill(now, own));
    }

    /** False where no question may leave. */
    private boolean ask(double now, PendingAdmission q) {
        if (open.size() >= OPEN_MAX || now + ANSWER_MS >= q.lastMs || !takeCredit(now)) {
            return false;
        }
        begin(now, q);
        send(now, q);
        return true;
    }

    private void begin(double now, PendingAdmission q) {
        q.serial = nextSerial();
        q.sends = 0;
        q.askedAt = now;
        open.put(q.serial, q);
        counts.asked++;
    }

    /** Known from a recent word: the store can't have the units, or so little that most would ask in vain. */
    private boolean emptyFor(double now, CustomerView k, double units) {
        double age = now - k.toldAt;
        if (k.terms.rate() <= 0 || age >= PRESSED_MS) {
            return false;
        }
        double most = k.level + k.terms.rate() * age / 1000;
        if (age < FRESH_MS && most < units) {
            return true;
        }
        boolean pressed = most < PRESSED * k.terms.burst();
        return pressed && random.nextDouble() * k.demand > ASKED_MORE * k.terms.rate();
    }

    /** By a keeper's word the store has much, and fills faster than it is used. */
    private boolean plenty(double now, CustomerView k) {
        boolean known = k.toldAt != Double.NEGATIVE_INFINITY && now - k.toldAt < PLENTY_MS;
        return known && k.level >= PLENTY * k.terms.burst() && k.demand <= PLENTY_RATE * k.terms.rate();
    }

    private double credit(double now) {
        credit = Math.min(Math.max(1, perMs * CREDIT_MS), credit + (now - creditAt) * perMs);
        creditAt = now;
        return credit;
    }

    private boolean creditRich(double now) {
        return credit(now) >= Math.max(1, CREDIT_LOW * perMs * CREDIT_MS);
    }

    private boolean takeCredit(double now) {
        credit(now);
        boolean has = credit >= 1;
        credit -= has ? 1 : 0;
        return has;
    }

    private void send(double now, PendingAdmission q) {
        put(now, q);
        flush();
    }

    private void put(double now, PendingAdmission q) {
        q.sends++;
        q.answerBy = now + ANSWER_MS;
        say(q.peer, new QuotaMessage.Ask(q.serial, q.customer.named, q.units, q.customer.more, q.of));
        q.customer.more = 0;
        if (!peers[q.peer].leases) {
            say(q.peer, new QuotaMessage.LeaseCapable());
        }
    }

    private void judgeHere(double now, PendingAdmission q) {
        QuotaLedger b = book(now, q.customer.named);
        if (b == null) {
            guess(now, q, false);
            return;
        }
        q.askedAt = now;
        q.peer = config.me();
        QuotaMessage.Verdict v = b.judge(now, q.units, 0, q.of, 0, fill(now, b));
        if (q.of != QuotaMessage.Of.CEILING) {
            q.customer.told(now, b.grantable(now) * b.terms.burst(), b.demand());
        }
        verdict(now, q, v, new Grant(config.me(), 0, q.customer.named.customer(), q.units));
    }

    /** @param grant of the store's units, where these were asked for */
    private void verdict(double now, PendingAdmission q, QuotaMessage.Verdict v, Grant grant) {
        boolean capped = q.customer.terms.ceilingRate() > 0;
        if (q.of != QuotaMessage.Of.CEILING && (v == QuotaMessage.Verdict.GRANTED || v == QuotaMessage.Verdict.CEILING)) {
            q.quota = grant;
        }
        if (v == QuotaMessage.Verdict.GRANTED && q.of != QuotaMessage.Of.STORE && q.peer != config.me()) {
            q.customer.lender = q.peer;
        }
        if (v == QuotaMessage.Verdict.GRANTED && !(capped && q.of == QuotaMessage.Of.STORE)) {
            double leaveBy = capped ? q.askedAt + CeilingShare.USE_MS : Double.POSITIVE_INFINITY;
            if (now < leaveBy) {
                accept(now, q, leaveBy);
            } else { // the units came too late to be used
                back(q.quota);
                refuse(now, q, Why.CEILING);
            }
        } else if (v == QuotaMessage.Verdict.GRANTED || v == QuotaMessage.Verdict.CEILING) {
            if (v == QuotaMessage.Verdict.CEILING) {
                q.lenders.add(q.peer);
            }
            lender(now, q);
        } else { // where none can judge, two gateways were told different things of this customer
            back(q.quota);
            refuse(now, q, v == QuotaMessage.Verdict.STORE ? Why.STORE : Why.GUESSED);
        }
    }

    private void refuse(double now, PendingAdmission q, Why why) {
        CustomerView k = q.customer;
        double lacks = q.units - (k.level + k.terms.rate() * k.ageMs(now) / 1000);
        double retryMs = why == Why.STORE && k.terms.rate() > 0 ? 1000 * Math.max(0, lacks) / k.terms.rate() : 0;
        link.decided(now, q.id, new Decision(false, why, 0, retryMs, null));
    }

    /**
     * Nobody can be asked, or need be: the store by what was last known of it, the ceiling by who has a share.
     *
     * @param keeperThere whether the demand is of use to a keeper: of the time of a cut it is old when it can be told
     */
    private void guess(double now, PendingAdmission q, boolean keeperThere) {
        CustomerView k = q.customer;
        double chance = DegradedModeEstimator.chance(k.terms, k.level, k.demand, k.ageMs(now), q.units);
        if (random.nextDouble() >= chance) {
            if (keeperThere) {
                k.unreported += q.units;
                reports.add(now, k);
            }
            refuse(now, q, Why.GUESSED);
            return;
        }
        q.guessed = true;
        k.unreported += keeperThere ? q.units : 0;
        if (k.capped()) {
            lender(now, q);
        } else {
            accept(now, q, Double.POSITIVE_INFINITY);
        }
    }

    private void accept(double now, PendingAdmission q, double leaveBy) {
        if (q.guessed) {
            CustomerView k = q.customer;
            counts.guessed++;
            k.level -= q.units;
            k.guess(now, q.units);
            if (k.unreported > 0) {
                reports.add(now, k);
            }
        }
        link.decided(now, q.id, new Decision(true, q.guessed ? Why.GUESSED : Why.GRANTED, leaveBy, 0, q.quota));
    }

    // ---- leases

    /** Who is to be asked for a lease; -1 where nobody is, or this gateway has the units itself. */
    private int leaseOwner(double now, CustomerView k, QuotaMessage.Of of) {
        if (of == QuotaMessage.Of.CEILING) {
            boolean usable = k.lender >= 0 && k.lender != config.me() && !peers[k.lender].silent;
            return usable && peers[k.lender].leases ? k.lender : -1;
        }
        for (int keeper : k.keepers.books()) {
            if (keeper == config.me()) {
                return -1;
            }
            if (there(now, keeper)) {
                return peers[keeper].leases ? keeper : -1;
            }
        }
        return -1;
    }

    /** What was let in while no keeper was there is told once one is: it is much at once, and old soon. */
    private void tellGuessed(double now, CustomerView k) {
        int keeper = k.guessed > 0 && k.unreported <= 0 ? keeperInCharge(now, k) : -1;
        if (keeper >= 0) {
            reportUsage(now, keeper, k);
        }
    }

    private int keeperInCharge(double now, CustomerView k) {
        for (int keeper : k.keepers.books()) {
            if (there(now, keeper)) {
                return keeper;
            }
        }
        return -1;
    }

    private void reportUsage(double now, int keeper, CustomerView k) {
        double units = k.guessed(now);
        if (keeper == config.me()) {
            QuotaLedger own = book(now, k.named);
            if (own != null) {
                own.used(now, units, k.unreported, fill(now, own));
                k.told(now, own.level(), own.demand());
            }
        } else if (k.unreported > 0 && peers[keeper].leases) {
            say(keeper, new QuotaMessage.UsageReport(nextSerial(), k.named, units, k.unreported));
        } else {
            say(keeper, new QuotaMessage.Used(nextSerial(), k.named, units));
        }
        k.guessed = 0;
        k.unreported = 0;
    }

    private void hearUsageReport(double now, int from, Peer p, QuotaMessage.UsageReport u) {
        QuotaLedger b = p.verdicts.of(now, u.serial()) == null ? bookOf(now, u.named(), from) : null;
        if (b != null) {
            p.verdicts.keep(now, u.serial(), QuotaMessage.Verdict.GRANTED, b, 0);
            b.used(now, u.units(), u.tried(), fill(now, b));
            say(from, new QuotaMessage.Hint(u.named().customer(), u.named().plan(), b.grantable(now), b.demand()));
        }
    }

    private int nextSerial() {
        serial = serial + 1 & QuotaMessage.WORD;
        return serial;
    }

    private void hearLeaseRequest(double now, int from, Peer p, QuotaMessage.LeaseRequest request) {
        QuotaLedger b = bookOf(now, request.named(), from);
        double units = 0;
        if (b != null) {
            units = b.lease(now, from, p.life.number(), request, before(now, b) < 0, fill(now, b));
        }
        if (request.units() > 0) {
            double fullness = b == null ? 0 : b.grantable(now);
            say(from, new QuotaMessage.LeaseGrant(request.serial(), units, fullness, b == null ? 0 : b.demand()));
        }
    }

    private void hearLeaseGrant(double now, int from, Peer p, QuotaMessage.LeaseGrant grant) {
        CustomerView k = renewals.granted(now, from, p.life.number(), grant);
        if (k != null) {
            k.told(now, grant.fullness() * k.terms.burst(), grant.demand());
        }
    }

    private void end(PendingAdmission q) {
        ended.add(q.serial);
        if (ended.size() > ENDED_MAX) {
            ended.remove(ended.iterator().next());
        }
    }

    // ---- the beat

    /** Misses of answers, words to stand-ins, what is to be forgotten; due every some tens of milliseconds. */
    public void beat(double now) {
        if (hellos < HELLOS_MS.length && now - heardSince >= HELLOS_MS[hellos]) {
            hellos++;
            hello();
        }
        for (PendingAdmission q : open.values().stream().filter(x -> now >= x.answerBy).toList()) {
            if (open.get(q.serial) == q) { // no decision on the way has ended it
                missed(now, q);
            }
        }
        if (now - syncedAt >= SYNC_MS) {
            syncedAt = now;
            pressed.clear();
            books.values().forEach(b -> sync(now, b));
            books.values().stream().filter(b -> asksTooMuch(now, b)).forEach(pressed::add);
            customers.values().forEach(k -> tellGuessed(now, k));
        }
        renewals.beat(now, renewing);
        reports.beat(now, reporting);
        askQueued(now);
        if (now - sweptAt >= SWEEP_MS) {
            sweptAt = now;
            customers.values().removeIf(k -> now - k.usedAt > forgetMs(k.terms));
            books.values().removeIf(b -> now - b.usedAt > forgetMs(b.terms));
        }
        flush();
    }

    /** Once others have spoken the tier serves already, and may keep books for this one. */
    private void hello() {
        IntStream.of(LedgerPlacement.neighbours(config.me(), peers.length))
                .forEach(g -> say(g, new QuotaMessage.Presence(QuotaMessage.State.SERVES)));
    }

    private boolean asksTooMuch(double now, QuotaLedger b) {
        boolean mine = b.keepers.place(config.me()) >= 0 && b.terms.rate() > 0 && b.demand() > b.terms.rate();
        if (!mine || before(now, b) >= 0) {
            return false;
        }
        b.touch(now, fill(now, b));
        return b.demand() > b.terms.rate() && b.fullness() < PRESSED;
    }

    /** The next few of them. */
    private void hint(double now, int to) {
        for (int i = 0; i < Math.min(HINTS, pressed.size()); i++) {
            QuotaLedger b = pressed.get(hinted++ % pressed.size());
            b.touch(now, fill(now, b));
            say(to, new QuotaMessage.Hint(b.named.customer(), b.named.plan(), b.fullness(), b.demand()));
        }
        hinted %= Math.max(1, pressed.size());
    }

    private void hearHint(double now, QuotaMessage.Hint h) {
        if (h.plan() >= config.plans().size()) {
            return;
        }
        CustomerView k = customers.get(h.customer());
        if (k == null) {
            hints.remove(h.customer());
            hints.put(h.customer(), new Heard(now, h));
        } else if (k.named.plan() == h.plan()) {
            k.told(now, h.fullness() * k.terms.burst(), h.demand());
        }
        if (hints.size() > HINTS_MAX) { // the one that has waited longest
            hints.remove(hints.keySet().iterator().next());
        }
    }

    private static double forgetMs(QuotaTerms terms) {
        return Math.max(FORGET_MS, FILLED * terms.fillMs());
    }

    private void missed(double now, PendingAdmission q) {
        Peer p = peers[q.peer];
        if (q.sends == 1) {
            p.answers -= ANSWERS_GAIN * p.answers;
        }
        // One that can't take in all that it is asked is not to be asked three times as much.
        boolean again = q.sends < SENDS && p.answers >= ANSWERS_FEW && queue.isEmpty();
        if (again && now + ANSWER_MS < q.lastMs && takeCredit(now)) {
            counts.again++;
            send(now, q);
            return;
        }
        counts.missed++;
        open.remove(q.serial);
        end(q); // a grant that comes yet goes back: the next keeper's counts
        if (p.heardAt < Math.min(q.askedAt, now - SENDS * ANSWER_MS)) {
            p.silentAt = p.silent ? p.silentAt : now;
            p.silent = true;
            p.knockedAt = now - KNOCK_MS + HINTED_MS; // by chance all may have been lost
        }
        if (q.of == QuotaMessage.Of.CEILING) {
            lender(now, q);
        } else {
            next(now, q);
        }
    }

    /** The first keeper that is there tells the one that would come after it. */
    private void sync(double now, QuotaLedger b) {
        int mine = b.keepers.place(config.me());
        if (mine < 0 || b.usedAt <= b.toldAt || b.terms.rate() <= 0 || before(now, b) >= 0) {
            return;
        }
        int[] books = b.keepers.books();
        for (int i = mine + 1; i < books.length; i++) {
            if (there(now, books[i])) {
                b.toldAt = now;
                tellBook(now, b, books[i]);
                return;
            }
        }
    }

    private void tellBook(double now, QuotaLedger b, int to) {
        b.touch(now, fill(now, b));
        say(to, new QuotaMessage.Sync(b.named, b.fullness(), b.demand()));
    }

    /**
     * This gateway is about to end: its books go to the stand-ins. To the others it is silent soon enough; a word to all would
     * cost each of them a message, and one in six would have asked before the return.
     */
    public void leave(double now) {
        books.values().forEach(b -> sync(now, b));
        IntStream.of(LedgerPlacement.neighbours(config.me(), peers.length))
                .forEach(g -> say(g, new QuotaMessage.Presence(QuotaMessage.State.LEAVES)));
        flush();
    }

    // ---- hearing

    /**
     * A peer's message; what is of no sense is ignored.
     *
     * @param message null where it was of an older version
     */
    public void heard(double now, int from, QuotaMessage message) {
        if (message == null) {
            olderAt = now;
            return;
        }
        Peer p = peers[from];
        boolean begins = !p.life.isKnown() || message.life() != p.life.number();
        if (!p.life.hears(now, message.life())) {
            return;
        }
        if (begins) {
            p.synced = false;
            p.leaves = false;
            p.leases = false;
            p.verdicts.clear();
        }
        hears(now, p);
        heardSince = Math.min(heardSince, now);
        boolean answersMe = message.toLife() == (life & QuotaMessage.WORD);
        boolean fresh = !p.synced || (short) (message.count() - p.syncCount) > 0;
        for (QuotaMessage.Item item : message.items()) {
            if (item instanceof QuotaMessage.LeaseCapable) {
                p.leases = true;
                if (message.items().stream().anyMatch(i -> i instanceof QuotaMessage.Ask)) { // said until it is answered
                    say(from, item);
                }
            } else if (item instanceof QuotaMessage.LeaseRequest r) {
                p.leases = true;
                hearLeaseRequest(now, from, p, r);
            } else if (item instanceof QuotaMessage.UsageReport u) {
                p.leases = true;
                hearUsageReport(now, from, p, u);
            } else if (item instanceof QuotaMessage.LeaseGrant g && answersMe) {
                hearLeaseGrant(now, from, p, g);
            } else if (item instanceof QuotaMessage.Ask a) {
                hearAsk(now, from, p, a);
            } else if (item instanceof QuotaMessage.Answer a && answersMe) {
                hearAnswer(now, from, a);
            } else if (item instanceof QuotaMessage.Back b) {
                p.verdicts.back(now, b.serial());
            } else if (item instanceof QuotaMessage.Used u) {
                hearUsed(now, from, p, u);
            } else if (item instanceof QuotaMessage.Sync s && fresh) {
                p.synced = true;
                p.syncCount = message.count();
                hearSync(now, from, s);
            } else if (item instanceof QuotaMessage.Hint h) {
                hearHint(now, h);
            } else if (item instanceof QuotaMessage.Presence s) {
                hearPresence(now, from, p, s.state());
            }
        }
        if (message.items().stream().noneMatch(i -> i instanceof QuotaMessage.Answer || i instanceof QuotaMessage.LeaseGrant
                || i instanceof QuotaMessage.Hint)) { // what answers a message of ours was counted with it
            credit = Math.max(Math.min(credit, 0), credit(now) - 1);
        }
        flush();
    }

    /**
     * Versions before this one split a ceiling otherwise: half to the first keeper, half evenly over the set. While any of
     * them speaks, this gateway has no more than such an even part, so that all shares stay within the whole.
     */
    private CeilingShare.Fill fill(double now, QuotaLedger b) {
        boolean mixed = now - olderAt < OLDER_MS;
        int shares = b.keepers.shares().length;
        return new CeilingShare.Fill(filling, mixed && shares > 0 ? OLDER_EVEN * shares / b.named.spread() : 1);
    }

    private QuotaLedger book(double now, QuotaMessage.Named named) {
        QuotaLedger b = books.get(named.customer());
        if (b != null) {
            return b.named.equals(named) ? b : null; // the plan and the set that came first stand
        }
        if (books.size() >= config.most() || named.plan() >= config.plans().size()) {
            return null;
        }
        LedgerPlacement keepers = keepers(named);
        boolean holds = keepers.shares(config.me());
        if (keepers.place(config.me()) < 0 && !holds) {
            return null;
        }
        QuotaTerms terms = config.plans().get(named.plan());
        CeilingShare ceiling = holds ? new CeilingShare(terms, 1.0 / keepers.shares().length, fillsSince) : null;
        b = new QuotaLedger(named, keepers, terms, ceiling, now);
        books.put(named.customer(), b);
        return b;
    }

    /** The book of a customer that a peer speaks of; null also where the peer or this gateway can't be of its set. */
    private QuotaLedger bookOf(double now, QuotaMessage.Named named, int from) {
        boolean possible = named.holds(from, peers.length) && named.holds(config.me(), peers.length);
        return possible ? book(now, named) : null;
    }

    private void hearAsk(double now, int from, Peer p, QuotaMessage.Ask a) {
        ReplyCache.Kept kept = p.verdicts.of(now, a.serial());
        boolean news = kept == null;
        QuotaLedger b = news ? bookOf(now, a.named(), from) : kept.book();
        int before = b == null || a.of() == QuotaMessage.Of.CEILING ? -1 : before(now, b);
        if (news) {
            double spent = before >= 0 ? b.spentElsewhere(now) : 0;
            QuotaMessage.Verdict v = b == null ? QuotaMessage.Verdict.UNABLE
                    : b.judge(now, a.units(), a.more(), a.of(), spent, fill(now, b));
            boolean took = a.of() != QuotaMessage.Of.CEILING && (v == QuotaMessage.Verdict.GRANTED || v == QuotaMessage.Verdict.CEILING);
            kept = p.verdicts.keep(now, a.serial(), v, b, took ? a.units() : 0);
            counts.unable += v == QuotaMessage.Verdict.UNABLE ? 1 : 0;
            counts.stoodIn += before >= 0 ? 1 : 0;
        }
        if (news && before >= 0 && kept.units() > 0) { // two are asked for one book just now
            say(before, new QuotaMessage.Used(nextSerial(), a.named(), kept.units()));
        }
        say(from, new QuotaMessage.Answer(a.serial(), kept.verdict(), b == null ? 0 : b.grantable(now), b == null ? 0 : b.demand(),
                before >= 0));
        hint(now, from);
    }

    /** The keeper that comes before this gateway and is there; -1 where this one is in charge. */
    private int before(double now, QuotaLedger b) {
        int mine = b.keepers.place(config.me());
        for (int i = 0; i < mine; i++) {
            if (there(now, b.keepers.books()[i])) {
                return b.keepers.books()[i];
            }
        }
        return -1;
    }

    private void hearUsed(double now, int from, Peer p, QuotaMessage.Used u) {
        QuotaLedger b = p.verdicts.of(now, u.serial()) == null ? bookOf(now, u.named(), from) : null;
        if (b != null) {
            p.verdicts.keep(now, u.serial(), QuotaMessage.Verdict.GRANTED, b, 0);
            b.used(now, u.units(), 0, fill(now, b));
        }
    }

    private void hearAnswer(double now, int from, QuotaMessage.Answer a) {
        PendingAdmission q = open.get(a.serial());
        if (q == null || q.peer != from) {
            boolean took = a.verdict() == QuotaMessage.Verdict.GRANTED || a.verdict() == QuotaMessage.Verdict.CEILING;
            if (ended.remove(a.serial()) && took) {
                say(from, new QuotaMessage.Back(a.serial()));
            }
            return;
        }
        open.remove(a.serial());
        if (q.sends == 1) {
            peers[from].answers += ANSWERS_GAIN * (1 - peers[from].answers);
        }
        if (a.standsIn()) { // asked of all that were passed over on the way
            IntStream.range(0, q.place).forEach(i -> knock(now, q.customer.keepers.books()[i], HINTED_MS));
        }
        if (a.verdict() != QuotaMessage.Verdict.UNABLE && q.of != QuotaMessage.Of.CEILING) {
            q.customer.told(now, a.fullness() * q.customer.terms.burst(), a.demand());
        }
        verdict(now, q, a.verdict(), new Grant(from, a.serial(), q.customer.named.customer(), q.units));
    }

    private void hearSync(double now, int from, QuotaMessage.Sync s) {
        QuotaLedger b = bookOf(now, s.named(), from);
        int theirs = b == null ? -1 : b.keepers.place(from);
        int mine = b == null ? -1 : b.keepers.place(config.me());
        if (theirs < 0 || mine < 0) {
            return;
        }
        boolean inCharge = theirs < mine;
        if (inCharge || !b.informed) {
            b.told(now, s, inCharge, fill(now, b));
        }
    }

    private void hearPresence(double now, int from, Peer p, QuotaMessage.State state) {
        switch (state) {
            case SERVES -> {
                p.leaves = false;
                for (QuotaLedger b : books.values()) {
                    int theirs = b.keepers.place(from);
                    boolean active = now - b.usedAt < ACTIVE_MS && b.terms.rate() > 0;
                    if (active && theirs >= 0 && theirs < b.keepers.place(config.me())) {
                        tellBook(now, b, from);
                    }
                }
            }
            case LEAVES -> p.leaves = true;
            case ASKS -> say(from, new QuotaMessage.Presence(QuotaMessage.State.HERE));
            default -> { }
        }
    }

    /** {@code name=count} of what happened since this was last called. */
    public String counts() {
        Counts c = counts;
        counts = new Counts();
        return " asked=" + c.asked + " again=" + c.again + " missed=" + c.missed + " guessed=" + c.guessed
                + " stood_in=" + c.stoodIn + " unable=" + c.unable + " leased=" + c.leased;
    }

    // ---- messages

    private void say(int to, QuotaMessage.Item item) {
        due.computeIfAbsent(to, p -> new ArrayList<>()).add(item);
    }

    /** All that is due leaves, as few messages a peer as it fits in. */
    private void flush() {
        for (Map.Entry<Integer, List<QuotaMessage.Item>> e : due.entrySet()) {
            List<QuotaMessage.Item> part = new ArrayList<>();
            int size = QuotaMessage.HEAD_BYTES;
            for (QuotaMessage.Item item : e.getValue()) {
                int more = QuotaMessage.bytes(item);
                if (size + more > QuotaMessage.MOST_BYTES) {
                    tell(e.getKey(), peers[e.getKey()].life.number(), part);
                    part = new ArrayList<>();
                    size = QuotaMessage.HEAD_BYTES;
                }
                part.add(item);
                size += more;
            }
            tell(e.getKey(), peers[e.getKey()].life.number(), part);
        }
        due.clear();
    }

    private void tell(int to, int toLife, List<QuotaMessage.Item> items) {
        count = count + 1 & QuotaMessage.WORD;
        link.tell(to, new QuotaMessage(life, toLife & QuotaMessage.WORD, count, items).bytes());
    }
}
