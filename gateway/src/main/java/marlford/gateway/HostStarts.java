package marlford.gateway;

/**
 * Estimates when hosts started, on this gateway's own monotonic clock. Discovery reports a host's start as wall clock time, and
 * this gateway's wall clock may be wrong by up to an hour. A host that is taken for warm too early is overloaded, while one that
 * is taken for cold too long only gets less load for a while. So each estimate is the latest start that is possible:
 *
 * <ul>
 * <li>A start that is reported after an agent has already reported a list is taken to be as recent as the report itself.
 * <li>Of the hosts in a process's first list, the youngest is taken to have started just now, and each other as long before it as
 * their reported starts differ. Only a start more than {@value #MAX_WALL_CLOCK_ERROR_MS} ms plus the warm-up time ago by the
 * wall clock certainly belongs to a warm host.
 * </ul>
 *
 * <p>Pure: the caller passes the time, in milliseconds. Not thread-safe: used on one event loop only.
 */
final class HostStarts {
    /** The largest error of a wall clock. */
    static final double MAX_WALL_CLOCK_ERROR_MS = 3_600_000;

    private final double warmWithinMs;
    private double youngestStartedMs; // of all hosts reported so far
    private boolean agentListReceived;

    /** @param warmWithinMs how long hosts take to warm up */
    HostStarts(double warmWithinMs) {
        this.warmWithinMs = warmWithinMs;
    }

    /** Notes the hosts of a list; to be called before the estimates for these hosts. */
    void noteHosts(Iterable<EngineApi.Host> hosts) {
        for (EngineApi.Host host : hosts) {
            youngestStartedMs = Math.max(youngestStartedMs, host.startedMs());
        }
    }

    /** The latest time at which a host can have started that is reported with this start for the first time. */
    double latestStartMs(double now, double startedMs) {
        if (agentListReceived) {
            return now;
        }
        boolean certainlyWarm = now - startedMs > MAX_WALL_CLOCK_ERROR_MS + warmWithinMs;
        return certainlyWarm ? startedMs : now - (youngestStartedMs - startedMs);
    }

    /** Records that a list was processed; {@code kind} distinguishes an agent's list from the cached one. */
    void listProcessed(EngineApi.ListKind kind) {
        agentListReceived |= kind != EngineApi.ListKind.CACHED;
    }
}
