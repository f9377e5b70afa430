package marlford.gateway.quota;

import java.util.ArrayDeque;

/**
 * The holder's side of one lease: units of one customer's store that this gateway may spend without asking. Its size
 * follows this gateway's own demand for the customer; {@link LeaseLedger} has the owner's side and the proof.
 *
 * <p>One request is open at a time. It is renewed ahead of running dry, and before its term ends; each request says what is
 * still held, so that the owner needs no other report. Pure: no I/O and no clock. Not thread-safe.
 */
final class LeaseHolder {
    /** Requests a second, at and above which units are leased ahead. */
    static final double TRIES_TO_LEASE = 1;
    /** Below it a lease is given back; apart from the former, so that chance does not start and end leases. */
    static final double TRIES_TO_KEEP = 0.4;
    private static final double DEMAND_MS = 3000; // averaging of demand
    private static final double PERIOD_S = 1.5; // time's worth of units that is asked for
    private static final double LEAD_S = 0.5; // time's worth of units below which a renewal is urgent
    private static final double SOON = 0.8; // share of the aim below which it goes along with others
    private static final double USE_REST_MS = LeaseLedger.USE_MS / 4; // before its end a lease is renewed
    private static final double LARGEST_KEPT = 0.97; // at each renewal
    private static final double ANSWER_MS = 150; // before a request is sent again
    private static final int SENDS = 3;
    private static final double PAUSE_MS = 1000; // after an answer of nothing, or none
    private static final double LEAST_UNITS = 0.25; // the fixed point's step

    private record Spent(double at, double units) { }

    private final QuotaMessage.Of of;
    private final double termMs;
    private final ArrayDeque<Spent> spent = new ArrayDeque<>(0); // ceiling units that may not have reached a host
    private int owner = -1;
    private int ownerLife;
    private double units;
    private double spentSince; // the last request was written: what the owner still counts as held
    private double until = Double.NEGATIVE_INFINITY;
    private double demand; // units a second
    private double tries; // a second
    private double largest; // of the requests lately
    private double demandAt;
    private QuotaMessage.LeaseRequest open;
    private int openOwner;
    private double openAt;
    private double sentAt;
    private int sends;
    private double pausedTill = Double.NEGATIVE_INFINITY;

    LeaseHolder(QuotaMessage.Of of) {
        this(of, LeaseLedger.USE_MS);
    }

    /** @param termMs how long a lease may be spent after its request was first sent; for tests */
    LeaseHolder(QuotaMessage.Of of, double termMs) {
        this.of = of;
        this.termMs = termMs;
    }

    /** A request of so many units was tried here. */
    void tried(double now, double wanted) {
        decay(now);
        demand += wanted * 1000 / DEMAND_MS;
        tries += 1000 / DEMAND_MS;
        largest = Math.max(largest, wanted);
    }

    private void decay(double now) {
        double kept = Math.exp((demandAt - now) / DEMAND_MS);
        demand *= kept;
        tries *= kept;
        demandAt = now;
    }

    /** Spends so many units; false where the lease has not got them. */
    boolean take(double now, double wanted) {
        if (units < wanted || now >= until) {
            return false;
        }
        units -= wanted;
        spentSince += wanted;
        if (of == QuotaMessage.Of.CEILING) {
            spent.addLast(new Spent(now, wanted));
        }
        return true;
    }

    /** What was spent was never sent on; where the owner was told since that it was spent, it is lost. */
    void back(double unused) {
        double good = Math.min(unused, spentSince);
        spentSince -= good;
        units += good;
    }

    /** Whether there is a lease whose term has not ended. */
    boolean held(double now) {
        return now < until;
    }

    /** Until when what is spent now must have been sent on. */
    double leaveBy() {
        return until;
    }

    /** Whether there is demand to lease for, or a lease to keep. */
    boolean active(double now) {
        decay(now);
        return tries >= (now < until || open != null ? TRIES_TO_KEEP : TRIES_TO_LEASE);
    }

    /** Whether anything is held or asked for. */
    boolean idle(double now) {
        return open == null && now >= until;
    }

    /** Whether a message should leave for this lease by itself. */
    boolean urgent(double now) {
        if (open != null) {
            return now - sentAt >= ANSWER_MS;
        }
        boolean ends = now < until && until - now < USE_REST_MS;
        return now >= pausedTill && (now >= until || ends || units < demand * LEAD_S + largest);
    }

    /** Whether it would be renewed soon, and may go along in a message. */
    boolean soon(double now) {
        return open == null ? now >= pausedTill && left(now) < SOON * aim() : now - sentAt >= ANSWER_MS;
    }

    private double aim() {
        return Math.min(LeaseLedger.MOST_UNITS, demand * PERIOD_S + largest);
    }

    private double left(double now) {
        return now < until ? units : 0;
    }

    /** The owner that the open request, if any, was sent to; else -1. */
    int asked() {
        return open == null ? -1 : openOwner;
    }

    /**
     * The request to send now; the open one again where it has not been answered, null where it was sent often enough.
     *
     * @param serial of a new request
     */
    QuotaMessage.LeaseRequest request(double now, int serial, int newOwner, QuotaMessage.Named named) {
        if (open != null && sends >= SENDS) {
            open = null;
            pausedTill = now + PAUSE_MS;
            return null;
        }
        if (open == null || openOwner != newOwner) {
            boolean same = owner == newOwner;
            double wanted = Math.max(LEAST_UNITS, aim() - (same ? left(now) : 0));
            open = new QuotaMessage.LeaseRequest(serial, named, of, wanted, held(now, same), 0);
            openOwner = newOwner;
            openAt = now;
            sends = 0;
            spentSince = 0;
            largest *= LARGEST_KEPT;
        }
        sends++;
        sentAt = now;
        return open;
    }

    /** What may yet be spent of that owner's lease; with ceiling units that may not have reached a host, whoever gave them. */
    private double held(double now, boolean sameOwner) {
        while (!spent.isEmpty() && now - spent.peekFirst().at() >= CeilingShare.LENT_MS) {
            spent.pollFirst();
        }
        return (sameOwner ? left(now) : 0) + spent.stream().mapToDouble(Spent::units).sum();
    }

    /** The end of the lease, to be told to its owner; null where there is nothing to end. */
    QuotaMessage.LeaseRequest end(double now, int serial, QuotaMessage.Named named) {
        double rest = left(now);
        units = 0;
        spentSince = 0;
        open = null;
        boolean some = now < until;
        until = Double.NEGATIVE_INFINITY;
        return some ? new QuotaMessage.LeaseRequest(serial, named, of, 0, held(now, false), rest) : null;
    }

    int owner() {
        return owner;
    }

    /**
     * A grant: it is taken where it answers the open request in time. What was held of another owner, or of another life of
     * this one, which does not count it, is given up.
     */
    void granted(double now, int from, int life, int serial, double more) {
        if (open == null || open.serial() != serial || openOwner != from) {
            return;
        }
        double end = openAt + termMs;
        open = null;
        if (more < LEAST_UNITS) {
            pausedTill = now + PAUSE_MS;
        }
        boolean same = owner == from && ownerLife == life;
        double kept = same ? left(now) : 0;
        if (now < end && kept + more > 0) {
            owner = from;
            ownerLife = life;
            units = kept + more;
            until = end;
        }
    }
}
