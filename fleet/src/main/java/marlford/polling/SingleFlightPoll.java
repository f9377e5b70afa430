package marlford.polling;

import marlford.board.Board;
import marlford.board.Row;
import marlford.lease.Member;

/**
 * Lets one gateway poll a discovery agent that was away on behalf of all. The holder of the agent's lease polls and
 * publishes the list on the board; the others take it from there. A failed poll passes the lease on, so gateways try
 * one after another, and the first that reaches the agent publishes for all.
 *
 * <p>Waiting is bounded. A gateway polls on its own at once if it has no valid session, after {@value #PATIENCE_MS}
 * ms without any report about the agent, and {@value #LONGEST_MS} ms after its poll was due in any case, since the
 * others may be cut off from the agent while it is not. Duplicate polls are harmless: the lease saves load and
 * nothing depends on it.
 *
 * <p>A published list is used if it is at most {@value #FRESH_MS} ms old; the gateway then polls for later changes,
 * so nothing is missed. One agent at a time. Times in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class SingleFlightPoll {
    static final double PATIENCE_MS = 2000;
    static final double LONGEST_MS = 10_000;
    static final double FRESH_MS = 3000;
    private static final double CALL_MS = 200; // of validity required for a poll
    private static final String TOPIC = "list";
    private static final String AWAY =
            "away"; // a topic of its own, so that a gateway that is cut off does not overwrite a published list
    private static final String BACK = "back"; // the agent knows what has changed: everybody's own poll is cheap

    /** The next steps. */
    public enum Step {
        WAIT,
        CALL,
        TAKE
    }

    /** The step, and the published list if it is to be used. */
    public record Decision(Step step, Row list) {
        static final Decision WAIT = new Decision(Step.WAIT, null);
        static final Decision CALL = new Decision(Step.CALL, null);
    }

    private String agent;
    private boolean due;
    private double dueAt;
    private double awayAt; // when it was last reported to be away
    private long token; // of the poll under way or being published; 0 for none
    private boolean telling;
    private String found; // by a poll without the lease; published once the lease is held
    private double foundAt;
    private long calls;
    private long inTurn;
    private long taken;

    /** A poll of this agent is due. */
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

    /** The next step; {@link Step#WAIT} also if no poll is due. */
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

    /** A recently published list; null for none. */
    private Row told(Member member, double now) {
        Row said = member.board().row(TOPIC, agent, now);
        return said != null && said.ageMs() <= FRESH_MS ? said : null;
    }

    /** Publishes the result of a poll without the lease once the lease is held, unless another is published or it is too old. */
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
     * Records the result of a poll.
     *
     * @param whole the complete list; null if the agent returned changes only
     * @param calledAt when the poll was sent
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

    /** One line for the operators' page. */
    public String text() {
        return "lists calls=" + calls + " in_turn=" + inTurn + " taken=" + taken;
    }
}
