package marlford.register;

/**
 * A request that may be executing.
 *
 * @param group the only hosts that may get it again; they deduplicate for a limited time
 * @param owner the session responsible for it; 0 for none
 * @param token the owner's fencing token; each takeover gets a greater one
 * @param since log index of the command that created it: nothing was sent to a host before that was committed
 * @param taken number of takeovers
 * @param ask id of the client request that created it
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
