package marlford.gateway.accept;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptRetryTest {
    private static final int FAILURES = 10_000;
    private static final int ACCEPTS_IN_A_FULL_READ = 16;
    private static final double WAIT_MS = 180;
    private static final double LAG_MS = 300;

    /** Thousands of single failures a second among accepted connections, as on a system that is short of buffers. */
    @Test
    void isolatedFailuresAreLoggedOnceASecond() {
        List<String> log = new ArrayList<>();
        AcceptRetry retry = new AcceptRetry(log::add);
        EmbeddedChannel listener = new EmbeddedChannel(retry);
        long began = System.nanoTime();
        for (int i = 0; i < FAILURES; i++) {
            listener.pipeline().fireExceptionCaught(new IOException("No buffer space available"));
            listener.pipeline().fireChannelRead("a connection");
        }
        long seconds = (System.nanoTime() - began) / 1_000_000_000;
        assertTrue(!log.isEmpty() && log.size() <= seconds + 1, log.size() + " log lines");
        assertEquals(2L * FAILURES, retry.acceptCalls());
        listener.finishAndReleaseAll();
    }

    /** Accepts as many connections as one read takes, behind which others may wait. */
    private static void acceptFullRead(EmbeddedChannel listener) {
        for (int i = 0; i < ACCEPTS_IN_A_FULL_READ; i++) {
            listener.pipeline().fireChannelRead("a connection");
        }
        listener.pipeline().fireChannelReadComplete();
    }

    /** The connections behind a failed accept go on waiting, and what they sent may be older than it seems. */
    @Test
    void aFailureDoesNotEndTheWaitOfOthers() {
        double[] nowMs = {1};
        AcceptRetry retry = new AcceptRetry(line -> { }, () -> { }, () -> nowMs[0], () -> nowMs[0]);
        EmbeddedChannel listener = new EmbeddedChannel(retry);
        acceptFullRead(listener);
        nowMs[0] += WAIT_MS;
        listener.pipeline().fireChannelRead("a connection");
        listener.pipeline().fireChannelReadComplete();
        listener.pipeline().fireExceptionCaught(new IOException("No buffer space available"));
        assertEquals(WAIT_MS, retry.backlogWaitMs());
        listener.pipeline().fireChannelReadComplete();
        assertEquals(0, retry.backlogWaitMs());
        listener.finishAndReleaseAll();
    }

    /** Guards against hosts that were told more time than their client had left: the queue stood as long as the event loop did. */
    @Test
    void connectionsThatWaitedWhileTheLoopWasLateWaitedFromBefore() {
        double[] nowMs = {1000};
        AcceptRetry retry = new AcceptRetry(line -> { }, () -> { }, () -> nowMs[0], () -> nowMs[0] - LAG_MS);
        EmbeddedChannel listener = new EmbeddedChannel(retry);
        acceptFullRead(listener);
        nowMs[0] += WAIT_MS;
        listener.pipeline().fireChannelRead("a connection");
        assertEquals(WAIT_MS + LAG_MS, retry.backlogWaitMs());
        listener.finishAndReleaseAll();
    }
}
