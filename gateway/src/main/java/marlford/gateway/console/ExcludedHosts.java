package marlford.gateway.console;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The hosts that operators have excluded. Each is stored as an empty file in a folder, so that the set survives a restart and
 * both processes of an upgrade use the same one. Without a folder the set is kept in memory only.
 *
 * <p>A folder that cannot be read does not prevent a start; it is read again later. A change that cannot be stored is not
 * applied.
 *
 * <p>Limit: {@value #MAX_HOSTS} hosts; one more is rejected, which the operator sees. Not thread-safe.
 */
final class ExcludedHosts {
    static final int MAX_HOSTS = 1024;
    private static final int MAX_ID_BYTES = 180; // the Base64 file name is a third longer, and limited to 255 bytes

    private final Path folder; // null to keep the set in memory only
    private Set<String> hosts = new TreeSet<>();

    /**
     * Reads the hosts from the folder, which need not exist yet.
     *
     * @param log receives one line if the folder cannot be read
     */
    ExcludedHosts(Path folder, Consumer<String> log) {
        this.folder = folder;
        try {
            reload();
        } catch (IOException e) {
            log.accept("console: cannot read the excluded hosts yet, starting without any and retrying; check the directory TMPDIR: " + e);
        }
    }

    /** Returns a copy of the set. */
    Set<String> hosts() {
        return Set.copyOf(hosts);
    }

    /**
     * Excludes a host. Returns false if the limit is reached or the id is too long.
     *
     * @throws IOException if it cannot be stored; the set is unchanged then
     */
    boolean add(String host) throws IOException {
        if (hosts.contains(host)) {
            return true;
        }
        if (hosts.size() >= MAX_HOSTS || host.getBytes(StandardCharsets.UTF_8).length > MAX_ID_BYTES) {
            return false;
        }
        if (folder != null) {
            try {
                Files.createFile(file(host));
            } catch (FileAlreadyExistsException e) {
                // the other process has excluded it as well
            }
        }
        return hosts.add(host);
    }

    /**
     * Includes a host again; no effect if it is not excluded.
     *
     * @throws IOException if its file cannot be deleted; the set is unchanged then
     */
    void remove(String host) throws IOException {
        if (folder != null && hosts.contains(host)) {
            Files.deleteIfExists(file(host));
        }
        hosts.remove(host);
    }

    /** Reads the folder again, to apply changes by another process. Returns whether the set has changed. */
    boolean reload() throws IOException {
        if (folder == null) {
            return false;
        }
        Files.createDirectories(folder);
        Set<String> stored = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                String host = hostId(file.getFileName().toString());
                if (host != null && stored.size() < MAX_HOSTS) {
                    stored.add(host);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        boolean changed = !stored.equals(hosts);
        hosts = stored;
        return changed;
    }

    private Path file(String host) {
        return folder.resolve(Base64.getUrlEncoder().withoutPadding()
                .encodeToString(host.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the host id that a file name encodes; null if it is not valid Base64. */
    private static String hostId(String fileName) {
        try {
            return new String(Base64.getUrlDecoder().decode(fileName), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null; // the file is not one of this class
        }
    }
}
