package marlford.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import marlford.work.Register;

/**
 * The state machine of sessions and leases on the agreed log. It knows no time: that a session's time is up is a line
 * of the log like any other, so that every voter sees the same end at the same place.
 *
 * <p>Every grant carries a token from one counter, which only grows; so of two grants of anything the later one has the
 * greater token, and whoever keeps the greatest it saw can turn an older holder away.
 *
 * <p>Bounds, beyond which the answer is {@link Answer.Kind#FULL}: {@value #SESSIONS_MAX} sessions, {@value #LEASES_MAX}
 * leases that are held or waited for, {@value #POOLS_MAX} pools of at most {@value #SHARDS_MAX} shards and
 * {@value #TASKS_MAX} periodic tasks. A queue is bounded by the sessions. Not thread-safe.
 */
public final class Book {
    static final int SESSIONS_MAX = 2000;
    static final int LEASES_MAX = 20_000;
    static final int POOLS_MAX = 64;
    static final int SHARDS_MAX = 4096;
    static final int TASKS_MAX = 1024;
    /** The shortest and the longest silence that a session may ask for, in milliseconds. */
    static final long TTL_MIN_MS = 200;

    static final long TTL_MAX_MS = 600_000;

    /**
     * What a session has.
     *
     * @param shard its number in its pool; -1 for a lease that is none
     * @param wanted whether it is to be given up soon, since another is to have it
     */
    public record Holding(String name, int shard, long token, boolean wanted) {}

    /** A session as the book has it; {@code changed} is the log's index at which its holdings last did. */
    public record Session(long id, String member, long nonce, long ttlMs, long changed) {}

    /** A lease, its holders with their tokens and those who wait, in their order. */
    public record Lease(String name, int limit, Map<Long, Long> holders, List<Long> queue) {}

    /** A pool: the sessions that take part, and of each shard owner, token and the one it is to pass to (0: nobody). */
    public record Pool(String name, List<Long> members, List<Long> owners, List<Long> tokens, List<Long> next) {}

    /** The whole book, to be kept and begun from; {@code work} is null where there never was any. */
    public record Image(
            long index,
            long minted,
            List<Session> sessions,
            List<Lease> leases,
            List<Pool> pools,
            Map<String, Long> ticks,
            Register.Image work) {}

    private final Map<Long, Session> sessions = new TreeMap<>();
    private final Map<String, Long> byMember = new TreeMap<>();
    private final Map<String, Line> leases = new TreeMap<>();
    private final Map<Long, Set<String>> held = new HashMap<>(); // the leases of each session
    private final Map<String, Shards> pools = new TreeMap<>();
    private final Map<String, Long> ticks = new TreeMap<>();
    private Register work; // null until there is any
    private long index; // of the last line that was applied
    private long minted; // the last token, also the last session

    /** @param floor tokens begin above this one: a fleet that is founded anew must not begin below an older one's */
    public Book(long floor) {
        minted = floor;
    }

    /** Begins where another book was. */
    public static Book of(Image image) {
        Book book = new Book(image.minted());
        book.index = image.index();
        for (Session s : image.sessions()) {
            book.sessions.put(s.id(), s);
            book.byMember.put(s.member(), s.id());
        }
        for (Lease l : image.leases()) {
            Line line = new Line(l.limit());
            line.holders.putAll(new TreeMap<>(l.holders()));
            line.queue.addAll(l.queue());
            book.leases.put(l.name(), line);
            line.holders
                    .keySet()
                    .forEach(s ->
                            book.held.computeIfAbsent(s, id -> new TreeSet<>()).add(l.name()));
        }
        for (Pool p : image.pools()) {
            book.pools.put(p.name(), Shards.of(p));
        }
        book.ticks.putAll(image.ticks());
        book.work = image.work() == null ? null : Register.of(image.work());
        return book;
    }

    /** The whole book; two voters that applied the same lines have equal ones. */
    public Image image() {
        List<Lease> lines = new ArrayList<>();
        leases.forEach(
                (name, l) -> lines.add(new Lease(name, l.limit, new LinkedHashMap<>(l.holders), List.copyOf(l.queue))));
        List<Pool> all = new ArrayList<>();
        pools.forEach((name, p) -> all.add(p.image(name)));
        return new Image(
                index,
                minted,
                List.copyOf(sessions.values()),
                lines,
                all,
                new TreeMap<>(ticks),
                work == null ? null : work.image());
    }

