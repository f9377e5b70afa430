package marlford.gateway.net;

import java.io.IOException;

/** A response of discovery is not a valid list of hosts. None of its entries were applied. */
class UnreadableListException extends IOException {
    private static final long serialVersionUID = 1L;

    UnreadableListException(String message) {
        super(message);
    }

    UnreadableListException(String message, Throwable cause) {
        super(message, cause);
    }
}
