package marlford.gateway.net;

/** The one clock: Unix milliseconds that only advance, so that they compare with a host's start. */
class Clock {
    private static final double NANOS_PER_MS = 1e6;

    private final long anchorNanos = System.nanoTime();
    private final double anchorMs = System.currentTimeMillis();

    double now() {
        return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
    }
}
