package marlford.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ActivityCountersTest {
    @Test
    void takingResetsTheCountsAndOmitsZeros() {
        ActivityCounters counters = new ActivityCounters();
        counters.note(ActivityCounters.Item.SENT);
        counters.note(ActivityCounters.Item.TRIES);
        counters.note(ActivityCounters.Item.TRIES);
        assertEquals("tries=2 sent=1", counters.take());
        assertEquals("", counters.take());
    }
}
