package marlford.consensus;

/**
 * The machine's monotonic clock in milliseconds, from any thread.
 *
 * @param rate how fast it runs; 1 but in tests of clocks that run apart ({@code -Dmarlford.clock.rate})
 */
public record MonotonicClock(double rate) {
    private static final double NANOS_PER_MS = 1e6;

    /** As the process was told to run it. */
    public static MonotonicClock ofThisProcess() {
        return new MonotonicClock(Double.parseDouble(System.getProperty("marlford.clock.rate", "1")));
    }

    public double ms() {
        return System.nanoTime() / NANOS_PER_MS * rate;
    }
}
