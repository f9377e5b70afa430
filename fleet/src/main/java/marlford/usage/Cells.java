package marlford.usage;

/**
 * An array of 64-bit numbers that survives the process. Writes are atomic, and visible to other threads in program
 * order.
 */
public interface Cells {
    long get(int at);

    void set(int at, long value);

    /** Sets it if it has this value; whether it did. */
    boolean swap(int at, long from, long to);

    int size();
}
