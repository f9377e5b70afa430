package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The owner's side of leases on one store: which units were granted to whom and may not have been spent yet.
 *
 * <p><b>Why a strict lease adds nothing to a store.</b> Let S be the true store, K the owner's own level and L the sum of
 * {@link #outstanding}. Claim: K + L never passes S, so neither the owner nor a holder ever spends what S has not got.
 * <ul>
 * <li>A grant moves units from K to L.
 * <li>A unit that is spent leaves S. It leaves L no sooner: either a later request of its holder no longer lists it as held
 * (the holder lists what it may still spend, and ceiling units until they have reached their host), or the term ends.
 * <li>A unit that is returned moves from L to K. Its holder gave it up before it said so, and each request is settled once.
 * <li>A holder spends until {@link #USE_MS} after it <em>asked</em>; the owner counts until {@link #LENT_MS} after it
 * <em>granted</em>, which is later and longer. So what is still counted nowhere can't be spent, and clocks need not agree.
 * <li>S fills at its rate until its burst, K at no more than that rate until its burst <em>less L</em>.
 * </ul>
 * A request renews the whole lease: the owner counts the units held and the new ones until the new term's end, the holder
 * spends them until its own new end where the grant arrived, else until the old one, which is sooner. A holder has one
 * request open and takes no grant but that request's, so that the units it lists are all there are. A repeated request is
 * answered as before and moves nothing; one that is older than the last is answered with nothing. A holder's next life has
 * an entry of its own: the former life's units count until their term ends.
 *
 * <p>Bound: {@value #ENTRIES_MAX} holders; beyond it nothing is granted. Pure: no I/O and no clock. Not thread-safe.
 */
final class LeaseLedger {
    /** Until so long after its request was first sent a lease may be spent, in milliseconds. */
    static final double USE_MS = 2000;
    /** So long after its grant a lease counts as outstanding: what is sent on last may take its time to connect. */
    static final double LENT_MS = USE_MS + CeilingShare.LENT_MS - CeilingShare.USE_MS;
    /** Part of what an owner has that one request may get. */
    private static final double FAIR = 0.5;
    /** Most units of one lease: what is held must fit a message. */
    static final double MOST_UNITS = 60;
    private static final double STEP = 0.25; // of granted units, as messages have them
    private static final double LEAST_UNITS = 1; // less is not worth a message
    /** How long a settled request is remembered after its lease's end, so that a late repeat is known as one. */
    private static final double REMEMBER_MS = 10_000;
    private static final int ENTRIES_MAX = 64;

    private static final class Entry {
        final int peer;
        final int life;
        int serial;
        double granted; // in answer to that serial
        double units;
        double until = Double.NEGATIVE_INFINITY;

        Entry(int peer, int life) {
            this.peer = peer;
            this.life = life;
        }
    }

    /** What a request changed. {@code repeat}: nothing; the first grant is to be said again. */
    record Settled(boolean repeat, double granted, double spent, double returned) { }

    private final List<Entry> entries = new ArrayList<>(2);

    /** Units that were granted and may still be spent. */
    double outstanding(double now) {
        if (entries.isEmpty()) {
            return 0;
        }
        double outstanding = 0;
        for (int i = entries.size() - 1; i >= 0; i--) {
            Entry e = entries.get(i);
            e.units = now < e.until ? e.units : 0;
            outstanding += e.units;
            if (now >= e.until + REMEMBER_MS) {
                entries.remove(i);
            }
        }
        return outstanding;
    }

    /**
     * Takes in what a holder says of its earlier grants.
     *
     * @param life of the holder
     */
    Settled settle(double now, int peer, int life, QuotaMessage.LeaseRequest request) {
        outstanding(now);
        Entry e = entry(peer, life);
        if (e == null) {
            return new Settled(false, 0, 0, 0);
        }
        int newer = (short) (request.serial() - e.serial);
        if (newer <= 0) {
            return new Settled(true, newer == 0 ? e.granted : 0, 0, 0);
        }
        double left = Math.min(e.units, request.held());
        double returned = Math.min(e.units - left, request.returned());
        double spent = e.units - left - returned;
        e.units = left;
        e.serial = request.serial();
        e.granted = 0;
        e.until = left > 0 ? now + LENT_MS : e.until;
        return new Settled(false, 0, spent, returned);
    }

    /**
     * Grants units in answer to a request that was settled just now: no more than it wants, than a fair part of what the
     * owner has, than the holder's lease has room for, and than keeps all that is leased within a bound.
     *
     * @param available what the owner has itself
     * @param most units that may be outstanding
     * @return the units, which have left the owner's store; 0 where it is too little, or there is no room for a holder
     */
    double grant(double now, int peer, int life, QuotaMessage.LeaseRequest request, double available, double most) {
        double fair = Math.min(available * FAIR, most - outstanding(now));
        Entry e = entry(peer, life);
        if (e == null && entries.size() >= ENTRIES_MAX) {
            return 0;
        }
        double room = MOST_UNITS - (e == null ? 0 : e.units);
        double units = whole(Math.min(Math.min(request.units(), fair), room));
        if (units <= 0) {
            return 0;
        }
        if (e == null) {
            e = new Entry(peer, life);
            entries.add(e);
        }
        e.serial = request.serial();
        e.granted = units;
        e.units += units;
        e.until = now + LENT_MS;
        return units;
    }

    /** So many units as a message can carry; 0 where it is too little to grant. */
    private static double whole(double units) {
        return units < LEAST_UNITS ? 0 : Math.floor(units / STEP) * STEP;
    }

    private Entry entry(int peer, int life) {
        for (Entry e : entries) {
            if (e.peer == peer && e.life == life) {
                return e;
            }
        }
        return null;
    }
}
