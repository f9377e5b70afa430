package marlford.storm.scale;

/** The heap of this process. */
final class Heap {
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** What is in use after full collections. */
    static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
