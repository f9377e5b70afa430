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
 * The hosts that operators left out, each an empty file of a folder, so that they outlive the process and both
 * processes of an upgrade go by the same ones. Without a folder they are kept in memory alone.
 *
 * <p>A folder that fails keeps no process from its start: it is looked at again until it can be read, and no host is left out, or taken
 * back, that it can't keep.
 *
 * <p>Bound: {@value #MAX} hosts; one more is not taken, and the operator is told so. Not thread-safe.
 */
final class ExcludedHosts {
    static final int MAX = 1024; // hosts
    private static final int NAME_MAX = 180; // bytes of an id: its file's name is a third longer, and 255 at most

    private final Path folder; // null: memory alone
    private Set<String> hosts = new TreeSet<>();

    /**
     * Starts with the hosts of the folder, which need not exist yet.
     *
     * @param log takes one line where the folder can't be read
     */
    ExcludedHosts(Path folder, Consumer<String> log) {
        this.folder = folder;
        try {
            look();
        } catch (IOException e) {
            log.accept("console: can't read yet which hosts are left out: " + e);
        }
    }

    Set<String> hosts() {
        return Set.copyOf(hosts);
    }

    /** Leaves a host out; false where there is no room for it. */
    boolean add(String host) throws IOException {
        if (hosts.contains(host)) {
            return true;
        }
        if (hosts.size() >= MAX || host.getBytes(StandardCharsets.UTF_8).length > NAME_MAX) {
            return false;
        }
        if (folder != null) {
            try {
                Files.createFile(file(host));
            } catch (FileAlreadyExistsException e) {
                // the other process was told so, too
            }
        }
        return hosts.add(host);
    }

    void remove(String host) throws IOException {
        if (folder != null && hosts.contains(host)) {
            Files.deleteIfExists(file(host));
        }
        hosts.remove(host);
    }

    /** Takes over what another process was told; whether that changed anything. */
    boolean look() throws IOException {
        if (folder == null) {
            return false;
        }
        Files.createDirectories(folder);
        Set<String> found = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                String host = host(file.getFileName().toString());
                if (host != null && found.size() < MAX) {
                    found.add(host);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        boolean changed = !found.equals(hosts);
        hosts = found;
        return changed;
    }

    private Path file(String host) {
        return folder.resolve(Base64.getUrlEncoder().withoutPadding()
                .encodeToString(host.getBytes(StandardCharsets.UTF_8)));
    }

    private static String host(String name) {
        try {
            return new String(Base64.getUrlDecoder().decode(name), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null; // not a file of ours
        }
    }
}
