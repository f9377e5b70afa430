package marlford.usage;

import java.util.Map;

/**
 * What one gateway admitted during one interval.
 *
 * @param source id of the gateway's disk
 * @param sequence grows with each batch of a source, without reuse
 * @param startMs start of the interval, in milliseconds since 1970
 * @param milliUnits thousandths of units by customer
 */
public record Batch(long source, long sequence, long startMs, Map<Long, Long> milliUnits) {}
