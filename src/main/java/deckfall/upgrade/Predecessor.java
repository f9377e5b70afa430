package deckfall.upgrade;

import java.io.Closeable;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/** The new process's side of an upgrade: what it asks of the one that serves. For one thread. */
public final class Predecessor implements Closeable {
    private static final long HELLO_MS = 5000; // until it has answered at all
    private static final long DONE_MS = 5000; // until it has done what was asked: its loop may be late

    private final Wire wire;
    private boolean away;

    private Predecessor(Wire wire) {
        this.wire = wire;
    }

    /**
     * The process that serves, as far as one answers at this path; else null.
     *
     * @throws IOException where one answers that this program can't take over from: nothing has happened there
     */
    public static Predecessor find(Path path) throws IOException, InterruptedException {
        if (!Files.exists(path)) {
            return null;
        }
        SocketChannel channel;
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(path));
        } catch (IOException e) {
            return null; // left behind by a process that is gone
        }
        Wire wire = new Wire(channel);
        try {
            wire.say(Successor.HELLO);
        } catch (IOException e) {
            wire.close();
            return null;
        }
        String hello = wire.next(HELLO_MS);
        if (Successor.HELLO.equals(hello)) {
            return new Predecessor(wire);
        }
        boolean gone = wire.ended() && hello == null;
        wire.close();
        if (gone) {
            return null;
        }
        throw new IOException("can't take over from the running process: "
                + (hello == null ? "no answer within " + HELLO_MS + " ms" : hello));
    }

    /**
     * Asks for the place; from its return on peers and quotas are this process's.
     *
     * @return false where the other process has ended by itself meanwhile
     * @throws IOException where it lives and does not let go
     */
    public boolean take() throws IOException, InterruptedException {
        try {
            wire.say(Successor.TAKE);
        } catch (IOException e) {
            return false;
        }
        String answer = wire.next(DONE_MS);
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

    /** This process accepts clients. Returns whether the other one no longer does, or is gone. */
    public boolean serving() throws InterruptedException {
        try {
            wire.say(Successor.SERVING);
        } catch (IOException e) {
            return true;
        }
        return Successor.LEFT.equals(wire.next(DONE_MS)) || wire.ended();
    }

    /** Tells the other process that this one is gone; while this one serves, it stays open until the process ends. */
    @Override
    public void close() throws IOException {
        wire.close();
    }
}
