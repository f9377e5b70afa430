package marlford.gateway.net;

import java.util.List;
import marlford.gateway.Gateway.AttemptResult;
import marlford.gateway.Gateway.Events;
import marlford.gateway.Gateway.Host;
import marlford.gateway.Gateway.ListKind;
import marlford.gateway.Gateway.Outcome;
import marlford.gateway.Gateway.Settings;

/** A module that does nothing about whatever a test leaves out. */
interface Quiet extends Events {
    @Override
    default void start(double now, Settings settings) { }

    @Override
    default void hosts(double now, ListKind kind, List<Host> hosts) { }

    @Override
    default void streamStarted(double now, String id, int attempt) { }

    @Override
    default void attemptEnded(double now, AttemptResult r) { }

    @Override
    default void clientLeft(double now, String id) { }

    @Override
    default void timer(double now, String token) { }

    @Override
    default void probed(double now, String host, Outcome outcome, double latencyMs, double[] report) { }

    @Override
    default void peerSaid(double now, int peer, byte[] data) { }

    @Override
    default void counted(double now, String counter, Outcome outcome, double total) { }
}
