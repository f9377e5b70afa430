package marlford.gateway.start;

import java.util.function.LongSupplier;

/**
 * The time limits of the steps of a start. All of them count from the start of the process, so that time lost in one step
 * shortens the later ones. The platform gives a process that is started beside the running one {@value #PLATFORM_MS} ms to
 * report that it serves. The target is {@value #READY_MS} ms, half of that, so that a machine of half the speed still meets
 * the limit. The warm-up, which may be skipped, ends early enough for the rest of the start to be done by the target. The
 * steps of the handover can't be skipped and may run until shortly before the platform's limit.
 *
 * <p>This class only computes limits: it never waits, and the caller provides the process's age.
 */
public final class StartBudget {
    /** The platform's time limit for the start of a process beside the running one. */
    public static final long PLATFORM_MS = 6000;
    /** Target for the end of such a start. */
    public static final long READY_MS = PLATFORM_MS / 2;
    /**
     * Target for the end of a start that replaces no running process. The platform allows 10 s for a restart. The other 2 s
     * are for discovery's first answer, for reading a long list at that moment, and for a clock that runs slow.
     */
    static final long ALONE_READY_MS = 8000;
    /** Part of the platform's limit that is reserved for its health check to be sent and answered. */
    static final long HEALTH_CHECK_RESERVE_MS = 500;
    /** Limit of a step that can't be skipped and begins late: an answer that takes longer than this won't arrive at all. */
    static final long LATE_STEP_MS = 250;
    /**
     * Time that is reserved for the work after the warm-up, as a share of the time before it: both scale with the machine's
     * speed.
     */
    static final double AFTER_WARM_UP_SHARE = 0.4;
    private static final long LIST_AND_LISTENER_MS = 1000; // part of the platform's limit that is reserved for host list and listener

    /** What a start waits for, in order. */
    public enum Step {
        /** The running process's first answer. A separate thread sends it, so a late event loop does not delay it. */
        PREDECESSOR_REPLY(READY_MS),
        /** Synthetic requests, while another process serves, so that the code is compiled before the first real requests. */
        WARM_UP(READY_MS),
        /**
         * The same if no process is being replaced. When the whole tier starts, clients connect only once all of it is ready, so
         * there is more time. The warm-up ends early if messages from other gateways arrive, which then serve already.
         */
        WARM_UP_ALONE(ALONE_READY_MS),
        /** The running process releases its peer connections and ledgers. */
        LEDGERS_RELEASED(PLATFORM_MS - HEALTH_CHECK_RESERVE_MS - LIST_AND_LISTENER_MS),
        /** Discovery's first answer, for {@value #FIRST_ANSWER_MS} ms at most; without it the list in the configuration is used. */
        FIRST_DISCOVERY_ANSWER(READY_MS - LATE_STEP_MS),
        /** The running process confirms that it has stopped accepting; without that, the new process serves beside it. */
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
