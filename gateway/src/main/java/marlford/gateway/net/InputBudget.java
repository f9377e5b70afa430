package marlford.gateway.net;

import java.util.concurrent.Executor;

/**
 * Bounds the time that one iteration of the event loop spends on input of peers. What a byte costs depends on what it means: a chunk of one
 * byte takes as long as one of a thousand. So the time is measured and not derived from sizes. Once the budget of an iteration is spent,
 * each connection reads only what takes it {@value #SPENT_SHARE_MS} ms, as far as its last read tells, and little is read ahead. However
 * many peers send at full speed, in whatever form, iterations stay short and each connection has its turn.
 *
 * <p>Used on the event loop.
 */
final class InputBudget {
    /** Time for input in one iteration. A request and its answer take several iterations. */
    private static final double LIMIT_MS = 5;
    private static final double SPENT_SHARE_MS = 0.05;
    private static final int MIN_READ_BYTES = 256;
    private static final int SPENT_READ_AHEAD_BYTES = 8192;
    private static final double SPENT_READ_AHEAD_MS = 1;

    /** Decodes and handles input. */
    interface Work {
        /** Does the work; an exception is passed on. */
        void run() throws Exception;
    }

    private final Clock clock;
    private final Executor afterInput;
    private double spentMs;
    private double totalMs;
    private boolean spentBefore; // the budget of the iteration before was spent
    private boolean sparing;
    private boolean resetPending;
    private boolean measuring;

    /** @param afterInput runs tasks once the event loop has handled the input of the current iteration */
    InputBudget(Clock clock, Executor afterInput) {
        this.clock = clock;
        this.afterInput = afterInput;
    }

    /**
     * Whether no more may be read ahead on a connection in this iteration.
     *
     * @param readBytes what has been read ahead on it
     * @param sinceMs when that began
     */
    boolean endsReadingAhead(long readBytes, double sinceMs) {
        if (sparing) {
            return readBytes > 0;
        }
        return isSpent() && readBytes >= SPENT_READ_AHEAD_BYTES && clock.now() - sinceMs >= SPENT_READ_AHEAD_MS;
    }

    /**
     * Runs work that reads many connections, such as a check of all clients. Where input takes all the time that it may, each of them is read
     * once, and little, so that the check comes to the others in time.
     */
    void readSparingly(Runnable work) {
        sparing = spentBefore || isSpent();
        try {
            work.run();
        } finally {
            sparing = false;
        }
    }

    private boolean isSpent() {
        return sparing || spentMs >= LIMIT_MS;
    }

    /** Returns the time that was spent on input since the last call, in milliseconds. */
    double takeTotalMs() {
        double taken = totalMs;
        totalMs = 0;
        return taken;
    }

    private void spend(double ms) {
        spentMs += ms;
        totalMs += ms;
        if (!resetPending) {
            resetPending = true;
            afterInput.execute(() -> {
                resetPending = false;
                spentBefore = spentMs >= LIMIT_MS;
                spentMs = 0;
            });
        }
    }

    /** The input of one connection. */
    final class Input {
        private double msPerByte;

        /** Runs work on input that was read, and counts its time. Work on other input within it is not counted twice. */
        void measure(int bytes, Work work) throws Exception {
            if (measuring) {
                work.run();
                return;
            }
            double startedMs = clock.now();
            measuring = true;
            try {
                work.run();
            } finally {
                measuring = false;
                double tookMs = clock.now() - startedMs;
                msPerByte = tookMs / Math.max(1, bytes);
                spend(tookMs);
            }
        }

        /** Returns the bound on a read whose bytes are decoded, at most the given one. */
        int maxReadBytes(int otherwise) {
            if (!isSpent()) {
                return otherwise;
            }
            return (int) Math.min(otherwise, Math.max(MIN_READ_BYTES, SPENT_SHARE_MS / msPerByte));
        }
    }
}
