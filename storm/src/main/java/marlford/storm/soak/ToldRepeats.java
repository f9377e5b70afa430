package marlford.storm.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds by the trace of a gateway which orders it repeated although a list had told it that another host may have the address where they
 * had been sent before. Where no list had told it, it could not know.
 */
final class ToldRepeats {
    private static final Pattern SENT = Pattern.compile(" attempt request=(\\S+) number=(\\d+) host=(\\S+)");
    private static final Pattern BEGUN = Pattern.compile(" attempt-begun request=(\\S+) number=(\\d+) ");
    private static final Pattern ENDED = Pattern.compile(" tenure-ended host=(\\S+)");

    private final Set<String> orders;
    private final Map<String, String> hostOfAttempt = new HashMap<>(); // by the request and the number
    private final Map<String, Set<String>> hostsReached = new HashMap<>(); // by the request
    private final Set<String> inDoubt = new HashSet<>(); // orders that reached a host whose tenure has ended since
    private final Set<String> repeated = new HashSet<>();

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
        if (sent.find() && orders.contains(sent.group(1))) {
            hostOfAttempt.put(sent.group(1) + sent.group(2), sent.group(3));
        } else if (begun.find() && orders.contains(begun.group(1))) {
            begin(begun.group(1), hostOfAttempt.get(begun.group(1) + begun.group(2)));
        } else if (ended.find()) {
            hostsReached.forEach((order, hosts) -> {
                if (hosts.contains(ended.group(1))) {
                    inDoubt.add(order);
                }
            });
        }
    }

    private void begin(String order, String host) {
        if (inDoubt.contains(order)) {
            repeated.add(order);
        }
        hostsReached.computeIfAbsent(order, key -> new HashSet<>()).add(host);
    }
}
