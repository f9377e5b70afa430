package marlford.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ActivityCountersTest {
    @Test
    void takingResetsTheCountsAndOmitsZeros() {
        ActivityCounters counters = new ActivityCounters();
        counters.increment(ActivityCounters.Item.SENT);
        counters.increment(ActivityCounters.Item.TRIES);
        counters.increment(ActivityCounters.Item.TRIES);
        assertEquals("tries=2 sent=1", counters.takeLine());
        assertEquals("", counters.takeLine());
    }
}
