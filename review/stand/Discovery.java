import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of discovery: one list of hosts, whole or by changes, as PROTOCOL tells it. */
final class Discovery implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("[?&]from=(\\d+)");
    private static final Pattern HOLD = Pattern.compile("[?&]hold_ms=(\\d+)");
    private static final long MAX_HOLD_MS = 60_000;

    private record Entry(long version, String json, boolean gone) { }

    private final Record record;
    private final String name;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Server server;
    private long version;
    private volatile long answerDelayMs; // time that each answer spends in the queue of a crowded service
    private volatile boolean silent;

    Discovery(Record record, String name, long firstVersion) throws IOException {
        this.record = record;
        this.name = name;
        this.version = firstVersion;
        this.server = new Server(this::serve);
    }

    String address() {
        return server.address();
    }

    void delayAnswers(long ms) {
        answerDelayMs = ms;
    }

    /** While silent, discovery accepts connections and answers nothing. */
    void setSilent(boolean now) {
        silent = now;
    }

    /** One host in discovery's form. */
    static String entry(String id, String address, String zone, String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"kind\":\"std-4core\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    synchronized void set(String id, String address, String zone, String state, long startedMs) {
        version++;
        entries.put(id, new Entry(version, entry(id, address, zone, state, startedMs), state.equals("gone")));
        record.add(name + ": version " + version + ", host " + id + " is " + state);
        notifyAll();
    }

    /** The whole list in discovery's form. */
    synchronized String wholeList() {
        List<String> listed = new ArrayList<>();
        entries.values().stream().filter(e -> !e.gone()).forEach(e -> listed.add(e.json()));
        return list(true, listed);
    }

    private String list(boolean full, List<String> listed) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", listed) + "]}";
    }

    private synchronized String changes(long from, long holdMs) throws InterruptedException {
        long end = System.nanoTime() + holdMs * 1_000_000;
        while (version <= from && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        List<String> changed = new ArrayList<>();
        entries.values().stream().filter(e -> e.version() > from).forEach(e -> changed.add(e.json()));
        return list(false, changed);
    }

    private void serve(InputStream in, Socket socket) throws IOException, InterruptedException {
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            record.add(name + ": called, " + call.target());
            Matcher from = WATCH.matcher(call.target());
            Matcher hold = HOLD.matcher(call.target());
            String body = from.find()
                    ? changes(Long.parseLong(from.group(1)), hold.find() ? Math.min(MAX_HOLD_MS, Long.parseLong(hold.group(1))) : 0)
                    : null;
            Thread.sleep(answerDelayMs);
            while (silent) {
                Thread.sleep(10);
            }
            String text = body == null ? wholeList() : body;
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + text.length() + "\r\n\r\n" + text));
            record.add(name + ": answered, " + text);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
