package marlford.task;

import java.util.List;
import marlford.lease.Member;

/**
 * A fleet-wide task as one member sees it: which leases it requests and which runs may begin. A run begins only under
 * a fencing token of this member, while its session stays valid for the whole run.
 */
public sealed interface FleetTask permits FleetTasks.Single, FleetTasks.Sharded, FleetTasks.Periodic {
    /** Requests its leases; called once. */
    void begin(Member member);

    /**
     * The runs that begin now; {@link #ended} is called for each.
     *
     * @param lateMs the delay of the calling thread
     * @param wallMs the time of day in milliseconds since 1970, which numbers ticks
     */
    List<TaskRun> due(Member member, double now, double lateMs, long wallMs);

    /** A run is over, successful or not. */
    void ended(Member member, TaskRun act);
}
