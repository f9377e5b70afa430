package marlford.gateway.net;

import java.io.IOException;

/** An answer of discovery that is not a list of hosts; nothing of it was taken. */
class UnreadableListException extends IOException {
    private static final long serialVersionUID = 1L;

    UnreadableListException(String message) {
        super(message);
    }

    UnreadableListException(String message, Throwable cause) {
        super(message, cause);
    }
}
