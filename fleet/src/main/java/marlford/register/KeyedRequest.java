package marlford.register;

/**
 * A client request with an idempotency key.
 *
 * @param key the customer's key, prefixed with the customer
 * @param digest of method, path and body; the same key with another digest is a client error
 * @param requestClass the class by which admission decides
 * @param units charged, once
 * @param message what is sent to a host, kept for sending it again; empty if it was too large
 */
public record KeyedRequest(String key, String digest, String requestClass, double units, String message) {
    /** The maximum length of a key or digest, in characters. */
    public static final int NAME_MAX = 128;
    /** The maximum length of a stored message, in characters. */
    public static final int MESSAGE_MAX = 64 * 1024;

    /** Whether its message is stored, so that another gateway can send it. */
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
