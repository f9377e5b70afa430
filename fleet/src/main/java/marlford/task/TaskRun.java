package marlford.task;

/**
 * One act that may begin now.
 *
 * @param shard its piece; -1 for none
 * @param tick its tick; -1 for none
 * @param token to be shown to whatever it acts on
 * @param takesMs the longest that it may take; it is broken off then
 */
public record TaskRun(String task, int shard, long tick, long token, double takesMs) {}
