package deckfall.net;

import deckfall.Gateway.Outcome;
import io.netty.handler.codec.http.FullHttpResponse;

/** One attempt of an open request at one host. */
final class Attempt extends HostClient.Exchange {
    final OpenRequest owner;
    final int number;
    final String host;
    final double sentAt;
    private final Node node;
    boolean ended;

    Attempt(Node node, OpenRequest owner, String host, double sentAt) {
        this.node = node;
        this.owner = owner;
        this.number = owner.attempts.size();
        this.host = host;
        this.sentAt = sentAt;
    }

    @Override
    void ended(Outcome outcome, FullHttpResponse response) {
        node.attemptEnded(this, outcome, response);
    }
}
