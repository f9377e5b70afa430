package marlford.storm.scale;

/**
 * What lies between two gateways.
 *
 * @param loss share of the messages that is lost
 * @param minDelayMs shortest way, in milliseconds
 * @param maxDelayMs longest way, in milliseconds
 * @param intakePerSecond messages that one gateway takes in a second; what comes beyond them is dropped
 */
public record LinkProfile(double loss, double minDelayMs, double maxDelayMs, double intakePerSecond) {
    /** Bytes of the IP and UDP headers of one datagram. */
    public static final int HEADER_BYTES = 28;

    public LinkProfile {
        if (!(loss >= 0 && loss < 1) || !(minDelayMs > 0) || !(maxDelayMs >= minDelayMs) || !(intakePerSecond > 0)) {
            throw new IllegalArgumentException("a link's settings are out of range");
        }
    }
}
