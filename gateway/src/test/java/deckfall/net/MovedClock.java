package deckfall.net;

/** A clock that the test moves on, beside its own going. */
final class MovedClock extends Clock {
    private volatile double moved;

    @Override
    double now() {
        return super.now() + moved;
    }

    /** From now on it is so many milliseconds later. */
    void move(double ms) {
        moved += ms;
    }
}
