package marlford.gateway.start;

import java.util.function.LongSupplier;

/**
 * One deadline for all that a start waits for, counted from the process's own birth. The platform gives a process that
 * is started beside the running one {@value #PLATFORM_MS} ms until it must say that it serves; half of that is kept for
 * a machine half as fast. What may be left out (warming up) ends where the rest of the start would not fit into the
 * other half any more; what can't be left out (the steps of the hand-over) may use the reserve, and ends with it.
 *
 * <p>It waits for nothing itself and has no clock: the age is the caller's.
 */
public final class StartBudget {
    /** The platform's own limit for a process that is started beside the running one. */
    public static final long PLATFORM_MS = 6000;
    /** When a start wants to be over. */
    public static final long READY_MS = PLATFORM_MS / 2;
    /**
     * When a first start, or a return whose peers say nothing, wants to be over: a return has 10 s, and discovery's first word,
     * a long list that is read just then, and a clock that is slow come on top of it.
     */
    static final long ALONE_MS = 8000;
    /** Kept of the platform's time for the yes to be asked for and heard. */
    static final long HEARD_MS = 500;
    /** For a step that begins late and can't be left out: its answer is there by then, or never comes. */
    static final long LAST_MS = 250;
    /**
     * Work that follows the warm-up, as a share of what went before it: both shrink and grow with the machine's speed.
     */
    static final double REST_SHARE = 0.4;
    private static final long LISTENING_MS = 1000; // kept of the platform's time for list and listener

    /** What a start waits for, in its order. */
    public enum Step {
        /** The running process's first answer. A thread of its own gives it, however late its loop is. */
        HELLO(READY_MS),
        /** Made-up requests, so that the code of the first real ones is compiled, while another process serves. */
        WARM_UP(READY_MS),
        /** The same where nobody serves: clients come once the whole tier is ready. A tier that serves cuts it short. */
        WARM_UP_ALONE(ALONE_MS),
        /** The running process lets go of peers and books. */
        TAKEN(PLATFORM_MS - HEARD_MS - LISTENING_MS),
        /** Discovery's first word, at most {@value #WORD_MS} ms; without it the list of before the start serves. */
        WORD(READY_MS - LAST_MS),
        /** The running process accepts nobody any more; without its word the new one serves beside it. */
        LEFT(PLATFORM_MS - HEARD_MS);

        private final long byMs; // of the process's life

        Step(long byMs) {
            this.byMs = byMs;
        }
    }

    private static final long WORD_MS = 500; // discovery answers at once, or is away

    private final LongSupplier age;

    /** @param age milliseconds since the process began; called on the thread that asks for a limit */
    public StartBudget(LongSupplier age) {
        this.age = age;
    }

    /** That of this process. */
    public static StartBudget ofThisProcess() {
        return new StartBudget(ProcessStartTime.ofThisProcess()::ageMs);
    }

    /** How long the start may wait for this step that begins now, in milliseconds; 0 where it is to be left out. */
    public long limitMs(Step step) {
        long now = age.getAsLong();
        long left = step.byMs - now;
        return switch (step) {
            case WARM_UP, WARM_UP_ALONE -> Math.max(0, left - (long) (REST_SHARE * now));
            case WORD -> Math.min(WORD_MS, Math.max(LAST_MS, left));
            default -> Math.max(LAST_MS, left);
        };
    }

    /**
     * For how long, in milliseconds from now on, a gateway without any list of hosts may say that it is not healthy.
     *
     * @param alone whether nobody else serves: then the platform waits longer
     */
    public long unhealthyMs(boolean alone) {
        return Math.max(LAST_MS, (alone ? ALONE_MS : PLATFORM_MS - HEARD_MS) - age.getAsLong());
    }

    /** Milliseconds since the process began. */
    public long ageMs() {
        return age.getAsLong();
    }
}
