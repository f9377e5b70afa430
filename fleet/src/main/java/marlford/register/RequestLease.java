package marlford.register;

/**
 * A gateway's part in one order: when it may send it, when it may answer, and with what. Whatever happens around it, its client
 * is told an end only after that end was agreed, and nothing leaves for a host before the order's entry was, or after the
 * owner's time is up.
 *
 * <p>Whoever drives it carries {@link #due} to the log until it is answered, and asks the register about the order while it
 * {@link State#WAITING waits}. Not thread-safe.
 */
public final class RequestLease {
    /** Where it stands. */
    public enum State {
        /** Its entry is proposed; nothing has left. */
        ENTERING,
        /** It is this gateway's to send. */
        OWNED,
        /** Hosts of another group are to have it, which is proposed; nothing leaves meanwhile. */
        MOVING,
        /** Its end is proposed; nobody has been told. */
        ENDING,
        /** Somebody else sees to it: its end is to be waited for. */
        WAITING,
        /** It ended, and this is what whoever asks is told. */
        OVER,
        /** It never ran, and trying again does no harm. */
        REFUSED,
        /** Under its key there is another order. */
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
     * A client's order, to be sent to a host of this group first.
     *
     * @param ask drawn for it; no other of this session has the same
     */
    public RequestLease(KeyedRequest order, String group, long ask) {
        this.order = order;
        this.group = group;
        this.ask = ask;
    }

    /** An order that was taken over. */
    public RequestLease(RegisterEntry taken) {
        this(taken.order(), taken.group(), taken.ask());
        state = State.OWNED;
        token = taken.token();
        sent = true; // by its former owner, as far as anybody can know
    }

    public State state() {
        return state;
    }

    /** What it is about. */
    public KeyedRequest order() {
        return order;
    }

    /** The hosts that may have it. */
    public String group() {
        return group;
    }

    /** The line to be proposed now; null for none. */
    public RegisterCommand due() {
        return switch (state) {
            case ENTERING -> new RegisterCommand.Enter(order, group, ask);
            case MOVING -> new RegisterCommand.Move(order.key(), token, group);
            case ENDING -> new RegisterCommand.End(order.key(), token, outcome);
            default -> null;
        };
    }

    /** A line was answered; one that is no longer due changes nothing. */
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

    /** What the register has of a waiting order ({@link RequestRegister#look}). */
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
     * An attempt begins, if it may.
     *
     * @param good whether the session lasts for as long as it takes until its bytes have left, which its caller has looked at just now
     */
    public boolean sends(boolean good) {
        boolean may = state == State.OWNED && good;
        sent |= may;
        return may;
    }

    /** All attempts so far are known not to have run, and a host of this group is to have it. */
    public void moves(String other) {
        if (state == State.OWNED && !other.equals(group)) {
            group = other;
            state = State.MOVING;
        }
    }

    /** A host answered, or it is given up as unknown. */
    public void ends(Outcome how) {
        if (state == State.OWNED) {
            outcome = how;
            state = State.ENDING;
        }
    }

    /** This gateway's session has ended: somebody may have taken over since. */
    public void sessionEnded() {
        if (state == State.OWNED || state == State.ENDING || state == State.MOVING || state == State.ENTERING) {
            state = State.WAITING;
            outcome = null;
        }
    }

    /** What its client is told; null for not yet. */
    public Outcome answer() {
        return state == State.OVER ? outcome : null;
    }

    @Override
    public String toString() {
        return state + "," + order.digest() + "," + ask + "," + token + "," + group + "," + sent + "," + outcome;
    }
}
