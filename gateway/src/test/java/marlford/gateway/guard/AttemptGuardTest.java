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
import marlford.gateway.guard.AttemptGuard.Earlier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What the rules say of a further attempt, whoever asks for it. */
class AttemptGuardTest {
    private static final double WINDOW_MS = 1000;
    private static final Host HERE = host("h0", "a");
    private static final Host BESIDE = host("h1", "a");
    private static final Host ELSEWHERE = host("h2", "b");

    private static Host host(String id, String zone) {
        return new Host(id, zone, "k", 0, HostState.RUNNING, 1, 0);
    }

    private static RequestClass of(Effect effect) {
        return new RequestClass("c", effect, Scope.ZONE, WINDOW_MS, 100, 1000, 1, 0, false);
    }

    private static Limits limits(boolean duplicates) {
        return new Limits(3, duplicates, true, false, false, false, 0);
    }

    private static Rule broken(Effect effect, Outcome first, double now, Host to) {
        return AttemptGuard.brokenByRepeat(now, of(effect), limits(true), List.of(new Earlier(first, 0, HERE)), to);
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class)
    void anUnsafeRequestIsRepeatedOnlyWhereItNeverRan(Outcome first) {
        assertEquals(first.neverRan() ? null : Rule.REPEATED_UNSAFE, broken(Effect.ONCE, first, 1, HERE));
        assertEquals(Rule.REPEATED_UNSAFE, broken(Effect.ONCE, null, 1, HERE));
        assertNull(broken(Effect.REPEATABLE, first, 1, ELSEWHERE));
    }

    @Test
    void aKeyedOneGoesToHostsThatDropItsRepeatWhileTheyRemember() {
        assertNull(broken(Effect.KEYED, Outcome.RESET, WINDOW_MS - 1, BESIDE));
        assertEquals(Rule.REPEATED_ELSEWHERE, broken(Effect.KEYED, Outcome.RESET, WINDOW_MS, BESIDE));
        assertEquals(Rule.REPEATED_ELSEWHERE, broken(Effect.KEYED, Outcome.RESET, 1, ELSEWHERE));
        assertNull(broken(Effect.KEYED, Outcome.CONNECT_FAILED, 1, ELSEWHERE));
    }

    @Test
    void noSecondCopyWhereSettingsAllowNone() {
        List<Earlier> out = List.of(new Earlier(null, 0, HERE));
        assertEquals(Rule.SECOND_COPY, AttemptGuard.brokenByRepeat(1, of(Effect.REPEATABLE), limits(false), out, BESIDE));
        assertNull(AttemptGuard.brokenByRepeat(1, of(Effect.REPEATABLE), limits(true), out, BESIDE));
    }

    @Test
    void aDrainHasItsGrace() {
        assertFalse(AttemptGuard.isDrained(2000, HostState.DRAINING, 0, 2000));
        assertTrue(AttemptGuard.isDrained(2001, HostState.DRAINING, 0, 2000));
        assertFalse(AttemptGuard.isDrained(9000, HostState.RUNNING, 0, 2000));
    }
}
