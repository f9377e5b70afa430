package marlford.storm.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Processor time by part, taken by a clock that is read before and after each call. */
final class PartTimer {
    /** What a gateway's control spends time on. */
    enum Part {
        /** A request's decision, up to its question or its verdict. */
        DECISION,
        /** A message of another gateway. */
        MESSAGES,
        /** The regular beat: questions not answered, words to stand-ins. */
        BEAT,
        /** The list of hosts. */
        LIST,
        /** Handing a message to the socket. */
        SOCKET
    }

    /** Never reads a clock. */
    static PartTimer off() {
        return new PartTimer(() -> 0);
    }

    private static final class Sum {
        long nanos;
        long calls;
    }

    private final LongSupplier clock;
    private final Map<Part, Sum> sums = new EnumMap<>(Part.class);
    private long nestedNanos; // of what ran inside of the work that runs now

    PartTimer(LongSupplier clock) {
        this.clock = clock;
        for (Part part : Part.values()) {
            sums.put(part, new Sum());
        }
    }

    /** Work inside of other work counts for its own part alone. */
    void time(Part part, Runnable work) {
        long outerNested = nestedNanos;
        nestedNanos = 0;
        long before = clock.getAsLong();
        work.run();
        long elapsed = clock.getAsLong() - before;
        Sum sum = sums.get(part);
        sum.nanos += elapsed - nestedNanos;
        sum.calls++;
        nestedNanos = outerNested + elapsed;
    }

    long nanos(Part part) {
        return sums.get(part).nanos;
    }

    long calls(Part part) {
        return sums.get(part).calls;
    }

    void clear() {
        sums.values().forEach(sum -> sum.nanos = sum.calls = 0);
    }
}
