package marlford.gateway;

/**
 * When hosts started, on this gateway's own monotonic clock. Discovery tells a host's start as wall clock time, and the wall clock
 * of this gateway may be wrong by up to an hour; a host that is taken for warm too early is overloaded, one that is taken for cold
 * too long only gets less for a moment. So each estimate is the latest start that is possible:
 *
 * <ul>
 * <li>A start that is told after an agent has told a list before is as recent as the word that tells it.
 * <li>Of the hosts in a process's first list, the youngest may have started just now, and the others as long before it as their
 * own times are apart. Only what started over {@value #WALL_CLOCK_ERROR_MS} ms ago by the wall clock is certain to be warm.
 * </ul>
 */
final class HostStarts {
    /** The most that a wall clock is wrong by. */
    static final double WALL_CLOCK_ERROR_MS = 3_600_000;

    private final double warmWithinMs;
    private double youngestStartedMs; // of all hosts told so far
    private boolean listKnown; // an agent has told one

    /** @param warmWithinMs how long hosts take to warm up */
    HostStarts(double warmWithinMs) {
        this.warmWithinMs = warmWithinMs;
    }

    /** Takes note of a word of discovery, ahead of the estimates for its hosts. */
    void telling(Iterable<EngineApi.Host> hosts) {
        for (EngineApi.Host host : hosts) {
            youngestStartedMs = Math.max(youngestStartedMs, host.startedMs());
        }
    }

    /** The latest moment at which a host can have started that is told with this start for the first time. */
    double latestStart(double now, double startedMs) {
        if (listKnown) {
            return now;
        }
        boolean longAgo = now - startedMs > WALL_CLOCK_ERROR_MS + warmWithinMs;
        return longAgo ? startedMs : now - (youngestStartedMs - startedMs);
    }

    /** The word has been taken; {@code kind} tells whether it is an agent's, or the configuration's list. */
    void told(EngineApi.ListKind kind) {
        listKnown |= kind != EngineApi.ListKind.CACHED;
    }
}
