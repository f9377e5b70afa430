package marlford.lease;

import marlford.register.RegisterCommand;

/**
 * A command of the replicated log. Every voter applies the same commands in the same order. Commands are idempotent:
 * one that is in the log twice, because its reply was lost and it was sent again, has no effect the second time.
 */
public sealed interface Command {
    /** The protocol version that introduced this command; it is proposed only if all voters support it. */
    default int level() {
        return 1;
    }

    /** The longest name of a member, lease, pool or task, in characters. */
    int NAME_MAX = 128;

    /**
     * Opens a session for a process.
     *
     * @param member the name of the process; one open session has it at a time
     * @param nonce random number of the process; the same command again returns the same session
     * @param ttlMs time to live without a renewal, in milliseconds
     */
    record Open(String member, long nonce, long ttlMs) implements Command {}

    /** Closes a session, on behalf of its process or because it has expired ({@link FailureDetector}). */
    record Close(long session) implements Command {}

    /**
     * Acquires a lease, or joins its queue.
     *
     * @param limit the number of concurrent holders; 1 for an exclusive lease
     */
    record Acquire(long session, String lease, int limit) implements Command {}

    /** Releases a lease, or leaves its queue if the token is 0. */
    record Release(long session, String lease, long token) implements Command {}

    /**
     * Joins a pool of shards.
     *
     * @param shards the number of shards; the same for all members
     */
    record Join(long session, String pool, int shards) implements Command {}

    /** Leaves a pool; its shards are reassigned at once. */
    record Leave(long session, String pool) implements Command {}

    /** Gives up a shard that is {@link LeaseStateMachine.Holding#wanted wanted}. */
    record GiveUp(long session, String pool, int shard, long token) implements Command {}

    /** Claims a tick of a periodic task. A tick runs at most once; earlier ticks than the last one claimed are over. */
    record Tick(long session, String task, long tick) implements Command {}

    /** A command of the request register. */
    record Work(long session, RegisterCommand line) implements Command {
        /** The request register came with protocol version 2. */
        private static final int SECOND = 2;

        @Override
        public int level() {
            return SECOND;
        }
    }

    /** The first command of a fleet: tokens start above this one. */
    record Floor(long token) implements Command {}
}
