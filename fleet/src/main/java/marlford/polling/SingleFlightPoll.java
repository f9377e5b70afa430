package marlford.polling;

import marlford.board.Board;
import marlford.board.Row;
import marlford.lease.Member;

/**
 * One caller for a whole list of an agent that was away. Whoever has the agent's lease calls; what comes of it stands on the
 * board, and the others take it from there. A call that fails passes the turn on, so an agent that is away is asked by one
 * gateway after another, and whoever reaches it first tells all.
 *
 * <p><b>Nobody waits long.</b> A gateway calls without a turn at once where it has no session that is good; after
 * {@value #PATIENCE_MS} ms in which nobody said anything of the agent; and {@value #LONGEST_MS} ms after its call was due,
 * whatever others say: they may be cut off from the agent, and it may not. A second caller does no harm: the turn saves an
 * agent work, and nothing depends on it.
 *
 * <p>A list is taken if it was told at most {@value #FRESH_MS} ms ago. Whoever takes it goes on with a call for what has
 * changed since, so that nothing that came in between is missed. One agent at a time: a gateway has one. Milliseconds by one
 * monotonic clock. Not thread-safe.
 */
public final class SingleFlightPoll {
    static final double PATIENCE_MS = 2000;
    static final double LONGEST_MS = 10_000;
    static final double FRESH_MS = 3000;
    private static final double CALL_MS = 200; // that have to be left of a session for a call
    private static final String TOPIC = "list";
    private static final String AWAY =
            "away"; // another topic: who is cut off must not write over what another was told
    private static final String BACK = "back"; // it told what had changed: each one's own call costs it little

    /** What is to be done. */
    public enum Step {
        WAIT,
        CALL,
        TAKE
    }

    /** The step, and the list to be taken. */
    public record Decision(Step step, Row list) {
        static final Decision WAIT = new Decision(Step.WAIT, null);
        static final Decision CALL = new Decision(Step.CALL, null);
    }

    private String agent;
    private boolean due;
    private double dueAt;
    private double awayAt; // when it was last said to be away
    private long token; // of the call that is under way or being told; 0 for none
    private boolean telling;
    private String found; // by a call without a turn, that others may wait for; told in turn
    private double foundAt;
    private long calls;
    private long inTurn;
    private long taken;

    /** A call to this agent is due. */
    public void due(Member member, String of, double now) {
        if (agent != null && !agent.equals(of)) {
            member.release(lease());
            token = 0;
            telling = false;
            found = null;
        }
        agent = of;
        due = true;
        dueAt = now;
        awayAt = Double.NEGATIVE_INFINITY;
    }

    private String lease() {
        return "list-of " + agent;
    }

    /** What is to be done now; {@link Step#WAIT} also where nothing is due. */
    public Decision decide(Member member, double now, double lateMs) {
        if (telling && (member.board().isTold(token) || !member.mayAct(token, now, 0, 0))) {
            telling = false;
            token = 0;
            member.release(lease());
        }
        if (found != null && !telling) {
            tellInTurn(member, now);
        }
        if (!due || telling) {
            return Decision.WAIT;
        }
        if (member.leftMs(now) <= 0) {
            return call(member, 0);
        }
        Row said = told(member, now);
        Row away = member.board().row(AWAY, agent, now);
        if (away != null) {
            awayAt = Math.max(awayAt, now - away.ageMs());
        }
        if (said != null) {
            if (said.value().equals(BACK)) {
                return call(member, 0);
            }
            due = false;
            taken++;
            member.release(lease());
            return new Decision(Step.TAKE, said);
        }
        member.want(lease(), 1);
        long had = member.token(lease());
        if (member.mayAct(had, now, lateMs, CALL_MS)) {
            inTurn++;
            return call(member, had);
        }
        return now > Math.min(Math.max(dueAt, awayAt) + PATIENCE_MS, dueAt + LONGEST_MS)
                ? call(member, 0)
                : Decision.WAIT;
    }

    /** What the agent told somebody lately; null for nothing. */
    private Row told(Member member, double now) {
        Row said = member.board().row(TOPIC, agent, now);
        return said != null && said.ageMs() <= FRESH_MS ? said : null;
    }

    /** What was found without a turn is told once this gateway has it, unless somebody was faster or it is old by then. */
    private void tellInTurn(Member member, double now) {
        if (now - foundAt > FRESH_MS || told(member, now) != null) {
            found = null;
            member.release(lease());
            return;
        }
        member.want(lease(), 1);
        if (member.mayAct(member.token(lease()), now, 0, 0)) {
            token = member.token(lease());
            tell(member, TOPIC, found, foundAt);
        }
    }

    private void tell(Member member, String topic, String value, double at) {
        telling = true;
        found = null;
        member.board().tell(topic, agent, token, value, at, true);
    }

    private Decision call(Member member, long under) {
        due = false;
        token = under;
        calls++;
        if (under == 0) {
            member.release(lease());
        }
        return Decision.CALL;
    }

    /**
     * What came of the call.
     *
     * @param whole the list; null where the agent told what had changed
     * @param calledAt when it was made, at the latest
     */
    public void called(Member member, boolean answered, String whole, double calledAt) {
        String value = whole != null && whole.length() <= Board.VALUE_MAX ? whole : BACK;
        if (token != 0) {
            tell(member, answered ? TOPIC : AWAY, answered ? value : "", calledAt);
        } else if (answered) {
            found = value;
            foundAt = calledAt;
        }
    }

    /** For operators. */
    public String text() {
        return "lists calls=" + calls + " in_turn=" + inTurn + " taken=" + taken;
    }
}
