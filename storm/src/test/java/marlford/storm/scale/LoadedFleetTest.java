package marlford.storm.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import marlford.gateway.quota.QuotaCoordinator;
import org.junit.jupiter.api.Test;

/** What a run of real processes under load is judged by, without the processes. */
class LoadedFleetTest {
    private static final int PROCESSES = 6;
    private static final int GATEWAYS = 100;
    private static final double UNITS_PER_S = 500;
    private static final long NANOS_PER_S = 1_000_000_000L;

    private static List<LoadedCustomer> customers() {
        return LoadedCustomer.upTo(UNITS_PER_S, PROCESSES, List.of(1.5, 0.8));
    }

    @Test
    void aStoreSaysTheMostThatAnyTimeHadBeyondIt() {
        TrueStore store = new TrueStore(10, 20, 0);
        store.take(0, 20);
        store.take(1, 15);
        store.take(100, 25);
        assertEquals(-5, store.lowest(), 1e-9);
        assertEquals(1, store.lowestAt(), 1e-9);
    }

    @Test
    void theIntakeIsOneAtWhichGatewaysLease() {
        assertEquals(6, LoadedFleet.mailPerSecond(PROCESSES));
        assertTrue(QuotaCoordinator.isRequiredFor(PROCESSES, LoadedFleet.mailPerSecond(PROCESSES)));
        assertFalse(QuotaCoordinator.isRequiredFor(PROCESSES, LoadedFleet.mailPerSecond(PROCESSES) + 1));
        assertEquals(ProcessSettings.MAIL_PER_S, LoadedFleet.mailPerSecond(GATEWAYS));
    }

    @Test
    void everyProcessHasCustomersAndKeepersAreOfTheirSets() {
        List<LoadedCustomer> customers = customers();
        assertTrue(IntStream.range(0, PROCESSES)
                .allMatch(gateway -> customers.stream().anyMatch(c -> c.comesThrough(gateway))));
        for (LoadedCustomer customer : customers) {
            if (customer.hasQuota()) {
                int keeper = customer.keeper(GATEWAYS, ProcessSettings.MAIL_PER_S);
                assertTrue(customer.comesThrough(keeper), customer + " is kept by " + keeper);
            }
        }
    }

    @Test
    void unitsBeyondAQuotaOrACeilingAreFound() {
        assertFalse(passed(6, 10, 0)); // the burst of 26, and less than a quarter beyond it
        assertTrue(passed(6, 25, 0));
        assertFalse(passed(6, 25, 1)); // a keeper's death and return may cost that
        assertFalse(passed(8, 18, 0)); // a ceiling's burst of 57
        assertTrue(passed(8, 25, 5));
    }

    /** Whether so many requests of three units at once are too many for a customer. */
    private static boolean passed(int customer, int requests, int keeperDeaths) {
        List<LoadedCustomer> customers = customers();
        int[] deaths = new int[customers.size()];
        deaths[customer] = keeperDeaths;
        List<CountingHosts.Arrival> arrivals = IntStream.range(0, requests)
                .mapToObj(i -> new CountingHosts.Arrival(NANOS_PER_S, "q-" + customer + "-3-" + i))
                .toList();
        Map<String, Double> figures = UnitsAudit.figures(customers, deaths, arrivals, 0, 2);
        return LoadedFleet.isBoundPassed(new MeasuredPoint(Map.of(), figures));
    }
}
