package marlford.gateway.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Scope;
import marlford.gateway.guard.AttemptGuard.EarlierAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Which further attempts the rules forbid. */
class AttemptGuardTest {
    private static final double KEY_WINDOW_MS = 1000;
    private static final Host FIRST_HOST = host("h0", "a");
    private static final Host SAME_ZONE_HOST = host("h1", "a");
    private static final Host OTHER_ZONE_HOST = host("h2", "b");

    private static Host host(String id, String zone) {
        return new Host(id, zone, "k", 0, HostState.RUNNING, 1, 0);
    }

    private static RequestClass requestClass(Effect effect) {
        return new RequestClass("c", effect, Scope.ZONE, KEY_WINDOW_MS, 100, 1000, 1, 0, false);
    }

    private static Limits limits(boolean duplicates) {
        return new Limits(3, duplicates, true, false, false, false, 0);
    }

    private static Rule ruleBroken(Effect effect, Outcome first, double now, Host to) {
        return AttemptGuard.ruleBrokenByRepeat(now, requestClass(effect), limits(true),
                List.of(new EarlierAttempt(first, 0, FIRST_HOST)), to);
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class)
    void unsafeRequestIsRepeatedOnlyIfItNeverRan(Outcome first) {
        assertEquals(first.neverRan() ? null : Rule.REPEATED_UNSAFE, ruleBroken(Effect.ONCE, first, 1, FIRST_HOST));
        assertEquals(Rule.REPEATED_UNSAFE, ruleBroken(Effect.ONCE, null, 1, FIRST_HOST));
        assertNull(ruleBroken(Effect.REPEATABLE, first, 1, OTHER_ZONE_HOST));
    }

    @Test
    void keyedRequestIsRepeatedOnlyAtHostsThatStillKnowItsKey() {
        assertNull(ruleBroken(Effect.KEYED, Outcome.RESET, KEY_WINDOW_MS - 1, SAME_ZONE_HOST));
        assertEquals(Rule.REPEATED_ELSEWHERE, ruleBroken(Effect.KEYED, Outcome.RESET, KEY_WINDOW_MS, SAME_ZONE_HOST));
        assertEquals(Rule.REPEATED_ELSEWHERE, ruleBroken(Effect.KEYED, Outcome.RESET, 1, OTHER_ZONE_HOST));
        assertNull(ruleBroken(Effect.KEYED, Outcome.CONNECT_FAILED, 1, OTHER_ZONE_HOST));
    }

    @Test
    void secondCopyNeedsThePermissionOfTheSettings() {
        List<EarlierAttempt> inFlight = List.of(new EarlierAttempt(null, 0, FIRST_HOST));
        assertEquals(Rule.SECOND_COPY,
                AttemptGuard.ruleBrokenByRepeat(1, requestClass(Effect.REPEATABLE), limits(false), inFlight, SAME_ZONE_HOST));
        assertNull(AttemptGuard.ruleBrokenByRepeat(1, requestClass(Effect.REPEATABLE), limits(true), inFlight, SAME_ZONE_HOST));
    }

    @Test
    void drainGraceAllowsFurtherAttempts() {
        assertFalse(AttemptGuard.isDrained(2000, HostState.DRAINING, 0, 2000));
        assertTrue(AttemptGuard.isDrained(2001, HostState.DRAINING, 0, 2000));
        assertFalse(AttemptGuard.isDrained(9000, HostState.RUNNING, 0, 2000));
    }
}
