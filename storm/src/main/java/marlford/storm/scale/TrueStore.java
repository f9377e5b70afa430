package marlford.storm.scale;

/**
 * A customer's quota or ceiling as it truly is. Unlike a gateway's own store it may fall below nothing, by as much as was
 * let in beyond what it allows. It starts full.
 */
final class TrueStore {
    private final double rate;
    private final double burst;
    private double level;
    private double lowest;
    private double lowestAt;
    private double filledAt;

    /**
     * @param rate units a second
     * @param burst units that it holds at most
     * @param now seconds
     */
    TrueStore(double rate, double burst, double now) {
        this.rate = rate;
        this.burst = burst;
        level = lowest = burst;
        filledAt = now;
    }

    /** Times may not go back. */
    void take(double now, double units) {
        level = Math.min(burst, level + (now - filledAt) * rate) - units;
        filledAt = now;
        if (level < lowest) {
            lowest = level;
            lowestAt = now;
        }
    }

    /** The least that it ever held: below 0 by the most that any stretch of time had beyond burst + rate x time. */
    double lowest() {
        return lowest;
    }

    /** When it held that, in seconds. */
    double lowestAt() {
        return lowestAt;
    }
}
