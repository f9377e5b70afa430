package marlford.gateway.wire;

/** A line that cannot be read; the message tells what is wrong with it. */
public final class WireFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFault(String message) {
        super(message);
    }
}
