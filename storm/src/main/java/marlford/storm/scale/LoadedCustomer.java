package marlford.storm.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import marlford.gateway.quota.QuotaCoordinator;
import marlford.gateway.quota.QuotaMessage;
import marlford.gateway.quota.QuotaTerms;

/**
 * A customer of real processes.
 *
 * @param named as requests name it
 * @param terms of its plan
 * @param unitsPerSecond that it asks for
 */
record LoadedCustomer(QuotaMessage.CustomerKey named, QuotaTerms terms, double unitsPerSecond) {
    /** The plans: a quota alone, a quota and a ceiling, a ceiling alone. */
    static final List<QuotaTerms> PLANS = List.of(Workload.MIDDLE, Workload.CAPPED, Workload.ONLY_CAPPED);

    /** Gateways that a customer's requests come through. */
    static final int SPREAD = 3;

    private static final double START_MS = 1000;
    private static final double DEADLINE_MS = 1000;
    private static final double BEAT_MS = 20;
    private static final int MOST = 1000; // customers

    /**
     * As many as it takes to ask for so many units a second, of each plan in turn.
     *
     * @param processes the gateways that are real; sets of three in a row, that all of them have a part in
     * @param demands times the rate, of each plan's customers in turn
     */
    static List<LoadedCustomer> upTo(double unitsPerSecond, int processes, List<Double> demands) {
        List<LoadedCustomer> customers = new ArrayList<>();
        int sets = (processes + SPREAD - 1) / SPREAD;
        double sum = 0;
        for (int i = 0; sum < unitsPerSecond; i++) {
            int plan = i % PLANS.size();
            QuotaTerms terms = PLANS.get(plan);
            double rate = terms.rate() > 0 ? terms.rate() : terms.ceilingRate();
            double demand = rate * demands.get(i / PLANS.size() % demands.size());
            int first = Math.min(i % sets * SPREAD, processes - SPREAD);
            customers.add(new LoadedCustomer(new QuotaMessage.CustomerKey(i + 1L, plan, first, SPREAD), terms, demand));
            sum += demand;
        }
        return customers;
    }

    boolean hasQuota() {
        return terms.rate() > 0;
    }

    boolean hasCeiling() {
        return terms.ceilingRate() > 0;
    }

    boolean comesThrough(int gateway) {
        return gateway >= named.first() && gateway < named.first() + named.spread();
    }

    /**
     * The gateway that keeps this customer's book, found by whom the program's quota code asks first; only for one with a
     * quota.
     *
     * @param gateways of the tier, as the settings say
     */
    int keeper(int gateways, double mailPerSecond) {
        int asker = Math.floorMod(named.first() + named.spread(), gateways); // outside the set
        List<Integer> keepers = new ArrayList<>();
        QuotaCoordinator.Config config =
                new QuotaCoordinator.Config(asker, gateways, mailPerSecond, Workload.MAX_UNITS, MOST, PLANS);
        QuotaCoordinator quotas =
                new QuotaCoordinator(START_MS, config, 1, new Random(1), new QuotaCoordinator.Callbacks() {
                    @Override
                    public void sendToPeer(int peer, byte[] data) {
                        if (QuotaMessage.decode(data).items().stream().anyMatch(QuotaMessage.Query.class::isInstance)) {
                            keepers.add(peer);
                        }
                    }

                    @Override
                    public void onDecision(double now, String id, QuotaCoordinator.Decision decision) {
                        throw new IllegalStateException("decided outside the customer's set, without its keeper");
                    }
                });
        quotas.requestAdmission(START_MS, "first", named, 1, START_MS + DEADLINE_MS);
        quotas.tick(START_MS + BEAT_MS);
        return keepers.get(0);
    }
}
