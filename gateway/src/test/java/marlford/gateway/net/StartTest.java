package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.stream.IntStream;
import marlford.gateway.net.Sockets.Server;
import marlford.gateway.start.StartBudget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A start whatever discovery does, among peers that say nothing: it ends, and clients are served. How long it may take in all,
 * {@code StartBudgetTest} shows in virtual time; here the budget is that of a process just born, or long overdue.
 */
class StartTest extends SocketTest {
    private static final int HOSTS = 36_000; // just below the 4 MiB that are read of a list

    private enum Agent {
        SILENT, TURNS_AWAY, HUGE_LIST, ENDLESS_LIST, NO_LIST, CLOSES, NEVER_UP;

        String address(StartTest test) throws IOException {
            if (this == NEVER_UP) {
                return test.closeAfterTest(new Door()).address();
            }
            return test.closeAfterTest(new Server((m, s) -> {
                switch (this) {
                    case TURNS_AWAY -> s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
                    case HUGE_LIST -> {
                        if (!m.start().contains("from=")) {
                            s.getOutputStream().write(ok(hugeList()));
                        }
                    }
                    case ENDLESS_LIST -> {
                        s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n"));
                        while (true) {
                            s.getOutputStream().write(new byte[1 << 16]);
                        }
                    }
                    case NO_LIST -> s.getOutputStream().write(ok("[{"));
                    case CLOSES -> s.close();
                    default -> { }
                }
            })).address();
        }

        private static String hugeList() {
            return list(1, true, IntStream.range(0, HOSTS).mapToObj(i -> entry("h" + i, "10.0.0.1:80", "ready"))
                    .toArray(String[]::new));
        }
    }

    private Node started(Agent agent, String known, long ageMs) throws Exception {
        String silentPeers = Sockets.config(agent.address(this), "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:2")
                .replace("\"servers\": []", "\"servers\": [" + known + "]");
        Node node = Sockets.unstarted(silentPeers);
        resources.push(node::stop);
        assertTrue(node.start(null, new StartBudget(() -> ageMs)));
        return node;
    }

    private int health(Node node) throws Exception {
        return connectClient(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status();
    }

    /** A restart has the list of before. */
    @ParameterizedTest
    @CsvSource({"SILENT,0", "TURNS_AWAY,0", "HUGE_LIST,0", "ENDLESS_LIST,0", "NO_LIST,0", "CLOSES,0", "NEVER_UP,0",
        "SILENT,60000", "TURNS_AWAY,60000", "HUGE_LIST,60000", "ENDLESS_LIST,60000", "NO_LIST,60000", "CLOSES,60000",
        "NEVER_UP,60000"})
    void aRestartIsHealthyWhateverDiscoveryDoes(Agent agent, long ageMs) throws Exception {
        assertEquals(200, health(started(agent, entry("before", "10.0.0.1:80", "ready"), ageMs)));
    }

    /** Its time for a list is over; before that it says no, as {@code DiscoveryTest} shows. */
    @ParameterizedTest
    @EnumSource(Agent.class)
    void aStartWithoutAnyListIsHealthyOnceItsTimeIsOver(Agent agent) throws Exception {
        Node node = started(agent, "", 60_000);
        Sockets.await(() -> health(node) == 200, "healthy without a list");
    }
}
