package marlford.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Lines of work on their way to the log, many at a time: each is carried to whoever leads until it is answered, since a line
 * that is there twice changes nothing. Lines of one order go one after the other, as their {@link RequestLease} has one due at a time.
 *
 * <p>Bounds: {@value #UNDER_WAY_MAX} lines under way, {@value #WAITING_MAX} that wait to go, beyond which a line is not taken. A line
 * is given up with its session. Milliseconds by one monotonic clock. Not thread-safe.
 */
public final class ProposalPipeline {
    static final int UNDER_WAY_MAX = 512;
    static final int WAITING_MAX = 8192;
    private static final double AGAIN_MS = 40; // after a reply that helps no further
    private static final double PATIENCE_MS = 500; // for a reply, before the line is sent again

    /** A line that goes out now, to whoever leads. */
    public record Outgoing(long id, RegisterCommand line) {}

    private static final class Carried {
        final RegisterCommand line;
        final Consumer<RegisterResult> to;
        double again; // when it is sent, or sent again

        Carried(RegisterCommand line, Consumer<RegisterResult> to) {
            this.line = line;
            this.to = to;
        }
    }

    private final Map<Long, Carried> underWay = new LinkedHashMap<>();
    private final ArrayDeque<Carried> waiting = new ArrayDeque<>();
    private long nextId;

    /** @param firstId its asks are numbered from here on, so that they are told from others of the same connection */
    public ProposalPipeline(long firstId) {
        nextId = firstId;
    }

    /**
     * Takes a line to be agreed.
     *
     * @param to hears what came of it, once; null where the session ended first and nobody knows
     * @return false where too many wait, and nothing was taken
     */
    public boolean carry(RegisterCommand line, Consumer<RegisterResult> to) {
        if (waiting.size() >= WAITING_MAX) {
            return false;
        }
        waiting.add(new Carried(line, to));
        return true;
    }

    /** The lines that go out now; to be called often. */
    public List<Outgoing> due(double now) {
        List<Outgoing> out = new ArrayList<>();
        List<Carried> late = new ArrayList<>();
        for (Iterator<Carried> i = underWay.values().iterator(); i.hasNext(); ) {
            Carried c = i.next();
            if (now >= c.again) {
                i.remove();
                late.add(c);
            }
        }
        late.forEach(c ->
                send(out, c, now)); // under a new number: a late reply to the former one is as good, and passed over
        while (!waiting.isEmpty() && underWay.size() < UNDER_WAY_MAX) {
            send(out, waiting.poll(), now);
        }
        return out;
    }

    private void send(List<Outgoing> out, Carried c, double now) {
        c.again = now + PATIENCE_MS;
        underWay.put(++nextId, c);
        out.add(new Outgoing(nextId, c.line));
    }

    /** A line was answered. */
    public void said(long id, RegisterResult s) {
        Carried c = underWay.remove(id);
        if (c != null) {
            c.to.accept(s);
        }
    }

    /** It reached nobody who could have it agreed. */
    public void failed(long id, double now) {
        Carried c = underWay.get(id);
        if (c != null) {
            c.again = Math.min(c.again, now + AGAIN_MS);
        }
    }

    /** The session has ended: what is under way may be agreed or not. */
    public void sessionEnded() {
        List<Carried> all = new ArrayList<>(underWay.values());
        all.addAll(waiting);
        underWay.clear();
        waiting.clear();
        all.forEach(c -> c.to.accept(null));
    }

    /** How many are under way or wait. */
    public int size() {
        return underWay.size() + waiting.size();
    }
}
