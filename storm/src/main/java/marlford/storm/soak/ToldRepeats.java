package marlford.storm.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds by the trace of a gateway which orders it repeated although it had to know that another host may have the address where they had been sent
 * before: a list had told it, or discovery had been silent for so long that the change counted as told. Otherwise it could not know.
 */
final class ToldRepeats {
    private static final double SILENT_MS =
            6500; // 6 s, from which on a change counts as told, and half a second for the event loop
    private static final Pattern SENT = Pattern.compile(" attempt request=(\\S+) number=(\\d+) host=(\\S+)");
    private static final Pattern BEGUN =
            Pattern.compile("trace (\\S+) attempt-begun request=(\\S+) number=(\\d+) opened_ago_ms=(\\d+)");
    private static final Pattern ENDED = Pattern.compile(" tenure-ended host=(\\S+)");
    private static final Pattern CONFIRMED = Pattern.compile("trace (\\S+) list-confirmed age_ms=(\\d+)");

    private final Set<String> orders;
    private final Map<String, String> hostOfAttempt = new HashMap<>(); // by the request and the number
    private final Map<String, Set<String>> hostsReached = new HashMap<>(); // by the request
    private final Map<String, Double> openedAtMs = new HashMap<>(); // by the request: its newest connection
    private final Set<String> inDoubt = new HashSet<>(); // orders that reached a host whose tenure has ended since
    private final Set<String> repeated = new HashSet<>();
    private double confirmedAtMs = Double.NaN;

    private ToldRepeats(Set<String> orders) {
        this.orders = orders;
    }

    /** Returns those of the orders that were repeated so. */
    static Set<String> in(List<String> trace, Set<String> orders) {
        ToldRepeats found = new ToldRepeats(orders);
        trace.forEach(found::read);
        return found.repeated;
    }

    private void read(String line) {
        Matcher sent = SENT.matcher(line);
        Matcher begun = BEGUN.matcher(line);
        Matcher ended = ENDED.matcher(line);
        Matcher confirmed = CONFIRMED.matcher(line);
        if (sent.find() && orders.contains(sent.group(1))) {
            hostOfAttempt.put(sent.group(1) + sent.group(2), sent.group(3));
        } else if (begun.find() && orders.contains(begun.group(2))) {
            double now = Double.parseDouble(begun.group(1));
            begin(
                    begun.group(2),
                    hostOfAttempt.get(begun.group(2) + begun.group(3)),
                    now,
                    now - Long.parseLong(begun.group(4)));
        } else if (confirmed.find()) {
            confirmedAtMs = Double.parseDouble(confirmed.group(1)) - Long.parseLong(confirmed.group(2));
        } else if (ended.find()) {
            hostsReached.forEach((order, hosts) -> {
                if (hosts.contains(ended.group(1))) {
                    inDoubt.add(order);
                }
            });
        }
    }

    private void begin(String order, String host, double now, double openedMs) {
        boolean openedInSilence = openedAtMs.getOrDefault(order, Double.NEGATIVE_INFINITY) > confirmedAtMs;
        boolean silent = now - confirmedAtMs > SILENT_MS && openedInSilence;
        if (inDoubt.contains(order) || silent) {
            repeated.add(order);
        }
        hostsReached.computeIfAbsent(order, key -> new HashSet<>()).add(host);
        openedAtMs.merge(order, openedMs, Math::max);
    }
}
