package marlford.storm.soak;

import java.io.IOException;

/** Threads that end with the program. */
final class Threads {
    private static final int STACK_BYTES = 256 * 1024;

    private Threads() {}

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sleeps within input or output; an interrupt ends it as an error of that. */
    static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
