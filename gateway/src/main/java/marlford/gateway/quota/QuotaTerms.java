package marlford.gateway.quota;

/**
 * Limits that a plan sets for each of its customers. A rate of 0 means that there is no such limit.
 *
 * @param rate units per second that flow into the quota bucket
 * @param burst capacity of the quota bucket in units; the bucket starts full
 * @param ceilingRate units per second that flow into the ceiling bucket
 * @param ceilingBurst capacity of the ceiling bucket in units
 */
public record QuotaTerms(double rate, double burst, double ceilingRate, double ceilingBurst) {
    /** Returns the time in milliseconds in which the slower of an idle customer's buckets fills up. */
    double fillMs() {
        double quotaFillS = rate > 0 ? burst / rate : 0;
        double ceilingFillS = ceilingRate > 0 ? ceilingBurst / ceilingRate : 0;
        return 1000 * Math.max(quotaFillS, ceilingFillS);
    }
}
