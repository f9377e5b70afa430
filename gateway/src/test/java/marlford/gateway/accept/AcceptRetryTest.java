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
}
