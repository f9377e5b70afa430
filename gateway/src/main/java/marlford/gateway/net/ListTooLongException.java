package marlford.gateway.net;

/** A list names more hosts than fit into this process's heap. None of its entries were applied. */
final class ListTooLongException extends UnreadableListException {
    private static final long serialVersionUID = 1L;

    ListTooLongException(int maxHosts) {
        super("the list names more than the " + maxHosts + " hosts that fit into this process's heap; it is ignored, and any hosts"
                + " known before are kept; check the list, or raise the maximum heap size");
    }
}