    /** Whether tokens have begun: a fleet's book is of no use before its first line, which says from where. */
    public boolean isBegun() {
        return minted > 0;
    }

    /** The index of the last line applied. */
    public long index() {
        return index;
    }

    /** The sessions that live, by their numbers. */
    public List<Session> sessions() {
        return List.copyOf(sessions.values());
    }

    /** A living session; null where there is none of this number. */
    public Session session(long id) {
        return sessions.get(id);
    }

    /** All that a session has now. */
    public List<Holding> holdings(long session) {
        List<Holding> has = new ArrayList<>();
        held.getOrDefault(session, Set.of())
                .forEach(name ->
                        has.add(new Holding(name, -1, leases.get(name).holders.get(session), false)));
        pools.forEach((name, p) -> p.addHoldings(session, name, has));
        return has;
    }

    /** Whether a session has this token now. */
    public boolean holds(long session, long token) {
        return holdings(session).stream().anyMatch(h -> h.token() == token);
    }

    /**
     * Applies a line.
     *
     * @param at its index; it grows
     */
    public Answer apply(long at, Command c) {
        index = at;
        if (c instanceof Command.Open o) {
            return open(o);
        }
        if (c instanceof Command.Close e) {
            return close(e.session());
        }
        if (c instanceof Command.Acquire a) {
            return lives(a.session(), a.lease(), () -> acquire(a));
        }
        if (c instanceof Command.Release r) {
            return lives(r.session(), r.lease(), () -> release(r));
        }
        if (c instanceof Command.Join j) {
            return lives(j.session(), j.pool(), () -> join(j));
        }
        if (c instanceof Command.Leave l) {
            return lives(l.session(), l.pool(), () -> leave(l.session(), l.pool()));
        }
        if (c instanceof Command.GiveUp y) {
            return lives(y.session(), y.pool(), () -> giveUp(y));
        }
        if (c instanceof Command.Floor f) {
            minted = Math.max(minted, f.token());
            return Answer.DONE;
        }
        if (c instanceof Command.Work w) {
            return work(at, w);
        }
        Command.Tick t = (Command.Tick) c;
        return lives(t.session(), t.task(), () -> tick(t));
    }

    /** What there is of an order. */
    public Answer look(String key, String digest) {
        return new Answer(Answer.Kind.DONE, 0, (work == null ? new Register() : work).look(key, digest));
    }

    /** The register of work for operators; empty where there never was any. */
    public String workText() {
        return work == null ? "" : work.text() + '\n';
    }

    private Answer work(long at, Command.Work w) {
        if (!sessions.containsKey(w.session())) {
            return Answer.GONE;
        }
        if (work == null) {
            work = new Register();
        }
        return new Answer(
                Answer.Kind.DONE,
                0,
                work.apply(
                        at, w.session(), w.line(), (session, shard, token) -> holds(session, token), () -> ++minted));
    }

    private interface Step {
        Answer take();
    }

    private Answer lives(long session, String name, Step step) {
        if (!sessions.containsKey(session)) {
            return Answer.GONE;
        }
        return named(name) ? step.take() : Answer.no(Answer.Kind.MALFORMED);
    }

    private static boolean named(String name) {
        return name != null && !name.isEmpty() && name.length() <= Command.NAME_MAX;
    }

    private Answer open(Command.Open o) {
        if (!named(o.member()) || o.ttlMs() < TTL_MIN_MS || o.ttlMs() > TTL_MAX_MS) {
            return Answer.no(Answer.Kind.MALFORMED);
        }
        Long living = byMember.get(o.member());
        if (living != null) {
            return sessions.get(living).nonce() == o.nonce() ? Answer.granted(living) : Answer.no(Answer.Kind.TAKEN);
        }
        if (sessions.size() >= SESSIONS_MAX) {
            return Answer.no(Answer.Kind.FULL);
        }
        Session s = new Session(++minted, o.member(), o.nonce(), o.ttlMs(), index);
        sessions.put(s.id(), s);
        byMember.put(s.member(), s.id());
        return Answer.granted(s.id());
    }

