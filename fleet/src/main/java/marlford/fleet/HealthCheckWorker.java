package marlford.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.net.ServingGateway;
import marlford.health.ProbeResult;
import marlford.health.ProbeResultFilter;
import marlford.health.Prober;
import marlford.lease.Member;

/**
 * Connects the {@link Prober} to the gateway: passes its probes on, and the results of all members to the decision
 * engine. Runs on the member's thread.
 */
final class HealthCheckWorker {
    private static final double LOOK_MS = 500; // how often the list of hosts is asked for
    private static final double BELIEVED_ROUNDS = 2;

    private final ServingGateway gateway;
    private final Consumer<Runnable> thread;
    private final Consumer<String> log;
    private final Prober prober;
    private final ProbeResultFilter results;
    private final Map<String, ProbeResult.Kind> told = new HashMap<>(); // of hosts that are not well
    private double lookedAt = Double.NEGATIVE_INFINITY;

    /** @param thread runs work on the member's thread */
    HealthCheckWorker(
            FleetConfig.ProbeConfig config,
            ServingGateway gateway,
            Member member,
            Consumer<Runnable> thread,
            Consumer<String> log) {
        this.gateway = gateway;
        this.thread = thread;
        this.log = log;
        this.prober = new Prober(config.everyMs(), config.takesMs());
        this.results = new ProbeResultFilter(config.everyMs() * BELIEVED_ROUNDS);
        prober.begin(member);
    }

    void due(Member member, double now, double lateMs) {
        if (now - lookedAt > LOOK_MS) {
            lookedAt = now;
            gateway.listHosts(hosts -> thread.accept(() -> listed(hosts)));
        }
        prober.due(member, now, lateMs)
                .forEach(p -> gateway.probe(
                        p.host(), (outcome, tookMs) -> thread.accept(() -> ended(member, p, outcome, tookMs))));
        for (ProbeResultFilter.Report r : results.read(member.board(), now)) {
            gateway.reportProbeResult(
                    r.host(), outcome(r.finding().kind()), r.finding().tookMs(), r.ageMs());
            note(r);
        }
    }

    private void ended(Member member, Prober.Probe probe, Outcome outcome, double tookMs) {
        if (outcome == Outcome.UNSENT) {
            prober.unsent(probe);
        } else {
            prober.ended(member, probe, new ProbeResult(kind(outcome), tookMs), probe.sentAt() + tookMs);
        }
    }

    private void listed(Set<String> hosts) {
        prober.listed(hosts);
        told.keySet().retainAll(hosts);
    }

    /** One line for a change, not one a round. */
    private void note(ProbeResultFilter.Report r) {
        boolean well = r.finding().kind() == ProbeResult.Kind.WELL;
        ProbeResult.Kind before =
                well ? told.remove(r.host()) : told.put(r.host(), r.finding().kind());
        if (well ? before != null : before != r.finding().kind()) {
            log.accept("fleet: host " + r.host() + " is " + r.finding().kind() + ", found " + Math.round(r.ageMs())
                    + " ms ago");
        }
    }

    private static ProbeResult.Kind kind(Outcome outcome) {
        return switch (outcome) {
            case OK -> ProbeResult.Kind.WELL;
            case ERROR, FULL, SPOILT -> ProbeResult.Kind.ILL;
            case TIMEOUT -> ProbeResult.Kind.LATE;
            default -> ProbeResult.Kind.UNREACHED;
        };
    }

    private static Outcome outcome(ProbeResult.Kind kind) {
        return switch (kind) {
            case WELL -> Outcome.OK;
            case ILL -> Outcome.ERROR;
            case LATE -> Outcome.TIMEOUT;
            case UNREACHED -> Outcome.CONNECT_FAILED;
        };
    }

    /** For operators. */
    String text() {
        return prober.text() + '\n' + results.text() + '\n';
    }
}
