package marlford.storm.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What clients know of each request, for hosts to hold an attempt against: when it was sent, how long its client waits, and when
 * that left. Thread-safe; all in one process, so by one clock.
 */
final class RequestLedger {
    /** One request; times in nanoseconds, 0 where it has not come to that. */
    static final class Entry {
        final long sentNanos;
        final long deadlineMs;
        final boolean keyed;
        volatile long leftNanos;
        volatile boolean hostFailed; // a host cut its answer off
        volatile boolean bodyOnTheWay; // its body is long, and its time counts from a later moment
        private String zone;
        private boolean ran;

        Entry(long sentNanos, long deadlineMs, boolean keyed) {
            this.sentNanos = sentNanos;
            this.deadlineMs = deadlineMs;
            this.keyed = keyed;
        }

        /** Notes an attempt that has come whole to a host of this zone; whether a keyed one then ran in two zones. */
        synchronized boolean runsElsewhere(String hostZone) {
            boolean elsewhere = keyed && ran && !hostZone.equals(zone);
            zone = hostZone;
            ran = true;
            return elsewhere;
        }
    }

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    Entry sent(String id, long deadlineMs, boolean keyed) {
        Entry entry = new Entry(System.nanoTime(), deadlineMs, keyed);
        entries.put(id, entry);
        return entry;
    }

    /** Null where no client sent it. */
    Entry of(String id) {
        return entries.get(id);
    }
}
