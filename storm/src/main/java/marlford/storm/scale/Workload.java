package marlford.storm.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import marlford.gateway.quota.QuotaMessage;
import marlford.gateway.quota.QuotaTerms;

/**
 * Who asks for what, in proportion to the size that is designed for: 78,000 customers before 2,700 gateways that let
 * 181 requests a second through each.
 *
 * <p>A request is of one to three units. Customers' demand is drawn evenly from 0.4 to 1.0 of their rate at full load,
 * 0.7 in the mean; for a plan that has a ceiling alone its rate is the measure.
 *
 * @param shape how many customers there are and how much each asks for
 * @param triesPerSecond requests a second at each gateway
 * @param customersPerGateway customers of the whole fleet, divided by its gateways, at full load
 * @param spread gateways that one customer's requests come through
 * @param ceilings whether plans have ceilings; where they have none a ceiling alone becomes a quota of the same size
 */
public record Workload(Shape shape, double triesPerSecond, double customersPerGateway, int spread, boolean ceilings) {
    /** How demand follows from the requests a second. */
    public enum Shape {
        /** The same customers at any load; each asks for less where there are fewer requests. */
        FIXED_CUSTOMERS,
        /** Each customer asks for the same at any load; there are fewer of them where there are fewer requests. */
        FIXED_DEMAND,
        /**
         * As many customers as it takes, a quarter of them on the larger plan: one in ten asks for three
         * times its rate,
         * one in ten for 0.95 of it, the others for 0.45.
         */
        PROBE
    }

    /** Requests a second and gateway at which demand is in the mean 0.7 of the rate. */
    public static final double FULL_TRIES = 181;

    static final double MAX_UNITS = 4;
    private static final int MAX_UNITS_DRAWN = 3;
    static final double MEAN_UNITS = 2;
    private static final double LEAST_USE = 0.4;
    private static final double MOST_USE = 1.0;
    private static final double PROBE_FEW = 3;
    private static final double PROBE_SOME = 0.95;
    private static final double PROBE_MOST = 0.45;
    private static final int PROBE_FEW_EVERY = 10;
    private static final int PROBE_SOME_EVERY = 5;
    private static final int PROBE_CAPPED_EVERY = 4;

    private static final QuotaTerms BASIC = new QuotaTerms(2, 7, 0, 0);
    static final QuotaTerms CAPPED = new QuotaTerms(15, 26, 35, 57);
    static final QuotaTerms ONLY_CAPPED = new QuotaTerms(0, 0, 35, 57);
    static final QuotaTerms MIDDLE = new QuotaTerms(15, 26, 0, 0);
    private static final QuotaTerms LARGE = new QuotaTerms(35, 57, 0, 0);

    /** Of 29 customers; with demand at 0.7 of the rate they come to 179 requests a second. */
    private static final int BASIC_OF_29 = 8;

    private static final int CAPPED_OF_29 = 12;
    private static final int CYCLE = 29;

    /** The plans, in the order of their numbers. */
    List<QuotaTerms> plans() {
        return ceilings ? List.of(BASIC, CAPPED, ONLY_CAPPED) : List.of(BASIC, MIDDLE, LARGE);
    }

    /** The customers of so many gateways; their demands come to {@link #triesPerSecond} at each in the mean. */
    List<Customer> customers(int gateways, SplittableRandom random) {
        double wanted = gateways * triesPerSecond * MEAN_UNITS; // units a second
        if (shape == Shape.PROBE) {
            return customersUpTo(wanted, gateways, random);
        }
        double present = shape == Shape.FIXED_CUSTOMERS ? 1 : triesPerSecond / FULL_TRIES;
        long count = Math.max(1, Math.round(gateways * customersPerGateway * present));
        List<Customer> customers = new ArrayList<>();
        double sum = 0;
        while (customers.size() < count) {
            Customer customer = customer(customers.size(), gateways, random);
            customers.add(customer);
            sum += customer.unitsPerSecond();
        }
        double scale = wanted / sum;
        customers.forEach(c -> c.scaleDemand(scale));
        return customers;
    }

    private List<Customer> customersUpTo(double wanted, int gateways, SplittableRandom random) {
        List<Customer> customers = new ArrayList<>();
        for (double sum = 0; sum < wanted; ) {
            Customer customer = customer(customers.size(), gateways, random);
            customers.add(customer);
            sum += customer.unitsPerSecond();
        }
        return customers;
    }

    private Customer customer(int index, int gateways, SplittableRandom random) {
        int plan = plan(index);
        QuotaTerms terms = plans().get(plan);
        int first = random.nextInt(gateways);
        QuotaMessage.CustomerKey named =
                new QuotaMessage.CustomerKey(index + 1L, plan, first, Math.min(spread, gateways));
        double measure = terms.rate() > 0 ? terms.rate() : terms.ceilingRate();
        return new Customer(index, named, terms, measure * use(index, random));
    }

    private int plan(int customer) {
        if (shape == Shape.PROBE) {
            return customer % PROBE_CAPPED_EVERY == 0 ? 1 : 0;
        }
        // Steps of 12 visit each place of a cycle of 29 once, so that any part of the customers has the same mix.
        int place = customer * CAPPED_OF_29 % CYCLE;
        return place < BASIC_OF_29 ? 0 : place < BASIC_OF_29 + CAPPED_OF_29 ? 1 : 2;
    }

    private double use(int customer, SplittableRandom random) {
        if (shape != Shape.PROBE) {
            return random.nextDouble(LEAST_USE, MOST_USE);
        }
        return customer % PROBE_FEW_EVERY == 0 ? PROBE_FEW : customer % PROBE_SOME_EVERY == 0 ? PROBE_SOME : PROBE_MOST;
    }

    /** The units of one request. */
    static int units(SplittableRandom random) {
        return 1 + random.nextInt(MAX_UNITS_DRAWN);
    }

    /** Requests a second of a customer that asks for so many units a second. */
    static double requestsPerSecond(double unitsPerSecond) {
        return unitsPerSecond / MEAN_UNITS;
    }
}
