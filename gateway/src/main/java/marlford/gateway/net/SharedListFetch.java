package marlford.gateway.net;

import java.util.function.Consumer;

/**
 * Coordinates which gateway calls a discovery agent that was unavailable, so that not all gateways fetch its whole list at
 * once when it returns. The methods are called on the event loop and must not block; callbacks may run on any thread.
 */
public interface SharedListFetch {
    /** No coordination: each gateway calls the agent at once. */
    SharedListFetch NONE = new SharedListFetch() {
        @Override
        public void requestTurn(String agent, Consumer<FetchedList> next) {
            next.accept(null);
        }

        @Override
        public void reportResult(String agent, boolean answered, String wholeList) { }
    };

    /**
     * A whole list that another gateway has fetched from the agent.
     *
     * @param text as the agent sent it
     * @param ageMs upper bound of the time since the agent sent it, in milliseconds
     */
    record FetchedList(String text, double ageMs) { }

    /**
     * Requests a turn to call an agent.
     *
     * @param next called once: with null if this gateway is to call the agent, or else with a list to use instead
     */
    void requestTurn(String agent, Consumer<FetchedList> next);

    /**
     * Reports the result of a call for which a turn was requested by {@link #requestTurn}.
     *
     * @param wholeList the agent's response if it sent its whole list; null if the call failed or it sent only changes
     */
    void reportResult(String agent, boolean answered, String wholeList);
}
