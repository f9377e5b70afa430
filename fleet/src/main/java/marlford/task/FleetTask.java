package marlford.task;

import java.util.List;
import marlford.lease.Member;

/**
 * A fleet-wide task as one member sees it: what it asks of the fleet, and which acts may begin. An act begins only under a
 * token that this member has, while its session is good for the whole of the act.
 */
public sealed interface FleetTask permits FleetTasks.Single, FleetTasks.Sharded, FleetTasks.Periodic {
    /** What is wished of the fleet; once, at the start. */
    void begin(Member member);

    /**
     * The acts that begin now; each is {@link #ended} later.
     *
     * @param lateMs how late the caller's loop is
     * @param wallMs the time of day, in milliseconds since 1970, by which ticks are numbered
     */
    List<TaskRun> due(Member member, double now, double lateMs, long wallMs);

    /** An act is over, well or not. */
    void ended(Member member, TaskRun act);
}
