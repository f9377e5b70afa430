package marlford.gateway.quota;

/**
 * What a plan allows each customer; 0 for a rate: no such limit.
 *
 * @param rate units a second into the quota's store
 * @param burst units that it holds, full at first
 * @param ceilingRate units a second into the ceiling's store
 * @param ceilingBurst units that it holds
 */
public record QuotaTerms(double rate, double burst, double ceilingRate, double ceilingBurst) {
    /** Longest time, in milliseconds, in which an idle customer's stores have filled. */
    double fillMs() {
        double quota = rate > 0 ? burst / rate : 0;
        double ceiling = ceilingRate > 0 ? ceilingBurst / ceilingRate : 0;
        return 1000 * Math.max(quota, ceiling);
    }
}
