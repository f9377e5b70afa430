package marlford.storm.soak;

import java.io.IOException;
import java.util.Random;

/** A client that visits one gateway after the other for as long as a seed is played. */
abstract class SoakVisitor implements Runnable {
    protected final SoakFleet fleet;
    protected final Random random;
    private final int number;
    private int asked;

    /** @param number distinguishes the ids of its requests from those of other clients of its kind */
    SoakVisitor(SoakFleet fleet, int number, long seed) {
        this.fleet = fleet;
        this.number = number;
        this.random = new Random(seed);
    }

    /** Visits a gateway that is up. */
    abstract void visit(SoakProcess process) throws IOException, InterruptedException;

    /** Returns how long it rests after a visit, in milliseconds. */
    abstract int restMs();

    /** Returns a new request id. */
    final String nextId(String prefix) {
        return prefix + number + "-" + ++asked;
    }

    @Override
    public final void run() {
        try {
            while (fleet.plays()) {
                visitAny();
                Thread.sleep(restMs());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void visitAny() throws InterruptedException {
        SoakProcess process = fleet.anyUp(random);
        if (process == null) {
            return;
        }
        try {
            visit(process);
        } catch (IOException e) {
            return; // it could not connect, or was cut while it got there
        }
    }
}
