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
import marlford.gateway.upgrade.Predecessor;

/**
 * One short life of a node that is its own host, peer and discovery, so that each part runs once. The build keeps
 * the classes that it loads in an archive, from which a restarted node starts in half the time.
 */
public final class StartupRehearsal {
    private static final int ENOUGH = 64; // bytes that hold a status line
    private static final int PATIENCE_MS = 10_000;
    private static final String NAME = "rehearsal";
    private static final String CONFIG = """
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

    private static final List<String> CALLS = List.of("GET /admin/stats HTTP/1.1\r\n\r\n",
            "GET /admin/health HTTP/1.1\r\n\r\n",
            "POST /admin/cordon HTTP/1.1\r\nContent-Length: 4\r\n\r\nself",
            "POST /admin/uncordon HTTP/1.1\r\nContent-Length: 4\r\n\r\nself",
            "POST /admin/quiesce HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            "POST /admin/resume HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    private static final String LIST = """
            {"version": 2, "full": true, "servers": [{"id": "self", "addr": "%s", "zone": "a", "state": "ready"}]}
            """;

    private StartupRehearsal() { }

    /** Returns when all has been gone through. */
    public static void run() throws IOException, InterruptedException {
        StderrLogger.install();
        InetSocketAddress at = free();
        InetSocketAddress console = free();
        String address = text(at);
        Path file = Files.writeString(Files.createTempFile("rehearsal", ".json"),
                CONFIG.formatted(address, agent(LIST.formatted(address)), text(console)));
        Path folder = Files.createTempDirectory("rehearsal");
        ConfigurationReloader reload = ConfigurationReloader.onHangup(file.toString());
        Node node;
        try {
            node = Node.serve(reload, folder.toString(), StartBudget.ofThisProcess(), false);
        } catch (NodeConfig.BadConfig e) {
            throw new IOException(e);
        }
        try {
            say(at);
            ask(at, "/healthz", "0", 1);
            ask(at, "/view/alone", "1", 1);
            ask(at, "/view/shared", "2", 2);
            for (String call : CALLS) {
                call(console, call);
            }
            Path successor = RuntimeDirectory.in(folder.toString(), NAME, at).successor();
            Predecessor.find(successor, PATIENCE_MS).close(); // as a process that ends before it takes over
        } finally {
            node.stop(); // or a build would never end
            Files.delete(file);
            try (Stream<Path> left = Files.walk(folder)) {
                left.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::deleteOnExit);
            }
        }
    }

    /** What a peer would say, but for its sense. */
    private static void say(InetSocketAddress at) throws IOException {
        try (DatagramSocket peer = new DatagramSocket(0, at.getAddress())) {
            peer.send(new DatagramPacket(new byte[ENOUGH], ENOUGH, at));
        }
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ':' + at.getPort();
    }

    /** Answers the call for the list, and a watch not at all. */
    private static String agent(String list) throws IOException {
        ServerSocket agent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread answering = new Thread(() -> {
            try (agent; Socket s = agent.accept()) {
                s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
                s.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                Node.log("rehearsal: " + e.getMessage());
            }
        });
        answering.setDaemon(true);
        answering.start();
        return agent.getInetAddress().getHostAddress() + ':' + agent.getLocalPort();
    }

    private static void ask(InetSocketAddress at, String path, String id, int spread) throws IOException {
        call(at, REQUEST.formatted(path, id, spread));
    }

    private static void call(InetSocketAddress at, String request) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            if (socket.getInputStream().readNBytes(ENOUGH).length == 0) {
                throw new IOException("no answer to " + request);
            }
        }
    }
}
