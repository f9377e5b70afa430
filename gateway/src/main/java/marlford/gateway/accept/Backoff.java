package marlford.gateway.accept;

/** Exponential backoff: each pause between failed tries is twice the one before, up to a limit. Not thread-safe. */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long shortestMs;
    private final long longestMs;
    private int doublings;

    /**
     * @param shortestMs the first pause, in milliseconds; above 0
     * @param longestMs upper limit of a pause, in milliseconds
     */
    public Backoff(long shortestMs, long longestMs) {
        this.shortestMs = shortestMs;
        this.longestMs = longestMs;
    }

    /** The pause after one more failure, in milliseconds. */
    public long nextMs() {
        long pause = Math.min(longestMs, shortestMs << doublings);
        doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
        return pause;
    }

    /** Starts again with the shortest pause, after a try that succeeded. */
    public void reset() {
        doublings = 0;
    }
}
