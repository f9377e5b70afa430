package marlford.task;

/**
 * One run of a fleet task that may begin now.
 *
 * @param shard the shard; -1 if the task has none
 * @param tick the tick; -1 if the task has none
 * @param token the fencing token, to be sent to the resource
 * @param takesMs the timeout of the run
 */
public record TaskRun(String task, int shard, long tick, long token, double takesMs) {}
