package marlford.storm.scale;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Counts of one run as they grow. */
final class FleetCounts {
    private final Samples waits = new Samples();
    private final Map<String, Long> counters = new TreeMap<>();
    private long tries;
    private long letIn;
    private long refused;
    private long refusedWithRoom;
    private long messages;
    private long bytes;
    private long received;
    private long dropped;
    private double quotaUnits;
    private double unitsBeyond;

    void tried() {
        tries++;
    }

    void sent(int size) {
        messages++;
        bytes += size;
    }

    void received() {
        received++;
    }

    void dropped() {
        dropped++;
    }

    void letIn(double waitMs) {
        letIn++;
        waits.add(waitMs);
    }

    void refused(double waitMs, boolean withRoom) {
        refused++;
        refusedWithRoom += withRoom ? 1 : 0;
        waits.add(waitMs);
    }

    void charged(double units, boolean beyond) {
        quotaUnits += units;
        unitsBeyond += beyond ? units : 0;
    }

    void add(Map<String, Long> more) {
        more.forEach((name, count) -> counters.merge(name, count, Long::sum));
    }

    FleetFigures figures(double seconds, HollowGateway[] gateways, Collection<Customer> customers) {
        double each = seconds * gateways.length;
        List<HollowGateway> up =
                Arrays.stream(gateways).filter(Objects::nonNull).toList();
        Map<String, Double> perGateway = new TreeMap<>();
        counters.forEach((name, count) -> perGateway.put(name, count / each));
        return new FleetFigures(
                tries,
                tries / each,
                messages / each,
                bytes / each,
                (bytes + (double) messages * LinkProfile.HEADER_BYTES) / each,
                received / each,
                share(dropped, received + dropped),
                waits.quantile(0.5),
                waits.quantile(0.99),
                share(letIn, letIn + refused),
                share(refusedWithRoom, tries),
                share(unitsBeyond, quotaUnits),
                customers.stream()
                        .filter(Customer::hasCeiling)
                        .mapToDouble(Customer::lowestCeiling)
                        .min()
                        .orElse(0),
                up.stream().mapToInt(HollowGateway::customersSeen).average().orElse(0),
                up.stream().mapToInt(HollowGateway::peersHeard).average().orElse(0),
                up.stream().mapToLong(HollowGateway::openRequests).sum(),
                perGateway);
    }

    private static double share(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }
}
