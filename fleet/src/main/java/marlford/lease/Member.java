package marlford.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.board.BoardClient;

/**
 * The client of the fleet in one process: it opens a session, renews it, requests leases, learns by long-polling
 * ("watch") which of them it holds, and opens a new session when the old one has ended. It does no I/O: its driver
 * sends what {@link #due} returns and reports replies and failures. Every request may be lost, delayed or duplicated.
 *
 * <p>Invariants: holdings are learned from watches only, and a watch older than the last one is ignored. A lease that
 * was given up is not held from that call on, whatever a late watch says. When the reply to a watch is lost, or its
 * voter is cut off, the watch is sent again, because the reply to a renewal tells that the holdings have changed
 * since. Times in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class Member {
    private static final double RENEWALS = 4; // in a session's time to live
    private static final double RETRY_MS = 40; // after a failed request, and between attempts to find the leader
    private static final double TAKEN_MS =
            250; // until a session is requested again while an earlier process still has the name
    private static final double WATCH_MS = 8000; // a watch without a reply for this long is sent again

    /** A request to be sent now. */
    public record Outgoing(long id, String voter, Request ask) {}

    /** A lease or pool that this process wants. */
    private record Wish(int limit, boolean shards) {}

    private record Pending(Request ask, String voter, double sentAt, double until) {}

    private final String name;
    private final long nonce;
    private final long ttlMs;
    private final List<String> voters;
    private final double driftPpm;
    private final double marginMs;
    private final double stallMs;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private final Map<String, Wish> wishes = new LinkedHashMap<>();
    private final Set<String> asked = new HashSet<>(); // wishes already requested in this session
    private final List<Command> lines = new ArrayList<>(); // commands to be proposed, in order
    private final Set<Long> givenUp = new HashSet<>(); // tokens
    private final Map<Command, CommandResult> ticks = new HashMap<>();
    private final BoardClient notes = new BoardClient();
    private boolean reads; // the board
    private List<LeaseStateMachine.Holding> holdings = List.of();
    private LeaseValidity validity;
    private String leader;
    private long nextId;
    private long session;
    private long seen; // log index of the last watch
    private double renewAt;
    private double tryAt; // until then only renewals are sent
    private boolean leaving;
    private int opened;

    /**
     * @param nonce random number of this process
     * @param ttlMs the session's time to live
     * @param voters their names, tried in turn while no leader is known
     */
    public Member(
            String name,
            long nonce,
            long ttlMs,
            List<String> voters,
            double driftPpm,
            double marginMs,
            double stallMs) {
        this.name = name;
        this.nonce = nonce;
        this.ttlMs = ttlMs;
        this.voters = List.copyOf(voters);
        this.driftPpm = driftPpm;
        this.marginMs = marginMs;
        this.stallMs = stallMs;
        this.leader = this.voters.get((int) Math.floorMod(nonce, (long) voters.size()));
        this.validity = fresh();
        this.validity.ended();
        if (!fresh().isPossible()) {
            throw new IllegalArgumentException("a session of " + ttlMs + " ms leaves no time to act: " + stallMs
                    + " ms of stall, " + marginMs + " ms of margin and " + driftPpm + " ppm are taken off");
        }
    }

    private LeaseValidity fresh() {
        return new LeaseValidity(ttlMs, driftPpm, marginMs, stallMs);
    }

    // ---- what its process wishes

    /** Requests a lease, in this and each later session. */
    public void want(String lease, int limit) {
        wishes.put(lease, new Wish(limit, false));
    }

    /** Joins a pool, in this and each later session. */
    public void join(String pool, int shards) {
        wishes.put(pool, new Wish(shards, true));
    }

    /** Releases a lease; no action may begin under it from now on. */
    public void release(String lease) {
        wishes.remove(lease);
        if (session == 0 || !asked.remove(lease)) {
            return;
        }
        long token = token(lease);
        if (token != 0) {
            drop(token);
        }
        // Where no token is known yet, one may be on its way: the queue is left, and what is granted is given back
        // then.
        lines.add(new Command.Release(session, lease, token));
    }

    /** Gives up a shard that is to move. */
    public void giveUp(LeaseStateMachine.Holding h) {
        if (!givenUp.contains(h.token())) {
            drop(h.token());
            lines.add(new Command.GiveUp(session, h.name(), h.shard(), h.token()));
        }
    }

    /** Drops it at once: the next holder may have it before the next watch is answered. */
    private void drop(long token) {
        givenUp.add(token);
        holdings = holdings.stream().filter(h -> h.token() != token).toList();
    }

    /** Claims a tick of a periodic task; {@link #ticked} returns the result. */
    public void claim(String task, long tick) {
        Command line = new Command.Tick(session, task, tick);
        if (session != 0 && !lines.contains(line)) {
            lines.add(line);
        }
    }

    /** The token of a claimed tick, returned once; 0 for none. */
    public long ticked(String task, long tick) {
        CommandResult a = ticks.remove(new Command.Tick(session, task, tick));
        return a != null && a.kind() == CommandResult.Kind.GRANTED ? a.value() : 0;
    }

    /** Closes the session; {@link #hasLeft} returns whether that is committed. */
    public void leave() {
        if (!leaving) {
            leaving = true;
            lines.clear();
            if (session != 0) {
                lines.add(new Command.Close(session));
            }
            holdings = List.of();
            validity.ended();
        }
    }

    public boolean hasLeft() {
        return leaving && session == 0;
    }

    /** This member's side of the leader's board; from the first call on renewals carry it. */
    public BoardClient board() {
        reads = true;
        return notes;
    }

    // ---- what it may do

    /** What it holds and has not given up, by the last watch. */
    public List<LeaseStateMachine.Holding> holdings() {
        return holdings;
    }

    /** The token of a lease; 0 if it is not held. */
    public long token(String lease) {
        for (LeaseStateMachine.Holding h : holdings) {
            if (h.name().equals(lease) && h.shard() < 0) {
                return h.token();
            }
        }
        return 0;
    }

    /**
     * Whether an action under this token may begin now.
     *
     * @param lateMs the delay of the calling event loop
     * @param needMs the maximum duration of the action
     */
    public boolean mayAct(long token, double now, double lateMs, double needMs) {
        return token != 0
                && holdings.stream().anyMatch(h -> h.token() == token)
                && validity.mayAct(now, lateMs, needMs);
    }

    /** The remaining time to act, in milliseconds. */
    public double leftMs(double now) {
        return validity.leftMs(now);
    }

    /** The session id; 0 while there is no session. */
    public long session() {
        return session;
    }

    // ---- what goes out and comes in

    /** The requests to be sent now. To be called often: a long pause between two calls counts as a pause of the process. */
    public List<Outgoing> due(double now) {
        validity.look(now);
        expire(now);
        List<Outgoing> out = new ArrayList<>();
        if (session != 0 && !leaving && (now >= renewAt || notes.isUrgent()) && none(Request.Renew.class)) {
            send(out, new Request.Renew(session, reads ? notes.telling(now) : null), leader, now, ttlMs / RENEWALS);
        }
        if (now < tryAt) {
            return out;
        }
        if (session == 0) {
            if (!leaving && none(Request.Submit.class)) {
                send(
                        out,
                        new Request.Submit(new Command.Open(name, nonce + opened, ttlMs)),
                        leader,
                        now,
                        ttlMs / RENEWALS);
            }
            return out;
        }
        if (none(Request.Watch.class) && !leaving) {
            send(out, new Request.Watch(session, seen), leader, now, WATCH_MS);
        }
        wishes.forEach((lease, w) -> {
            if (!leaving && asked.add(lease)) {
                lines.add(
                        w.shards()
                                ? new Command.Join(session, lease, w.limit())
                                : new Command.Acquire(session, lease, w.limit()));
            }
        });
        if (!lines.isEmpty() && none(Request.Submit.class)) { // one at a time, so that they are committed in order
            send(out, new Request.Submit(lines.get(0)), leader, now, ttlMs / RENEWALS);
        }
        return out;
    }

    private boolean none(Class<? extends Request> kind) {
        return pending.values().stream().noneMatch(p -> kind.isInstance(p.ask()));
    }

    private void send(List<Outgoing> out, Request ask, String to, double now, double patience) {
        pending.put(++nextId, new Pending(ask, to, now, now + patience));
        out.add(new Outgoing(nextId, to, ask));
    }

    private void expire(double now) {
        List<Pending> over =
                pending.values().stream().filter(p -> now > p.until()).toList();
        pending.values().removeAll(over);
        over.stream().filter(p -> !(p.ask() instanceof Request.Watch)).forEach(p -> turnFrom(p.voter()));
    }

    /** Turns to the next voter, if this one is still the presumed leader. */
    private void turnFrom(String voter) {
        if (leader.equals(voter)) {
            turnTo(voters.get((voters.indexOf(voter) + 1) % voters.size()));
        }
    }

    /** Abandons watches at the former voter, which may be cut off and not answer for long. */
    private void turnTo(String voter) {
        leader = voter;
        pending.values()
                .removeIf(p -> p.ask() instanceof Request.Watch && !p.voter().equals(voter));
    }

    /** A request could not be sent, or its connection was closed. */
    public void failed(long id, double now) {
        Pending p = pending.remove(id);
        if (p != null) {
            turnFrom(p.voter());
            pause(now);
        }
    }

    private void pause(double now) {
        tryAt = Math.max(tryAt, now + RETRY_MS);
        renewAt = Math.max(renewAt, now + RETRY_MS);
    }

    /** The connection to a voter was closed: all requests on it have failed. */
    public void lost(String voter, double now) {
        pending.entrySet().stream()
                .filter(e -> e.getValue().voter().equals(voter))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(id -> failed(id, now));
    }

    /** A reply was received. */
    public void heard(long id, Reply r, double now) {
        Pending p = pending.remove(id);
        if (p == null) {
            return; // abandoned before
        }
        if (r.status() != Reply.Status.OK) {
            if (voters.contains(r.leader()) && !r.leader().equals(p.voter())) {
                turnTo(r.leader());
            } else {
                turnFrom(p.voter());
            }
            pause(now);
        } else if (p.ask() instanceof Request.Renew renew) {
            renewed(renew, p.sentAt(), r);
        } else if (p.ask() instanceof Request.Watch watch) {
            watched(watch, r);
        } else if (p.ask() instanceof Request.Submit submit) {
            agreed(submit.line(), r.answer(), now);
        }
    }

    private void renewed(Request.Renew renew, double sentAt, Reply r) {
        if (renew.session() != session) {
            return;
        }
        if (r.answer().kind() == CommandResult.Kind.GONE) {
            ended();
        } else {
            validity.confirmed(sentAt);
            renewAt = sentAt + ttlMs / RENEWALS;
            if (r.answer().value() > seen) { // an earlier watch should have reported it: its reply was lost or is late
                pending.values().removeIf(p -> p.ask() instanceof Request.Watch && p.sentAt() < sentAt);
            }
            if (reads) {
                notes.heard(r.notice(), sentAt);
            }
        }
    }

    private void watched(Request.Watch watch, Reply r) {
        if (watch.session() != session || r.index() < seen) {
            return;
        }
        seen = r.index();
        if (r.holdings() == null) {
            return; // the voter has not applied the session's opening yet, or has applied its end: the renewal will
            // tell
        }
        Set<Long> there = new HashSet<>();
        List<LeaseStateMachine.Holding> now = new ArrayList<>();
        for (LeaseStateMachine.Holding h : r.holdings()) {
            there.add(h.token());
            if (h.shard() < 0 && !wishes.containsKey(h.name()) && givenUp.add(h.token())) {
                lines.add(new Command.Release(session, h.name(), h.token()));
            }
            if (!givenUp.contains(h.token()) && !leaving) {
                now.add(h);
            }
        }
        givenUp.retainAll(there);
        holdings = List.copyOf(now);
    }

    private void agreed(Command line, CommandResult a, double now) {
        if (line instanceof Command.Open o) {
            opened(o, a, now);
            return;
        }
        lines.remove(line);
        if (line instanceof Command.Close || a.kind() == CommandResult.Kind.GONE) {
            ended();
        } else if (line instanceof Command.Tick) {
            ticks.put(line, a);
        }
    }

    private void opened(Command.Open o, CommandResult a, double now) {
        if (a.kind() != CommandResult.Kind.GRANTED || o.nonce() != nonce + opened) {
            tryAt = now + TAKEN_MS;
            return;
        }
        session = a.value();
        opened++;
        seen = 0;
        validity = fresh();
        validity.look(now);
        // A repeated command may return a session that is about to expire: only a renewal gives time to act.
        renewAt = now;
        if (leaving) {
            lines.add(new Command.Close(session));
            validity.ended();
        }
    }

    private void ended() {
        session = 0;
        validity.ended();
        holdings = List.of();
        asked.clear();
        lines.clear();
        givenUp.clear();
        ticks.clear();
        pending.clear();
        notes.ended();
    }

    @Override
    public String toString() {
        return name + " session " + session + " of " + opened + ", leader " + leader + ", has " + holdings;
    }
}
