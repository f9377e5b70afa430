package marlford.storm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.stream.Stream;

/** Directory trees of the processes. */
final class Directories {
    private static final Path MEMORY = Path.of("/dev/shm");

    private Directories() {}

    /**
     * Creates a directory for the processes' disks, in memory if the machine has such a file system: disk faults belong to the
     * schedule, and slow syncs of the machine's own disk must not add to them.
     */
    static Path createTemporary() throws IOException {
        return Files.isWritable(MEMORY)
                ? Files.createTempDirectory(MEMORY, "marlford-storm")
                : Files.createTempDirectory("marlford-storm");
    }

    /** Copies a tree, over what is there. */
    static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path p : files.toList()) {
                Path copy = to.resolve(from.relativize(p).toString());
                if (Files.isDirectory(p)) {
                    Files.createDirectories(copy);
                } else {
                    Files.copy(p, copy, StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
    }

    /** Deletes a tree, if it exists. */
    static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(p);
                }
            }
        }
    }
}
