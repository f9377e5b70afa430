package marlford.register;

/** What is agreed of work; a line that is there twice, since its answer was lost, is answered as before and changes nothing. */
public sealed interface RegisterCommand {
    /**
     * Before the first byte of an order leaves for a host of this group.
     *
     * @param ask of which this is the line, drawn by its gateway: the same line again is answered as before, while another ask for
     *        the same order, even of the same gateway, waits for the first one's end
     */
    record Enter(KeyedRequest order, String group, long ask) implements RegisterCommand {}

    /**
     * No host of the former group can have run it, and another group is to have it; before its first byte leaves.
     *
     * @param token of the entry
     */
    record Move(String key, long token, String group) implements RegisterCommand {}

    /** An order's end; before anybody is told of it. */
    record End(String key, long token, Outcome outcome) implements RegisterCommand {}

    /** It never ran and will not: nothing is left of it. */
    record Withdraw(String key, long token) implements RegisterCommand {}

    /**
     * Takes over an order whose owner has ended.
     *
     * @param shard the asker's, in the pool of work, by the key
     * @param shardToken under which it has that shard
     */
    record Take(String key, int shard, long shardToken) implements RegisterCommand {}

    /** Ends that were agreed up to this index have been kept for long enough. */
    record Forget(long upTo) implements RegisterCommand {}
}
