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
import marlford.gateway.net.Sockets.Registry;
import marlford.gateway.net.Sockets.Server;
import org.junit.jupiter.api.Test;

/** Whatever the decision module asks for, a repeat that is against a rule does not leave. */
class ForbiddenRepeatIsSentTest extends SocketTest {
    /** Sends a keyed request to one zone, and after a reset to another one, where its repeat would run. */
    private static final class Careless implements Quiet {
        private final Actions act;
        private final AtomicReference<Outcome> second;

        Careless(Actions act, AtomicReference<Outcome> second) {
            this.act = act;
            this.second = second;
        }

        @Override
        public void onRequest(double now, Request r) {
            act.send(r.id(), "h0", 0);
        }

        @Override
        public void onAttemptEnded(double now, AttemptResult r) {
            if (r.attempt() == 0) {
                act.send(r.id(), "h1", 0);
            } else {
                second.set(r.outcome());
                act.fail(r.id());
            }
        }
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsZone() throws Exception {
        Server resets = startHost((m, s) -> s.close());
        Server other = startHost(SocketTest::echo);
        registry = closeAfterTest(new Registry(list(1, true, entry("h0", resets.address(), "ready"),
                entry("h1", other.address(), "ready").replace("\"zone\":\"a\"", "\"zone\":\"b\""))));
        AtomicReference<Outcome> second = new AtomicReference<>();
        Node node = Sockets.node(Sockets.config(registry.server.address(), "127.0.0.1:0"), act -> new Careless(act, second));
        resources.push(node::stop);
        assertEquals(502, connectClient(node).send(order("o", "body")).receive().status());
        Sockets.await(() -> second.get() != null, "the module is told");
        assertEquals(Outcome.MOOT, second.get());
        assertEquals(List.of(), other.asked);
        assertEquals(1, node.loop.submit(() -> node.ruleCounter.count(Rule.REPEATED_ELSEWHERE)).get());
    }
}
