package marlford.consensus;

/**
 * The monotonic clock in milliseconds; may be read from any thread.
 *
 * @param rate its speed; other than 1 only in tests of clock drift ({@code -Dmarlford.clock.rate})
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
