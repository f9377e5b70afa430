package marlford.gateway.net;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Scope;
import marlford.gateway.EngineApi.Settings;
import marlford.gateway.guard.AttemptGuard;
import marlford.gateway.guard.ReachedProcess;
import marlford.gateway.guard.Rule;
import marlford.gateway.guard.Staleness;

/**
 * The rules on attempts that time can break. {@link #findStaleness} is asked for every attempt right before its first byte, on a kept
 * connection and on a new one: a late event loop or a slow connect may have passed any limit that held when the attempt was decided.
 * Used on the event loop.
 */
final class SendRules {
    /** Share of the window of the slow start rule by which an attempt to a cold host may be written later than it was decided. */
    private static final double COLD_HOST_DELAY_SHARE = 0.2;

    /** Whether a host is within its slow start. */
    interface ColdHosts {
        boolean isCold(double now, String host);
    }

    private final Clock clock;
    private final Settings settings;
    private final HostStateTracker hostStates;
    private final ColdHosts coldHosts;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private SentRequestIds sentRequestIds; // null until the first use

    SendRules(Clock clock, Settings settings, HostStateTracker hostStates, ColdHosts coldHosts) {
        this.clock = clock;
        this.settings = settings;
        this.hostStates = hostStates;
        this.coldHosts = coldHosts;
        settings.classes().forEach(each -> classes.put(each.name(), each));
    }

    /** Shares the ids of sent requests with the other process of an upgrade. */
    void shareSentRequestIds(SentRequestIds shared) {
        sentRequestIds = shared;
    }

    private SentRequestIds sentRequestIds() {
        if (sentRequestIds == null) {
            sentRequestIds = SentRequestIds.ofProcess();
        }
        return sentRequestIds;
    }

    /** Whether a request with this id was sent before and must not be sent again. */
    boolean wasSentBefore(Request request) {
        return isSentOnce(request) && sentRequestIds().contains(request.id());
    }

    /** Whether no other request with the same id may be sent while this one may run, or after it. */
    private boolean isSentOnce(Request request) {
        return classOf(request).effect() != Effect.REPEATABLE || !settings.limits().mayDuplicate();
    }

    private RequestClass classOf(Request request) {
        return classes.get(request.requestClass());
    }

    /** Returns the rule that a repeated attempt would break if it were written now; null if there is none. */
    Rule ruleBrokenByRepeat(Attempt attempt) {
        List<AttemptGuard.EarlierAttempt> earlierAttempts = earlierAttempts(attempt)
                .map(earlier -> new AttemptGuard.EarlierAttempt(earlier.outcome, earlier.sentAtMs, earlier.listedHost)).toList();
        return AttemptGuard.ruleBrokenByRepeat(clock.now(), classOf(attempt.owner.request), settings.limits(), earlierAttempts,
                hostStates.host(attempt.host));
    }

    /** Returns the attempts that this one repeats: those decided earlier, and those written earlier, as this one's connection came up late. */
    private static Stream<Attempt> earlierAttempts(Attempt attempt) {
        return attempt.owner.attempts.stream()
                .filter(other -> other.number < attempt.number || other.number > attempt.number && other.mayHaveRun());
    }

    /** Whether the drain grace of a host is over. */
    boolean isDrained(String host) {
        double grace = settings.rules().drainGraceMs();
        return grace > 0 && AttemptGuard.isDrained(clock.now(), hostStates.state(host), hostStates.sinceMs(host), grace);
    }

    /**
     * Returns why an attempt may not be written now. If it may, it returns null, and from then on the attempt counts as written: its
     * request's id is claimed.
     *
     * @param process the process to which it is to be written
     * @param sendingStopped whether the process sends no further attempts
     */
    Staleness findStaleness(Attempt attempt, ReachedProcess process, boolean sendingStopped) {
        OpenRequest entry = attempt.owner;
        if (entry.isClosed()) {
            return Staleness.ANSWERED;
        }
        if (sendingStopped) {
            return Staleness.SENDING_STOPPED;
        }
        if (clock.now() >= entry.deadlineMs()) {
            return Staleness.DEADLINE_PASSED;
        }
        if (isDrained(attempt.host)) {
            return Staleness.HOST_DRAINED;
        }
        if (ruleBrokenByRepeat(attempt) != null || repeatsAtUnknownHost(attempt)) {
            return Staleness.REPEAT_FORBIDDEN;
        }
        boolean isListedHost = process.isListedHost(clock.now(), classOf(entry.request).scope());
        if (!isListedHost && isRepeatBoundToHosts(attempt)) {
            return Staleness.HOST_UNCERTAIN;
        }
        if (isColdHostDelayed(attempt)) {
            return Staleness.COLD_HOST_DELAYED;
        }
        if (!claimId(entry)) {
            return Staleness.ID_SENT_BEFORE;
        }
        attempt.recordReached(process, isListedHost);
        return null;
    }

    /** Whether an attempt of the request may have run, so that only the hosts that know its key may get another one. */
    boolean isBoundToHosts(OpenRequest entry) {
        return hasKeyOfSomeHosts(entry) && entry.attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    private boolean hasKeyOfSomeHosts(OpenRequest entry) {
        RequestClass requestClass = classOf(entry.request);
        return requestClass.effect() == Effect.KEYED && requestClass.scope() != Scope.ALL;
    }

    /** Whether an earlier attempt may have run, so that only the hosts that know its key may get another one. */
    private boolean isRepeatBoundToHosts(Attempt attempt) {
        return hasKeyOfSomeHosts(attempt.owner) && earlierAttempts(attempt).anyMatch(Attempt::mayHaveRun);
    }

    /** Whether an earlier attempt may have run at another process than the listed host, so that no host is known to know its key. */
    boolean repeatsAtUnknownHost(Attempt attempt) {
        double now = clock.now();
        Scope scope = classOf(attempt.owner.request).scope();
        return isRepeatBoundToHosts(attempt) && earlierAttempts(attempt)
                .anyMatch(earlier -> earlier.mayHaveRun() && !earlier.certainlyReachedListedHost(now, scope));
    }

    /** Attempts that were decided over a longer time than the slow start rule allows for may not be written together. */
    private boolean isColdHostDelayed(Attempt attempt) {
        double now = clock.now();
        double delayMs = now - attempt.sentAtMs;
        double windowMs = settings.rules().overloadWindowMs(); // 0 where the settings have no such rule
        return windowMs > 0 && delayMs > COLD_HOST_DELAY_SHARE * windowMs && coldHosts.isCold(now, attempt.host);
    }

    private boolean claimId(OpenRequest entry) {
        if (!entry.idClaimed && isSentOnce(entry.request)) {
            entry.idClaimed = sentRequestIds().claim(entry.request.id());
            return entry.idClaimed;
        }
        return true;
    }

    /** Releases the id of a request that has ended, if the request may come again. */
    void releaseId(OpenRequest entry) {
        boolean mayRunAgain = classOf(entry.request).effect() == Effect.REPEATABLE
                || entry.attempts.stream().noneMatch(Attempt::mayHaveRun);
        if (entry.idClaimed && mayRunAgain) {
            sentRequestIds().release(entry.request.id());
        }
    }
}
