package marlford.gateway.net;

import java.util.Locale;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.guard.ClientProgress.Stall;
import marlford.gateway.guard.Staleness;

/**
 * Records events of requests and connections: it counts them by reason for the activity line of each second and, when the
 * process is traced, writes one line per event with the request id. Used on the event loop.
 */
final class EventLog {
    /** Environment variable that switches the trace on when it is set and not empty. */
    static final String TRACE_VARIABLE = "NODE_TRACE";

    /** Why a request was refused. */
    enum Refusal {
        /** The maximum number of requests is open. */
        TOO_MANY_OPEN,
        /** The process is ending and sends no further attempts. */
        ENDING,
        /** A request with the same id was sent before and must not run again; answered with status 409. */
        ID_SENT_BEFORE,
        /** The decision engine refused it. */
        DECIDED,
        /** It was held, and no attempt had been written whole, when the process stopped sending. */
        NEVER_SENT,
        /** It could not be told whether its client was still connected, as too much input waited unread. */
        PRESENCE_UNKNOWN
    }

    private final Clock clock;
    private final Consumer<String> trace; // null when the process is not traced
    private final int[] closed = new int[CloseReason.values().length];
    private final int[] refused = new int[Refusal.values().length];
    private final int[] unsent = new int[Staleness.values().length];
    private int retried;

    EventLog(Clock clock) {
        this(clock, System.getenv().getOrDefault(TRACE_VARIABLE, "").isEmpty() ? null : Node::log);
    }

    /** @param trace receives one line per event; null for no trace */
    EventLog(Clock clock, Consumer<String> trace) {
        this.clock = clock;
        this.trace = trace;
    }

    /** Records that a client has connected. */
    void opened(long connection) {
        if (trace != null) {
            writeLine("opened client=" + connection);
        }
    }

    /**
     * Records that a client that has stalled is ended.
     *
     * @param where it has stalled
     * @param stalledMs time without progress
     * @param leftBytes output that has left this process since the request's turn came
     * @param pendingBytes output that has not
     */
    void stalled(long connection, Stall where, double stalledMs, long leftBytes, long pendingBytes) {
        if (trace != null) {
            writeLine("stalled client=" + connection + " where=" + lowerCaseName(where) + " for_ms=" + (long) stalledMs + " left_bytes="
                    + leftBytes + " pending_bytes=" + pendingBytes);
        }
    }

    /** @param request id of the request that is left unanswered; null when there is none */
    void closed(long connection, CloseReason reason, String request) {
        closed[reason.ordinal()]++;
        if (trace != null) {
            writeLine("closed client=" + connection + " reason=" + lowerCaseName(reason) + (request == null ? "" : " request=" + request));
        }
    }

    /**
     * Records that a request was passed to the decision engine.
     *
     * @param remainingMs time until its deadline
     */
    void requestReceived(long connection, String request, double remainingMs) {
        if (trace != null) {
            writeLine("taken request=" + request + " client=" + connection + " remaining_ms=" + (long) remainingMs);
        }
    }

    /** Records that the last byte of a request's streamed body was read. */
    void bodyReceived(String request, double remainingMs) {
        if (trace != null) {
            writeLine("body-received request=" + request + " remaining_ms=" + (long) remainingMs);
        }
    }

    /**
     * Records that the first byte of an attempt is written.
     *
     * @param openedAgoMs age of its connection
     * @param isListedHost whether that certainly leads to the listed host, or to one that drops its repeats
     */
    void attemptBegun(String request, int number, double openedAgoMs, boolean isListedHost) {
        if (trace != null) {
            writeLine("attempt-begun request=" + request + " number=" + number + " opened_ago_ms=" + (long) openedAgoMs + " certain="
                    + isListedHost);
        }
    }

    /** Records that a list has ended the tenure of a host's address, so that its connections are no longer used. */
    void tenureEnded(String host) {
        if (trace != null) {
            writeLine("tenure-ended host=" + host);
        }
    }

    /**
     * Records that discovery has confirmed the list of hosts.
     *
     * @param ageMs for how long the word may have waited before it was read
     */
    void listConfirmed(double ageMs) {
        if (trace != null) {
            writeLine("list-confirmed age_ms=" + (long) ageMs);
        }
    }

    /** Records that the last byte of an attempt was written. */
    void attemptWritten(String request, int number) {
        if (trace != null) {
            writeLine("attempt-written request=" + request + " number=" + number);
        }
    }

    /**
     * Records that the answer of an attempt is passed on before it is complete.
     *
     * @param remainingMs time until the deadline of the request
     */
    void streamStarted(String request, int number, double remainingMs) {
        if (trace != null) {
            writeLine("streamed request=" + request + " number=" + number + " remaining_ms=" + (long) remainingMs);
        }
    }

    void refused(String request, Refusal reason) {
        refused[reason.ordinal()]++;
        if (trace != null) {
            writeLine("refused request=" + request + " reason=" + lowerCaseName(reason));
        }
    }

    void failed(String request) {
        if (trace != null) {
            writeLine("failed request=" + request);
        }
    }

    /** @param number of the attempt; above 0 the attempt repeats the request */
    void attemptStarted(String request, int number, String host) {
        if (number > 0) {
            retried++;
        }
        if (trace != null) {
            writeLine("attempt request=" + request + " number=" + number + " host=" + host);
        }
    }

    /** Records that an attempt was not written, although it was decided. */
    void unsent(String request, int number, Staleness reason) {
        unsent[reason.ordinal()]++;
        if (trace != null) {
            writeLine("unsent request=" + request + " number=" + number + " reason=" + lowerCaseName(reason));
        }
    }

    void attemptEnded(String request, int number, Outcome outcome) {
        if (trace != null) {
            writeLine("attempt-ended request=" + request + " number=" + number + " outcome=" + lowerCaseName(outcome));
        }
    }

    /** Records a change in the state of the process, such as the start of a drain. */
    void state(String what) {
        if (trace != null) {
            writeLine("state " + what);
        }
    }

    private void writeLine(String event) {
        trace.accept(String.format(Locale.ROOT, "trace %.1f %s", clock.now(), event));
    }

    private static String lowerCaseName(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT);
    }

    /** Returns {@code  name=count} for each count above 0 and resets the counts. */
    String takeCounts() {
        StringBuilder text = new StringBuilder();
        append(text, "closed_", CloseReason.values(), closed);
        append(text, "refused_", Refusal.values(), refused);
        append(text, "unsent_", Staleness.values(), unsent);
        if (retried > 0) {
            text.append(" retried=").append(retried);
            retried = 0;
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String prefix, Enum<?>[] names, int[] counts) {
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0) {
                text.append(' ').append(prefix).append(lowerCaseName(names[i])).append('=').append(counts[i]);
                counts[i] = 0;
            }
        }
    }
}
