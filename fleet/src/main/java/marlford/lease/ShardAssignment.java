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
 * The pieces of a pool and whose they are. A free piece goes to the member with the fewest; where one member has two more
 * than another, a piece of his is <em>wanted</em> and passes on when he gives it up, or at his end. So a member that goes
 * moves his own pieces alone, and one that comes moves no more than his even share.
 */
final class ShardAssignment {
    private static final long NOBODY = 0;

    private final List<Long> members = new ArrayList<>(); // as they joined
    private final long[] owners;
    private final long[] tokens;
    private final long[] next; // to whom a piece passes when it is given up

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

    /** Whether that changed anything: an old token does not, nor giving up what nobody wants. */
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

    /** Gives out what is free and marks what is to move; returns those whose holdings changed. */
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
            next[shard] = owners[shard] != to ? to : NOBODY; // or it need not move after all
            due.merge(from, -1, Integer::sum);
            due.merge(to, 1, Integer::sum);
            changed.add(owners[shard]);
        }
        return changed;
    }

    /** The piece of a member that moves next: rather one that was only to come to him, else the last of his own. */
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

    /** How many pieces each member will have when all that is to move has. */
    private Map<Long, Integer> due() {
        Map<Long, Integer> due = new HashMap<>();
        members.forEach(m -> due.put(m, 0));
        for (int i = 0; i < owners.length; i++) {
            due.computeIfPresent(next[i] != NOBODY ? next[i] : owners[i], (m, n) -> n + 1);
        }
        return due;
    }

    /** Of equals the one that joined first. */
    private long fewest(Map<Long, Integer> due) {
        return members.stream().min(Comparator.comparing(due::get)).orElseThrow();
    }

    private long most(Map<Long, Integer> due) {
        return members.stream().max(Comparator.comparing(due::get)).orElseThrow();
    }
}
