package marlford.usage;

/** Numbers that outlive the process, each written as a whole. A write is seen by other threads after those before it. */
public interface Cells {
    long get(int at);

    void set(int at, long value);

    /** Sets it if it has this value; whether it did. */
    boolean swap(int at, long from, long to);

    int size();
}
