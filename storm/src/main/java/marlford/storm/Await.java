package marlford.storm;

import java.io.IOException;

/** Waits for a condition by polling. */
final class Await {
    private static final long POLL_MS = 20;

    private Await() {}

    /** What is waited for. */
    interface Condition {
        boolean holds() throws IOException;
    }

    /**
     * Whether it holds before the deadline.
     *
     * @param deadline in nanoseconds, as {@link System#nanoTime}
     */
    static boolean until(Condition condition, long deadline) throws IOException, InterruptedException {
        while (!condition.holds()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }
}
