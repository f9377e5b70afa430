package marlford.storm.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import marlford.storm.scale.Workload.Shape;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkloadTest {
    private static final int GATEWAYS = 200;

    private static List<Customer> customers(Shape shape, double tries, boolean ceilings) {
        return new Workload(shape, tries, 29, 3, ceilings).customers(GATEWAYS, new SplittableRandom(5));
    }

    private static double triesPerGateway(List<Customer> customers) {
        double units = customers.stream().mapToDouble(Customer::unitsPerSecond).sum();
        return Workload.requestsPerSecond(units) / GATEWAYS;
    }

    @ParameterizedTest
    @CsvSource({"FIXED_CUSTOMERS,8", "FIXED_CUSTOMERS,181", "FIXED_DEMAND,20", "PROBE,60"})
    void demandsComeToTheRequestsThatAreNamed(Shape shape, double tries) {
        assertEquals(tries, triesPerGateway(customers(shape, tries, true)), 0.02 * tries);
    }

    /**
     * The letter's size: at its full load a quiet day's demand is 0.6 to 0.8 of the rates, without any
     * scaling to speak of.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void atFullLoadDemandIsSevenTenthsOfTheRates(boolean ceilings) {
        List<Customer> customers = customers(Shape.FIXED_CUSTOMERS, Workload.FULL_TRIES, ceilings);
        assertEquals(29 * GATEWAYS, customers.size());
        double use = customers.stream()
                .mapToDouble(
                        c -> c.unitsPerSecond() / Math.max(c.terms.rate(), c.hasQuota() ? 0 : c.terms.ceilingRate()))
                .average()
                .orElseThrow();
        assertTrue(use > 0.6 && use < 0.8, "in the mean " + use);
    }

    @Test
    void fewerRequestsOfFixedDemandAreFewerCustomers() {
        assertEquals(
                Math.round(29 * GATEWAYS * 20 / Workload.FULL_TRIES),
                customers(Shape.FIXED_DEMAND, 20, true).size());
        assertEquals(29 * GATEWAYS, customers(Shape.FIXED_CUSTOMERS, 20, true).size());
    }

    @Test
    void aStoreIsChargedOnceAndWhatItHasNotIsBeyond() {
        Workload workload = new Workload(Shape.FIXED_CUSTOMERS, 20, 29, 3, true);
        Customer basic = workload.customers(GATEWAYS, new SplittableRandom(1)).stream()
                .filter(c -> !c.hasCeiling())
                .findFirst()
                .orElseThrow();
        assertTrue(basic.hasRoom(0));
        assertEquals(false, basic.charge(0, 7));
        assertEquals(true, basic.charge(0, 1));
        assertEquals(false, basic.charge(1000, 2));
    }
}
