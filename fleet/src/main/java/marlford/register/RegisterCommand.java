package marlford.register;

/**
 * A replicated command of the request register. Idempotent: a command that is repeated because its reply was lost
 * gets the same result and has no effect.
 */
public sealed interface RegisterCommand {
    /**
     * Creates the entry of a request, before its first byte is sent to a host of this group.
     *
     * @param ask id of the client request, drawn by its gateway: the same command again gets the same result, while another client
     *        request with the same key, even of the same gateway, waits for the first one's outcome
     */
    record Enter(KeyedRequest order, String group, long ask) implements RegisterCommand {}

    /**
     * Moves a request that no host of the former group can have executed to another group, before its first byte is sent.
     *
     * @param token fencing token of the entry
     */
    record Move(String key, long token, String group) implements RegisterCommand {}

    /** Records the outcome of a request, before it is told to anybody. */
    record End(String key, long token, Outcome outcome) implements RegisterCommand {}

    /** Removes a request that was not and will not be executed. */
    record Withdraw(String key, long token) implements RegisterCommand {}

    /**
     * Takes over a request without an owner.
     *
     * @param shard the shard of the key, held by the proposer
     * @param shardToken fencing token of that shard
     */
    record Take(String key, int shard, long shardToken) implements RegisterCommand {}

    /** Drops the outcomes that were committed up to this index. */
    record Forget(long upTo) implements RegisterCommand {}
}
