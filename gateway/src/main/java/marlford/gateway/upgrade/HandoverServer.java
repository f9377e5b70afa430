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
 * The server side of an upgrade, run by the process that is to be replaced. It waits for a new process and carries out the
 * steps that the new process requests; it deals with one new process at a time. The steps are described in
 * docs/design/upgrade.md. If the new process does not report in time that it serves, or its connection ends before it has
 * served for {@value #PROBATION_MS} ms, this process serves again.
 */
public final class HandoverServer implements Closeable {
    static final String VERSION_LINE = "marlford-upgrade 1";
    static final String TAKE = "take";
    static final String TAKEN = "taken";
    static final String TAKEN_AWAY = "taken away"; // sent in place of TAKEN by a process that operators have quiesced
    static final String SERVING = "serving";
    static final String LEFT = "left";

    private static final long WARM_UP_TIMEOUT_MS = 120_000; // allows for a start on a slow machine; this process serves meanwhile
    private static final long MIN_RETRY_DELAY_MS = 10; // between attempts while the socket fails
    private static final long MAX_RETRY_DELAY_MS = 1000;
    /** Limit for the version line, and for the time from TAKEN to SERVING, in which this process receives no peer messages. */
    private static final long SERVING_TIMEOUT_MS = 10_000;
    /** Time for which the new process must have served, with its connection open, before this process ends. */
    static final long PROBATION_MS = 10_000;

    /**
     * What the running process does at the steps of an upgrade. Called on one thread: {@link #handOver} first, then {@link #stopAccepting}
     * once the new process serves, then {@link #shutDown}. {@link #resume} takes the place of the remaining steps if the new process
     * fails. Each call blocks until the step is done.
     */
    public interface ServingProcess {
        /**
         * Stops the communication with peers and the accounting of quotas, which the new process continues. Returns whether this
         * process is quiesced, that is, releases its clients to other gateways on an operator's command.
         */
        boolean handOver() throws InterruptedException;

        /** Stops accepting clients, as the new process accepts them. */
        void stopAccepting() throws InterruptedException;

        /**
         * Restores the state before {@link #handOver}, except for quota that has refilled since. Called when the new process has
         * ended, has not reported in time that it serves, or its connection has failed before that.
         */
        void resume() throws InterruptedException;

        /** Ends this process, because the new process has served for the probation time. */
        void shutDown();
    }

    private final Path path;
    private final ServingProcess servingProcess;
    private final Consumer<String> log;
    private final long probationMs;
    private ServerSocketChannel listener;
    private volatile boolean closed;

    /**
     * Creates the running process's side; {@link #open} starts it.
     *
     * @param path of the socket; an existing file is replaced
     * @param log receives one line for each step and for each failure
     */
    public HandoverServer(Path path, ServingProcess servingProcess, Consumer<String> log) {
        this(path, servingProcess, log, PROBATION_MS);
    }

    /** As above, with a probation time in milliseconds. */
    HandoverServer(Path path, ServingProcess servingProcess, Consumer<String> log, long probationMs) {
        this.probationMs = probationMs;
        this.path = path;
        this.servingProcess = servingProcess;
        this.log = log;
    }

    /** Starts to wait for a new process, on a separate thread. A socket that cannot be opened yet is retried there. */
    public void open() {
        try {
            bind();
        } catch (IOException e) {
            log.accept("upgrade: cannot listen for a new process yet, retrying; check the directory of the socket: " + e);
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
        Backoff backoff = new Backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
        try {
            while (!closed) {
                try {
                    if (!isBound()) {
                        bind();
                    }
                    acceptNext(backoff);
                } catch (IOException | RuntimeException e) { // a failure must not prevent a later upgrade
                    if (!closed) {
                        log.accept("upgrade: waiting for a new process or handing over to it failed, trying again: " + e);
                        Thread.sleep(backoff.nextMs());
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptNext(Backoff backoff) throws IOException, InterruptedException {
        try (SocketChannel channel = listener.accept(); HandoverChannel handover = new HandoverChannel(channel)) {
            backoff.reset();
            if (!closed) { // a close during the accept may let one more connection through
                serve(handover);
            }
        }
    }

    private void serve(HandoverChannel handover) throws IOException, InterruptedException {
        String versionLine = handover.receive(SERVING_TIMEOUT_MS);
        if (!VERSION_LINE.equals(versionLine)) {
            handover.send("no: this is " + VERSION_LINE);
            return;
        }
        handover.send(VERSION_LINE);
        if (!TAKE.equals(handover.receive(WARM_UP_TIMEOUT_MS))) {
            log.accept("upgrade: the new process ended before it took over, or took too long; this process continues to serve");
            return;
        }
        boolean quiesced = servingProcess.handOver();
        boolean stoppedAccepting = false;
        try {
            handover.send(quiesced ? TAKEN_AWAY : TAKEN);
            if (SERVING.equals(handover.receive(SERVING_TIMEOUT_MS))) {
                servingProcess.stopAccepting();
                stoppedAccepting = true;
                handover.send(LEFT);
                log.accept("upgrade: the new process serves clients, and this process has stopped accepting them");
                handover.receive(probationMs); // no line follows: returns when the new process ends or after the probation time
            }
        } catch (IOException e) {
            log.accept("upgrade: connection to the new process failed: " + e);
        }
        if (stoppedAccepting && !handover.isEnded()) {
            servingProcess.shutDown();
        } else {
            log.accept("upgrade: the new process " + (stoppedAccepting ? "has ended" : "did not report that it serves")
                    + "; this process takes back its peer communication and quota accounting and continues to serve");
            servingProcess.resume();
            bind(); // the new process may have replaced the socket file
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        if (listener != null) {
            listener.close(); // the file is not deleted: it may be that of the new process
        }
    }
}
