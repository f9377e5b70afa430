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

/** The made-up clients before the first real one. */
class WarmUpTest extends SocketTest {
    private static final int FEW = 200;

    private static NodeConfig config() throws Exception {
        return NodeConfig.of(new ObjectMapper().readTree(Sockets.config("127.0.0.1:1", "127.0.0.1:0")));
    }

    private static Set<String> loops() {
        return Thread.getAllStackTraces().keySet().stream().map(Thread::getName)
                .filter(n -> n.startsWith("nioEventLoopGroup")).collect(Collectors.toSet());
    }

    /** Every request is answered, whatever goes wrong among its hosts, and nothing of it runs on. */
    @Test
    void answersAllAndLeavesNothingBehind() throws Exception {
        Set<String> before = loops();
        assertEquals(FEW, WarmUp.run(config(), FEW, Sockets.PATIENCE_MS, () -> false));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Sockets.PATIENCE_MS);
        while (!before.containsAll(loops())) {
            assertTrue(System.nanoTime() < end, "runs on");
            Thread.sleep(5);
        }
    }

    /** A fleet that serves does not wait for a whole warm-up, only until each path of a request was gone once. */
    @Test
    void aReturnWaitsForAFewAnswersOnly() throws Exception {
        int answers = WarmUp.run(config(), Integer.MAX_VALUE, Sockets.PATIENCE_MS, () -> true);
        assertTrue(answers >= WarmUp.RETURNED, answers + " answers");
    }

    /** What it did to quotas, hosts and bounds was done to other modules: the first real customer finds all new. */
    @Test
    void aReturnAmongManyWaitsForFewer() {
        assertEquals(WarmUp.RETURNED, WarmUp.returned(3));
        assertEquals(WarmUp.RETURNED_AMONG_MANY, WarmUp.returned(14));
    }

    @Test
    void leavesTheRealNodeAsItWas() throws Exception {
        WarmUp.run(config(), FEW, Sockets.PATIENCE_MS, () -> false);
        Server host = host(SocketTest::echo);
        Client client = client(nodeBefore(host));
        Message answer = client.send(view("r1", Sockets.PATIENCE_MS).replace("X-Plan: free", "X-Plan: tiny")
                .replace("00000000b4d65521", "0000000000000001")).receive();
        assertEquals(200, answer.status());
        assertEquals(1, host.asked.size());
    }
}
