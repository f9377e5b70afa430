package marlford.work;

/**
 * What came of a {@link Line}.
 *
 * @param token under which the asker owns the entry; 0 for not at all
 * @param entry what was taken over; null for other lines
 * @param outcome of an order that has ended; null for others
 */
public record Said(Kind kind, long token, Entry entry, Outcome outcome) {
    /** What came of it. */
    public enum Kind {
        /** The order is the asker's, to be sent. */
        OWNED,
        /** Somebody has it, or will: its end is to be waited for. */
        RUNS,
        /** It has ended. */
        OVER,
        /** Under this key there is another order. */
        DIFFERS,
        /** It is done, or was before. */
        DONE,
        /** The entry is not the asker's, or no more; or there is none. */
        NOT_YOURS,
        /** A bound is reached; nothing was changed. */
        FULL,
        /** What can't be. */
        MALFORMED
    }

    static Said of(Kind kind) {
        return new Said(kind, 0, null, null);
    }

    static Said over(Outcome outcome) {
        return new Said(Kind.OVER, 0, null, outcome);
    }

    static Said owned(Entry e) {
        return new Said(Kind.OWNED, e.token(), e, null);
    }
}
