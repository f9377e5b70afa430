package marlford.register;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import marlford.partition.Partitioner;

/**
 * The replicated register of keyed requests. Each request has at most one entry, each entry at most one owner, and
 * one outcome; a command with a token other than the entry's has no effect. It has no notion of time: an owner is
 * gone when its session ends, and the age of an entry is estimated by its reader ({@link StalenessBound}).
 *
 * <p>Limits: {@value #OPEN_MAX} open entries, {@value #KEPT_MAX} outcomes, and {@value #CHARS_MAX} characters of
 * messages and responses in total. A new request beyond them is {@link RegisterResult.Kind#FULL}. An outcome is
 * always accepted, without its body if there is no room; beyond the limit the oldest outcome is dropped, never an
 * open entry. Not thread-safe.
 */
public final class RequestRegister {
    /** The number of shards of orphaned requests, each handled by one member. */
    public static final int SHARDS = 64;

    static final int OPEN_MAX = 100_000;
    static final int KEPT_MAX = 100_000;
    static final long CHARS_MAX = 256L << 20;

    /** The outcome of a request, and the log index at which it was committed. */
    public record Ended(String key, String digest, Outcome outcome, long at) {}

    /** The complete state, to be stored and restored. */
    public record Snapshot(List<RegisterEntry> open, List<Ended> ended) {}

    /** Tells whether a session holds a shard of the register's pool under a token, at the command's log index. */
    public interface Shards {
        boolean has(long session, int shard, long token);
    }

    private final Map<String, RegisterEntry> open = new LinkedHashMap<>();
    private final Map<String, Ended> ended = new LinkedHashMap<>(); // in order of completion
    private final Map<Long, Set<String>> owned = new TreeMap<>(); // keys by session
    private final Map<Integer, Set<String>> orphans = new TreeMap<>(); // keys by shard
    private long chars;
    private long takenOver;
    private long unknown;

    /** Restores a snapshot. */
    public static RequestRegister of(Snapshot image) {
        RequestRegister r = new RequestRegister();
        image.open().forEach(e -> {
            r.put(e);
            r.chars += e.order().message().length();
        });
        image.ended().forEach(e -> {
            r.ended.put(e.key(), e);
            r.chars += e.outcome().said().length();
        });
        return r;
    }

    /** The complete state; equal for any two voters that have applied the same commands. */
    public Snapshot snapshot() {
        return new Snapshot(List.copyOf(open.values()), List.copyOf(ended.values()));
    }

    /** The shard of a key. */
    public static int shard(String key) {
        return Partitioner.shardOf(key, SHARDS);
    }

    /** The open entry of a key; null if there is none. */
    public RegisterEntry entry(String key) {
        return open.get(key);
    }

    /** The outcome of a key's request; null if it is not completed or no longer known. */
    public Ended end(String key) {
        return ended.get(key);
    }

    /** Looks up a request, for a client that waits for its outcome. */
    public RegisterResult look(String key, String digest) {
        RegisterEntry there = open.get(key);
        Ended over = ended.get(key);
        if (there == null && over == null) {
            return RegisterResult.of(RegisterResult.Kind.NOT_YOURS);
        }
        if (!(there != null ? there.order().digest() : over.digest()).equals(digest)) {
            return RegisterResult.of(RegisterResult.Kind.DIFFERS);
        }
        return there != null ? RegisterResult.of(RegisterResult.Kind.RUNS) : RegisterResult.over(over.outcome());
    }

    /** The first open entries of a shard without an owner, in the order in which they lost it. */
    public List<RegisterEntry> orphans(int shard, int most) {
        return orphans.getOrDefault(shard, Set.of()).stream()
                .limit(most)
                .map(open::get)
                .toList();
    }

    /**
     * Applies a command.
     *
     * @param at its log index
     * @param session the open session that proposed it
     * @param mint returns the next fencing token
     */
    public RegisterResult apply(long at, long session, RegisterCommand line, Shards shards, LongSupplier mint) {
        if (line instanceof RegisterCommand.Enter e) {
            return enter(at, session, e, mint);
        }
        if (line instanceof RegisterCommand.End e) {
            return end(at, session, e);
        }
        if (line instanceof RegisterCommand.Take t) {
            return take(session, t, shards, mint);
        }
        if (line instanceof RegisterCommand.Move m) {
            return move(at, session, m);
        }
        if (line instanceof RegisterCommand.Withdraw w) {
            return withdraw(session, w);
        }
        return forget((RegisterCommand.Forget) line);
    }

    /** A session has ended: its entries have no owner until they are taken over. */
    public void ended(long session) {
        Set<String> keys = owned.remove(session);
        if (keys != null) {
            keys.forEach(key -> put(open.get(key).orphaned()));
        }
    }

    private RegisterResult enter(long at, long session, RegisterCommand.Enter e, LongSupplier mint) {
        KeyedRequest order = e.order();
        if (order == null || !order.isWellFormed() || !named(e.group())) {
            return RegisterResult.of(RegisterResult.Kind.MALFORMED);
        }
        RegisterResult found = look(order.key(), order.digest());
        RegisterEntry there = open.get(order.key());
        // Only the session that took an entry over may decide about it: entering does not return it.
        if (found.kind() == RegisterResult.Kind.RUNS
                && there.owner() == session
                && there.ask() == e.ask()
                && there.taken() == 0) {
            return RegisterResult.owned(there);
        }
        if (found.kind() != RegisterResult.Kind.NOT_YOURS) {
            return found;
        }
        if (open.size() >= OPEN_MAX || chars + order.message().length() > CHARS_MAX) {
            return RegisterResult.of(RegisterResult.Kind.FULL);
        }
        RegisterEntry fresh = new RegisterEntry(order, e.group(), session, mint.getAsLong(), at, 0, e.ask());
        chars += order.message().length();
        put(fresh);
        return RegisterResult.owned(fresh);
    }

