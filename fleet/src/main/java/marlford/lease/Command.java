package marlford.lease;

import marlford.register.RegisterCommand;

/**
 * A line of the agreed log. Every voter applies the same lines in the same order, and a line that is there twice, since
 * its answer was lost and it was asked again, changes nothing the second time.
 */
public sealed interface Command {
    /** The version that this kind of line came with; it is agreed only where all voters know it. */
    default int level() {
        return 1;
    }

    /** The longest name of a member, lease, pool or task, in characters. */
    int NAME_MAX = 128;

    /**
     * A process begins to take part.
     *
     * @param member its name, which one living session has at a time
     * @param nonce drawn at random at the process's start; the same line again finds the same session
     * @param ttlMs for how long it may be silent, in milliseconds
     */
    record Open(String member, long nonce, long ttlMs) implements Command {}

    /** A session ends: its process says so itself, or the leader found it silent ({@link FailureDetector}). */
    record Close(long session) implements Command {}

    /**
     * Asks for a lease, or for a place in its queue.
     *
     * @param limit how many may hold it at once; 1 for an exclusive one
     */
    record Acquire(long session, String lease, int limit) implements Command {}

    /** Gives a lease back, or leaves its queue where the token is 0. */
    record Release(long session, String lease, long token) implements Command {}

    /**
     * Takes part in the shards of a pool.
     *
     * @param shards how many pieces there are; all members name the same number
     */
    record Join(long session, String pool, int shards) implements Command {}

    /** Takes part no longer; its shards pass on at once. */
    record Leave(long session, String pool) implements Command {}

    /** Gives one shard up, as a holder is asked to whose shard is {@link LeaseStateMachine.Holding#wanted wanted}. */
    record GiveUp(long session, String pool, int shard, long token) implements Command {}

    /** Claims a tick of a periodic task, which runs at most once; ticks before the last one claimed are over. */
    record Tick(long session, String task, long tick) implements Command {}

    /** A line of the register of work. */
    record Work(long session, RegisterCommand line) implements Command {
        /** Work came with the second version. */
        private static final int SECOND = 2;

        @Override
        public int level() {
            return SECOND;
        }
    }

    /** The first line of a fleet: tokens begin above this one. */
    record Floor(long token) implements Command {}
}
