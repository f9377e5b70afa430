package deckfall.quota;

/**
 * What one peer was answered last, by the serials of its questions: a question that comes again has its first verdict and
 * takes nothing anew, and units are given back once. Bound: the last {@value #MOST} questions by serial.
 */
final class Verdicts {
    static final int MOST = 32;

    /** @param units taken from the book's store, 0 where none were */
    record Kept(int serial, Talk.Verdict verdict, Book book, double units) { }

    private Kept[] kept; // from the first question on

    void clear() {
        kept = null;
    }

    /** Null where no such question is remembered. */
    Kept of(int serial) {
        Kept k = kept == null ? null : kept[serial % MOST];
        return k != null && k.serial() == serial ? k : null;
    }

    Kept keep(int serial, Talk.Verdict verdict, Book book, double units) {
        if (kept == null) {
            kept = new Kept[MOST];
        }
        Kept k = new Kept(serial, verdict, book, units);
        kept[serial % MOST] = k;
        return k;
    }

    void back(int serial) {
        Kept k = of(serial);
        if (k != null && k.book() != null) {
            k.book().back(k.units());
            kept[serial % MOST] = new Kept(serial, k.verdict(), k.book(), 0);
        }
    }
}
