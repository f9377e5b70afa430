package marlford.gateway.console;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What a gateway has done since its start, counted by one event loop and read by any thread. A reader sees each count
 * as it was a moment ago; two counts that one event changes need not be of the same moment.
 */
public final class ServiceMetrics {
    /** How a request ended. */
    public enum End { ANSWERED, DEFERRED, ERRORED }

    private static final String PREFIX = "svc.";
    private static final int ENDS = End.values().length;

    private final List<String> classes;
    private final AtomicLongArray ends;
    private final AtomicLongArray plain = new AtomicLongArray(Plain.values().length);

    /** Figures that belong to no class. */
    private enum Plain { SENDS, CURRENT, CLUSTER_SIZE, CLUSTER_UNHEALTHY }

    /** @param classes the names of the classes of requests */
    public ServiceMetrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.ends = new AtomicLongArray(classes.size() * ENDS);
    }

    /** A request was taken: it is current until its {@link #closed end}. */
    public void taken() {
        add(Plain.CURRENT, 1);
    }

    /** A request that was taken is owed nothing any more: answered, or its client has gone. */
    public void closed() {
        add(Plain.CURRENT, -1);
    }

    /** A request of a class got its final answer; a class that is not known counts nowhere. */
    public void ended(String requestClass, End how) {
        int at = classes.indexOf(requestClass); // a handful of names
        if (at >= 0) {
            int cell = at * ENDS + how.ordinal();
            ends.lazySet(cell, ends.get(cell) + 1);
        }
    }

    /** An attempt has left whole for a host. */
    public void sent() {
        add(Plain.SENDS, 1);
    }

    /** The hosts of the list, and those of them that get nothing now, by hand or by choice. */
    public void cluster(int size, int avoided) {
        plain.lazySet(Plain.CLUSTER_SIZE.ordinal(), size);
        plain.lazySet(Plain.CLUSTER_UNHEALTHY.ordinal(), avoided);
    }

    private void add(Plain figure, long by) { // one writer, so no more than a plain store is needed
        plain.lazySet(figure.ordinal(), plain.get(figure.ordinal()) + by);
    }

    /** One line {@code name=value} for each figure. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (int c = 0; c < classes.size(); c++) {
            for (End how : End.values()) {
                line(text, lower(how) + '.' + classes.get(c), ends.get(c * ENDS + how.ordinal()));
            }
        }
        for (Plain figure : Plain.values()) {
            line(text, lower(figure), plain.get(figure.ordinal()));
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }

    private static String lower(Enum<?> figure) {
        return figure.name().toLowerCase(Locale.ROOT);
    }
}
