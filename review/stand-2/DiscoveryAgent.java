import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A discovery agent: answers with the whole list, and holds a watch until there is something newer. */
final class DiscoveryAgent {
    private static final int BACKLOG = 50;

    /** An entry of the list, and the version in which it changed last. */
    private record Entry(String json, long version, boolean gone) { }

    private final ServerSocket listener;
    private final Recorder recorder;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 1;

    DiscoveryAgent(Recorder recorder) throws IOException {
        this.recorder = recorder;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets the state of one server that started long ago, in a version of its own. */
    void set(String id, String address, String zone, int cell, String state) {
        set(id, address, zone, cell, state, 0);
    }

    /** @param startedMs when the server started, in Unix time; 0 for long ago */
    synchronized void set(String id, String address, String zone, int cell, String state, long startedMs) {
        version++;
        entries.put(id, new Entry("{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"fast-3core\",\"cell\":" + cell + ",\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}", version, state.equals("gone")));
        recorder.event("discovery", "version " + version + ": " + id + " at " + address + " cell " + cell + " " + state);
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        for (HttpMessage call = HttpMessage.read(socket.getInputStream()); call != null; call = HttpMessage.read(socket.getInputStream())) {
            byte[] body = HttpMessage.bytes(answer(call.path()));
            socket.getOutputStream().write(HttpMessage.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n"));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
        }
    }

    private synchronized String answer(String path) throws InterruptedException {
        if (!path.contains("from=")) {
            return list(true, 0);
        }
        long from = number(path, "from=");
        long endMs = System.currentTimeMillis() + number(path, "hold_ms=");
        for (long leftMs = endMs - System.currentTimeMillis(); version <= from && leftMs > 0; leftMs = endMs - System.currentTimeMillis()) {
            wait(leftMs);
        }
        return list(false, from);
    }

    private String list(boolean full, long from) {
        List<String> listed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (full ? !entry.gone : entry.version > from) {
                listed.add(entry.json);
            }
        }
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", listed) + "]}";
    }

    private static long number(String path, String name) {
        int at = path.indexOf(name) + name.length();
        int end = path.indexOf('&', at);
        return Long.parseLong(end < 0 ? path.substring(at) : path.substring(at, end));
    }
}
