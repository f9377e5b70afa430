package marlford.storm;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a history of a lease can have happened one step after the other, each between its call and its return: the search
 * of Wing and Gong, which remembers the states that led nowhere. A grant is in order where nobody holds the lease and its
 * token is greater than all before; what gives it back may happen at any time after its call, or never.
 */
final class Linear {
    /**
     * One call.
     *
     * @param grant whether it got the lease; else it gave it back
     * @param token which grant it is about
     * @param call when it was made, and {@code back} when its answer was there, or {@link Long#MAX_VALUE} for never
     */
    record Op(boolean grant, long token, long call, long back) {}

    private record State(BitSet done, long holder, long greatest) {}

    private Linear() {}

    /** Whether there is an order. */
    static boolean holds(List<Op> history) {
        List<Op> ops = new ArrayList<>(history);
        ops.sort(Comparator.comparingLong(Op::call));
        Deque<State> open = new ArrayDeque<>();
        Set<State> seen = new HashSet<>();
        open.push(new State(new BitSet(), 0, 0));
        while (!open.isEmpty()) {
            State s = open.pop();
            long soonest = Long.MAX_VALUE; // whatever was answered first has to come before all that was called later
            for (int i = s.done().nextClearBit(0); i < ops.size(); i = s.done().nextClearBit(i + 1)) {
                soonest = Math.min(soonest, ops.get(i).back());
            }
            if (soonest == Long.MAX_VALUE) {
                return true; // what is left was never answered
            }
            for (int i = s.done().nextClearBit(0); i < ops.size(); i = s.done().nextClearBit(i + 1)) {
                Op op = ops.get(i);
                if (op.call() > soonest) {
                    break;
                }
                boolean inOrder = op.grant() ? s.holder() == 0 && op.token() > s.greatest() : s.holder() == op.token();
                if (inOrder) {
                    BitSet done = (BitSet) s.done().clone();
                    done.set(i);
                    State next = new State(done, op.grant() ? op.token() : 0, Math.max(s.greatest(), op.token()));
                    if (seen.add(next)) {
                        open.push(next);
                    }
                }
            }
        }
        return false;
    }
}
