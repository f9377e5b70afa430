import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with times in milliseconds since the run began. */
final class Record implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;

    private final long beganNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - beganNanos) / NANOS_PER_MS;
    }

    synchronized void add(String line) {
        out.printf(Locale.ROOT, "%9.1f %s%n", now(), line);
        out.flush();
    }

    /** Adds a line to the record and to the standard output. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
