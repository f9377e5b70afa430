package marlford.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ActivityCountersTest {
    @Test
    void whatIsTakenBeginsAnewAndNoughtIsLeftOut() {
        ActivityCounters account = new ActivityCounters();
        account.note(ActivityCounters.Item.SENT);
        account.note(ActivityCounters.Item.TRIES);
        account.note(ActivityCounters.Item.TRIES);
        assertEquals("tries=2 sent=1", account.take());
        assertEquals("", account.take());
    }
}
