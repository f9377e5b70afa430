package marlford.gateway.net;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import marlford.gateway.EngineApi.Outcome;

/** One attempt of an open request at one host. */
final class Attempt extends HostConnection.Exchange {
    final OpenRequest owner;
    final int number;
    final String host;
    double sentAt; // of a long body, when its last byte left
    private final Node node;
    boolean left; // for its host
    boolean ended;
    Outcome outcome; // null until ended
    double streamedAt; // when its answer began to go to the client as it comes; 0: it does not
    private Future<?> timeout;

    Attempt(Node node, OpenRequest owner, String host, double sentAt) {
        this.node = node;
        this.owner = owner;
        this.number = owner.attempts.size();
        this.host = host;
        this.sentAt = sentAt;
    }

    /** Its end stops this timer, or there would be one for each attempt of the last minutes. */
    void limit(Future<?> timer) {
        timeout = timer;
    }

    void stopTimer() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    /** The connection may have come up late, and the client may have left meanwhile. */
    @Override
    void connected() {
        node.endIfClientLeft(owner);
        if (!ended && !node.mayLeave(this)) {
            node.giveUp(this, Outcome.CONNECT_FAILED);
        }
    }

    @Override
    void written() {
        if (owner.message instanceof StreamedRequest) {
            sentAt = node.clock.now();
        }
        node.figures.sent();
    }

    @Override
    HostConnection.Sink streams(HttpResponse head, Runnable more) {
        return node.streams(this, head, more);
    }

    @Override
    void ended(Outcome outcome, FullHttpResponse response) {
        node.attemptEnded(this, outcome, response);
    }
}
