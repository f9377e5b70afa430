package marlford.gateway.guard;

import java.util.List;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.RequestClass;

/**
 * The rules on attempts, told apart from the decision module that is to keep them: what it asks for is held against them before
 * anything is sent. Pure.
 */
public final class AttemptGuard {
    private AttemptGuard() { }

    /**
     * An earlier attempt of the request.
     *
     * @param outcome null while it is out
     * @param sentMs when it began
     * @param host null where it is on no list any more
     */
    public record Earlier(Outcome outcome, double sentMs, Host host) {
        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** The rule that another attempt at this host would break; null for none. */
    public static Rule brokenByRepeat(double now, RequestClass requestClass, Limits limits, List<Earlier> before, Host to) {
        for (Earlier earlier : before) {
            if (earlier.outcome() == null && !limits.duplicates()) {
                return Rule.SECOND_COPY;
            }
            if (earlier.mayHaveRun() && requestClass.effect() == Effect.ONCE) {
                return Rule.REPEATED_UNSAFE;
            }
            if (earlier.mayHaveRun() && requestClass.effect() == Effect.KEYED && !dropsRepeat(now, requestClass, earlier, to)) {
                return Rule.REPEATED_ELSEWHERE;
            }
        }
        return null;
    }

    private static boolean dropsRepeat(double now, RequestClass requestClass, Earlier earlier, Host to) {
        boolean remembers = now - earlier.sentMs() < requestClass.windowMs();
        return remembers && (earlier.host() == null || to == null || requestClass.scope().together(earlier.host(), to));
    }

    /** Whether nothing new may go to a host any more. */
    public static boolean isDrained(double now, HostState state, double toldMs, double graceMs) {
        return state != HostState.RUNNING && now - toldMs > graceMs;
    }
}
