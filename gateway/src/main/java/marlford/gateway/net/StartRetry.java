package marlford.gateway.net;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import marlford.gateway.accept.Backoff;

/** Runs a step of a start again for as long as this machine has no descriptor, buffer or memory for it. Blocks; not for event loops. */
final class StartRetry {
    static final long LONGEST_MS = 2000;
    private static final long SHORTEST_PAUSE_MS = 5;
    private static final long LONGEST_PAUSE_MS = 100;

    private StartRetry() { }

    /** What the step gives once it has succeeded. */
    static <T> T call(Callable<T> step) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MS);
        Backoff backoff = new Backoff(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS);
        while (true) {
            try {
                return step.call();
            } catch (Exception e) { // netty throws what failed as it is, checked or not
                if (!LocalFailure.isWantOfResources(e) || System.nanoTime() > end) {
                    throw e;
                }
                Node.log("start: " + e.getMessage() + "; tried again");
            }
            Thread.sleep(backoff.nextMs());
        }
    }
}
