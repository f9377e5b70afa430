package marlford.gateway.net;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Scope;
import marlford.gateway.guard.ReachedProcess;

/** One attempt of an open request, sent to one host. Used on the event loop. */
final class Attempt extends HostConnection.Exchange {
    final OpenRequest owner;
    final int number;
    final String host;
    final Host listedHost; // as listed when the attempt was decided; null if it was not on the list
    double sentAtMs; // start of the attempt; for a long body, when its last byte was written
    private final Node node;
    boolean writeStarted;
    private boolean writtenWhole;
    private ReachedProcess reached; // null until the first byte
    private boolean reachedListedHost = true; // by what was known at the first byte
    boolean ended;
    Outcome outcome; // null until ended
    double streamedAtMs; // when the answer began to be streamed to the client; 0 if it is not streamed
    private Future<?> timeoutTimer;

    Attempt(Node node, OpenRequest owner, String host, Host listedHost, double sentAtMs) {
        this.node = node;
        this.owner = owner;
        this.number = owner.attempts.size();
        this.host = host;
        this.listedHost = listedHost;
        this.sentAtMs = sentAtMs;
    }

    /** Sets the timer that {@link #stopTimer} cancels; otherwise timers of all attempts of the last minutes would accumulate. */
    void setTimeoutTimer(Future<?> timer) {
        timeoutTimer = timer;
    }

    void stopTimer() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
    }

    @Override
    boolean mayBeWritten(ReachedProcess process) {
        return node.mayWrite(this, process);
    }

    /**
     * Records where its first byte is written.
     *
     * @param isListedHost whether that certainly is the listed host, by what is known now
     */
    void recordReached(ReachedProcess process, boolean isListedHost) {
        reached = process;
        reachedListedHost = isListedHost;
    }

    /** Whether its first byte certainly went to the listed host, by what was known then. */
    boolean reachedListedHost() {
        return reachedListedHost;
    }

    /** Whether it was written to the listed host and no other process, by what was known then and by what is known now. */
    boolean certainlyReachedListedHost(double now, Scope scope) {
        return reachedListedHost && (reached == null || reached.wasListedHost(now, scope));
    }

    /** Whether a host may have run the request by this attempt, or may yet. */
    boolean mayHaveRun() {
        return outcome == null ? writeStarted : writtenWhole && !outcome.neverRan();
    }

    @Override
    void onLastWritePending() {
        node.watchPresence(this);
    }

    @Override
    void onRequestWritten() {
        writtenWhole = true;
        if (owner.message instanceof StreamedRequest) {
            sentAtMs = node.clock.now();
            node.onBodySent(this);
        }
        node.metrics.attemptSent();
        node.eventLog.attemptWritten(owner.request.id(), number);
    }

    @Override
    double deadlineMs() {
        return owner.deadlineMs();
    }

    @Override
    HostConnection.Sink onLongResponse(HttpResponse head, Runnable more) {
        return node.startStreaming(this, head, more);
    }

    @Override
    void onEnded(Outcome outcome, FullHttpResponse response) {
        node.attemptEnded(this, outcome, response);
    }
}
