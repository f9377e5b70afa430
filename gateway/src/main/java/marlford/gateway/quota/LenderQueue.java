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
 * Questions for units of ceilings that wait for a message to leave, where fewer may than there are questions. Any gateway
 * with a share will do, so that the next message goes to the one that most of them can be asked of.
 *
 * <p>Bound: {@value #MOST} questions. Pure: no I/O and no clock. Not thread-safe.
 */
final class LenderQueue {
    private static final int MOST = 512;
    private static final int BATCH = 15; // questions that fit one message, beside another item

    /** Questions to ask of one gateway. */
    record Batch(int peer, List<PendingAdmission> questions) { }

    private final Set<PendingAdmission> waiting = new LinkedHashSet<>();

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** False where there is no room. */
    boolean add(PendingAdmission question) {
        return waiting.size() < MOST && waiting.add(question);
    }

    /** Takes that request's question out; null where it does not wait here. */
    PendingAdmission remove(String id) {
        for (Iterator<PendingAdmission> it = waiting.iterator(); it.hasNext();) {
            PendingAdmission q = it.next();
            if (q.id.equals(id)) {
                it.remove();
                return q;
            }
        }
        return null;
    }

    /** Takes out those that have waited as long as they may. */
    List<PendingAdmission> expired(double now, double answerMs) {
        List<PendingAdmission> due = waiting.stream().filter(q -> q.leavesBy(answerMs) <= now).toList();
        due.forEach(waiting::remove);
        return due;
    }

    /**
     * Takes out the next to ask, the longest waiting of those that the best gateway can be asked for.
     *
     * @param usable whether a question may be asked of that gateway
     * @return null where there are none
     */
    Batch next(BiPredicate<PendingAdmission, Integer> usable) {
        Map<Integer, List<PendingAdmission>> byPeer = new TreeMap<>();
        for (PendingAdmission q : waiting) {
            for (int peer : q.customer.keepers.shares()) {
                if (usable.test(q, peer)) {
                    byPeer.computeIfAbsent(peer, p -> new ArrayList<>()).add(q);
                }
            }
        }
        Batch best = null;
        for (Map.Entry<Integer, List<PendingAdmission>> e : byPeer.entrySet()) {
            if (best == null || e.getValue().size() > best.questions.size()) {
                best = new Batch(e.getKey(), e.getValue());
            }
        }
        if (best == null) {
            return null;
        }
        List<PendingAdmission> first = best.questions.subList(0, Math.min(BATCH, best.questions.size()));
        waiting.removeAll(Set.copyOf(first));
        return new Batch(best.peer, first);
    }
}
