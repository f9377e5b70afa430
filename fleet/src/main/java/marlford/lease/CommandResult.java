package marlford.lease;

import marlford.register.RegisterResult;

/**
 * What came of a {@link Command}.
 *
 * @param value for {@code GRANTED} the token or the session, for {@code WAITING} how many stand before, of a renewal the
 *        index at which what the session has last changed
 * @param work what came of a line of work; null for others
 */
public record CommandResult(Kind kind, long value, RegisterResult work) {
    /** Of a line that is none of work. */
    public CommandResult(Kind kind, long value) {
        this(kind, value, null);
    }

    /** What came of it. */
    public enum Kind {
        /** It is the asker's; the value is the token, or of {@link Command.Open} the session. */
        GRANTED,
        /** It will be, in its turn; the session's watch tells. */
        WAITING,
        /** It is done, or was before. */
        DONE,
        /** The session has ended: nothing of it is left, and it has to begin anew. */
        GONE,
        /** Another living session has this name. */
        TAKEN,
        /** Somebody holds it under another limit or number of shards. */
        DIFFERS,
        /** A tick that was claimed before, or lies before one that was. */
        OVER,
        /** A bound of the book is reached; nothing was changed. */
        FULL,
        /** A name or number that can't be. */
        MALFORMED,
        /** Some voter runs a version that does not know this kind of line yet. */
        NOT_YET
    }

    static final CommandResult DONE = new CommandResult(Kind.DONE, 0);
    static final CommandResult GONE = new CommandResult(Kind.GONE, 0);

    /** A renewed session's answer. */
    public static CommandResult renewed(LeaseStateMachine.Session s) {
        return new CommandResult(Kind.DONE, s.changed());
    }

    static CommandResult granted(long value) {
        return new CommandResult(Kind.GRANTED, value);
    }

    static CommandResult rejected(Kind why) {
        return new CommandResult(why, 0);
    }
}
