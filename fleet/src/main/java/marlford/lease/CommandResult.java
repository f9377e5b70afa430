package marlford.lease;

import marlford.register.RegisterResult;

/**
 * The result of a {@link Command}.
 *
 * @param value for {@code GRANTED} the fencing token or the session id, for {@code WAITING} the number of sessions
 *     ahead in the queue, for a renewal the log index at which the holdings of the session last changed
 * @param work the result of a command of the request register; null for all others
 */
public record CommandResult(Kind kind, long value, RegisterResult work) {
    /** The result of a command that does not concern the request register. */
    public CommandResult(Kind kind, long value) {
        this(kind, value, null);
    }

    /** The kind of result. */
    public enum Kind {
        /** Granted; the value is the fencing token, or for {@link Command.Open} the session id. */
        GRANTED,
        /** Queued; the session's watch reports the grant. */
        WAITING,
        /** Done, now or by an earlier copy of the command. */
        DONE,
        /** The session has ended and holds nothing; the member must open a new one. */
        GONE,
        /** Another open session has this member name. */
        TAKEN,
        /** It exists with another limit or number of shards. */
        DIFFERS,
        /** The tick, or a later one, was claimed before. */
        OVER,
        /** A limit of the state machine is reached; nothing was changed. */
        FULL,
        /** An invalid name or number. */
        MALFORMED,
        /** Some voter runs a version that does not support this command yet. */
        NOT_YET
    }

    static final CommandResult DONE = new CommandResult(Kind.DONE, 0);
    static final CommandResult GONE = new CommandResult(Kind.GONE, 0);

    /** The result of a successful renewal. */
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
