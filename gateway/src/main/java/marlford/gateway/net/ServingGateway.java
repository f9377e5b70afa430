package marlford.gateway.net;

import java.util.Set;
import java.util.function.Consumer;
import marlford.gateway.EngineApi.Outcome;

/** What a serving gateway offers to its extensions. Methods may be called from any thread; callbacks run on the event loop. */
public interface ServingGateway {
    /** Receives the result of a probe. */
    interface ProbeCallback {
        /** @param tookMs time since the probe was sent, in milliseconds */
        void onResult(Outcome outcome, double tookMs);
    }

    /** Whether the settings allow probes. */
    boolean allowsProbes();

    /** Passes the ids of all listed hosts, whatever their state, to the consumer. */
    void listHosts(Consumer<Set<String>> consumer);

    /** Sends a health probe to a host; it ends within 250 ms. */
    void probe(String host, ProbeCallback callback);

    /**
     * Reports the result of a probe by this or another gateway. The decision engine weighs it against its own observations.
     *
     * @param ageMs upper bound of the time since the probe was sent
     */
    void reportProbeResult(String host, Outcome outcome, double tookMs, double ageMs);
}
