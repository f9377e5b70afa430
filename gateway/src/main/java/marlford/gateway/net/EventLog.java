package marlford.gateway.net;

import java.util.Locale;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Outcome;

/**
 * Says what happens to requests and connections, and why: counted by reason for the line of each second, and, where the process
 * is traced, one line for each event with the request's id. On the event loop.
 */
final class EventLog {
    /** The environment's name for a line for each event; any value but an empty one switches it on. */
    static final String TRACE = "NODE_TRACE";

    /** Why a request was refused. */
    enum Refusal {
        /** More requests are open than may be. */
        TOO_MANY_OPEN,
        /** Nothing is sent on any more, as the process ends. */
        ENDING,
        /** The decision module's word. */
        DECIDED,
        /** Held without an attempt when its time, or its client's end, could not be waited for. */
        NEVER_SENT
    }

    private final Clock clock;
    private final Consumer<String> trace; // null where the process is not traced
    private final int[] closed = new int[CloseReason.values().length];
    private final int[] refused = new int[Refusal.values().length];
    private int retried;

    EventLog(Clock clock) {
        this(clock, System.getenv().getOrDefault(TRACE, "").isEmpty() ? null : Node::log);
    }

    /** @param trace takes a line for each event; null for none */
    EventLog(Clock clock, Consumer<String> trace) {
        this.clock = clock;
        this.trace = trace;
    }

    void opened(long connection) {
        if (trace != null) {
            line("opened client=" + connection);
        }
    }

    /** @param request that was under way; null for none */
    void closed(long connection, CloseReason why, String request) {
        closed[why.ordinal()]++;
        if (trace != null) {
            line("closed client=" + connection + " reason=" + lower(why) + (request == null ? "" : " request=" + request));
        }
    }

    void taken(long connection, String request) {
        if (trace != null) {
            line("taken request=" + request + " client=" + connection);
        }
    }

    void refused(String request, Refusal why) {
        refused[why.ordinal()]++;
        if (trace != null) {
            line("refused request=" + request + " reason=" + lower(why));
        }
    }

    void failed(String request) {
        if (trace != null) {
            line("failed request=" + request);
        }
    }

    /** @param number of the attempt; above 0 it repeats the request */
    void attempted(String request, int number, String host) {
        if (number > 0) {
            retried++;
        }
        if (trace != null) {
            line("attempt request=" + request + " number=" + number + " host=" + host);
        }
    }

    void attemptEnded(String request, int number, Outcome outcome) {
        if (trace != null) {
            line("attempt-ended request=" + request + " number=" + number + " outcome=" + lower(outcome));
        }
    }

    /** What the process does from now on: serves, drains, ... */
    void state(String what) {
        if (trace != null) {
            line("state " + what);
        }
    }

    private void line(String event) {
        trace.accept(String.format(Locale.ROOT, "trace %.1f %s", clock.now(), event));
    }

    private static String lower(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT);
    }

    /** {@code  name=count} for all that is not 0; the counts begin anew. */
    String take() {
        StringBuilder text = new StringBuilder();
        append(text, "closed_", CloseReason.values(), closed);
        append(text, "refused_", Refusal.values(), refused);
        if (retried > 0) {
            text.append(" retried=").append(retried);
            retried = 0;
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String prefix, Enum<?>[] names, int[] counts) {
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0) {
                text.append(' ').append(prefix).append(lower(names[i])).append('=').append(counts[i]);
                counts[i] = 0;
            }
        }
    }
}
