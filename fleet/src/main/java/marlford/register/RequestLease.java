package marlford.register;

/**
 * A gateway's ownership of one keyed request: when it may be sent, when it may be answered, and with what.
 * Invariants: a client learns an outcome only after that outcome is committed, and nothing is sent to a host before
 * the register entry is committed or after the owner's lease has expired.
 *
 * <p>The driver proposes {@link #due} until it is answered, and reads the register while the state is {@link
 * State#WAITING}. Not thread-safe.
 */
public final class RequestLease {
    /** The states of a request. */
    public enum State {
        /** Its entry is proposed; nothing was sent. */
        ENTERING,
        /** This gateway owns it and may send it. */
        OWNED,
        /** A move to another group is proposed; nothing is sent meanwhile. */
        MOVING,
        /** Its outcome is proposed; nobody has been told. */
        ENDING,
        /** Another owner is responsible; its outcome is waited for. */
        WAITING,
        /** It is completed; the outcome may be told. */
        OVER,
        /** It was never executed; the client may try again. */
        REFUSED,
        /** Its key belongs to another request. */
        DIFFERS
    }

    private final KeyedRequest order;
    private final long ask;
    private String group;
    private State state = State.ENTERING;
    private long token;
    private boolean sent;
    private Outcome outcome;

    /**
     * A client's request, to be sent to a host of this group first.
     *
     * @param ask id of the client request, unique in this session
     */
    public RequestLease(KeyedRequest order, String group, long ask) {
        this.order = order;
        this.group = group;
        this.ask = ask;
    }

    /** A request that was taken over. */
    public RequestLease(RegisterEntry taken) {
        this(taken.order(), taken.group(), taken.ask());
        state = State.OWNED;
        token = taken.token();
        sent = true; // by its former owner, as far as anybody can know
    }

    public State state() {
        return state;
    }

    /** The request. */
    public KeyedRequest order() {
        return order;
    }

    /** The group of hosts that may get it. */
    public String group() {
        return group;
    }

    /** The command to be proposed now; null for none. */
    public RegisterCommand due() {
        return switch (state) {
            case ENTERING -> new RegisterCommand.Enter(order, group, ask);
            case MOVING -> new RegisterCommand.Move(order.key(), token, group);
            case ENDING -> new RegisterCommand.End(order.key(), token, outcome);
            default -> null;
        };
    }

    /** Records the result of a command; a command that is no longer due has no effect. */
    public void said(RegisterCommand line, RegisterResult s) {
        if (!line.equals(due())) {
            return;
        }
        switch (s.kind()) {
            case OWNED -> {
                state = State.OWNED;
                token = s.token();
            }
            case DONE -> state = State.OWNED; // it has moved
            case OVER -> over(s.outcome());
            case DIFFERS -> state = State.DIFFERS;
            case FULL, MALFORMED -> state = state == State.ENTERING ? State.REFUSED : State.WAITING;
            default -> state = State.WAITING;
        }
    }

    private void over(Outcome o) {
        outcome = o;
        state = State.OVER;
    }

    /** Records a lookup of a waiting request ({@link RequestRegister#look}). */
    public void looked(RegisterResult there) {
        if (state != State.WAITING) {
            return;
        }
        switch (there.kind()) {
            case OVER -> over(there.outcome());
            case DIFFERS ->
                state = State.DIFFERS; // another order was faster than this one's line, which came to nothing
            // Withdrawn, forgotten, or it never came there; who sent it can't know how it ended.
            case NOT_YOURS -> state = sent ? State.WAITING : State.REFUSED;
            default -> {}
        }
    }

    /**
     * Begins an attempt, if that is allowed.
     *
     * @param good whether the lease is valid until all bytes are sent, as checked just now
     */
    public boolean sends(boolean good) {
        boolean may = state == State.OWNED && good;
        sent |= may;
        return may;
    }

    /** Moves the request to another group, after all attempts so far are known not to have been executed. */
    public void moves(String other) {
        if (state == State.OWNED && !other.equals(group)) {
            group = other;
            state = State.MOVING;
        }
    }

    /** Proposes the outcome: a host answered, or it is given up as unknown. */
    public void ends(Outcome how) {
        if (state == State.OWNED) {
            outcome = how;
            state = State.ENDING;
        }
    }

    /** This gateway's session has ended: another may have taken the request over. */
    public void sessionEnded() {
        if (state == State.OWNED || state == State.ENDING || state == State.MOVING || state == State.ENTERING) {
            state = State.WAITING;
            outcome = null;
        }
    }

    /** The outcome for the client; null while there is none. */
    public Outcome answer() {
        return state == State.OVER ? outcome : null;
    }

    @Override
    public String toString() {
        return state + "," + order.digest() + "," + ask + "," + token + "," + group + "," + sent + "," + outcome;
    }
}
