package marlford.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides at the leader when a silent session has expired. The leader counts from the moment it <em>received</em> the
 * last renewal; a new leader counts from the start of its term. The holder counts from the moment it <em>sent</em>
 * the renewal ({@link LeaseValidity}), so the holder's time is always over first.
 *
 * <p>A renewal is not a log entry: the leader answers it once a majority has confirmed its leadership. This is safe
 * for two reasons. Once the end of a session has been proposed, no renewal of it is answered any more, because the
 * proposal may be committed at any later time. And a later leader applies all entries of earlier terms before its
 * leadership is confirmed, so it finds that end in its log.
 *
 * <p>After a pause of its own thread the leader extends all sessions by the length of the pause, since renewals may
 * be waiting unread in its sockets. Times in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class FailureDetector {
    private final double stallMs;
    private final Map<Long, Double> heard = new HashMap<>();
    private final Map<Long, Double> ending = new HashMap<>(); // when its end was last proposed
    private boolean leads;
    private double looked;

    /** @param stallMs a longer pause between two calls is a pause of the own thread */
    public FailureDetector(double stallMs) {
        this.stallMs = stallMs;
    }

    /** A term of this leader begins. */
    public void lead(double now) {
        leads = true;
        looked = now;
        heard.clear();
        ending.clear();
    }

    /** Leadership was lost. */
    public void rest() {
        leads = false;
    }

    /** Whether this process leads. */
    public boolean leads() {
        return leads;
    }

    /** A renewal was received; returns whether it may be confirmed. */
    public boolean heard(long session, double now) {
        if (!leads || ending.containsKey(session)) {
            return false;
        }
        look(now);
        heard.put(session, now);
        return true;
    }

    private void look(double now) {
        double gap = now - looked;
        looked = now;
        if (gap > stallMs) {
            heard.replaceAll((session, at) -> at + gap);
        }
    }

    /**
     * The expired sessions: the caller proposes their end, and from now on they are not renewed. A session that is still open
     * after another time to live is returned again, as the proposal may have been lost; ending it twice has no effect.
     */
    public List<Long> due(double now, List<LeaseStateMachine.Session> living) {
        List<Long> due = new ArrayList<>();
        if (!leads) {
            return due;
        }
        look(now);
        Set<Long> there = new HashSet<>();
        for (LeaseStateMachine.Session s : living) {
            there.add(s.id());
            double at = heard.computeIfAbsent(s.id(), id -> now); // opened since the last call, or in an earlier term
            double proposed = ending.getOrDefault(s.id(), Double.NEGATIVE_INFINITY);
            if (now - at > s.ttlMs() && now - proposed > s.ttlMs()) {
                ending.put(s.id(), now);
                due.add(s.id());
            }
        }
        heard.keySet().retainAll(there);
        ending.keySet().retainAll(there);
        return due;
    }

    @Override
    public String toString() {
        return leads ? "leads, heard " + heard + ", ends " + ending.keySet() : "rests";
    }
}
