package marlford.gateway.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against taking a client for stopped that reads what already stands in the sockets. */
class TransferProgressTest {
    private static final double PAUSE_MS = TransferProgress.PAUSE_LIMIT_MS;
    private static final double SLOWEST_BYTES_PER_MS = 64; // the slowest client that the pages allow

    @Test
    void aPeerHasThePauseOnceOutputWaits() {
        TransferProgress progress = TransferProgress.towardsClient(0);
        progress.record(1000, 500, 0);
        assertFalse(progress.isStalled(PAUSE_MS));
        assertTrue(progress.isStalled(PAUSE_MS + 1));
    }

    @Test
    void aPeerThatHasReadEverythingIsNeverStalled() {
        TransferProgress progress = TransferProgress.towardsClient(0);
        progress.record(1000, 0, 500_000);
        assertFalse(progress.isStalled(1e9));
        assertEquals(0, progress.idleMs(1e9));
    }

    @Test
    void aSlowClientHasTheTimeToReadWhatItsSocketHolds() {
        TransferProgress progress = TransferProgress.towardsClient(0);
        int leftBytes = 640_000;
        progress.record(0, 500, leftBytes);
        double readMs = leftBytes / SLOWEST_BYTES_PER_MS;
        assertFalse(progress.isStalled(PAUSE_MS + readMs));
        assertTrue(progress.isStalled(PAUSE_MS + readMs + 1));
    }

    /** A later answer begins when the earlier ones have been read, so what they had put into the sockets is gone. */
    @Test
    void earlierMessagesGiveNoTime() {
        TransferProgress progress = TransferProgress.towardsClient(0);
        progress.record(0, 0, 640_000);
        progress.beginMessage();
        progress.record(100, 500, 640_000);
        assertTrue(progress.isStalled(PAUSE_MS + 101));
    }

    /** More output behind that which waits was once taken for progress. */
    @Test
    void outputThatIsAddedIsNoProgress() {
        TransferProgress progress = TransferProgress.towardsHost(0);
        progress.record(0, 500, 1000);
        progress.record(PAUSE_MS / 2, 900, 1000);
        assertTrue(progress.isStalled(PAUSE_MS + 1));
    }

    @Test
    void anyByteThatLeavesIsProgress() {
        TransferProgress progress = TransferProgress.towardsHost(0);
        for (int i = 0; i < 10; i++) {
            progress.record(i * PAUSE_MS, 500, i + 1);
        }
        assertFalse(progress.isStalled(10 * PAUSE_MS));
        assertTrue(progress.isStalled(10 * PAUSE_MS + 1));
    }

    @Test
    void theDeadlineMovesOnlyWhileTheBodyIsKnownToBeIncomplete() {
        RequestDeadline deadline = new RequestDeadline(100, 6080, 15_000);
        assertEquals(6080, deadline.atMs());
        deadline.recordIncomplete(1100);
        assertEquals(7080, deadline.atMs());
        deadline.recordIncomplete(500);
        assertEquals(7080, deadline.atMs());
        deadline.recordIncomplete(1e9);
        assertEquals(15_000 + 6080, deadline.atMs());
    }
}
