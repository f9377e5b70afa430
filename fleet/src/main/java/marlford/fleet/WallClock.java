package marlford.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The time of day, by which ticks and intervals of usage are numbered and nothing else is decided. Whoever sets the system's
 * clock moves it; in rehearsals of that ({@code -Dmarlford.faults=true}) a file beside the state says by how many
 * milliseconds it is wrong. From any thread.
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
