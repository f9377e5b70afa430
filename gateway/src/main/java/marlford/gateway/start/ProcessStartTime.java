package marlford.gateway.start;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * How old this process is: the time before {@code main} counts, too, and is a second on a slow machine. Read from the
 * system's own files, which count from its boot: the wall clock may be set, and the virtual machine's figure for the
 * start is good to a second only.
 */
public final class ProcessStartTime {
    private static final int STARTED = 19; // field of /proc/self/stat, counted behind the command's name: starttime
    private static final double TICKS_PER_SECOND = 100; // of /proc, on every architecture that the program runs on
    private static final double MS_PER_SECOND = 1000;

    private final long readAt = System.nanoTime();
    private final long ageThen;

    private ProcessStartTime(long ageThen) {
        this.ageThen = ageThen;
    }

    /** This process's; where the system does not tell, it began just now. */
    public static ProcessStartTime ofThisProcess() {
        try {
            return new ProcessStartTime(age(text("/proc/self/stat"), text("/proc/uptime")));
        } catch (IOException | RuntimeException e) {
            return ofNow();
        }
    }

    /** Of what begins with this call. */
    public static ProcessStartTime ofNow() {
        return new ProcessStartTime(0);
    }

    private static String text(String path) throws IOException {
        return new String(Files.readAllBytes(Path.of(path)), StandardCharsets.ISO_8859_1);
    }

    /** The name of a command may hold blanks and brackets, but nothing behind it holds a bracket. */
    static long age(String stat, String uptime) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double started = Long.parseLong(fields[STARTED]) / TICKS_PER_SECOND;
        double up = Double.parseDouble(uptime.substring(0, uptime.indexOf(' ')));
        return Math.max(0, Math.round((up - started) * MS_PER_SECOND));
    }

    /** Milliseconds since this process began. */
    public long ageMs() {
        return ageThen + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - readAt);
    }
}
