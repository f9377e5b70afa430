package marlford.gateway.net;

import java.util.List;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Events;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Settings;

/**
 * A decision engine whose event handlers do nothing; a test overrides those that it needs. {@code onRequest} has no
 * default.
 */
interface NoOpEngine extends Events {
    @Override
    default void onStart(double now, Settings settings) { }

    @Override
    default void onHosts(double now, ListKind kind, List<Host> hosts) { }

    @Override
    default void onStreamStarted(double now, String id, int attempt) { }

    @Override
    default void onAttemptEnded(double now, AttemptResult result) { }

    @Override
    default void onClientLeft(double now, String id) { }

    @Override
    default void onTimer(double now, String token) { }

    @Override
    default void onProbeResult(double now, String host, Outcome outcome, double latencyMs, double[] report) { }

    @Override
    default void onPeerMessage(double now, int peer, byte[] data) { }

    @Override
    default void onCounterResult(double now, String counter, Outcome outcome, double total) { }
}
