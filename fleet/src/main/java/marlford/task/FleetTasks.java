package marlford.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Member;

/** The kinds of fleet tasks. Not thread-safe; times in milliseconds of one monotonic clock. */
public final class FleetTasks {
    private static final int NONE = -1;

    private FleetTasks() {}

    /** Run repeatedly by one or a few holders of a lease. */
    public static final class Single implements FleetTask {
        private final String name;
        private final int holders;
        private final double everyMs;
        private final double takesMs;
        private double nextAt;
        private boolean running;

        /** @param holders the number of concurrent holders */
        public Single(String name, int holders, double everyMs, double takesMs) {
            this.name = name;
            this.holders = holders;
            this.everyMs = everyMs;
            this.takesMs = takesMs;
        }

        @Override
        public void begin(Member member) {
            member.want(name, holders);
        }

        @Override
        public List<TaskRun> due(Member member, double now, double lateMs, long wallMs) {
            long token = member.token(name);
            if (running || now < nextAt || !member.mayAct(token, now, lateMs, takesMs)) {
                return List.of();
            }
            running = true;
            nextAt = now + everyMs;
            return List.of(new TaskRun(name, NONE, NONE, token, takesMs));
        }

        @Override
        public void ended(Member member, TaskRun act) {
            running = false;
        }
    }

    /** Run repeatedly for each shard of a pool, by the shard's owner. */
    public static final class Sharded implements FleetTask {
        private final String name;
        private final int shards;
        private final double everyMs;
        private final double takesMs;
        private final Map<Integer, Double> nextAt = new HashMap<>();
        private final Set<Integer> running = new HashSet<>();

        public Sharded(String name, int shards, double everyMs, double takesMs) {
            this.name = name;
            this.shards = shards;
            this.everyMs = everyMs;
            this.takesMs = takesMs;
        }

        @Override
        public void begin(Member member) {
            member.join(name, shards);
        }

        @Override
        public List<TaskRun> due(Member member, double now, double lateMs, long wallMs) {
            List<TaskRun> acts = new ArrayList<>();
            for (LeaseStateMachine.Holding h : member.holdings()) {
                if (!h.name().equals(name) || h.shard() < 0 || running.contains(h.shard())) {
                    continue;
                }
                if (h.wanted()) {
                    member.giveUp(h); // no run of it is under way
                } else if (now >= nextAt.getOrDefault(h.shard(), 0.0)
                        && member.mayAct(h.token(), now, lateMs, takesMs)) {
                    running.add(h.shard());
                    nextAt.put(h.shard(), now + everyMs);
                    acts.add(new TaskRun(name, h.shard(), NONE, h.token(), takesMs));
                }
            }
            return acts;
        }

        @Override
        public void ended(Member member, TaskRun act) {
            running.remove(act.shard());
        }
    }

    /** Run at most once in each interval of the day, by the member that claims the tick first. */
    public static final class Periodic implements FleetTask {
        private final String name;
        private final long everyMs;
        private final double takesMs;
        private long claimed = NONE;
        private boolean running;

        public Periodic(String name, long everyMs, double takesMs) {
            this.name = name;
            this.everyMs = everyMs;
            this.takesMs = takesMs;
        }

        @Override
        public void begin(Member member) {}

        @Override
        public List<TaskRun> due(Member member, double now, double lateMs, long wallMs) {
            long tick = wallMs / everyMs;
            long token = claimed < 0 ? 0 : member.ticked(name, claimed);
            if (token != 0 && !running) {
                running = true;
                return List.of(new TaskRun(name, NONE, claimed, token, takesMs));
            }
            if (member.session() != 0 && tick > claimed) {
                claimed = tick;
                member.claim(name, tick);
            }
            return List.of();
        }

        @Override
        public void ended(Member member, TaskRun act) {
            running = false;
        }
    }
}
