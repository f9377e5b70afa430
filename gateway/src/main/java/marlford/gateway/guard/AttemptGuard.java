package marlford.gateway.guard;

import java.util.List;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.RequestClass;

/**
 * The rules on attempts, stated independently of the decision engine that has to keep them: each action that the engine
 * requests is checked against them before anything is sent. Pure.
 */
public final class AttemptGuard {
    private AttemptGuard() { }

    /**
     * An earlier attempt of the request.
     *
     * @param outcome null while it is in flight
     * @param startedMs when it began, in milliseconds
     * @param host null if it is no longer on any list
     */
    public record EarlierAttempt(Outcome outcome, double startedMs, Host host) {
        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** The rule that another attempt at this host would break; null if it breaks none. */
    public static Rule ruleBrokenByRepeat(double now, RequestClass requestClass, Limits limits,
            List<EarlierAttempt> earlierAttempts, Host to) {
        for (EarlierAttempt earlier : earlierAttempts) {
            if (earlier.outcome() == null && !limits.mayDuplicate()) {
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

    /** Whether the host recognizes the idempotency key of the earlier attempt, and so does not run the request again. */
    private static boolean dropsRepeat(double now, RequestClass requestClass, EarlierAttempt earlier, Host to) {
        boolean withinKeyWindow = now - earlier.startedMs() < requestClass.windowMs();
        return withinKeyWindow && (earlier.host() == null || to == null || requestClass.scope().sharesKeys(earlier.host(), to));
    }

    /** Whether the drain grace of a host is over, so that no new attempt may be sent to it; times in milliseconds. */
    public static boolean isDrained(double now, HostState state, double stateSinceMs, double graceMs) {
        return state != HostState.RUNNING && now - stateSinceMs > graceMs;
    }
}