    private Answer close(long id) {
        Session s = sessions.remove(id);
        if (s == null) {
            return Answer.DONE;
        }
        byMember.remove(s.member());
        for (String name : List.copyOf(leases.keySet())) {
            Line l = leases.get(name);
            l.queue.remove(id);
            l.holders.remove(id);
            next(name, l);
        }
        held.remove(id);
        if (work != null) {
            work.ended(id);
        }
        for (String name : List.copyOf(pools.keySet())) {
            leave(id, name);
        }
        return Answer.DONE;
    }

    // ---- leases

    private static final class Line {
        final int limit;
        final Map<Long, Long> holders = new TreeMap<>(); // session to token
        final List<Long> queue = new ArrayList<>();

        Line(int limit) {
            this.limit = limit;
        }
    }

    private Answer acquire(Command.Acquire a) {
        if (a.limit() < 1 || a.limit() > SESSIONS_MAX) {
            return Answer.no(Answer.Kind.MALFORMED);
        }
        Line l = leases.get(a.lease());
        if (l == null) {
            if (leases.size() >= LEASES_MAX) {
                return Answer.no(Answer.Kind.FULL);
            }
            l = new Line(a.limit());
            leases.put(a.lease(), l);
        }
        if (l.limit != a.limit()) {
            return Answer.no(Answer.Kind.DIFFERS);
        }
        if (!l.holders.containsKey(a.session()) && !l.queue.contains(a.session())) {
            l.queue.add(a.session());
            next(a.lease(), l);
        }
        Long token = l.holders.get(a.session());
        return token != null ? Answer.granted(token) : new Answer(Answer.Kind.WAITING, l.queue.indexOf(a.session()));
    }

    private Answer release(Command.Release r) {
        Line l = leases.get(r.lease());
        if (l == null) {
            return Answer.DONE;
        }
        if (r.token() == 0) {
            l.queue.remove(r.session());
        } else {
            if (l.holders.remove(r.session(), r.token())) { // a late word on an earlier grant leaves a newer one alone
                held.get(r.session()).remove(r.lease());
            }
        }
        next(r.lease(), l);
        return Answer.DONE;
    }

    /** Whoever has waited longest comes first; a lease that nobody wants is forgotten. */
    private void next(String name, Line l) {
        while (l.holders.size() < l.limit && !l.queue.isEmpty()) {
            long session = l.queue.remove(0);
            l.holders.put(session, ++minted);
            held.computeIfAbsent(session, id -> new TreeSet<>()).add(name);
            touch(session);
        }
        if (l.holders.isEmpty()) {
            leases.remove(name);
        }
    }

    private void touch(long session) {
        sessions.computeIfPresent(session, (id, s) -> new Session(id, s.member(), s.nonce(), s.ttlMs(), index));
    }

    // ---- shards

    private Answer join(Command.Join j) {
        if (j.shards() < 1 || j.shards() > SHARDS_MAX) {
            return Answer.no(Answer.Kind.MALFORMED);
        }
        Shards p = pools.get(j.pool());
        if (p == null) {
            if (pools.size() >= POOLS_MAX) {
                return Answer.no(Answer.Kind.FULL);
            }
            p = new Shards(j.shards());
            pools.put(j.pool(), p);
        }
        if (p.count() != j.shards()) {
            return Answer.no(Answer.Kind.DIFFERS);
        }
        p.join(j.session());
        settle(p);
        return Answer.DONE;
    }

    private Answer leave(long session, String pool) {
        Shards p = pools.get(pool);
        if (p != null && p.leave(session)) {
            if (p.isEmpty()) {
                pools.remove(pool);
            } else {
                settle(p);
            }
        }
        return Answer.DONE;
    }

    private Answer giveUp(Command.GiveUp y) {
        Shards p = pools.get(y.pool());
        if (p != null && p.giveUp(y.session(), y.shard(), y.token())) {
            touch(y.session());
            settle(p);
        }
        return Answer.DONE;
    }

    private void settle(Shards p) {
        for (long session : p.settle(() -> ++minted)) {
            touch(session);
        }
    }

    // ---- periodic tasks

    private Answer tick(Command.Tick t) {
        Long last = ticks.get(t.task());
        if (last != null && t.tick() <= last) {
            return Answer.no(Answer.Kind.OVER);
        }
        if (last == null && ticks.size() >= TASKS_MAX) {
            return Answer.no(Answer.Kind.FULL);
        }
        ticks.put(t.task(), t.tick());
        return Answer.granted(++minted);
    }
}
