package marlford.usage;

import java.util.Map;

/**
 * What one gateway let in during one interval.
 *
 * @param source the gateway's disk
 * @param sequence grows with each batch of a source; none is used twice
 * @param startMs the interval's begin, in milliseconds since 1970
 * @param milliUnits thousandths of units by customer
 */
public record Batch(long source, long sequence, long startMs, Map<Long, Long> milliUnits) {}
