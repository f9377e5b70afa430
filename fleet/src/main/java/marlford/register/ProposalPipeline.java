package marlford.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Proposals of register commands under way, many at a time. Each is sent to the current leader again until it is
 * answered; commands are idempotent. Commands of one request are never concurrent, because its {@link RequestLease}
 * has one due at a time.
 *
 * <p>Limits: {@value #UNDER_WAY_MAX} proposals under way and {@value #WAITING_MAX} queued, beyond which a command is
 * not accepted. All are abandoned when the session ends. Times in milliseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class ProposalPipeline {
    static final int UNDER_WAY_MAX = 512;
    static final int WAITING_MAX = 8192;
    private static final double AGAIN_MS = 40; // until a failed proposal is sent again
    private static final double PATIENCE_MS = 500; // until a proposal without a reply is sent again

    /** A proposal to be sent to the leader now. */
    public record Outgoing(long id, RegisterCommand line) {}

    private static final class Carried {
        final RegisterCommand line;
        final Consumer<RegisterResult> to;
        double again; // when it is sent again

        Carried(RegisterCommand line, Consumer<RegisterResult> to) {
            this.line = line;
            this.to = to;
        }
    }

    private final Map<Long, Carried> underWay = new LinkedHashMap<>();
    private final ArrayDeque<Carried> waiting = new ArrayDeque<>();
    private long nextId;

    /** @param firstId first request id, distinct from others of the same connection */
    public ProposalPipeline(long firstId) {
        nextId = firstId;
    }

    /**
     * Queues a command.
     *
     * @param to gets the result, once; null if the session ended before it was known
     * @return false if the queue is full
     */
    public boolean carry(RegisterCommand line, Consumer<RegisterResult> to) {
        if (waiting.size() >= WAITING_MAX) {
            return false;
        }
        waiting.add(new Carried(line, to));
        return true;
    }

    /** The proposals to be sent now; to be called often. */
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
        late.forEach(c -> send(out, c, now)); // with a new id; a late reply to the former one is ignored
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

    /** A proposal was answered. */
    public void said(long id, RegisterResult s) {
        Carried c = underWay.remove(id);
        if (c != null) {
            c.to.accept(s);
        }
    }

    /** A proposal did not reach the leader. */
    public void failed(long id, double now) {
        Carried c = underWay.get(id);
        if (c != null) {
            c.again = Math.min(c.again, now + AGAIN_MS);
        }
    }

    /** The session has ended: proposals under way may or may not be committed. */
    public void sessionEnded() {
        List<Carried> all = new ArrayList<>(underWay.values());
        all.addAll(waiting);
        underWay.clear();
        waiting.clear();
        all.forEach(c -> c.to.accept(null));
    }

    /** The number of proposals under way or queued. */
    public int size() {
        return underWay.size() + waiting.size();
    }
}
