package marlford.gateway.net;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import marlford.gateway.EngineApi.Outcome;

/** One attempt of an open request, sent to one host. Used on the event loop. */
final class Attempt extends HostConnection.Exchange {
    final OpenRequest owner;
    final int number;
    final String host;
    double sentAtMs; // start of the attempt; for a long body, when its last byte was written
    private final Node node;
    boolean writeStarted;
    private boolean writtenWhole;
    boolean hostCertain = true; // it was written to a process that certainly was the listed host
    boolean ended;
    Outcome outcome; // null until ended
    double streamedAtMs; // when the answer began to be streamed to the client; 0 if it is not streamed
    private Future<?> timeoutTimer;

    Attempt(Node node, OpenRequest owner, String host, double sentAtMs) {
        this.node = node;
        this.owner = owner;
        this.number = owner.attempts.size();
        this.host = host;
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
    boolean mayBeWritten(boolean hostCertain) {
        return node.mayWrite(this, hostCertain);
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
