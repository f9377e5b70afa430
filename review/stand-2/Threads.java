import java.io.IOException;

/** Starts daemon threads, which end with the connection that they serve. */
final class Threads {
    /** Work that ends when its connection does. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private Threads() { }

    static Thread start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the connection or the listener has ended
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
