package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.order;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import marlford.gateway.EngineApi.Actions;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.guard.Rule;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;

/** A retry that breaks a rule is not sent, whatever the decision engine requests. */
class ForbiddenRetryTest extends SocketTest {
    /** Sends a keyed request to one zone and, after a reset, to another one, where it would run a second time. */
    private static final class RuleBreakingEngine implements NoOpEngine {
        private final Actions actions;
        private final AtomicReference<Outcome> secondOutcome;

        RuleBreakingEngine(Actions actions, AtomicReference<Outcome> secondOutcome) {
            this.actions = actions;
            this.secondOutcome = secondOutcome;
        }

        @Override
        public void onRequest(double now, Request r) {
            actions.send(r.id(), "h0", 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            if (r.attempt() == 0) {
                actions.send(r.id(), "h1", 0);
            } else {
                secondOutcome.set(r.outcome());
                actions.fail(r.id());
            }
        }
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsZone() throws Exception {
        RecordingServer resettingHost = startHost((m, s) -> s.close());
        RecordingServer otherZoneHost = startHost(SocketTest::echo);
        registry = closeAfterTest(new DiscoveryAgent(list(1, true, entry("h0", resettingHost.address(), "ready"),
                entry("h1", otherZoneHost.address(), "ready").replace("\"zone\":\"a\"", "\"zone\":\"b\""))));
        AtomicReference<Outcome> secondOutcome = new AtomicReference<>();
        Node node = Sockets.startNode(Sockets.config(registry.server.address(), "127.0.0.1:0"),
                actions -> new RuleBreakingEngine(actions, secondOutcome));
        resources.push(node::stop);
        assertEquals(502, connectClient(node).send(order("o", "body")).receive().status());
        Sockets.await(() -> secondOutcome.get() != null, "the engine is notified");
        assertEquals(Outcome.MOOT, secondOutcome.get());
        assertEquals(List.of(), otherZoneHost.requests);
        assertEquals(1, node.loop.submit(() -> node.ruleCounter.count(Rule.REPEATED_ELSEWHERE)).get());
    }
}
