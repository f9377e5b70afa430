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
 * One process's part in the fleet: it opens a session, renews it, asks for the leases it is to have, hears by a watch which
 * of them it has, and begins anew when its session has ended. Whoever drives it sends what {@link #due} returns and brings
 * back replies and failures; each ask may be lost, late or doubled.
 *
 * <p>What it has is told by watches alone, of which an older one than the last is passed over. What it gives up it has no
 * more from that call on, whatever a late watch says. A watch whose reply is lost, or that waits at a voter which is cut off,
 * is asked again: renewals tell where what it has last changed. Milliseconds by one monotonic clock. Not thread-safe.
 */
public final class Member {
    private static final double RENEWALS = 4; // in the time of a session
    private static final double RETRY_MS = 40; // after a reply that helps no further, and between looks for a leader
    private static final double TAKEN_MS = 250; // until a name is asked for again that another life still has
    private static final double WATCH_MS = 8000; // a watch without a word for this long is asked again

    /** An ask that is to be sent now. */
    public record Outgoing(long id, String voter, Request ask) {}

    /** A lease that is to be had. */
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
    private final Set<String> asked = new HashSet<>(); // wishes that this session's book knows
    private final List<Command> lines = new ArrayList<>(); // to be agreed, in their order
    private final Set<Long> givenUp = new HashSet<>(); // tokens
    private final Map<Command, CommandResult> ticks = new HashMap<>();
    private final BoardClient notes = new BoardClient();
    private boolean reads; // the board
    private List<LeaseStateMachine.Holding> holdings = List.of();
    private LeaseValidity validity;
    private String leader;
    private long nextId;
    private long session;
    private long seen; // the index of the last watch
    private double renewAt;
    private double tryAt; // nothing but renewals of the living goes out before
    private boolean leaving;
    private int opened;

    /**
     * @param nonce drawn at random by this process's start
     * @param ttlMs for how long the session may be silent
     * @param voters their names; asked in turn where no leader is known
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

    /** Is to have this lease, now and in each later session. */
    public void want(String lease, int limit) {
        wishes.put(lease, new Wish(limit, false));
    }

    /** Is to take part in a pool. */
    public void join(String pool, int shards) {
        wishes.put(pool, new Wish(shards, true));
    }

    /** Wants this lease no more, and may not act under it from now on. */
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

    /** Gives up a shard that is wanted. */
    public void giveUp(LeaseStateMachine.Holding h) {
        if (!givenUp.contains(h.token())) {
            drop(h.token());
            lines.add(new Command.GiveUp(session, h.name(), h.shard(), h.token()));
        }
    }

    /** Has this no more, at once: the next holder may have it before the next watch comes. */
    private void drop(long token) {
        givenUp.add(token);
        holdings = holdings.stream().filter(h -> h.token() != token).toList();
    }

    /** Claims a tick of a periodic task, once it is asked; {@link #ticked} has the answer. */
    public void claim(String task, long tick) {
        Command line = new Command.Tick(session, task, tick);
        if (session != 0 && !lines.contains(line)) {
            lines.add(line);
        }
    }

    /** The token of a tick that was claimed; 0 for none, once. */
    public long ticked(String task, long tick) {
        CommandResult a = ticks.remove(new Command.Tick(session, task, tick));
        return a != null && a.kind() == CommandResult.Kind.GRANTED ? a.value() : 0;
    }

    /** Gives everything back; {@link #hasLeft} says when that is agreed. */
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

    /** Its side of the leader's board, which is read from the first call on: renewals carry it. */
    public BoardClient board() {
        reads = true;
        return notes;
    }

    // ---- what it may do

    /** What it has and has not given up, as the last watch said. */
    public List<LeaseStateMachine.Holding> holdings() {
        return holdings;
    }

    /** The token of a lease it has; 0 for none. */
    public long token(String lease) {
        for (LeaseStateMachine.Holding h : holdings) {
            if (h.name().equals(lease) && h.shard() < 0) {
                return h.token();
            }
        }
        return 0;
    }

    /**
     * Whether an act under this token may begin now.
     *
     * @param lateMs how late the loop is that acts
     * @param needMs the longest that the act may take
     */
    public boolean mayAct(long token, double now, double lateMs, double needMs) {
        return token != 0
                && holdings.stream().anyMatch(h -> h.token() == token)
                && validity.mayAct(now, lateMs, needMs);
    }

    /** For how long it may still act, in milliseconds. */
    public double leftMs(double now) {
        return validity.leftMs(now);
    }

    /** Its session's number; 0 while it has none. */
    public long session() {
        return session;
    }

    // ---- what goes out and comes in

    /** The asks to be sent now. To be called often: a pause between two calls that is too long is a stall. */
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
        if (!lines.isEmpty() && none(Request.Submit.class)) { // one at a time, so that they are agreed in their order
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

    /** The next voter, where this one is still the one that is asked. */
    private void turnFrom(String voter) {
        if (leader.equals(voter)) {
            turnTo(voters.get((voters.indexOf(voter) + 1) % voters.size()));
        }
    }

    /** A watch at the one that was asked before is worth nothing more: it may be cut off, and is silent then for long. */
    private void turnTo(String voter) {
        leader = voter;
        pending.values()
                .removeIf(p -> p.ask() instanceof Request.Watch && !p.voter().equals(voter));
    }

    /** An ask can't reach its voter, or its connection ended. */
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

    /** The connection to a voter ended: all that was asked there has failed. */
    public void lost(String voter, double now) {
        pending.entrySet().stream()
                .filter(e -> e.getValue().voter().equals(voter))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(id -> failed(id, now));
    }

    /** A reply came. */
    public void heard(long id, Reply r, double now) {
        Pending p = pending.remove(id);
        if (p == null) {
            return; // given up before
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
            if (r.answer().value()
                    > seen) { // a watch that was sent before should have told: its reply was lost, or comes
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
            return; // a voter that has not seen the session yet, or has seen its end: the renewal will tell which
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
        // Asked again, it is answered with a session that may be about to be ended: only a renewal gives time to act.
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
