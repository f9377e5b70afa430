package marlford.gateway.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.EngineApi.Request;

/** A request in the table: its client, until answered or gone, and its attempts. */
final class OpenRequest {
    final Request request;
    final FullHttpRequest message; // held until the entry leaves the table
    final List<Attempt> attempts = new ArrayList<>(2);
    private ClientConnection client;
    private boolean closed;
    Attempt stream; // whose answer goes to the client as it comes
    double leftAt = Double.POSITIVE_INFINITY; // when its client was seen to leave without an answer
    int out; // attempts that have not ended
    Future<?> guard;

    OpenRequest(Request request, FullHttpRequest message, ClientConnection client) {
        this.request = request;
        this.message = message;
        this.client = client;
    }

    boolean closed() {
        return closed;
    }

    /** The client that is still owed an answer; null where none is. */
    ClientConnection client() {
        return client;
    }

    /** The client to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    ClientConnection close() {
        ClientConnection owed = client;
        closed = true;
        client = null;
        return owed;
    }
}
