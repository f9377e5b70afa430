package marlford.storm.soak;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

/**
 * How late this machine comes to what is due. What is measured from outside a process holds this much more than what that process
 * did, and where the machine has kept a gateway's event loop waiting for a core, nothing that was measured then says anything of the
 * gateway. Thread-safe.
 */
final class Lateness {
    private static final long BEAT_MS = 10;
    private static final double KEPT_MS = 5000; // a pause counts for so long
    private static final long LOOK_MS = 500;
    private static final double WAIT_MS = 50; // of a loop for a core within one look: then the machine is too busy
    private static final double NANOS_PER_MS = 1e6;

    private final Supplier<List<SoakProcess>> processes;
    private volatile double longestMs;
    private volatile long longestAt;
    private volatile long busyAt = System.nanoTime() - (long) (2 * KEPT_MS * NANOS_PER_MS);

    Lateness(Supplier<List<SoakProcess>> processes) {
        this.processes = processes;
    }

    void start() {
        Threads.start("lateness", this::beat);
        Threads.start("lateness", this::look);
    }

    private void beat() {
        try {
            while (true) {
                long began = System.nanoTime();
                Thread.sleep(BEAT_MS);
                long now = System.nanoTime();
                double late = (now - began) / NANOS_PER_MS - BEAT_MS;
                if (late > longestMs || (now - longestAt) / NANOS_PER_MS > KEPT_MS) {
                    longestMs = late;
                    longestAt = now;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look() {
        try {
            while (true) {
                for (SoakProcess process : processes.get()) {
                    if (process.waitedForCoreMs() > WAIT_MS) {
                        busyAt = System.nanoTime();
                    }
                }
                Thread.sleep(LOOK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            System.err.println("soak: can't tell whether the machine is too busy: " + e);
        }
    }

    /** The longest pause of the last seconds. */
    double ms() {
        return longestMs;
    }

    /** Whether a gateway waited for a core within the last seconds. */
    boolean isMachineBusy() {
        return (System.nanoTime() - busyAt) / NANOS_PER_MS < KEPT_MS;
    }
}
