package marlford.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Assigns the shards of a pool to its members. A free shard goes to the member with the fewest. When one member has
 * two more than another, one of its shards is marked as <em>wanted</em> and moves once it is given up, or when its
 * session ends. So a member that leaves moves only its own shards, and one that joins moves no more than its fair
 * share. Deterministic: all voters compute the same assignment. Not thread-safe.
 */
final class ShardAssignment {
    private static final long NOBODY = 0;

    private final List<Long> members = new ArrayList<>(); // in the order in which they joined
    private final long[] owners;
    private final long[] tokens;
    private final long[] next; // the owner once the present one gives it up

    ShardAssignment(int count) {
        owners = new long[count];
        tokens = new long[count];
        next = new long[count];
    }

    static ShardAssignment of(LeaseStateMachine.Pool p) {
        ShardAssignment s = new ShardAssignment(p.owners().size());
        s.members.addAll(p.members());
        for (int i = 0; i < s.owners.length; i++) {
            s.owners[i] = p.owners().get(i);
            s.tokens[i] = p.tokens().get(i);
            s.next[i] = p.next().get(i);
        }
        return s;
    }

    LeaseStateMachine.Pool toPool(String name) {
        return new LeaseStateMachine.Pool(name, List.copyOf(members), list(owners), list(tokens), list(next));
    }

    private static List<Long> list(long[] values) {
        return Arrays.stream(values).boxed().toList();
    }

    int count() {
        return owners.length;
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    void addHoldings(long session, String pool, List<LeaseStateMachine.Holding> to) {
        for (int i = 0; i < owners.length; i++) {
            if (owners[i] == session) {
                to.add(new LeaseStateMachine.Holding(pool, i, tokens[i], next[i] != NOBODY));
            }
        }
    }

    void join(long session) {
        if (!members.contains(session)) {
            members.add(session);
        }
    }

    boolean leave(long session) {
        if (!members.remove(session)) {
            return false;
        }
        for (int i = 0; i < owners.length; i++) {
            if (owners[i] == session) {
                free(i);
            }
            if (next[i] == session) {
                next[i] = NOBODY;
            }
        }
        return true;
    }

    /** Returns whether it had an effect; it has none with an old token or if the shard is not wanted. */
    boolean giveUp(long session, int shard, long token) {
        boolean his = shard >= 0 && shard < owners.length && owners[shard] == session && tokens[shard] == token;
        if (!his || next[shard] == NOBODY) {
            return false;
        }
        long heir = next[shard];
        free(shard);
        next[shard] = heir;
        return true;
    }

    private void free(int shard) {
        owners[shard] = NOBODY;
        tokens[shard] = 0;
        next[shard] = NOBODY;
    }

    /** Assigns free shards and marks those that are to move; returns the sessions whose holdings changed. */
    Set<Long> rebalance(LongSupplier token) {
        Set<Long> changed = new TreeSet<>();
        Map<Long, Integer> due = due();
        for (int i = 0; i < owners.length; i++) {
            if (owners[i] == NOBODY) {
                long to = next[i] != NOBODY ? next[i] : fewest(due);
                if (next[i] == NOBODY) {
                    due.merge(to, 1, Integer::sum);
                }
                owners[i] = to;
                tokens[i] = token.getAsLong();
                next[i] = NOBODY;
                changed.add(to);
            }
        }
        for (long from = most(due), to = fewest(due);
                due.get(from) - due.get(to) > 1;
                from = most(due), to = fewest(due)) {
            int shard = movable(from);
            next[shard] = owners[shard] != to ? to : NOBODY; // or it stays after all
            due.merge(from, -1, Integer::sum);
            due.merge(to, 1, Integer::sum);
            changed.add(owners[shard]);
        }
        return changed;
    }

    /** The shard to move away from a member: preferably one that is still to arrive, else the last of its own. */
    private int movable(long from) {
        int best = -1;
        for (int i = 0; i < owners.length; i++) {
            if (next[i] == from) {
                return i;
            }
            if (owners[i] == from && next[i] == NOBODY) {
                best = i;
            }
        }
        return best;
    }

    /** The number of shards of each member after all pending moves. */
    private Map<Long, Integer> due() {
        Map<Long, Integer> due = new HashMap<>();
        members.forEach(m -> due.put(m, 0));
        for (int i = 0; i < owners.length; i++) {
            due.computeIfPresent(next[i] != NOBODY ? next[i] : owners[i], (m, n) -> n + 1);
        }
        return due;
    }

    /** The member with the fewest shards; of equals the one that joined first. */
    private long fewest(Map<Long, Integer> due) {
        return members.stream().min(Comparator.comparing(due::get)).orElseThrow();
    }

    private long most(Map<Long, Integer> due) {
        return members.stream().max(Comparator.comparing(due::get)).orElseThrow();
    }
}
