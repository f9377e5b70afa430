package marlford.gateway.quota;

/**
 * The last verdicts sent to one peer, by the serials of its queries: a retransmitted query receives the first verdict and
 * takes no further units, and units are returned at most once.
 *
 * <p>Bound: {@value #MAX_ENTRIES} serials, each for {@value #RETENTION_MS} ms. No query and no message about it is under
 * way for longer than that, and serials wrap around only after hours.
 */
final class ReplyCache {
    static final int MAX_ENTRIES = 32;
    static final double RETENTION_MS = 10_000;

    /**
     * One verdict.
     *
     * @param at time of the verdict in milliseconds
     * @param units taken from the ledger's bucket and not returned, 0 if none
     */
    record CachedVerdict(double at, int serial, QuotaMessage.Verdict verdict, QuotaLedger ledger, double units) { }

    private CachedVerdict[] entries; // Allocated with the first verdict.

    /** Forgets all verdicts; to be called when a new incarnation of the peer begins. */
    void clear() {
        entries = null;
    }

    /** Returns the verdict for the serial, or null if none is cached. */
    CachedVerdict find(double now, int serial) {
        CachedVerdict entry = entries == null ? null : entries[serial % MAX_ENTRIES];
        return entry != null && entry.serial() == serial && now - entry.at() < RETENTION_MS ? entry : null;
    }

    /** Caches a verdict, and evicts an older one whose serial shares its slot. */
    CachedVerdict put(double now, int serial, QuotaMessage.Verdict verdict, QuotaLedger ledger, double units) {
        if (entries == null) {
            entries = new CachedVerdict[MAX_ENTRIES];
        }
        CachedVerdict entry = new CachedVerdict(now, serial, verdict, ledger, units);
        entries[serial % MAX_ENTRIES] = entry;
        return entry;
    }

    /** Returns the units of that query to the ledger they were taken from, if they have not been returned yet. */
    void returnUnits(double now, int serial) {
        CachedVerdict entry = find(now, serial);
        if (entry != null && entry.ledger() != null) {
            entry.ledger().returnUnits(entry.units());
            entries[serial % MAX_ENTRIES] = new CachedVerdict(entry.at(), serial, entry.verdict(), entry.ledger(), 0);
        }
    }
}
