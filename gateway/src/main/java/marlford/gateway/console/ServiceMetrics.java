package marlford.gateway.console;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counters and gauges of a gateway since its start, written by one event loop and read by any thread. A reader sees recent
 * values; two values that one event changes need not be consistent with each other.
 */
public final class ServiceMetrics {
    /** The result of a request: answered, refused (deferred to a later time), or failed. */
    public enum End { ANSWERED, DEFERRED, ERRORED }

    private static final String PREFIX = "svc.";
    private static final int RESULT_COUNT = End.values().length;

    private final List<String> classes;
    private final AtomicLongArray resultCounts;
    private final AtomicLongArray plainValues = new AtomicLongArray(Plain.values().length);

    /** Metrics that are not kept per class of requests. */
    private enum Plain { SENDS, CURRENT, CLUSTER_SIZE, CLUSTER_UNHEALTHY }

    /** @param classes the names of the classes of requests */
    public ServiceMetrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.resultCounts = new AtomicLongArray(classes.size() * RESULT_COUNT);
    }

    /** A request was accepted; it counts as current until it is {@link #requestClosed}. */
    public void requestAccepted() {
        add(Plain.CURRENT, 1);
    }

    /** An accepted request needs no response any more: it was answered, or its client has disconnected. */
    public void requestClosed() {
        add(Plain.CURRENT, -1);
    }

    /** A request got its final response. Unknown classes are not counted. */
    public void requestAnswered(String requestClass, End result) {
        int classIndex = classes.indexOf(requestClass); // linear search: there are only a few classes
        if (classIndex >= 0) {
            int index = classIndex * RESULT_COUNT + result.ordinal();
            resultCounts.lazySet(index, resultCounts.get(index) + 1);
        }
    }

    /** The last byte of an attempt's request was written to a host. */
    public void attemptSent() {
        add(Plain.SENDS, 1);
    }

    /**
     * Sets the gauges of hosts.
     *
     * @param size number of hosts on the list
     * @param avoided number of those that get no requests now, excluded by operators or avoided by the decision engine
     */
    public void setHostCounts(int size, int avoided) {
        plainValues.lazySet(Plain.CLUSTER_SIZE.ordinal(), size);
        plainValues.lazySet(Plain.CLUSTER_UNHEALTHY.ordinal(), avoided);
    }

    private void add(Plain metric, long delta) { // a single writer needs no atomic update
        plainValues.lazySet(metric.ordinal(), plainValues.get(metric.ordinal()) + delta);
    }

    /** Returns one line {@code name=value} for each metric. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (int classIndex = 0; classIndex < classes.size(); classIndex++) {
            for (End result : End.values()) {
                appendLine(text, lowerCaseName(result) + '.' + classes.get(classIndex),
                        resultCounts.get(classIndex * RESULT_COUNT + result.ordinal()));
            }
        }
        for (Plain metric : Plain.values()) {
            appendLine(text, lowerCaseName(metric), plainValues.get(metric.ordinal()));
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }

    private static String lowerCaseName(Enum<?> metric) {
        return metric.name().toLowerCase(Locale.ROOT);
    }
}
