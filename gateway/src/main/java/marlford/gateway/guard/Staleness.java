package marlford.gateway.guard;

import marlford.gateway.EngineApi.Outcome;

/**
 * Why an attempt that was decided is not written: what has changed until its first byte could be written, which may be seconds after the
 * decision where a connection comes up late. The names appear in the log in lower case.
 */
public enum Staleness {
    /** The request has its final answer, or its client has disconnected. */
    ANSWERED(Outcome.MOOT),
    /** The process is ending and sends no further attempts. */
    SENDING_STOPPED(Outcome.MOOT),
    /** The request's deadline has passed. */
    DEADLINE_PASSED(Outcome.CONNECT_FAILED),
    /** The drain grace of the host is over. */
    HOST_DRAINED(Outcome.CONNECT_FAILED),
    /** An earlier attempt may have run, and the host does not, or no longer, recognize its repeat. */
    REPEAT_FORBIDDEN(Outcome.MOOT),
    /** An earlier attempt may have run, and another process may have come up at the address of the host. */
    HOST_UNCERTAIN(Outcome.UNSENT),
    /** The host is cold, and the decision was for an earlier part of its slow start. */
    COLD_HOST_DELAYED(Outcome.UNSENT),
    /** A request with the same id was sent before, by this process or by the other one of an upgrade. */
    ID_SENT_BEFORE(Outcome.MOOT);

    private final Outcome outcome;

    Staleness(Outcome outcome) {
        this.outcome = outcome;
    }

    /** Returns the outcome of the attempt, which in each case has not run. */
    public Outcome outcome() {
        return outcome;
    }
}
