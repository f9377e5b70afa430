package marlford.gateway.net;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import marlford.gateway.start.StartBudget;
import marlford.gateway.upgrade.HandoverClient;

/**
 * Runs a node for a short time as its own host, peer and discovery agent, so that each part is executed once. The build
 * stores the classes that this loads in an archive, with which a restarted node starts in half the time.
 */
public final class StartupRehearsal {
    private static final int STATUS_LINE_BYTES = 64; // enough to hold a status line
    private static final int TIME_LIMIT_MS = 10_000;
    private static final String GATEWAY_NAME = "rehearsal";
    private static final String CONFIGURATION = """
            {"name": "rehearsal", "console": "%3$s", "listen": "%1$s", "discovery": "%2$s", "seed": "1", "peer_listen": "%1$s",
             "peers": ["%1$s", "%1$s"], "known": {"version": 1, "full": true, "servers": [{"id": "self",
               "addr": "%1$s", "zone": "a", "kind": "k", "cell": 0, "state": "ready", "weight": 1,
               "started_ms": 0}]},
             "settings": {"ordinal": 0, "balancers": 2, "az": "a", "limits": {"max_attempts": 3, "cancel": true,
               "peer_messages": true, "retry_after": true, "max_retry_after_ms": 500},
               "specifics": {"max_units": 4, "mail_per_s": 40}, "classes": [{"name": "view",
               "effect": "repeatable", "goal_time_ms": 300, "hard_limit_ms": 600},
               {"name": "order", "effect": "by_key", "key_scope": "zone", "window_ms": 60000,
               "goal_time_ms": 300, "hard_limit_ms": 600}],
               "plans": [{"name": "p", "units_per_s": 10, "depth": 10, "cap_rate": 20, "never_over_depth": 20}]}}
            """;
    private static final String REQUEST = "GET %s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Plan: p\r\n"
            + "X-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: 600\r\nX-Quota: units=1,spread=%d,first=0\r\n"
            + "Connection: close\r\n\r\n";

    private static final List<String> ADMIN_REQUESTS = List.of("GET /admin/stats HTTP/1.1\r\n\r\n",
            "GET /admin/health HTTP/1.1\r\n\r\n",
            "POST /admin/cordon HTTP/1.1\r\nContent-Length: 4\r\n\r\nself",
            "POST /admin/uncordon HTTP/1.1\r\nContent-Length: 4\r\n\r\nself",
            "POST /admin/quiesce HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            "POST /admin/resume HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    private static final String LIST = """
            {"version": 2, "full": true, "servers": [{"id": "self", "addr": "%s", "zone": "a", "state": "ready"}]}
            """;

    private StartupRehearsal() { }

    /**
     * Runs the rehearsal and returns when it is complete.
     *
     * @throws IOException if the node does not start or a request gets no answer
     */
    public static void run() throws IOException, InterruptedException {
        StderrLogger.install();
        InetSocketAddress address = freeAddress();
        InetSocketAddress console = freeAddress();
        String addressText = hostAndPort(address);
        Path file = Files.writeString(Files.createTempFile("rehearsal", ".json"),
                CONFIGURATION.formatted(addressText, startAgent(LIST.formatted(addressText)), hostAndPort(console)));
        Path folder = Files.createTempDirectory("rehearsal");
        ConfigurationReloader reloader = ConfigurationReloader.onHangup(file.toString());
        Node node;
        try {
            node = Node.serve(reloader, folder.toString(), StartBudget.ofThisProcess(), false);
        } catch (NodeConfig.BadConfig e) {
            throw new IOException(e);
        }
        try {
            sendDatagram(address);
            sendRequest(address, "/healthz", "0", 1);
            sendRequest(address, "/view/alone", "1", 1);
            sendRequest(address, "/view/shared", "2", 2);
            for (String request : ADMIN_REQUESTS) {
                exchange(console, request);
            }
            Path successorSocket = RuntimeDirectory.in(folder.toString(), GATEWAY_NAME, address).successorSocket();
            HandoverClient.find(successorSocket, TIME_LIMIT_MS).close(); // like a successor process that ends before the handover
        } finally {
            node.stop(); // otherwise its threads would keep the build running
            Files.delete(file);
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::deleteOnExit);
            }
        }
    }

    /** Sends a datagram as a peer would, although with meaningless content. */
    private static void sendDatagram(InetSocketAddress address) throws IOException {
        try (DatagramSocket peer = new DatagramSocket(0, address.getAddress())) {
            peer.send(new DatagramPacket(new byte[STATUS_LINE_BYTES], STATUS_LINE_BYTES, address));
        }
    }

    /** Returns an address with a free port. */
    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /** Starts a discovery agent that answers the list request and leaves the watch request open; returns its address. */
    private static String startAgent(String list) throws IOException {
        ServerSocket agent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread agentThread = new Thread(() -> {
            try (agent; Socket socket = agent.accept()) {
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                Node.log("rehearsal: the simulated discovery agent failed: " + e.getMessage());
            }
        });
        agentThread.setDaemon(true);
        agentThread.start();
        return agent.getInetAddress().getHostAddress() + ':' + agent.getLocalPort();
    }

    private static void sendRequest(InetSocketAddress address, String path, String id, int spread) throws IOException {
        exchange(address, REQUEST.formatted(path, id, spread));
    }

    /** Sends a request and waits for the start of its answer. */
    private static void exchange(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(TIME_LIMIT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            if (socket.getInputStream().readNBytes(STATUS_LINE_BYTES).length == 0) {
                throw new IOException("rehearsal: the connection was closed without an answer to the request " + request);
            }
        }
    }
}
