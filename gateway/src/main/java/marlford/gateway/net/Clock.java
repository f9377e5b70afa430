package marlford.gateway.net;

/**
 * The clock of a node: Unix time in milliseconds that never goes back. It has the epoch of Unix time so that it can be
 * compared with the start times of hosts.
 */
class Clock {
    private static final double NANOS_PER_MS = 1e6;

    private final long anchorNanos = System.nanoTime();
    private final double anchorMs = System.currentTimeMillis();

    double now() {
        return anchorMs + (System.nanoTime() - anchorNanos) / NANOS_PER_MS;
    }
}
