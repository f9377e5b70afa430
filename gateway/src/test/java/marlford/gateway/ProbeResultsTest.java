package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import marlford.gateway.EngineApi.Outcome;
import org.junit.jupiter.api.Test;

/** Probe results, of this gateway or of another one, and their effect on host choice beside the gateway's own answers. */
class ProbeResultsTest {
    private final FakeGateway g = FakeGateway.alone().withHosts("a1", "a2");

    private int attemptsAt(String host, int requests) {
        long before = g.sent.stream().filter(s -> s.host().equals(host)).count();
        for (int i = 0; i < requests; i++) {
            String id = "r" + g.now + "-" + i;
            g.request(id, "read");
            g.endAttempt(id, 0, Outcome.OK, 40);
            g.advance(60);
        }
        return (int) (g.sent.stream().filter(s -> s.host().equals(host)).count() - before);
    }

    @Test
    void unreachableHostIsAvoidedBeforeARequestFailsThere() {
        assertTrue(attemptsAt("a1", 40) > 8);
        for (int i = 0; i < 4; i++) {
            g.engine.onProbeResult(g.now, "a1", Outcome.CONNECT_FAILED, 0, new double[0]);
            g.advance(100);
        }
        assertEquals(1, g.engine.avoidedHostCount(g.now));
        assertTrue(attemptsAt("a1", 20) <= 4);
        for (int i = 0; i < 25; i++) {
            g.engine.onProbeResult(g.now, "a1", Outcome.OK, 5, new double[0]);
            g.advance(100);
        }
        assertEquals(0, g.engine.avoidedHostCount(g.now));
        assertTrue(attemptsAt("a1", 40) > 8);
    }

    /** A probe result that arrives late may be older than the last answer of the host. */
    @Test
    void probeResultOlderThanAnAnswerIsIgnored() {
        attemptsAt("a1", 40);
        for (int i = 0; i < 10; i++) {
            g.engine.onProbeResult(g.now - 5000, "a1", Outcome.CONNECT_FAILED, 0, new double[0]);
        }
        assertEquals(0, g.engine.avoidedHostCount(g.now));
    }

    @Test
    void probeResultOfAnUnlistedHostIsIgnored() {
        g.engine.onProbeResult(g.now, "gone", Outcome.CONNECT_FAILED, 0, new double[0]);
        assertEquals(0, g.engine.avoidedHostCount(g.now));
    }
}
