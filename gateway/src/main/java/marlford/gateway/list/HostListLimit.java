package marlford.gateway.list;

/**
 * How many hosts a process can hold, so that no list makes it run out of memory.
 *
 * @param hosts on one list at most; above 0
 */
public record HostListLimit(int hosts) {
    /** Of the heap, for hosts; the rest is for requests, connections and the program itself. */
    private static final double HEAP_SHARE = 0.75;
    /**
     * That one host takes while a list that names it replaces another, in bytes: what the list, the pools, the decision module
     * and the console hold of it, and what the list of before holds until then. LongListTest shows that it is enough.
     */
    private static final double HEAP_PER_HOST = 1150;

    public HostListLimit {
        if (hosts <= 0) {
            throw new IllegalArgumentException("limit of a list out of range");
        }
    }

    /** That of a process with this heap. */
    public static HostListLimit ofHeap(long bytes) {
        return new HostListLimit((int) Math.max(1, Math.min(Integer.MAX_VALUE, bytes * HEAP_SHARE / HEAP_PER_HOST)));
    }
}
