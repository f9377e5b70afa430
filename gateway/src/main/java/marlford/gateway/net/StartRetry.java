package marlford.gateway.net;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import marlford.gateway.accept.Backoff;

/**
 * Repeats a step of the start while this machine lacks a descriptor, buffer or memory for it. Blocks, so it must not be
 * used on an event loop.
 */
final class StartRetry {
    static final long RETRY_LIMIT_MS = 2000;
    private static final long MIN_PAUSE_MS = 5;
    private static final long MAX_PAUSE_MS = 100;

    private StartRetry() { }

    /** Runs the step until it succeeds and returns its result; throws its exception when retrying can't help or takes too long. */
    static <T> T call(Callable<T> step) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_LIMIT_MS);
        Backoff backoff = new Backoff(MIN_PAUSE_MS, MAX_PAUSE_MS);
        while (true) {
            try {
                return step.call();
            } catch (Exception e) { // Netty rethrows the original cause, which may be a checked exception that is not declared
                if (!LocalFailure.isResourceExhaustion(e) || System.nanoTime() > endNanos) {
                    throw e;
                }
                Node.log("start: " + e.getMessage() + "; retrying, check the limits on file descriptors and memory");
            }
            Thread.sleep(backoff.nextMs());
        }
    }
}
