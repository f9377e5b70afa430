package marlford.storm.soak;

/**
 * How late this machine comes to what is due, by the longest pause of a thread that sleeps for a few milliseconds. What is
 * measured from outside a process holds this much more than what that process did. Thread-safe.
 */
final class Lateness {
    private static final long BEAT_MS = 10;
    private static final double KEPT_MS = 5000; // a pause counts for so long
    private static final double NANOS_PER_MS = 1e6;

    private volatile double longestMs;
    private volatile long longestAt;

    void start() {
        Threads.start("lateness", this::beat);
    }

    private void beat() {
        while (true) {
            long began = System.nanoTime();
            try {
                Thread.sleep(BEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            double late = (now - began) / NANOS_PER_MS - BEAT_MS;
            if (late > longestMs || (now - longestAt) / NANOS_PER_MS > KEPT_MS) {
                longestMs = late;
                longestAt = now;
            }
        }
    }

    /** The longest pause of the last seconds. */
    double ms() {
        return longestMs;
    }
}
