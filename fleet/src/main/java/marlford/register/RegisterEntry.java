package marlford.register;

/**
 * An order that may be running.
 *
 * @param group of hosts, the only ones that may get it again: they drop its repeats for a while
 * @param owner the session that sees it to its end; 0 for nobody
 * @param token under which the owner does so; each taking over has a greater one
 * @param since the log's index of the line that made it: nothing of it went to a host before that line was agreed
 * @param taken how often it was taken over
 * @param ask whose line made it
 */
public record RegisterEntry(KeyedRequest order, String group, long owner, long token, long since, int taken, long ask) {
    RegisterEntry of(long session, long under) {
        return new RegisterEntry(order, group, session, under, since, taken + 1, ask);
    }

    RegisterEntry orphaned() {
        return new RegisterEntry(order, group, 0, token, since, taken, ask);
    }

    RegisterEntry movedTo(String other, long at) {
        return new RegisterEntry(order, other, owner, token, at, taken, ask);
    }
}
