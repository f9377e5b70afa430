package marlford.gateway.net;

import java.util.concurrent.TimeUnit;
import marlford.gateway.guard.TransferProgress;

/**
 * Ends the process: drains the node, waits and halts. The process ends as soon as every request is answered and every client connection is
 * closed, and otherwise at its exit time, with two exceptions:
 *
 * <ul>
 *   <li>while clients are still owed something that this process holds or passes on, it stays for {@value #ANSWER_COMPLETION_MS} ms more at
 *       most. A client that reads nothing is ended long before that, by the limits on its progress;
 *   <li>if other gateways have sent messages, it stays until its exit time even when its last client has disconnected: it holds the quota
 *       ledgers of customers that the other gateways serve, and the platform waits that long before it starts a replacement.
 * </ul>
 *
 * <p>Runs on the thread of the shutdown hook. A further signal has no effect while it runs.
 */
final class ProcessShutdown implements Runnable {
    private static final long LONGEST_ANSWER_BYTES = 32_000_000;
    /** The time that the slowest permitted client needs for the longest answer. */
    private static final long ANSWER_COMPLETION_MS = (long) (LONGEST_ANSWER_BYTES / TransferProgress.SLOWEST_BYTES_PER_MS);

    private static final long POLL_MS = 20;

    private final Node node;

    ProcessShutdown(Node node) {
        this.node = node;
    }

    @Override
    public void run() {
        long exitMs = (long) node.shutdownSchedule.exitMs();
        long exitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(exitMs);
        node.loop.execute(node::drain);
        try {
            if (!node.awaitDrained(exitMs)) {
                awaitOwedAnswers(exitNanos + TimeUnit.MILLISECONDS.toNanos(ANSWER_COMPLETION_MS));
            }
            if (node.holdsLedgersForPeers()) {
                Node.log("drained: the process stays until its scheduled exit time, because it holds quota ledgers for other gateways");
                TimeUnit.NANOSECONDS.sleep(exitNanos - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    /** Waits until nothing is owed to any client, at most until the given time. */
    private void awaitOwedAnswers(long untilNanos) throws InterruptedException {
        while (System.nanoTime() < untilNanos && owesAnswers()) {
            if (node.awaitDrained(POLL_MS)) {
                return;
            }
        }
    }

    private boolean owesAnswers() throws InterruptedException {
        Boolean owes = node.loop.submit(node.clientServer::owesAnswers).await().getNow();
        return Boolean.TRUE.equals(owes);
    }
}
