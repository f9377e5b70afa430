package marlford.gateway.guard;

import java.util.Locale;

/** Counts what was never to happen, from the process's start. For one thread. */
public final class RuleCounter {
    private final int[] broken = new int[Rule.values().length];

    /** Counts once. */
    public void broken(Rule rule) {
        broken[rule.ordinal()]++;
    }

    /** How often since the start. */
    public int count(Rule rule) {
        return broken[rule.ordinal()];
    }

    /** @param stoppedMs for how long a client had done nothing when its connection was ended for it */
    public void clientEnded(double stoppedMs) {
        if (stoppedMs > ClientProgress.OWED_MS) {
            broken(Rule.CLIENT_LEFT_OPEN);
        }
    }

    /** {@code  broken_rule=count} for all that is not 0. */
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
