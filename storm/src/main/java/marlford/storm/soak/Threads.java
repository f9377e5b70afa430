package marlford.storm.soak;

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
}
