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

/** The client side of an upgrade, used by the new process: requests the steps from the process that serves. Not thread-safe. */
public final class HandoverClient implements Closeable {
    private static final long MIN_CONNECT_RETRY_DELAY_MS = 5;
    private static final long MAX_CONNECT_RETRY_DELAY_MS = 100;

    private final HandoverChannel handover;
    private boolean quiesced; // whether the other process was quiesced, that is, released its clients to other gateways

    private HandoverClient(HandoverChannel handover) {
        this.handover = handover;
    }

    /**
     * Returns the process that serves, or null if none answers at this path.
     *
     * @param waitMs how long its answer may take; the process may be busy
     * @throws IOException if a process answers that this version cannot take over from, or one does not answer in time; the other
     *     process is not affected
     */
    public static HandoverClient find(Path path, long waitMs) throws IOException, InterruptedException {
        return find(path, waitMs, SocketChannel::open);
    }

    /** Opens a connection to an address; replaced by tests. */
    interface Connector {
        SocketChannel connect(SocketAddress address) throws IOException;
    }

    /** As above, with a replaceable way to connect. */
    static HandoverClient find(Path path, long waitMs, Connector connector) throws IOException, InterruptedException {
        if (!Files.exists(path)) {
            return null;
        }
        SocketChannel channel = connectTo(path, waitMs, connector);
        if (channel == null) {
            return null; // the socket file of a process that has ended
        }
        HandoverChannel handover = new HandoverChannel(channel);
        try {
            handover.send(HandoverServer.VERSION_LINE);
        } catch (IOException e) {
            handover.close();
            return null;
        }
        String reply = handover.receive(waitMs);
        if (HandoverServer.VERSION_LINE.equals(reply)) {
            return new HandoverClient(handover);
        }
        boolean gone = handover.isEnded() && reply == null;
        handover.close();
        if (gone) {
            return null;
        }
        throw new IOException("cannot take over from the running process: "
                + (reply == null ? "it did not answer within " + waitMs + " ms" : reply));
    }

    /**
     * Connects to the socket at a path; null if no process listens there. Other failures, such as a lack of descriptors on
     * this machine, do not prove that; they are retried for {@code waitMs}.
     */
    private static SocketChannel connectTo(Path path, long waitMs, Connector connector) throws InterruptedException {
        Backoff backoff = new Backoff(MIN_CONNECT_RETRY_DELAY_MS, MAX_CONNECT_RETRY_DELAY_MS);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (true) {
            try {
                return connector.connect(UnixDomainSocketAddress.of(path));
            } catch (ConnectException e) {
                return null;
            } catch (IOException e) {
                if (System.nanoTime() > deadline) {
                    return null;
                }
            }
            Thread.sleep(backoff.nextMs());
        }
    }

    /**
     * Takes over from the other process: once this returns true, this process communicates with the peers and accounts for
     * the quotas.
     *
     * @param waitMs how long the other process may take to hand over
     * @return false if the other process has ended meanwhile
     * @throws IOException if it is running and does not hand over
     */
    public boolean takeOver(long waitMs) throws IOException, InterruptedException {
        try {
            handover.send(HandoverServer.TAKE);
        } catch (IOException e) {
            return false;
        }
        String answer = handover.receive(waitMs);
        if (answer == null && handover.isEnded()) {
            return false;
        }
        quiesced = HandoverServer.TAKEN_AWAY.equals(answer);
        if (!quiesced && !HandoverServer.TAKEN.equals(answer)) {
            throw new IOException("the running process did not hand over; its answer: " + answer);
        }
        return true;
    }

    /** Returns whether the other process was quiesced, that is, released its clients to other gateways, when it handed over. */
    public boolean wasQuiesced() {
        return quiesced;
    }

    /**
     * Reports that this process accepts clients. Returns whether the other process has stopped to do so or has ended.
     *
     * @param waitMs how long the other process may take to accept the connections in its queue
     */
    public boolean reportServing(long waitMs) throws InterruptedException {
        try {
            handover.send(HandoverServer.SERVING);
        } catch (IOException e) {
            return true;
        }
        return HandoverServer.LEFT.equals(handover.receive(waitMs)) || handover.isEnded();
    }

    /**
     * Signals the other process that this one has ended. While this process serves, the connection stays open until the process
     * ends.
     */
    @Override
    public void close() throws IOException {
        handover.close();
    }
}
