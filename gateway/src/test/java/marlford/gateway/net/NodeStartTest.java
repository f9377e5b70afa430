package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.stream.IntStream;
import marlford.gateway.net.Sockets.RecordingServer;
import marlford.gateway.start.StartBudget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A node starts and serves clients whatever the discovery agent does, among peers that send nothing. StartBudgetTest
 * shows in virtual time how long a start may take in all; here the budget is that of a process that has just started,
 * or is long overdue.
 */
class NodeStartTest extends SocketTest {
    private static final int HUGE_LIST_HOSTS = 36_000; // just below the 4 MiB read of a list

    private enum Agent {
        SILENT, REJECTS, HUGE_LIST, ENDLESS_LIST, MALFORMED_LIST, CLOSES, NEVER_ACCEPTS;

        String address(NodeStartTest test) throws IOException {
            if (this == NEVER_ACCEPTS) {
                return test.closeAfterTest(new BlockedHost()).address();
            }
            return test.closeAfterTest(new RecordingServer((m, s) -> {
                switch (this) {
                    case REJECTS -> s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
                    case HUGE_LIST -> {
                        if (!m.startLine().contains("from=")) {
                            s.getOutputStream().write(ok(hugeList()));
                        }
                    }
                    case ENDLESS_LIST -> {
                        s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n"));
                        while (true) {
                            s.getOutputStream().write(new byte[1 << 16]);
                        }
                    }
                    case MALFORMED_LIST -> s.getOutputStream().write(ok("[{"));
                    case CLOSES -> s.close();
                    default -> { }
                }
            })).address();
        }

        private static String hugeList() {
            return list(1, true, IntStream.range(0, HUGE_LIST_HOSTS).mapToObj(i -> entry("h" + i, "10.0.0.1:80", "ready"))
                    .toArray(String[]::new));
        }
    }

    private Node startNode(Agent agent, String known, long ageMs) throws Exception {
        String silentPeers = Sockets.config(agent.address(this), "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:2")
                .replace("\"servers\": []", "\"servers\": [" + known + "]");
        Node node = Sockets.createNode(silentPeers);
        resources.push(node::stop);
        assertTrue(node.start(null, new StartBudget(() -> ageMs)));
        return node;
    }

    private int healthStatus(Node node) throws Exception {
        return connectClient(node).send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").receive().status();
    }

    /** A restart has the previous host list. */
    @ParameterizedTest
    @CsvSource({"SILENT,0", "REJECTS,0", "HUGE_LIST,0", "ENDLESS_LIST,0", "MALFORMED_LIST,0", "CLOSES,0", "NEVER_ACCEPTS,0",
        "SILENT,60000", "REJECTS,60000", "HUGE_LIST,60000", "ENDLESS_LIST,60000", "MALFORMED_LIST,60000", "CLOSES,60000",
        "NEVER_ACCEPTS,60000"})
    void aRestartIsHealthyWhateverDiscoveryDoes(Agent agent, long ageMs) throws Exception {
        assertEquals(200, healthStatus(startNode(agent, entry("before", "10.0.0.1:80", "ready"), ageMs)));
    }

    /** The time for fetching a list is over; until then the health check fails, as {@code DiscoveryTest} shows. */
    @ParameterizedTest
    @EnumSource(Agent.class)
    void aStartWithoutAnyListIsHealthyOnceItsTimeHasExpired(Agent agent) throws Exception {
        Node node = startNode(agent, "", 60_000);
        Sockets.await(() -> healthStatus(node) == 200, "healthy without a list");
    }
}
