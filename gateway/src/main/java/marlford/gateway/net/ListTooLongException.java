package marlford.gateway.net;

/** A list names more hosts than this process can hold; nothing of it was taken. */
final class ListTooLongException extends UnreadableListException {
    private static final long serialVersionUID = 1L;

    ListTooLongException(int limit) {
        super("the list names more than the " + limit + " hosts that fit into this process's heap; it is not taken, and the"
                + " hosts known before are kept");
    }
}
