package marlford.gateway.net;

/** A clock that a test advances: either in addition to real time, or by the test alone. */
final class ManualClock extends Clock {
    private final boolean isManual;
    private final double startMs = super.now();
    private volatile double offsetMs;

    ManualClock() {
        this(false);
    }

    private ManualClock(boolean isManual) {
        this.isManual = isManual;
    }

    /** A clock that advances only when {@link #advance} is called. */
    static ManualClock stopped() {
        return new ManualClock(true);
    }

    @Override
    double now() {
        return (isManual ? startMs : super.now()) + offsetMs;
    }

    /** Advances the clock by this number of milliseconds. */
    void advance(double ms) {
        offsetMs += ms;
    }
}
