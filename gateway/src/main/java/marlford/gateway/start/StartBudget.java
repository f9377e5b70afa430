package marlford.gateway.start;

import java.util.function.LongSupplier;

/**
 * One deadline for everything that a start waits for, counted from the start of the process itself. The platform gives a
 * process that is started beside the running one {@value #PLATFORM_MS} ms to report that it serves; half of that is
 * reserved for a machine that is half as fast. A step that may be skipped (the warm-up) ends as soon as the rest of the
 * start would no longer fit into the other half. A step that can't be skipped (the handover) may use the reserve, and ends
 * with it.
 *
 * <p>This class only computes limits: it never waits, and the caller provides the process's age.
 */
public final class StartBudget {
    /** The platform's time limit for the start of a process beside the running one. */
    public static final long PLATFORM_MS = 6000;
    /** Target for the end of such a start. */
    public static final long READY_MS = PLATFORM_MS / 2;
    /**
     * Target for the end of a first start, or of a restart whose peers send nothing. A restart has 10 s, and discovery's first
     * answer, a long list that is read just then, and a clock that is slow come on top of this target.
     */
    static final long ALONE_READY_MS = 8000;
    /** Part of the platform's limit that is reserved for its health check to be sent and answered. */
    static final long HEALTH_CHECK_RESERVE_MS = 500;
    /** Limit of a step that begins late and can't be skipped: an answer that is not there by then won't arrive at all. */
    static final long LATE_STEP_MS = 250;
    /**
     * Time that is reserved for the work after the warm-up, as a share of the time before it: both scale with the machine's
     * speed.
     */
    static final double AFTER_WARM_UP_SHARE = 0.4;
    private static final long LIST_AND_LISTENER_MS = 1000; // part of the platform's limit that is reserved for host list and listener

    /** What a start waits for, in order. */
    public enum Step {
        /** The running process's first answer. A separate thread gives it, so its event loop may be late. */
        PREDECESSOR_REPLY(READY_MS),
        /** Synthetic requests, while another process serves, so that the code is compiled before the first real requests. */
        WARM_UP(READY_MS),
        /** The same if no process serves: clients connect once the whole tier is ready. A tier that serves cuts it short. */
        WARM_UP_ALONE(ALONE_READY_MS),
        /** The running process releases its peer connections and ledgers. */
        LEDGERS_RELEASED(PLATFORM_MS - HEALTH_CHECK_RESERVE_MS - LIST_AND_LISTENER_MS),
        /** Discovery's first answer, for {@value #FIRST_ANSWER_MS} ms at most; without it the list cached before the start is used. */
        FIRST_DISCOVERY_ANSWER(READY_MS - LATE_STEP_MS),
        /** The running process has stopped accepting; if it does not confirm that, the new process serves beside it. */
        LISTENER_RELEASED(PLATFORM_MS - HEALTH_CHECK_RESERVE_MS);

        private final long deadlineMs; // since the process began

        Step(long deadlineMs) {
            this.deadlineMs = deadlineMs;
        }
    }

    private static final long FIRST_ANSWER_MS = 500; // discovery answers at once, or is unreachable

    private final LongSupplier age;

    /** @param age milliseconds since the process began; called on the thread that requests a limit */
    public StartBudget(LongSupplier age) {
        this.age = age;
    }

    /** The budget of this process. */
    public static StartBudget ofThisProcess() {
        return new StartBudget(ProcessStartTime.ofThisProcess()::ageMs);
    }

    /** How long the start may wait for this step, which begins now, in milliseconds; 0 if it is to be skipped. */
    public long limitMs(Step step) {
        long now = age.getAsLong();
        long left = step.deadlineMs - now;
        return switch (step) {
            case WARM_UP, WARM_UP_ALONE -> Math.max(0, left - (long) (AFTER_WARM_UP_SHARE * now));
            case FIRST_DISCOVERY_ANSWER -> Math.min(FIRST_ANSWER_MS, Math.max(LATE_STEP_MS, left));
            default -> Math.max(LATE_STEP_MS, left);
        };
    }

    /**
     * How long from now, in milliseconds, a gateway without any host list may report that it is not healthy.
     *
     * @param alone whether no other process serves; the platform then waits longer
     */
    public long maxUnhealthyMs(boolean alone) {
        return Math.max(LATE_STEP_MS, (alone ? ALONE_READY_MS : PLATFORM_MS - HEALTH_CHECK_RESERVE_MS) - age.getAsLong());
    }

    /** Milliseconds since the process began. */
    public long ageMs() {
        return age.getAsLong();
    }
}
