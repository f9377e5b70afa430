package marlford.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import marlford.register.RequestRegister;

/**
 * The replicated state machine of sessions, leases, shard pools and periodic tasks. Every voter applies the same
 * commands of the log in the same order and so has the same state. It has no notion of time: a session that expires
 * is closed by a command in the log, so all voters see it end at the same index.
 *
 * <p>Invariant: every grant carries a fencing token from one counter that only grows. Of two grants of the same lease
 * the later has the greater token, so a resource that remembers the greatest token it saw can reject an older holder.
 *
 * <p>Limits, beyond which a command is rejected with {@link CommandResult.Kind#FULL}: {@value #SESSIONS_MAX}
 * sessions, {@value #LEASES_MAX} leases with a holder or a waiter, {@value #POOLS_MAX} pools of at most {@value
 * #SHARDS_MAX} shards, and {@value #TASKS_MAX} periodic tasks. The queue of a lease is limited by the number of
 * sessions. Not thread-safe.
 */
public final class LeaseStateMachine {
    static final int SESSIONS_MAX = 2000;
    static final int LEASES_MAX = 20_000;
    static final int POOLS_MAX = 64;
    static final int SHARDS_MAX = 4096;
    static final int TASKS_MAX = 1024;
    /** The limits of a session's time to live, in milliseconds. */
    static final long TTL_MIN_MS = 200;

    static final long TTL_MAX_MS = 600_000;

    /**
     * A lease or shard held by a session.
     *
     * @param shard the shard of the pool; -1 for a lease
     * @param wanted whether it should be given up soon, because it is to move to another session
     */
    public record Holding(String name, int shard, long token, boolean wanted) {}

    /** An open session; {@code changed} is the log index at which its holdings last changed. */
    public record Session(long id, String member, long nonce, long ttlMs, long changed) {}

    /** A lease with its holders and their tokens, and the sessions waiting, in order. */
    public record Lease(String name, int limit, Map<Long, Long> holders, List<Long> queue) {}

    /** A pool: its sessions, and for each shard the owner, the token and the next owner (0 for none). */
    public record Pool(String name, List<Long> members, List<Long> owners, List<Long> tokens, List<Long> next) {}

    /** The complete state, to be stored and restored; {@code work} is null if the request register was never used. */
    public record Snapshot(
            long index,
            long minted,
            List<Session> sessions,
            List<Lease> leases,
            List<Pool> pools,
            Map<String, Long> ticks,
            RequestRegister.Snapshot work) {}

    private final Map<Long, Session> sessions = new TreeMap<>();
    private final Map<String, Long> sessionByMember = new TreeMap<>();
    private final Map<String, LeaseEntry> leases = new TreeMap<>();
    private final Map<Long, Set<String>> leasesBySession = new HashMap<>(); // names of leases
    private final Map<String, ShardAssignment> pools = new TreeMap<>();
    private final Map<String, Long> ticks = new TreeMap<>();
    private RequestRegister work; // null until it is first used
    private long index; // of the last command applied
    private long lastToken; // also the last session id

    /** @param floor tokens start above this one */
    public LeaseStateMachine(long floor) {
        lastToken = floor;
    }

    /** Restores a snapshot. */
    public static LeaseStateMachine of(Snapshot snapshot) {
        LeaseStateMachine restored = new LeaseStateMachine(snapshot.minted());
        restored.index = snapshot.index();
        for (Session s : snapshot.sessions()) {
            restored.sessions.put(s.id(), s);
            restored.sessionByMember.put(s.member(), s.id());
        }
        for (Lease l : snapshot.leases()) {
            LeaseEntry line = new LeaseEntry(l.limit());
            line.holders.putAll(new TreeMap<>(l.holders()));
            line.queue.addAll(l.queue());
            restored.leases.put(l.name(), line);
            line.holders
                    .keySet()
                    .forEach(s -> restored.leasesBySession
                            .computeIfAbsent(s, id -> new TreeSet<>())
                            .add(l.name()));
        }
        for (Pool p : snapshot.pools()) {
            restored.pools.put(p.name(), ShardAssignment.of(p));
        }
        restored.ticks.putAll(snapshot.ticks());
        restored.work = snapshot.work() == null ? null : RequestRegister.of(snapshot.work());
        return restored;
    }

    /** The complete state; equal for any two voters that have applied the same commands. */
    public Snapshot snapshot() {
        List<Lease> lines = new ArrayList<>();
        leases.forEach(
                (name, l) -> lines.add(new Lease(name, l.limit, new LinkedHashMap<>(l.holders), List.copyOf(l.queue))));
        List<Pool> all = new ArrayList<>();
        pools.forEach((name, p) -> all.add(p.toPool(name)));
        return new Snapshot(
                index,
                lastToken,
                List.copyOf(sessions.values()),
                lines,
                all,
                new TreeMap<>(ticks),
                work == null ? null : work.snapshot());
    }

