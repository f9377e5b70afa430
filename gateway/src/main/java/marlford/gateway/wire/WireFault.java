package marlford.gateway.wire;

/** A line or field that can't be parsed; the message says what was expected and what was found. */
public final class WireFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFault(String message) {
        super(message);
    }
}
