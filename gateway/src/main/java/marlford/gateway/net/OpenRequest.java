package marlford.gateway.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.guard.RequestDeadline;

/** An entry in the table of open requests, with its attempts and the client that waits for the answer. */
final class OpenRequest {
    final Request request;
    private final RequestDeadline deadline;
    final FullHttpRequest message; // owned by this entry until it is removed from the table
    final List<Attempt> attempts = new ArrayList<>(2);
    private ClientConnection client;
    private boolean closed;
    Attempt streamingAttempt; // whose answer is streamed to the client; null when there is none
    double disconnectedAtMs = Double.POSITIVE_INFINITY; // when the client was seen to disconnect without an answer
    int attemptsInFlight;
    boolean idClaimed; // its id is in the table of sent ids
    Future<?> deadlineTimer;

    /** @param deadline of the request, which moves while its body arrives */
    OpenRequest(Request request, RequestDeadline deadline, FullHttpRequest message, ClientConnection client) {
        this.request = request;
        this.deadline = deadline;
        this.message = message;
        this.client = client;
    }

    /** Returns the deadline as far as it is known now, in milliseconds on the node's clock. */
    double deadlineMs() {
        if (client != null) {
            client.recordArrival(deadline);
        }
        return deadline.atMs();
    }

    /** Whether a host may have run it: an attempt was written whole, and its outcome does not prove the contrary. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt.ended ? attempt.mayHaveRun() : attempt.isRequestWritten());
    }

    /** Whether it may have this attempt after those before. */
    boolean mayHaveAttempt(Attempt next, Limits limits) {
        long unsent = attempts.stream().limit(next.number).filter(attempt -> attempt.outcome == Outcome.UNSENT).count();
        return limits.allowAttempt(next.number - unsent, unsent);
    }

    boolean isClosed() {
        return closed;
    }

    /** Returns the client that waits for the answer; null when the request is answered or its client has disconnected. */
    ClientConnection client() {
        return client;
    }

    /** Closes the request. Returns the client only to the first caller, which must answer it, and null afterwards (rule 1). */
    ClientConnection close() {
        ClientConnection waitingClient = client;
        closed = true;
        client = null;
        return waitingClient;
    }
}
