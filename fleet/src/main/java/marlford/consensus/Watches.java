package marlford.consensus;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Reply;
import marlford.lease.Request;

/**
 * Long polls that are waiting for the holdings of a session to change. Each is answered exactly once: on the first change
 * after the index it names, or when its time is up. Times in milliseconds of one monotonic clock. Not thread-safe.
 */
final class Watches {
    private record Watch(Request.Watch request, double until, Consumer<Reply> to) {}

    private final Function<Request.Watch, Reply> reply;
    private final List<Watch> waiting = new ArrayList<>();

    /** @param reply the answer to a watch at the moment of the call */
    Watches(Function<Request.Watch, Reply> reply) {
        this.reply = reply;
    }

    int size() {
        return waiting.size();
    }

    void add(Request.Watch request, double until, Consumer<Reply> to) {
        waiting.add(new Watch(request, until, to));
    }

    /** Answers the watches of sessions that have changed. */
    void answerChanged(LeaseStateMachine machine) {
        for (Iterator<Watch> i = waiting.iterator(); i.hasNext(); ) {
            Watch w = i.next();
            LeaseStateMachine.Session session = machine.session(w.request().session());
            if (session != null && session.changed() > w.request().since()) {
                i.remove();
                w.to().accept(reply.apply(w.request()));
            }
        }
    }

    /**
     * Answers the watches whose time is up.
     *
     * @param all whether to answer every watch, because this voter has stopped
     */
    void answerExpired(double now, boolean all) {
        for (Iterator<Watch> i = waiting.iterator(); i.hasNext(); ) {
            Watch w = i.next();
            if (now > w.until() || all) {
                i.remove();
                w.to().accept(reply.apply(w.request()));
            }
        }
    }
}
