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

/** Which hosts are left out, across lives and between two processes. */
class ExcludedHostsTest {
    @TempDir
    private Path dir;

    @Test
    void bothProcessesOfAnUpgradeGoByEitherOnesWord() throws IOException {
        ExcludedHosts before = new ExcludedHosts(dir.resolve("f"), line -> { });
        assertTrue(before.add("s-1/..\u00e9"));
        ExcludedHosts after = new ExcludedHosts(dir.resolve("f"), line -> { });
        assertEquals(Set.of("s-1/..\u00e9"), after.hosts());
        assertTrue(after.add("s-1/..\u00e9"));
        assertTrue(after.add("s-2"));
        assertTrue(before.look());
        assertEquals(Set.of("s-1/..\u00e9", "s-2"), before.hosts());
        assertFalse(before.look());
        before.remove("s-1/..\u00e9"); // one call back, however many there were
        assertTrue(after.look());
        assertEquals(Set.of("s-2"), after.hosts());
        after.remove("s-2");
        after.remove("s-2");
        assertEquals(Set.of(), new ExcludedHosts(dir.resolve("f"), line -> { }).hosts());
    }

    /** The two are told the same within a moment of each other: neither sees the other's file in time. */
    @Test
    void aHostThatTheOtherProcessLeftOutMeanwhileIsNoFault() throws IOException {
        ExcludedHosts one = new ExcludedHosts(dir, line -> { });
        ExcludedHosts other = new ExcludedHosts(dir, line -> { });
        assertTrue(one.add("h"));
        assertTrue(other.add("h"));
        one.remove("h");
        other.remove("h");
        assertFalse(one.look());
    }

    @Test
    void filesOfOthersAreNoHosts() throws IOException {
        Files.createFile(dir.resolve("not*base64"));
        assertEquals(Set.of(), new ExcludedHosts(dir, line -> { }).hosts());
    }

    @Test
    void thereIsRoomForSoManyAndTheNextIsRefused() throws IOException {
        ExcludedHosts full = new ExcludedHosts(null, line -> { });
        for (int i = 0; i < ExcludedHosts.MAX; i++) {
            assertTrue(full.add("h" + i));
        }
        assertFalse(full.add("one more"));
        assertTrue(full.add("h1"));
        full.remove("h1");
        assertTrue(full.add("one more"));
        assertFalse(new ExcludedHosts(null, line -> { }).add("x".repeat(200)));
    }

    /** A file stands in the folder's way, as a failing disk would: the start once ended with it. */
    @Test
    void aFolderThatFailsEndsTheStart() throws IOException {
        new ExcludedHosts(dir.resolve("f"), line -> { }).add("h");
        Files.move(dir.resolve("f"), dir.resolve("away"));
        Files.createFile(dir.resolve("f"));
        List<String> log = new ArrayList<>();
        ExcludedHosts excludedHosts = new ExcludedHosts(dir.resolve("f"), log::add);
        assertEquals(1, log.size());
        assertThrows(IOException.class, () -> excludedHosts.add("i"));
        assertThrows(IOException.class, excludedHosts::look);
        assertEquals(Set.of(), excludedHosts.hosts());
        Files.delete(dir.resolve("f"));
        Files.move(dir.resolve("away"), dir.resolve("f"));
        assertTrue(excludedHosts.look());
        assertEquals(Set.of("h"), excludedHosts.hosts());
    }
}
