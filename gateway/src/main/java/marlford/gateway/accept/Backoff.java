package marlford.gateway.accept;

/** Pauses between tries of something that fails: each is twice the one before, up to a longest. Not thread-safe. */
public final class Backoff {
    private static final int MOST_DOUBLINGS = 20;

    private final long shortestMs;
    private final long longestMs;
    private int failures;

    /**
     * @param shortestMs the first pause, in milliseconds; above 0
     * @param longestMs no pause is longer
     */
    public Backoff(long shortestMs, long longestMs) {
        this.shortestMs = shortestMs;
        this.longestMs = longestMs;
    }

    /** The pause after one more failure, in milliseconds. */
    public long nextMs() {
        long pause = Math.min(longestMs, shortestMs << failures);
        failures = Math.min(MOST_DOUBLINGS, failures + 1);
        return pause;
    }

    /** A try came to something: the next pause is the first again. */
    public void reset() {
        failures = 0;
    }
}
