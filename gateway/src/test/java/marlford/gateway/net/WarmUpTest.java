package marlford.gateway.net;

import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;

/** The warm-up with synthetic clients before a node accepts real ones. */
class WarmUpTest extends SocketTest {
    private static final int ANSWERS = 200;

    private static NodeConfig config() throws Exception {
        return NodeConfig.of(new ObjectMapper().readTree(Sockets.config("127.0.0.1:1", "127.0.0.1:0")));
    }

    private static Set<String> eventLoopThreads() {
        return Thread.getAllStackTraces().keySet().stream().map(Thread::getName)
                .filter(n -> n.startsWith("nioEventLoopGroup")).collect(Collectors.toSet());
    }

    /** Every synthetic request is answered despite the simulated host faults, and no event loop keeps running. */
    @Test
    void answersEveryRequestAndStopsItsEventLoops() throws Exception {
        Set<String> before = eventLoopThreads();
        assertEquals(ANSWERS, WarmUp.run(config(), ANSWERS, Sockets.PATIENCE_MS, () -> false));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (!before.containsAll(eventLoopThreads())) {
            assertTrue(System.nanoTime() < end, "an event loop of the warm-up is still running");
            Thread.sleep(5);
        }
    }

    /** When other gateways serve, a restart waits only until each code path of a request has run once. */
    @Test
    void restartInAServingFleetEndsTheWarmUpEarly() throws Exception {
        int answers = WarmUp.run(config(), Integer.MAX_VALUE, Sockets.PATIENCE_MS, () -> true);
        assertTrue(answers >= WarmUp.RESTART_ANSWERS, answers + " answers, expected at least the number for a restart");
    }

    @Test
    void restartInALargeTierWaitsForFewerAnswers() {
        assertEquals(WarmUp.RESTART_ANSWERS, WarmUp.restartAnswers(3));
        assertEquals(WarmUp.RESTART_ANSWERS_LARGE_TIER, WarmUp.restartAnswers(14));
    }

    /** The warm-up uses its own decision engines, so it changes no quotas, hosts or limits of the real node. */
    @Test
    void leavesTheRealNodeUnchanged() throws Exception {
        WarmUp.run(config(), ANSWERS, Sockets.PATIENCE_MS, () -> false);
        Server host = startHost(SocketTest::echo);
        Client client = connectClient(startNodeWithHosts(host));
        Message answer = client.send(view("r1", Sockets.PATIENCE_MS).replace("X-Plan: free", "X-Plan: tiny")
                .replace("00000000b4d65521", "0000000000000001")).receive();
        assertEquals(200, answer.status());
        assertEquals(1, host.asked.size());
    }
}
