import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Writes what was sent, answered and run to the record of a case, one event a line. May be used from any thread. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    /** Returns the time since the start of the case, in milliseconds. */
    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void event(String who, String what) {
        file.printf("%7d ms  %-12s %s%n", nowMs(), who, what);
        file.flush();
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
