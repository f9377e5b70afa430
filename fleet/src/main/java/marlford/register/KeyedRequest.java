package marlford.register;

/**
 * An order as its client sent it, once, whoever carries it.
 *
 * @param key the customer's own name for it, with the customer: two customers may choose the same
 * @param digest of method, path and body; another one under the same key is another order, and a mistake
 * @param requestClass by which it is decided on
 * @param units charged for it, once
 * @param message what goes to a host, so that it can be sent again; empty where it was too large to be kept
 */
public record KeyedRequest(String key, String digest, String requestClass, double units, String message) {
    /** The longest key or digest, in characters. */
    public static final int NAME_MAX = 128;
    /** The longest message that is kept, in characters. */
    public static final int MESSAGE_MAX = 64 * 1024;

    /** Whether it can be sent again by another gateway than the one that its client came to. */
    public boolean isKept() {
        return !message.isEmpty();
    }

    boolean isWellFormed() {
        return key != null
                && digest != null
                && requestClass != null
                && message != null
                && !key.isEmpty()
                && !digest.isEmpty()
                && key.length() <= NAME_MAX
                && digest.length() <= NAME_MAX
                && requestClass.length() <= NAME_MAX
                && message.length() <= MESSAGE_MAX
                && units >= 0;
    }
}
