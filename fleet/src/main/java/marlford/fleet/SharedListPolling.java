package marlford.fleet;

import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import marlford.gateway.net.SharedListFetch;
import marlford.lease.Member;
import marlford.polling.SingleFlightPoll;

/**
 * Connects {@link SingleFlightPoll} to the gateway's discovery. Calls from the gateway are passed to the member's
 * thread.
 */
final class SharedListPolling implements SharedListFetch {
    private final Member member;
    private final Consumer<Runnable> thread;
    private final DoubleSupplier clock;
    private final SingleFlightPoll turns = new SingleFlightPoll();
    private Consumer<FetchedList> next; // who waits; on the member's thread
    private double calledAt;

    /** @param thread runs work on the member's thread, or not at all once the process ends */
    SharedListPolling(Member member, Consumer<Runnable> thread, DoubleSupplier clock) {
        this.member = member;
        this.thread = thread;
        this.clock = clock;
    }

    @Override
    public void requestTurn(String agent, Consumer<FetchedList> to) {
        thread.accept(() -> {
            next = to;
            turns.due(member, agent, clock.getAsDouble());
        });
    }

    @Override
    public void reportResult(String agent, boolean answered, String whole) {
        thread.accept(() -> turns.called(member, answered, whole, calledAt));
    }

    void due(double now, double lateMs) {
        SingleFlightPoll.Decision d = turns.decide(member, now, lateMs);
        if (d.step() != SingleFlightPoll.Step.WAIT && next != null) {
            Consumer<FetchedList> to = next;
            next = null;
            calledAt = now;
            to.accept(
                    d.step() == SingleFlightPoll.Step.CALL
                            ? null
                            : new FetchedList(d.list().value(), d.list().ageMs()));
        }
    }

    /** For operators. */
    String text() {
        return turns.text() + '\n';
    }
}
