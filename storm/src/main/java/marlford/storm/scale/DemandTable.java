package marlford.storm.scale;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Draws customers, each as often as its demand has it. */
final class DemandTable {
    private final List<Customer> customers;
    private final double[] upTo; // running sums of requests a second

    DemandTable(List<Customer> customers) {
        this.customers = customers;
        upTo = new double[customers.size()];
        double sum = 0;
        for (int i = 0; i < upTo.length; i++) {
            sum += Workload.requestsPerSecond(customers.get(i).unitsPerSecond());
            upTo[i] = sum;
        }
    }

    /** Requests a second of all together. */
    double requestsPerSecond() {
        return isEmpty() ? 0 : upTo[upTo.length - 1];
    }

    boolean isEmpty() {
        return upTo.length == 0;
    }

    Customer draw(SplittableRandom random) {
        int found = Arrays.binarySearch(upTo, random.nextDouble() * requestsPerSecond());
        return customers.get(Math.min(upTo.length - 1, found < 0 ? -found - 1 : found));
    }
}
