package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The owner's side of the leases on one bucket: which units were granted to which holder and may not have been spent yet.
 * Owner means the gateway that grants units, holder the gateway that leases them. (In
 * {@link marlford.gateway.lease.TwoPartyLeases} the holder is the gateway to which a resource belongs.)
 *
 * <p><b>Why a strict lease adds nothing to a bucket.</b> Leases of ceiling units are strict: the owner grants no more than it
 * has itself. Quota leases are not: {@link QuotaLedger} may overrun a quota by up to {@link QuotaLedger#OVERCOMMIT_SHARE} of
 * the burst while units are leased. Let S be the true bucket, K the owner's own level and L the sum of
 * {@link #outstanding}. Claim: K + L never exceeds S, so neither the owner nor a holder ever spends what S does not
 * contain.
 * <ul>
 * <li>A grant moves units from K to L.
 * <li>A unit that is spent leaves S. It leaves L no sooner: either a later lease request of its holder no longer lists it as held
 * (the holder lists what it may still spend, and ceiling units until they have reached their host), or the term ends.
 * <li>A unit that is returned moves from L to K. Its holder gave it up before it reported so, and each lease request is
 * settled once.
 * <li>A holder spends until {@link #HOLDER_TERM_MS} after it <em>sent the lease request</em>; the owner counts until
 * {@link #OWNER_TERM_MS} after it <em>granted</em>, which is later and longer. So units that are no longer counted anywhere cannot
 * be spent, and the clocks need not agree.
 * <li>S fills at its rate up to its burst, K at no more than that rate up to its burst <em>less L</em>.
 * </ul>
 * A lease request renews the whole lease. The owner counts the units held and the new ones until the end of the new term. The
 * holder spends them until its own new end if the grant arrived, and until the old end, which is sooner, if it did not. A
 * holder has one lease request open and accepts no grant but the one for that request, so that the units it lists are all
 * that it can spend. A repeated lease request is answered as before and moves nothing; one that is older than the last is
 * answered with zero units. The next incarnation of a holder has an entry of its own: the units of the former incarnation count until their
 * term ends.
 *
 * <p>Bound: {@value #MAX_ENTRIES} entries, one for each incarnation of a holder. Beyond that a holder without an entry is
 * granted nothing. No I/O and no clock; not thread-safe.
 */
final class LeaseLedger {
    /** Time for which a lease may be spent, in milliseconds from the first sending of the lease request. */
    static final double HOLDER_TERM_MS = 2000;
    /**
     * Time for which a lease counts as outstanding, in milliseconds from its grant. It exceeds the holder's term, since a
     * client's request that is sent on at the last moment may still have to connect to its host.
     */
    static final double OWNER_TERM_MS = HOLDER_TERM_MS + CeilingShare.OUTSTANDING_MS - CeilingShare.SEND_WITHIN_MS;
    /** Share of the owner's available units that one lease request may receive. */
    private static final double FAIR_SHARE = 0.5;
    /** Largest lease in units: the amount held has to fit into a message. */
    static final double MAX_LEASE_UNITS = 60;
    private static final double UNIT_RESOLUTION = 0.25; // in messages
    private static final double MIN_GRANT_UNITS = 1; // fewer units are not worth a message
    /** Time after a lease's end for which its last lease request is remembered, so that a late retransmission is recognised. */
    private static final double RETENTION_MS = 10_000;
    private static final int MAX_ENTRIES = 64;

    /** The lease of one incarnation of a holder. */
    private static final class Entry {
        final int peer;
        final int incarnation;
        int serial;
        double granted; // units granted in answer to that serial
        double units;
        double until = Double.NEGATIVE_INFINITY;

        Entry(int peer, int incarnation) {
            this.peer = peer;
            this.incarnation = incarnation;
        }
    }

    /** What a lease request changed. If {@code repeat} is true it changed nothing, and the same grant has to be sent again. */
    record Settlement(boolean repeat, double granted, double spent, double returned) { }

    private final List<Entry> entries = new ArrayList<>(2);

    /** Returns the units that were granted and may still be spent, and drops entries that are past retention. */
    double outstanding(double now) {
        if (entries.isEmpty()) {
            return 0;
        }
        double outstanding = 0;
        for (int i = entries.size() - 1; i >= 0; i--) {
            Entry entry = entries.get(i);
            entry.units = now < entry.until ? entry.units : 0;
            outstanding += entry.units;
            if (now >= entry.until + RETENTION_MS) {
                entries.remove(i);
            }
        }
        return outstanding;
    }

    /**
     * Applies what a holder reports about its earlier grants.
     *
     * @param incarnation of the holder
     */
    Settlement settle(double now, int peer, int incarnation, QuotaMessage.LeaseRequest request) {
        outstanding(now);
        Entry entry = entry(peer, incarnation);
        if (entry == null) {
            return new Settlement(false, 0, 0, 0);
        }
        int serialDifference = (short) (request.serial() - entry.serial);
        if (serialDifference <= 0) {
            return new Settlement(true, serialDifference == 0 ? entry.granted : 0, 0, 0);
        }
        double left = Math.min(entry.units, request.held());
        double returned = Math.min(entry.units - left, request.returned());
        double spent = entry.units - left - returned;
        entry.units = left;
        entry.serial = request.serial();
        entry.granted = 0;
        entry.until = left > 0 ? now + OWNER_TERM_MS : entry.until;
        return new Settlement(false, 0, spent, returned);
    }

    /**
     * Grants units in answer to a lease request that was settled just before. The grant is limited by the units requested, by a
     * fair share of what the owner has, by the room left in the holder's lease, and by the bound on all leased units.
     *
     * @param available units that the owner has itself
     * @param maxOutstanding units that may be outstanding in total
     * @return the units, which have left the owner's bucket; 0 if that is too little or there is no room for another
     *     holder
     */
    double grant(double now, int peer, int incarnation, QuotaMessage.LeaseRequest request, double available, double maxOutstanding) {
        double fair = Math.min(available * FAIR_SHARE, maxOutstanding - outstanding(now));
        Entry entry = entry(peer, incarnation);
        if (entry == null && entries.size() >= MAX_ENTRIES) {
            return 0;
        }
        double room = MAX_LEASE_UNITS - (entry == null ? 0 : entry.units);
        double units = roundDown(Math.min(Math.min(request.units(), fair), room));
        if (units <= 0) {
            return 0;
        }
        if (entry == null) {
            entry = new Entry(peer, incarnation);
            entries.add(entry);
        }
        entry.serial = request.serial();
        entry.granted = units;
        entry.units += units;
        entry.until = now + OWNER_TERM_MS;
        return units;
    }

    /** Rounds down to what a message can carry; returns 0 if that is too little to grant. */
    private static double roundDown(double units) {
        return units < MIN_GRANT_UNITS ? 0 : Math.floor(units / UNIT_RESOLUTION) * UNIT_RESOLUTION;
    }

    /** Returns the entry of that incarnation of the peer, or null. */
    private Entry entry(int peer, int incarnation) {
        for (Entry entry : entries) {
            if (entry.peer == peer && entry.incarnation == incarnation) {
                return entry;
            }
        }
        return null;
    }
}
