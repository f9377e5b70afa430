package marlford.gateway.net;

import java.util.function.Consumer;

/**
 * Whose turn it is to call an agent that was away, so that its return is not a call of every gateway for its whole list at
 * once. Called on the event loop; every call returns at once, and what it leads to may come on any thread.
 */
public interface SharedListFetch {
    /** Each gateway calls when it likes. */
    SharedListFetch NONE = new SharedListFetch() {
        @Override
        public void due(String agent, Consumer<Told> next) {
            next.accept(null);
        }

        @Override
        public void called(String agent, boolean answered, String whole) { }
    };

    /**
     * A whole list that another gateway was told by this agent.
     *
     * @param text as the agent wrote it
     * @param ageMs at most, since it was told
     */
    record Told(String text, double ageMs) { }

    /** A call is due; {@code next} is run once, with null where this gateway is to call, or else with a list to take. */
    void due(String agent, Consumer<Told> next);

    /**
     * What came of the call that was {@link #due}.
     *
     * @param whole the agent's text where it told its whole list; null where it told what has changed
     */
    void called(String agent, boolean answered, String whole);
}
