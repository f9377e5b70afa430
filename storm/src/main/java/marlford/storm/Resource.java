package marlford.storm;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** What holders act on: it notes each act, and checks its token when it comes and when it is done. */
final class Resource implements Closeable {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true"); // else each answer waits 40 ms for an acknowledgement
    }

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TAKES_MAX_MS = 15;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work, "resource");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, Long> greatest = new ConcurrentHashMap<>();
    private final List<Note> notes = new CopyOnWriteArrayList<>();
    private volatile String holder = "";

    Resource() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/act", this::act);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    List<Note> notes() {
        return notes;
    }

    /** Who acted last as the one holder. */
    String holder() {
        return holder;
    }

    private void act(HttpExchange x) throws IOException {
        long begin = System.nanoTime();
        Headers h = x.getRequestHeaders();
        Note n = new Note(
                h.getFirst("Task"),
                Integer.parseInt(h.getFirst("Shard")),
                Long.parseLong(h.getFirst("Tick")),
                Long.parseLong(h.getFirst("Fencing-Token")),
                h.getFirst("Holder"),
                begin,
                0,
                false);
        greatest.merge(n.piece(), n.token(), Math::max);
        try {
            Thread.sleep(1 + ThreadLocalRandom.current().nextInt(TAKES_MAX_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) { // the end of an act and the look at its token are one
            // Of two holders neither is older than the other by its token: that task's acts are bounded alone.
            boolean taken = n.task().equals(Rig.TWO) || greatest.get(n.piece()) <= n.token();
            notes.add(new Note(n.task(), n.shard(), n.tick(), n.token(), n.holder(), begin, System.nanoTime(), taken));
            if (taken && n.task().equals(Rig.ONE)) {
                holder = n.holder();
            }
            x.sendResponseHeaders(taken ? OK : CONFLICT, -1);
        }
        x.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
