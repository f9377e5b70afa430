package marlford.gateway.start;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The age of this process, including the time before {@code main}, which is a second on a slow machine. It is read from
 * files of the operating system that count from its boot, since the wall clock may be set and the start time that the
 * virtual machine reports is exact to a second only.
 */
public final class ProcessStartTime {
    private static final int START_TIME_FIELD = 19; // starttime in /proc/self/stat, counted from the field after the command's name
    private static final double PROC_TICKS_PER_SECOND = 100; // in /proc, on every architecture that the program runs on
    private static final double MS_PER_SECOND = 1000;

    private final long readNanos = System.nanoTime();
    private final long ageWhenReadMs;

    private ProcessStartTime(long ageWhenReadMs) {
        this.ageWhenReadMs = ageWhenReadMs;
    }

    /** The start time of this process; the time of this call if the operating system does not provide it. */
    public static ProcessStartTime ofThisProcess() {
        try {
            return new ProcessStartTime(age(text("/proc/self/stat"), text("/proc/uptime")));
        } catch (IOException | RuntimeException e) {
            return ofNow();
        }
    }

    /** A start time equal to the time of this call. */
    public static ProcessStartTime ofNow() {
        return new ProcessStartTime(0);
    }

    private static String text(String path) throws IOException {
        return new String(Files.readAllBytes(Path.of(path)), StandardCharsets.ISO_8859_1);
    }

    /**
     * The process's age in milliseconds, from the contents of /proc/self/stat and /proc/uptime. The command's name in the former
     * may contain blanks and parentheses, but no field after it contains a parenthesis.
     */
    static long age(String stat, String uptime) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double startedSeconds = Long.parseLong(fields[START_TIME_FIELD]) / PROC_TICKS_PER_SECOND;
        double uptimeSeconds = Double.parseDouble(uptime.substring(0, uptime.indexOf(' ')));
        return Math.max(0, Math.round((uptimeSeconds - startedSeconds) * MS_PER_SECOND));
    }

    /** Milliseconds since this process began. */
    public long ageMs() {
        return ageWhenReadMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - readNanos);
    }
}
