package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Queries for ceiling units that wait for message budget. Any gateway with a share can answer, so the next message goes to
 * the gateway that can be sent the most of the waiting queries.
 *
 * <p>Bound: {@value #MAX_QUERIES} queries. No I/O and no clock; not thread-safe.
 */
final class LenderQueue {
    private static final int MAX_QUERIES = 512;
    private static final int MAX_QUERIES_PER_MESSAGE = 15; // queries that fit into one message next to another item

    /** Queries to send to one gateway. */
    record Batch(int peer, List<PendingAdmission> queries) { }

    private final Set<PendingAdmission> waiting = new LinkedHashSet<>();

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns false if the queue is full. */
    boolean add(PendingAdmission query) {
        return waiting.size() < MAX_QUERIES && waiting.add(query);
    }

    /** Removes the query of that request; returns null if it is not in the queue. */
    PendingAdmission remove(String id) {
        for (Iterator<PendingAdmission> it = waiting.iterator(); it.hasNext();) {
            PendingAdmission query = it.next();
            if (query.id.equals(id)) {
                it.remove();
                return query;
            }
        }
        return null;
    }

    /** Removes and returns the queries that have waited as long as they may. */
    List<PendingAdmission> expired(double now, double replyTimeoutMs) {
        List<PendingAdmission> due = waiting.stream().filter(query -> query.sendDeadline(replyTimeoutMs) <= now).toList();
        due.forEach(waiting::remove);
        return due;
    }

    /**
     * Removes and returns the next batch: the longest-waiting queries for the gateway that can be sent the most of them.
     *
     * @param usable whether a query may be sent to that gateway
     * @return null if no query can be sent to any gateway
     */
    Batch next(BiPredicate<PendingAdmission, Integer> usable) {
        Map<Integer, List<PendingAdmission>> byPeer = new TreeMap<>();
        for (PendingAdmission query : waiting) {
            for (int peer : query.customer.placement.shareHolders()) {
                if (usable.test(query, peer)) {
                    byPeer.computeIfAbsent(peer, p -> new ArrayList<>()).add(query);
                }
            }
        }
        Batch best = null;
        for (Map.Entry<Integer, List<PendingAdmission>> e : byPeer.entrySet()) {
            if (best == null || e.getValue().size() > best.queries.size()) {
                best = new Batch(e.getKey(), e.getValue());
            }
        }
        if (best == null) {
            return null;
        }
        List<PendingAdmission> batch = best.queries.subList(0, Math.min(MAX_QUERIES_PER_MESSAGE, best.queries.size()));
        waiting.removeAll(Set.copyOf(batch));
        return new Batch(best.peer, batch);
    }
}
