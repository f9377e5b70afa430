package marlford.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When the leader of the agreed log may end a session. It counts from when it last heard the session by its own clock,
 * which is after the renewal was sent; a new leader counts from the beginning of its term for all. Whoever holds counts
 * from the sending ({@link LeaseValidity}), so his time is over first.
 *
 * <p>A renewal is no line of the log: the leader answers it after a majority has confirmed that it still leads. Two things
 * make that safe. Once a session's end was proposed no renewal of it is answered, as the end may be agreed at any later
 * moment. And a later leader applies all lines of earlier terms before it confirms anything, so it finds the end there.
 *
 * <p>After a stall of its own the leader gives everyone the time of the stall: the renewals of the living stand unread in
 * its sockets. All times in milliseconds by one monotonic clock. Not thread-safe.
 */
public final class FailureDetector {
    private final double stallMs;
    private final Map<Long, Double> heard = new HashMap<>();
    private final Map<Long, Double> ending = new HashMap<>(); // since when its end is proposed
    private boolean leads;
    private double looked;

    /** @param stallMs a pause between two looks that is longer than this one is a stall of our own */
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

    /** It leads no longer. */
    public void rest() {
        leads = false;
    }

    /** Whether it leads. */
    public boolean leads() {
        return leads;
    }

    /** A session was heard; whether it may be told that it goes on. */
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
     * The sessions whose time is up: the caller proposes their end, and from now on they are not renewed. One that lives on for
     * another such time is told again, as a proposal may come to nothing; an end that is agreed twice changes nothing.
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
            double at = heard.computeIfAbsent(s.id(), id -> now); // opened since, or in an earlier term
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
