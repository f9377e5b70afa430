package marlford.storm.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a soak found: broken rules, and counts of what was played. Thread-safe. */
final class SoakFindings {
    private static final int KEPT_MAX = 100;

    /** What was counted. */
    enum Count {
        SERVED,
        LONG_SERVED,
        REFUSED,
        FAILED,
        LATE,
        RESENT,
        CUT_BY_KILL,
        STOPPED_ENDED,
        STOPPED_CUT,
        ENDLESS_ENDED,
        FAULTS,
        VOID,
        KNOWN_RED
    }

    private final List<String> broken = new ArrayList<>();
    private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
    private double longestStopMs;
    private int brokenCount;

    synchronized void broken(String what) {
        brokenCount++;
        if (broken.size() < KEPT_MAX) {
            broken.add(what);
        }
    }

    /** A finding that rests on times measured from outside: void where the machine was too busy to measure them. */
    void timed(boolean machineBusy, String what) {
        if (machineBusy) {
            count(Count.VOID);
        } else {
            broken(what);
        }
    }

    synchronized void count(Count what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** A client that had stopped got its end after so long. */
    synchronized void stopped(double ms) {
        count(Count.STOPPED_ENDED);
        longestStopMs = Math.max(longestStopMs, ms);
    }

    synchronized List<String> broken() {
        return List.copyOf(broken);
    }

    synchronized String summary() {
        StringBuilder text = new StringBuilder("broken=" + brokenCount);
        counts.forEach((what, count) -> text.append(' ')
                .append(what.name().toLowerCase(Locale.ROOT))
                .append('=')
                .append(count));
        return text.append(" longest_stop_ms=")
                .append(Math.round(longestStopMs))
                .toString();
    }
}
