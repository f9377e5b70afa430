package marlford.gateway.wire;

/** A line or field that can't be parsed; the message says what was expected and what was found. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
