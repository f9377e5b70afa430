package marlford.storm.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Discovery: whole lists and watches. A change is told to all watches at once. For a while discovery may be away, so that its connections end, or
 * silent, so that they stay open and nothing is answered.
 */
final class SoakDiscovery implements Closeable {
    private static final long LOOK_MS = 5;
    private static final Pattern HOLD = Pattern.compile("hold_ms=(\\d+)");
    private static final double NANOS_PER_MS = 1e6;

    private final SoakHosts hosts;
    private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private volatile int version = 1;
    private volatile boolean away;
    private volatile boolean silent;

    SoakDiscovery(SoakHosts hosts) throws IOException {
        this.hosts = hosts;
        Threads.start("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Something about a host has changed. */
    void changed() {
        version++;
    }

    void away(boolean goes) {
        away = goes;
    }

    void silent(boolean becomes) {
        silent = becomes;
    }

    boolean isAway() {
        return away;
    }

    String list() {
        String entries = hosts.all().stream().map(SoakDiscovery::entry).collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + entries + "]}";
    }

    private static String entry(SoakHosts.Host host) {
        return "{\"id\":\"" + host.id + "\",\"addr\":\"" + host.address() + "\",\"zone\":\"" + host.zone
                + "\",\"kind\":\"k\",\"cell\":0,\"state\":\"" + (host.draining ? "draining" : "ready")
                + "\",\"weight\":1.0,\"started_ms\":" + host.startedMs + "}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("discovery", () -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (HttpText.Message m = HttpText.read(in); m != null && !away; m = HttpText.read(in)) {
                hold(m.start());
                if (away) {
                    return;
                }
                String text = list();
                socket.getOutputStream()
                        .write(HttpText.bytes(
                                "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text));
            }
        } catch (IOException | InterruptedException e) {
            // ended either way
        }
    }

    private void hold(String start) throws InterruptedException {
        long began = System.nanoTime();
        Matcher hold = HOLD.matcher(start);
        long holdMs = hold.find() ? Long.parseLong(hold.group(1)) : 0;
        while (silent
                || start.contains("from=" + version + "&")
                        && !away
                        && (System.nanoTime() - began) / NANOS_PER_MS < holdMs) {
            Thread.sleep(LOOK_MS);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