    private static boolean named(String name) {
        return name != null && !name.isEmpty() && name.length() <= KeyedRequest.NAME_MAX;
    }

    /** Stores an entry, indexed by its owner, or by its shard if it has none. */
    private void put(RegisterEntry e) {
        String key = e.order().key();
        RegisterEntry before = open.put(key, e);
        if (before != null) {
            unlist(before);
        }
        if (e.owner() != 0) {
            owned.computeIfAbsent(e.owner(), s -> new LinkedHashSet<>()).add(key);
        } else {
            orphans.computeIfAbsent(shard(key), s -> new LinkedHashSet<>()).add(key);
        }
    }

    private void unlist(RegisterEntry e) {
        String key = e.order().key();
        Set<String> mine = e.owner() != 0 ? owned.get(e.owner()) : orphans.get(shard(key));
        if (mine != null) {
            mine.remove(key);
            if (mine.isEmpty() && e.owner() != 0) {
                owned.remove(e.owner());
            } else if (mine.isEmpty()) {
                orphans.remove(shard(key));
            }
        }
    }

    private void remove(RegisterEntry e) {
        open.remove(e.order().key());
        unlist(e);
        chars -= e.order().message().length();
    }

    /** The result for a session that does not own the entry. */
    private RegisterResult ifOver(String key) {
        Ended over = ended.get(key);
        return over == null ? RegisterResult.of(RegisterResult.Kind.NOT_YOURS) : RegisterResult.over(over.outcome());
    }

    private RegisterEntry mine(long session, String key, long token) {
        RegisterEntry e = open.get(key);
        return e != null && e.owner() == session && e.token() == token ? e : null;
    }

    private RegisterResult move(long at, long session, RegisterCommand.Move m) {
        RegisterEntry e = mine(session, m.key(), m.token());
        if (!named(m.group())) {
            return RegisterResult.of(RegisterResult.Kind.MALFORMED);
        }
        if (e == null) {
            return RegisterResult.of(RegisterResult.Kind.NOT_YOURS);
        }
        if (!e.group().equals(m.group())) { // a repeated command must not restart the deduplication window
            put(e.movedTo(m.group(), at));
        }
        return RegisterResult.of(RegisterResult.Kind.DONE);
    }

    private RegisterResult end(long at, long session, RegisterCommand.End end) {
        if (end.outcome() == null || !end.outcome().isWellFormed()) {
            return RegisterResult.of(RegisterResult.Kind.MALFORMED);
        }
        RegisterEntry e = mine(session, end.key(), end.token());
        if (e == null) {
            return ifOver(end.key());
        }
        remove(e);
        Outcome o = end.outcome();
        if (chars + o.said().length() > CHARS_MAX) {
            o = new Outcome(o.status(), "");
        }
        chars += o.said().length();
        ended.put(end.key(), new Ended(end.key(), e.order().digest(), o, at));
        takenOver += e.taken() > 0 ? 1 : 0;
        unknown += o.isKnown() ? 0 : 1;
        if (ended.size() > KEPT_MAX) {
            drop(ended.keySet().iterator().next());
        }
        return RegisterResult.over(o);
    }

    private RegisterResult withdraw(long session, RegisterCommand.Withdraw w) {
        RegisterEntry e = mine(session, w.key(), w.token());
        if (e == null || e.taken() > 0) { // after a takeover nobody knows that it was never executed
            return RegisterResult.of(RegisterResult.Kind.NOT_YOURS);
        }
        remove(e);
        return RegisterResult.of(RegisterResult.Kind.DONE);
    }

    private RegisterResult take(long session, RegisterCommand.Take t, Shards shards, LongSupplier mint) {
        RegisterEntry e = open.get(t.key());
        if (e == null) {
            return ifOver(t.key());
        }
        if (e.owner() == session) {
            return RegisterResult.owned(e);
        }
        if (e.owner() != 0) {
            return RegisterResult.of(RegisterResult.Kind.RUNS);
        }
        if (t.shard() != shard(t.key()) || !shards.has(session, t.shard(), t.shardToken())) {
            return RegisterResult.of(RegisterResult.Kind.NOT_YOURS);
        }
        RegisterEntry taken = e.of(session, mint.getAsLong());
        put(taken);
        return RegisterResult.owned(taken);
    }

    private RegisterResult forget(RegisterCommand.Forget f) {
        List<String> old = new ArrayList<>();
        for (Ended e : ended.values()) {
            if (e.at() > f.upTo()) {
                break;
            }
            old.add(e.key());
        }
        old.forEach(this::drop);
        return RegisterResult.of(RegisterResult.Kind.DONE);
    }

    private void drop(String key) {
        chars -= ended.remove(key).outcome().said().length();
    }

    /** One line for the operators' page. */
    public String text() {
        return "work open=" + open.size() + " orphans="
                + orphans.values().stream().mapToInt(Set::size).sum() + " ended=" + ended.size() + " taken_over="
                + takenOver + " unknown=" + unknown + " chars=" + chars;
    }
}
