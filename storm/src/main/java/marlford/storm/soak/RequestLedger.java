package marlford.storm.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What clients know of each request, for hosts to hold an attempt against: when it was sent, how long its client waits, and when
 * that left. Thread-safe; all in one process, so by one clock.
 */
final class RequestLedger {
    /** What a repeat of a request does. */
    enum Effect {
        REPEATABLE,
        KEYED,
        ONCE
    }

    /** What a host finds when a request has come whole. */
    enum Finding {
        NONE,
        RAN_TWICE,
        RAN_IN_TWO_ZONES,
        AFTER_ITS_WINDOW
    }

    /** One request; times in nanoseconds, 0 where it has not come to that. */
    static final class Entry {
        volatile long sentNanos;
        final long deadlineMs;
        final Effect effect;
        volatile long leftNanos;
        volatile boolean hostFailed; // a host cut its answer off
        volatile boolean answerTaken; // the gateway has taken its whole answer from the host
        volatile boolean bodyOnTheWay; // its body is long, and its time counts from a later moment
        private String zone;
        private boolean ranUnlisted;
        private long ranNanos; // when it first came whole to a host

        Entry(long sentNanos, long deadlineMs, Effect effect) {
            this.sentNanos = sentNanos;
            this.deadlineMs = deadlineMs;
            this.effect = effect;
        }

        /** Notes that its connection has come up and it is being written now: its time counts from here. */
        void written() {
            sentNanos = System.nanoTime();
        }

        /** Notes an attempt that has come whole to a host of this zone. */
        synchronized Finding arrived(String hostZone, boolean hostListed, long nowNanos, double windowMs) {
            ranUnlisted |= !hostListed;
            boolean ran = ranNanos != 0;
            boolean elsewhere = ran && !hostZone.equals(zone);
            boolean late = ran && (nowNanos - ranNanos) / NANOS_PER_MS > windowMs;
            zone = hostZone;
            ranNanos = ran ? ranNanos : nowNanos;
            if (effect == Effect.ONCE) {
                return ran ? Finding.RAN_TWICE : Finding.NONE;
            }
            boolean judged = effect == Effect.KEYED;
            return judged && elsewhere
                    ? Finding.RAN_IN_TWO_ZONES
                    : judged && late ? Finding.AFTER_ITS_WINDOW : Finding.NONE;
        }

        /** Whether it came to a host that discovery had not told of. */
        synchronized boolean ranUnlisted() {
            return ranUnlisted;
        }

        private synchronized void takeOver(Entry earlier) {
            ranUnlisted = earlier.ranUnlisted;
            zone = earlier.zone;
            ranNanos = earlier.ranNanos;
        }
    }

    private static final double NANOS_PER_MS = 1e6;

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    Entry sent(String id, long deadlineMs, Effect effect) {
        Entry entry = new Entry(System.nanoTime(), deadlineMs, effect);
        entries.put(id, entry);
        return entry;
    }

    /** The same id is sent once more; whether it has run is not forgotten. */
    Entry sentAgain(String id) {
        Entry earlier = entries.get(id);
        Entry again = sent(id, earlier.deadlineMs, earlier.effect);
        again.takeOver(earlier);
        return again;
    }

    /** Null where no client sent it. */
    Entry of(String id) {
        return entries.get(id);
    }
}
