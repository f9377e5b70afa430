package marlford.register;

/**
 * What came of a {@link RegisterCommand}.
 *
 * @param token under which the asker owns the entry; 0 for not at all
 * @param entry what was taken over; null for other lines
 * @param outcome of an order that has ended; null for others
 */
public record RegisterResult(Kind kind, long token, RegisterEntry entry, Outcome outcome) {
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

    static RegisterResult of(Kind kind) {
        return new RegisterResult(kind, 0, null, null);
    }

    static RegisterResult over(Outcome outcome) {
        return new RegisterResult(Kind.OVER, 0, null, outcome);
    }

    static RegisterResult owned(RegisterEntry e) {
        return new RegisterResult(Kind.OWNED, e.token(), e, null);
    }
}
