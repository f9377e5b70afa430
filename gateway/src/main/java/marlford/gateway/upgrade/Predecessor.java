package marlford.gateway.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import marlford.gateway.accept.Backoff;

/** The new process's side of an upgrade: what it asks of the one that serves. For one thread. */
public final class Predecessor implements Closeable {
    private static final long SHORTEST_PAUSE_MS = 5; // between tries to connect
    private static final long LONGEST_PAUSE_MS = 100;

    private final HandoverChannel wire;
    private boolean away;

    private Predecessor(HandoverChannel wire) {
        this.wire = wire;
    }

    /**
     * The process that serves, as far as one answers at this path; else null.
     *
     * @param waitMs how long its answer may take: its loop may be late
     * @throws IOException where one answers that this program can't take over from: nothing has happened there
     */
    public static Predecessor find(Path path, long waitMs) throws IOException, InterruptedException {
        return find(path, waitMs, SocketChannel::open);
    }

    /** Connects to an address. */
    interface Connector {
        SocketChannel connect(SocketAddress address) throws IOException;
    }

    static Predecessor find(Path path, long waitMs, Connector connector) throws IOException, InterruptedException {
        if (!Files.exists(path)) {
            return null;
        }
        SocketChannel channel = connected(path, waitMs, connector);
        if (channel == null) {
            return null; // left behind by a process that is gone
        }
        HandoverChannel wire = new HandoverChannel(channel);
        try {
            wire.say(Successor.HELLO);
        } catch (IOException e) {
            wire.close();
            return null;
        }
        String hello = wire.next(waitMs);
        if (Successor.HELLO.equals(hello)) {
            return new Predecessor(wire);
        }
        boolean gone = wire.ended() && hello == null;
        wire.close();
        if (gone) {
            return null;
        }
        throw new IOException("can't take over from the running process: "
                + (hello == null ? "no answer within " + waitMs + " ms" : hello));
    }

    /** Null where nobody listens there; a machine that has no socket for a moment is no word on that. */
    private static SocketChannel connected(Path path, long waitMs, Connector connector) throws InterruptedException {
        Backoff backoff = new Backoff(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (true) {
            try {
                return connector.connect(UnixDomainSocketAddress.of(path));
            } catch (ConnectException e) {
                return null;
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    return null;
                }
            }
            Thread.sleep(backoff.nextMs());
        }
    }

    /**
     * Asks for the place; from its return on peers and quotas are this process's.
     *
     * @param waitMs how long the other process may take to let go
     * @return false where the other process has ended by itself meanwhile
     * @throws IOException where it lives and does not let go
     */
    public boolean take(long waitMs) throws IOException, InterruptedException {
        try {
            wire.say(Successor.TAKE);
        } catch (IOException e) {
            return false;
        }
        String answer = wire.next(waitMs);
        if (answer == null && wire.ended()) {
            return false;
        }
        away = Successor.AWAY.equals(answer);
        if (!away && !Successor.TAKEN.equals(answer)) {
            throw new IOException("the running process does not let go: " + answer);
        }
        return true;
    }

    /** Whether the other process was sending its clients away. */
    public boolean away() {
        return away;
    }

    /**
     * This process accepts clients. Returns whether the other one no longer does, or is gone.
     *
     * @param waitMs how long it may take to accept what stands in its queue
     */
    public boolean serving(long waitMs) throws InterruptedException {
        try {
            wire.say(Successor.SERVING);
        } catch (IOException e) {
            return true;
        }
        return Successor.LEFT.equals(wire.next(waitMs)) || wire.ended();
    }

    /** Tells the other process that this one is gone; while this one serves, it stays open until the process ends. */
    @Override
    public void close() throws IOException {
        wire.close();
    }
}
