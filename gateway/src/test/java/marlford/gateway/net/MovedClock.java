package marlford.gateway.net;

/** A clock that the test moves on, beside its own going or alone. */
final class MovedClock extends Clock {
    private final boolean stands;
    private final double began = super.now();
    private volatile double moved;

    MovedClock() {
        this(false);
    }

    private MovedClock(boolean stands) {
        this.stands = stands;
    }

    /** One that goes on only when it is moved. */
    static MovedClock standing() {
        return new MovedClock(true);
    }

    @Override
    double now() {
        return (stands ? began : super.now()) + moved;
    }

    /** From now on it is so many milliseconds later. */
    void move(double ms) {
        moved += ms;
    }
}
