package marlford.storm.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import marlford.gateway.quota.QuotaCoordinator;
import marlford.gateway.quota.QuotaMessage;
import marlford.gateway.quota.QuotaTerms;
import marlford.storm.scale.PartTimer.Part;

/**
 * A gateway without clients' sockets: the program's own quotas, told of requests by whoever drives
 * it, in virtual time or
 * on an event loop. Not thread-safe; it belongs to its driver's thread.
 */
final class HollowGateway {
    /** How often {@link #beat} is due, in milliseconds. */
    static final double BEAT_MS = 20;

    private static final double DEADLINE_MS = 1000; // by when a request has to be decided
    private static final int CUSTOMERS_MAX = 20_000; // as the decision module has it

    /** A request as its driver has it. */
    record Request(Customer customer, double units, double askedAt) {}

    /** What a gateway does to its surroundings. */
    interface Surroundings {
        /** @param peer the receiver's number, or below 0 for all others */
        void send(int from, int peer, byte[] data);

        void decided(double now, int gateway, Request request, QuotaCoordinator.Decision decision);
    }

    private final int number;
    private final QuotaCoordinator quotas;
    private final PartTimer timer;
    private final Map<String, Request> open = new HashMap<>();
    private final BitSet customersSeen = new BitSet();
    private final BitSet peersHeard = new BitSet();
    private long asked;

    HollowGateway(
            double now,
            int number,
            int gateways,
            double intakePerSecond,
            List<QuotaTerms> plans,
            long seed,
            PartTimer timer,
            Surroundings surroundings) {
        this.number = number;
        this.timer = timer;
        QuotaCoordinator.Config config = new QuotaCoordinator.Config(
                number, gateways, intakePerSecond, Workload.MAX_UNITS, CUSTOMERS_MAX, plans);
        int life = (int) (long) now;
        quotas = new QuotaCoordinator(now, config, life, new Random(seed), new QuotaCoordinator.Callbacks() {
            @Override
            public void sendToPeer(int peer, byte[] data) {
                surroundings.send(number, peer, data);
            }

            @Override
            public void onDecision(double at, String id, QuotaCoordinator.Decision decision) {
                Request request = open.remove(id);
                if (request == null) {
                    throw new IllegalStateException("request " + id + " was decided twice, or never asked");
                }
                surroundings.decided(at, number, request, decision);
            }
        });
    }

    void request(double now, Customer customer, double units) {
        String id = Long.toString(asked++, Character.MAX_RADIX);
        open.put(id, new Request(customer, units, now));
        customersSeen.set(customer.index);
        timer.time(Part.DECISION, () -> quotas.requestAdmission(now, id, customer.named, units, now + DEADLINE_MS));
    }

    /** @throws IllegalStateException where a message of this version can't be read */
    void receive(double now, int from, byte[] data) {
        peersHeard.set(from);
        timer.time(Part.MESSAGES, () -> {
            QuotaMessage message = QuotaMessage.decode(data);
            if (message == null) {
                throw new IllegalStateException("gateway " + number + " can't read a message of gateway " + from);
            }
            quotas.onMessage(now, from, message);
        });
    }

    void beat(double now) {
        timer.time(Part.BEAT, () -> quotas.tick(now));
    }

    /** An orderly end is near. */
    void leave(double now) {
        quotas.prepareShutdown(now);
    }

    /** Requests whose decision is out. */
    int openRequests() {
        return open.size();
    }

    int customersSeen() {
        return customersSeen.cardinality();
    }

    int peersHeard() {
        return peersHeard.cardinality();
    }

    /** The quota code's own counters since they were last taken, by name. */
    Map<String, Long> takeCounters() {
        Map<String, Long> counters = new HashMap<>();
        for (String pair : quotas.takeActivityCounts().trim().split("\\s+")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                counters.put(pair.substring(0, equals), (long) Double.parseDouble(pair.substring(equals + 1)));
            }
        }
        return counters;
    }
}
