package marlford.gateway.guard;

import java.util.Locale;

/** Counts breaches of the {@link Rule}s since the process started. Not thread-safe. */
public final class RuleCounter {
    private final int[] breaches = new int[Rule.values().length];

    /** Adds one breach of the rule. */
    public void countBreach(Rule rule) {
        breaches[rule.ordinal()]++;
    }

    /** The number of breaches of the rule. */
    public int count(Rule rule) {
        return breaches[rule.ordinal()];
    }

    /**
     * Counts a breach if the connection of a client that stalled within a request was ended later than
     * {@link ClientProgress#STALLED_CLIENT_LIMIT_MS}.
     *
     * @param stoppedMs how long the client had made no progress when its connection was ended, in milliseconds
     */
    public void stalledClientEnded(double stoppedMs) {
        if (stoppedMs > ClientProgress.STALLED_CLIENT_LIMIT_MS) {
            countBreach(Rule.CLIENT_LEFT_OPEN);
        }
    }

    /** {@code  broken_rule=count} for each rule with a breach, each with a leading blank. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Rule rule : Rule.values()) {
            if (count(rule) > 0) {
                text.append(" broken_").append(rule.name().toLowerCase(Locale.ROOT)).append('=').append(count(rule));
            }
        }
        return text.toString();
    }
}
