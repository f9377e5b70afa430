package marlford.register;

/**
 * The result of a {@link RegisterCommand}.
 *
 * @param token the fencing token of the entry's owner; 0 if the asker does not own it
 * @param entry the entry that was taken over; null for other commands
 * @param outcome of a completed request; null otherwise
 */
public record RegisterResult(Kind kind, long token, RegisterEntry entry, Outcome outcome) {
    /** The kind of result. */
    public enum Kind {
        /** The request is owned by the asker, who may send it. */
        OWNED,
        /** Another session owns it, or will: its outcome is to be waited for. */
        RUNS,
        /** It is completed. */
        OVER,
        /** The key belongs to another request. */
        DIFFERS,
        /** Done, now or by an earlier copy of the command. */
        DONE,
        /** The asker does not own the entry, or there is none. */
        NOT_YOURS,
        /** A limit is reached; nothing was changed. */
        FULL,
        /** An invalid command. */
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
