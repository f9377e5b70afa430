package marlford.gateway.net;

import java.util.Set;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Outcome;

/** What a gateway that serves offers to whoever adds to it. From any thread; answers come on the event loop. */
public interface ServingGateway {
    /** Takes what came of a probe. */
    interface ProbeEnd {
        /** @param tookMs from its sending on, in milliseconds */
        void ended(Outcome outcome, double tookMs);
    }

    /** Whether this installation allows probes. */
    boolean mayProbe();

    /** The hosts on the list, whatever their state. */
    void listed(Consumer<Set<String>> to);

    /** Asks a host how it is; ends within 250 ms. */
    void probe(String host, ProbeEnd end);

    /**
     * What a probe of this gateway or of another found; the decision module weighs it against what it knows itself.
     *
     * @param ageMs at most, since the probe was sent
     */
    void evidence(String host, Outcome outcome, double tookMs, double ageMs);
}
