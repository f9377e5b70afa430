package deckfall.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which hosts are left out, across lives and between two processes. */
class LeftOutTest {
    @TempDir
    private Path dir;

    @Test
    void bothProcessesOfAnUpgradeGoByEitherOnesWord() throws IOException {
        LeftOut before = new LeftOut(dir.resolve("f"));
        assertTrue(before.add("s-1/..\u00e9"));
        LeftOut after = new LeftOut(dir.resolve("f"));
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
        assertEquals(Set.of(), new LeftOut(dir.resolve("f")).hosts());
    }

    /** The two are told the same within a moment of each other: neither sees the other's file in time. */
    @Test
    void aHostThatTheOtherProcessLeftOutMeanwhileIsNoFault() throws IOException {
        LeftOut one = new LeftOut(dir);
        LeftOut other = new LeftOut(dir);
        assertTrue(one.add("h"));
        assertTrue(other.add("h"));
        one.remove("h");
        other.remove("h");
        assertFalse(one.look());
    }

    @Test
    void filesOfOthersAreNoHosts() throws IOException {
        Files.createFile(dir.resolve("not*base64"));
        assertEquals(Set.of(), new LeftOut(dir).hosts());
    }

    @Test
    void thereIsRoomForSoManyAndTheNextIsRefused() throws IOException {
        LeftOut full = new LeftOut(null);
        for (int i = 0; i < LeftOut.MAX; i++) {
            assertTrue(full.add("h" + i));
        }
        assertFalse(full.add("one more"));
        assertTrue(full.add("h1"));
        full.remove("h1");
        assertTrue(full.add("one more"));
        assertFalse(new LeftOut(null).add("x".repeat(200)));
    }
}
