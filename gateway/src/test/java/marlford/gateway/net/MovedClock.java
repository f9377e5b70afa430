package marlford.gateway.net;

/** A clock that a test advances: either in addition to real time, or by the test alone. */
final class MovedClock extends Clock {
    private final boolean isManual;
    private final double startMs = super.now();
    private volatile double offsetMs;

    MovedClock() {
        this(false);
    }

    private MovedClock(boolean isManual) {
        this.isManual = isManual;
    }

    /** A clock that advances only when {@link #move} is called. */
    static MovedClock standing() {
        return new MovedClock(true);
    }

    @Override
    double now() {
        return (isManual ? startMs : super.now()) + offsetMs;
    }

    /** Advances the clock by this number of milliseconds. */
    void move(double ms) {
        offsetMs += ms;
    }
}
