package marlford.gateway.list;

/**
 * The longest host list that a process accepts, so that a list can't exhaust its heap.
 *
 * @param hosts upper limit of hosts on one list; above 0
 */
public record HostListLimit(int hosts) {
    /** Share of the heap that hosts may take; the rest is for requests, connections and the program itself. */
    private static final double HOSTS_HEAP_SHARE = 0.75;
    /**
     * Heap that one host takes, in bytes, while a list that names it replaces another one: its entries in the list, the
     * connection pools, the decision engine and the console, plus the entries of the replaced list, which are still
     * referenced meanwhile. LongHostListTest shows that the figure suffices.
     */
    private static final double HEAP_BYTES_PER_HOST = 1150;

    public HostListLimit {
        if (hosts <= 0) {
            throw new IllegalArgumentException("the limit of hosts on a list must be above 0");
        }
    }

    /** The limit for a process with a heap of {@code bytes}. */
    public static HostListLimit ofHeap(long bytes) {
        return new HostListLimit((int) Math.max(1, Math.min(Integer.MAX_VALUE, bytes * HOSTS_HEAP_SHARE / HEAP_BYTES_PER_HOST)));
    }
}
