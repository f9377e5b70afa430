package marlford.gateway.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import marlford.gateway.accept.Backoff;

/**
 * The running process's side of an upgrade: it waits for the process that is to take its place, one at a time, and
 * does what that asks. Docs/design/upgrade.md has the steps. Where the other process ends before it has served for
 * {@value #PROBATION_MS} ms, the place is taken back.
 */
public final class Successor implements Closeable {
    static final String HELLO = "marlford-upgrade 1";
    static final String TAKE = "take";
    static final String TAKEN = "taken";
    static final String AWAY = "taken away"; // and clients are being sent away here
    static final String SERVING = "serving";
    static final String LEFT = "left";

    private static final long WARM_MS = 120_000; // a start on a slow machine; nothing is held up meanwhile
    private static final long SHORTEST_PAUSE_MS = 10; // between tries of a socket that fails
    private static final long LONGEST_PAUSE_MS = 1000;
    private static final long SERVING_MS = 10_000; // from taken to serving: no message from peers is heard meanwhile
    static final long PROBATION_MS = 10_000;

    /** The place that changes hands. Called on one thread, in this order; each returns once it is done. */
    public interface Place {
        /** The other process speaks to peers from now on, and what fills, fills there. Returns whether clients are sent away. */
        boolean release() throws InterruptedException;

        /** The other process accepts clients: none are accepted here. */
        void leave() throws InterruptedException;

        /** The other process is gone: all is as before {@link #release}, but for what filled since. */
        void takeBack() throws InterruptedException;

        /** The other process has proved itself; this one may end. */
        void end();
    }

    private final Path path;
    private final Place place;
    private final Consumer<String> log;
    private final long probationMs;
    private ServerSocketChannel listener;
    private volatile boolean closed;

    /** @param path of the socket; a file that is there is replaced */
    public Successor(Path path, Place place, Consumer<String> log) {
        this(path, place, log, PROBATION_MS);
    }

    Successor(Path path, Place place, Consumer<String> log, long probationMs) {
        this.probationMs = probationMs;
        this.path = path;
        this.place = place;
        this.log = log;
    }

    /** Waits for a successor from now on, on a thread of its own; where there can be no socket yet, from when there can. */
    public void open() {
        try {
            bind();
        } catch (IOException e) {
            log.accept("upgrade: no successor is heard yet: " + e);
        }
        Thread thread = new Thread(this::serve, "successor");
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void bind() throws IOException {
        if (closed) {
            return;
        }
        if (listener != null) {
            listener.close();
        }
        Files.deleteIfExists(path);
        listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            listener.bind(UnixDomainSocketAddress.of(path));
        } catch (IOException e) {
            listener.close();
            throw e;
        }
    }

    private synchronized boolean isBound() {
        return listener != null && listener.isOpen();
    }

    private void serve() {
        Backoff backoff = new Backoff(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
        try {
            while (!closed) {
                try {
                    if (!isBound()) {
                        bind();
                    }
                    serveNext(backoff);
                } catch (IOException | RuntimeException e) { // the next one is to be heard all the same
                    if (!closed) {
                        log.accept("upgrade: " + e);
                        Thread.sleep(backoff.nextMs());
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveNext(Backoff backoff) throws IOException, InterruptedException {
        try (SocketChannel channel = listener.accept(); HandoverChannel wire = new HandoverChannel(channel)) {
            backoff.reset();
            if (!closed) { // a close that met the accepting half way lets one more through
                serve(wire);
            }
        }
    }

    private void serve(HandoverChannel wire) throws IOException, InterruptedException {
        String hello = wire.next(SERVING_MS);
        if (!HELLO.equals(hello)) {
            wire.say("no: this is " + HELLO);
            return;
        }
        wire.say(HELLO);
        if (!TAKE.equals(wire.next(WARM_MS))) {
            log.accept("upgrade: the new process ended before it took over");
            return;
        }
        boolean away = place.release();
        boolean left = false;
        try {
            wire.say(away ? AWAY : TAKEN);
            if (SERVING.equals(wire.next(SERVING_MS))) {
                place.leave();
                left = true;
                wire.say(LEFT);
                log.accept("upgrade: the new process serves");
                wire.next(probationMs); // it has nothing more to say: its end, or the time
            }
        } catch (IOException e) {
            log.accept("upgrade: " + e);
        }
        if (left && !wire.ended()) {
            place.end();
        } else {
            log.accept("upgrade: the new process " + (left ? "is gone" : "did not come to serve")
                    + ", the place is taken back");
            place.takeBack();
            bind(); // the other may have had the path
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        if (listener != null) {
            listener.close(); // the file stays: it may be a successor's
        }
    }
}