    /** Whether the first command, which sets the token floor, was applied; none may precede it. */
    public boolean isBegun() {
        return lastToken > 0;
    }

    /** The index of the last command applied. */
    public long index() {
        return index;
    }

    /** The open sessions, by id. */
    public List<Session> sessions() {
        return List.copyOf(sessions.values());
    }

    /** An open session; null if there is none with this id. */
    public Session session(long id) {
        return sessions.get(id);
    }

    /** Everything that a session holds. */
    public List<Holding> holdings(long session) {
        List<Holding> has = new ArrayList<>();
        leasesBySession
                .getOrDefault(session, Set.of())
                .forEach(name ->
                        has.add(new Holding(name, -1, leases.get(name).holders.get(session), false)));
        pools.forEach((name, p) -> p.addHoldings(session, name, has));
        return has;
    }

    /** Whether a session holds this token. */
    public boolean holds(long session, long token) {
        return holdings(session).stream().anyMatch(h -> h.token() == token);
    }

    /**
     * Applies a command.
     *
     * @param at its log index; grows with each call
     */
    public CommandResult apply(long at, Command c) {
        index = at;
        if (c instanceof Command.Open o) {
            return open(o);
        }
        if (c instanceof Command.Close e) {
            return close(e.session());
        }
        if (c instanceof Command.Acquire a) {
            return inSession(a.session(), a.lease(), () -> acquire(a));
        }
        if (c instanceof Command.Release r) {
            return inSession(r.session(), r.lease(), () -> release(r));
        }
        if (c instanceof Command.Join j) {
            return inSession(j.session(), j.pool(), () -> join(j));
        }
        if (c instanceof Command.Leave l) {
            return inSession(l.session(), l.pool(), () -> leave(l.session(), l.pool()));
        }
        if (c instanceof Command.GiveUp y) {
            return inSession(y.session(), y.pool(), () -> giveUp(y));
        }
        if (c instanceof Command.Floor f) {
            lastToken = Math.max(lastToken, f.token());
            return CommandResult.DONE;
        }
        if (c instanceof Command.Work w) {
            return work(at, w);
        }
        Command.Tick t = (Command.Tick) c;
        return inSession(t.session(), t.task(), () -> tick(t));
    }

    /** Looks up a keyed request. */
    public CommandResult look(String key, String digest) {
        return new CommandResult(
                CommandResult.Kind.DONE, 0, (work == null ? new RequestRegister() : work).look(key, digest));
    }

    /** The request register for the operators' page; empty if it was never used. */
    public String workText() {
        return work == null ? "" : work.text() + '\n';
    }

    private CommandResult work(long at, Command.Work w) {
        if (!sessions.containsKey(w.session())) {
            return CommandResult.GONE;
        }
        if (work == null) {
            work = new RequestRegister();
        }
        return new CommandResult(
                CommandResult.Kind.DONE,
                0,
                work.apply(
                        at,
                        w.session(),
                        w.line(),
                        (session, shard, token) -> holds(session, token),
                        () -> ++lastToken));
    }

    private interface Step {
        CommandResult take();
    }

    private CommandResult inSession(long session, String name, Step step) {
        if (!sessions.containsKey(session)) {
            return CommandResult.GONE;
        }
        return isValidName(name) ? step.take() : CommandResult.rejected(CommandResult.Kind.MALFORMED);
    }

    private static boolean isValidName(String name) {
        return name != null && !name.isEmpty() && name.length() <= Command.NAME_MAX;
    }

    private CommandResult open(Command.Open o) {
        if (!isValidName(o.member()) || o.ttlMs() < TTL_MIN_MS || o.ttlMs() > TTL_MAX_MS) {
            return CommandResult.rejected(CommandResult.Kind.MALFORMED);
        }
        Long living = sessionByMember.get(o.member());
        if (living != null) {
            return sessions.get(living).nonce() == o.nonce()
                    ? CommandResult.granted(living)
                    : CommandResult.rejected(CommandResult.Kind.TAKEN);
        }
        if (sessions.size() >= SESSIONS_MAX) {
            return CommandResult.rejected(CommandResult.Kind.FULL);
        }
        Session s = new Session(++lastToken, o.member(), o.nonce(), o.ttlMs(), index);
        sessions.put(s.id(), s);
        sessionByMember.put(s.member(), s.id());
        return CommandResult.granted(s.id());
    }

