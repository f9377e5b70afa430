package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;

/** Holds every request until the test sends it on; requests whose id starts with {@code now} are sent at once. */
final class HoldingEngine implements NoOpEngine {
    private static final String SEND_AT_ONCE_PREFIX = "now";
    final Actions actions;
    private final BlockingQueue<String> heldIds = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptResult> endedAttempts = new LinkedBlockingQueue<>();
    final List<String> disconnectedIds = new CopyOnWriteArrayList<>();
    final List<String> sentBodyIds = new CopyOnWriteArrayList<>(); // of requests with long bodies that were written whole

    HoldingEngine(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void onRequest(double now, Request r) {
        if (r.id().startsWith(SEND_AT_ONCE_PREFIX)) {
            actions.send(r.id(), "h0", 0);
        } else {
            heldIds.add(r.id());
        }
    }

    @Override
    public void onAttemptEnded(double now, AttemptResult r) {
        endedAttempts.add(r);
    }

    @Override
    public void onBodySent(double now, String id, int attempt, double deadlineMs) {
        sentBodyIds.add(id);
    }

    @Override
    public void onClientLeft(double now, String id) {
        disconnectedIds.add(id);
    }

    void awaitHeld(String id) throws InterruptedException {
        assertEquals(id, heldIds.poll(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    Outcome awaitEnd() throws InterruptedException {
        AttemptResult r = endedAttempts.poll(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(r, "no attempt ended in time");
        return r.outcome();
    }
}
