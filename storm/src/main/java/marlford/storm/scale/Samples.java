package marlford.storm.scale;

import java.util.Arrays;

/** A growing collection of numbers, of which quantiles are wanted at the end. */
final class Samples {
    private static final int FIRST_CAPACITY = 1024;

    private double[] values = new double[FIRST_CAPACITY];
    private int size;

    void add(double value) {
        if (size == values.length) {
            values = Arrays.copyOf(values, 2 * size);
        }
        values[size++] = value;
    }

    void addAll(Samples others) {
        for (int i = 0; i < others.size; i++) {
            add(others.values[i]);
        }
    }

    /** Empty again, with no memory held. */
    void clear() {
        values = new double[FIRST_CAPACITY];
        size = 0;
    }

    int size() {
        return size;
    }

    /** The quantile by nearest rank, or 0 where there are no values. */
    double quantile(double q) {
        if (size == 0) {
            return 0;
        }
        double[] sorted = Arrays.copyOf(values, size);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(q * size) - 1)];
    }
}