    private CommandResult close(long id) {
        Session s = sessions.remove(id);
        if (s == null) {
            return CommandResult.DONE;
        }
        sessionByMember.remove(s.member());
        for (String name : List.copyOf(leases.keySet())) {
            LeaseEntry l = leases.get(name);
            l.queue.remove(id);
            l.holders.remove(id);
            grantNext(name, l);
        }
        leasesBySession.remove(id);
        if (work != null) {
            work.ended(id);
        }
        for (String name : List.copyOf(pools.keySet())) {
            leave(id, name);
        }
        return CommandResult.DONE;
    }

    // ---- leases

    private static final class LeaseEntry {
        final int limit;
        final Map<Long, Long> holders = new TreeMap<>(); // session to token
        final List<Long> queue = new ArrayList<>();

        LeaseEntry(int limit) {
            this.limit = limit;
        }
    }

    private CommandResult acquire(Command.Acquire a) {
        if (a.limit() < 1 || a.limit() > SESSIONS_MAX) {
            return CommandResult.rejected(CommandResult.Kind.MALFORMED);
        }
        LeaseEntry l = leases.get(a.lease());
        if (l == null) {
            if (leases.size() >= LEASES_MAX) {
                return CommandResult.rejected(CommandResult.Kind.FULL);
            }
            l = new LeaseEntry(a.limit());
            leases.put(a.lease(), l);
        }
        if (l.limit != a.limit()) {
            return CommandResult.rejected(CommandResult.Kind.DIFFERS);
        }
        if (!l.holders.containsKey(a.session()) && !l.queue.contains(a.session())) {
            l.queue.add(a.session());
            grantNext(a.lease(), l);
        }
        Long token = l.holders.get(a.session());
        return token != null
                ? CommandResult.granted(token)
                : new CommandResult(CommandResult.Kind.WAITING, l.queue.indexOf(a.session()));
    }

    private CommandResult release(Command.Release r) {
        LeaseEntry l = leases.get(r.lease());
        if (l == null) {
            return CommandResult.DONE;
        }
        if (r.token() == 0) {
            l.queue.remove(r.session());
        } else {
            if (l.holders.remove(
                    r.session(), r.token())) { // a late release of an earlier grant does not affect a newer one
                leasesBySession.get(r.session()).remove(r.lease());
            }
        }
        grantNext(r.lease(), l);
        return CommandResult.DONE;
    }

    /** Grants the lease to the longest waiting sessions; a lease without holders is removed. */
    private void grantNext(String name, LeaseEntry l) {
        while (l.holders.size() < l.limit && !l.queue.isEmpty()) {
            long session = l.queue.remove(0);
            l.holders.put(session, ++lastToken);
            leasesBySession.computeIfAbsent(session, id -> new TreeSet<>()).add(name);
            markChanged(session);
        }
        if (l.holders.isEmpty()) {
            leases.remove(name);
        }
    }

    private void markChanged(long session) {
        sessions.computeIfPresent(session, (id, s) -> new Session(id, s.member(), s.nonce(), s.ttlMs(), index));
    }

    // ---- shards

    private CommandResult join(Command.Join j) {
        if (j.shards() < 1 || j.shards() > SHARDS_MAX) {
            return CommandResult.rejected(CommandResult.Kind.MALFORMED);
        }
        ShardAssignment p = pools.get(j.pool());
        if (p == null) {
            if (pools.size() >= POOLS_MAX) {
                return CommandResult.rejected(CommandResult.Kind.FULL);
            }
            p = new ShardAssignment(j.shards());
            pools.put(j.pool(), p);
        }
        if (p.count() != j.shards()) {
            return CommandResult.rejected(CommandResult.Kind.DIFFERS);
        }
        p.join(j.session());
        rebalance(p);
        return CommandResult.DONE;
    }

    private CommandResult leave(long session, String pool) {
        ShardAssignment p = pools.get(pool);
        if (p != null && p.leave(session)) {
            if (p.isEmpty()) {
                pools.remove(pool);
            } else {
                rebalance(p);
            }
        }
        return CommandResult.DONE;
    }

    private CommandResult giveUp(Command.GiveUp y) {
        ShardAssignment p = pools.get(y.pool());
        if (p != null && p.giveUp(y.session(), y.shard(), y.token())) {
            markChanged(y.session());
            rebalance(p);
        }
        return CommandResult.DONE;
    }

    private void rebalance(ShardAssignment p) {
        for (long session : p.rebalance(() -> ++lastToken)) {
            markChanged(session);
        }
    }

    // ---- periodic tasks

    private CommandResult tick(Command.Tick t) {
        Long last = ticks.get(t.task());
        if (last != null && t.tick() <= last) {
            return CommandResult.rejected(CommandResult.Kind.OVER);
        }
        if (last == null && ticks.size() >= TASKS_MAX) {
            return CommandResult.rejected(CommandResult.Kind.FULL);
        }
        ticks.put(t.task(), t.tick());
        return CommandResult.granted(++lastToken);
    }
}
