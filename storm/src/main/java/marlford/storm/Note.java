package marlford.storm;

/**
 * An act as the resource saw it, by the machine's one monotonic clock.
 *
 * @param begin when it came, in nanoseconds
 * @param end when it was over
 * @param taken whether a resource that checks tokens takes it: none greater had come by its end
 */
record Note(String task, int shard, long tick, long token, String holder, long begin, long end, boolean taken) {
    String piece() {
        return task + (shard < 0 ? "" : "#" + shard);
    }
}
