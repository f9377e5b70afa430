package marlford.gateway.quota;

/**
 * What one peer was answered last, by the serials of its questions: a question that comes again has its first verdict and
 * takes nothing anew, and units are given back once. Bound: the last {@value #MOST} questions by serial, for
 * {@value #KEPT_MS} ms: no question or word of it is out so long, and serials run over, in hours at the least.
 */
final class ReplyCache {
    static final int MOST = 32;
    static final double KEPT_MS = 10_000;

    /** @param units taken from the book's store, 0 where none were */
    record Kept(double at, int serial, QuotaMessage.Verdict verdict, QuotaLedger book, double units) { }

    private Kept[] kept; // from the first question on

    void clear() {
        kept = null;
    }

    /** Null where no such question is remembered. */
    Kept of(double now, int serial) {
        Kept k = kept == null ? null : kept[serial % MOST];
        return k != null && k.serial() == serial && now - k.at() < KEPT_MS ? k : null;
    }

    Kept keep(double now, int serial, QuotaMessage.Verdict verdict, QuotaLedger ledger, double units) {
        if (kept == null) {
            kept = new Kept[MOST];
        }
        Kept k = new Kept(now, serial, verdict, ledger, units);
        kept[serial % MOST] = k;
        return k;
    }

    void back(double now, int serial) {
        Kept k = of(now, serial);
        if (k != null && k.book() != null) {
            k.book().back(k.units());
            kept[serial % MOST] = new Kept(k.at(), serial, k.verdict(), k.book(), 0);
        }
    }
}
