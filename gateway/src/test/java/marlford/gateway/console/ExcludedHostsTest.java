package marlford.gateway.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The set of excluded hosts across restarts and between the two processes of an upgrade. */
class ExcludedHostsTest {
    @TempDir
    private Path dir;

    @Test
    void changesByEitherProcessOfAnUpgradeApplyToBoth() throws IOException {
        ExcludedHosts runningProcess = new ExcludedHosts(dir.resolve("f"), line -> { });
        assertTrue(runningProcess.add("s-1/..\u00e9"));
        ExcludedHosts newProcess = new ExcludedHosts(dir.resolve("f"), line -> { });
        assertEquals(Set.of("s-1/..\u00e9"), newProcess.hosts());
        assertTrue(newProcess.add("s-1/..\u00e9"));
        assertTrue(newProcess.add("s-2"));
        assertTrue(runningProcess.reload());
        assertEquals(Set.of("s-1/..\u00e9", "s-2"), runningProcess.hosts());
        assertFalse(runningProcess.reload());
        runningProcess.remove("s-1/..\u00e9"); // one removal suffices, however often the host was added
        assertTrue(newProcess.reload());
        assertEquals(Set.of("s-2"), newProcess.hosts());
        newProcess.remove("s-2");
        newProcess.remove("s-2");
        assertEquals(Set.of(), new ExcludedHosts(dir.resolve("f"), line -> { }).hosts());
    }

    /** Both processes get the same change almost at once, before either has read the other's file. */
    @Test
    void concurrentChangesOfTheSameHostDoNotFail() throws IOException {
        ExcludedHosts first = new ExcludedHosts(dir, line -> { });
        ExcludedHosts second = new ExcludedHosts(dir, line -> { });
        assertTrue(first.add("h"));
        assertTrue(second.add("h"));
        first.remove("h");
        second.remove("h");
        assertFalse(first.reload());
    }

    @Test
    void filesThatEncodeNoHostAreIgnored() throws IOException {
        Files.createFile(dir.resolve("not*base64"));
        assertEquals(Set.of(), new ExcludedHosts(dir, line -> { }).hosts());
    }

    @Test
    void hostsBeyondTheLimitAndTooLongIdsAreRejected() throws IOException {
        ExcludedHosts excludedHosts = new ExcludedHosts(null, line -> { });
        for (int i = 0; i < ExcludedHosts.MAX_HOSTS; i++) {
            assertTrue(excludedHosts.add("h" + i));
        }
        assertFalse(excludedHosts.add("one more"));
        assertTrue(excludedHosts.add("h1"));
        excludedHosts.remove("h1");
        assertTrue(excludedHosts.add("one more"));
        assertFalse(new ExcludedHosts(null, line -> { }).add("x".repeat(200)));
    }

    /**
     * Guards against a start that fails because the folder cannot be read. A regular file in the folder's place stands for a
     * failing disk.
     */
    @Test
    void anUnreadableFolderDoesNotPreventTheStartAndIsReadLater() throws IOException {
        new ExcludedHosts(dir.resolve("f"), line -> { }).add("h");
        Files.move(dir.resolve("f"), dir.resolve("away"));
        Files.createFile(dir.resolve("f"));
        List<String> logLines = new ArrayList<>();
        ExcludedHosts excludedHosts = new ExcludedHosts(dir.resolve("f"), logLines::add);
        assertEquals(1, logLines.size());
        assertThrows(IOException.class, () -> excludedHosts.add("i"));
        assertThrows(IOException.class, excludedHosts::reload);
        assertEquals(Set.of(), excludedHosts.hosts());
        Files.delete(dir.resolve("f"));
        Files.move(dir.resolve("away"), dir.resolve("f"));
        assertTrue(excludedHosts.reload());
        assertEquals(Set.of("h"), excludedHosts.hosts());
    }
}
