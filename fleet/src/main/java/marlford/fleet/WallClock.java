package marlford.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The time of day, used only to number ticks and usage intervals. In fault injection ({@code -Dmarlford.faults=true})
 * a file beside the state holds an offset in milliseconds. May be read from any thread.
 */
final class WallClock {
    private final Path wrong; // null where the clock is taken as it is

    /** @param folder of the process's state */
    WallClock(Path folder) {
        wrong = Boolean.getBoolean("marlford.faults") ? folder.resolve("clock") : null;
    }

    /** Milliseconds since 1970. */
    long ms() {
        long now = System.currentTimeMillis();
        if (wrong == null || !Files.exists(wrong)) {
            return now;
        }
        try {
            return now + Long.parseLong(Files.readString(wrong).trim());
        } catch (IOException | NumberFormatException e) {
            return now; // the rehearsal ends just now
        }
    }
}
