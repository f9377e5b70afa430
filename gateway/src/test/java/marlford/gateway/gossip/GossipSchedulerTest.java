package marlford.gateway.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** When a gateway sends usage messages, which customers they report, and how they are encoded. */
class GossipSchedulerTest {
    private static final double MEAN_INTERVAL_MS = 400;
    private static final Random SEEDS = new Random(5);

    @Test
    void changedCustomersComeFirstAndAreRepeatedThreeTimes() {
        GossipScheduler scheduler = new GossipScheduler(0, MEAN_INTERVAL_MS, 100, new Random(1));
        scheduler.customerChanged(1);
        scheduler.customerChanged(2);
        assertEquals(List.of(1L, 2L), scheduler.nextCustomers(0, 3));
        scheduler.customerChanged(3);
        assertEquals(List.of(3L, 1L, 2L), scheduler.nextCustomers(0, 3));
        assertEquals(List.of(1L, 2L, 3L), scheduler.nextCustomers(0, 5));
        assertEquals(List.of(1L, 2L, 3L), scheduler.nextCustomers(0, 5));
        assertEquals(List.of(3L), scheduler.nextCustomers(0, 5));
        assertTrue(scheduler.nextCustomers(0, 5).isEmpty());
        assertFalse(scheduler.isDue(MEAN_INTERVAL_MS * 1.5, false), "no message is due with nothing to report");
        assertTrue(scheduler.isDue(MEAN_INTERVAL_MS * 1.5, true), "a message is due with other content");
        assertTrue(scheduler.isDue(MEAN_INTERVAL_MS * 1.5 + 1000, false), "a message is due so that peers know that the sender is alive");
    }

    @Test
    void everyCustomerIsReportedEventually() {
        GossipScheduler scheduler = new GossipScheduler(0, MEAN_INTERVAL_MS, 1000, new Random(1));
        for (long id = 0; id < 100; id++) {
            scheduler.customerChanged(id);
        }
        List<Long> reported = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            scheduler.customerChanged(1);
            reported.addAll(scheduler.nextCustomers(0, 10));
        }
        assertTrue(reported.contains(99L) || scheduler.nextCustomers(0, 10).contains(99L));
    }

    @Test
    void longestWaitingCustomerIsDroppedAboveTheLimit() {
        GossipScheduler scheduler = new GossipScheduler(0, MEAN_INTERVAL_MS, 3, new Random(1));
        for (long id = 1; id <= 5; id++) {
            scheduler.customerChanged(id);
        }
        assertEquals(List.of(3L, 4L, 5L), scheduler.nextCustomers(0, 10));
    }

    /** Without jitter, gateways that started together would exceed every receiver's limit at the same moments. */
    @Test
    void gatewaysThatStartedTogetherDoNotSendTogether() {
        List<Double> sendTimes = new ArrayList<>();
        for (int gateway = 0; gateway < 14; gateway++) {
            GossipScheduler scheduler = new GossipScheduler(0, MEAN_INTERVAL_MS, 10, new Random(SEEDS.nextLong()));
            for (double now = 0; now < 20_000; now += 20) {
                scheduler.customerChanged(1);
                if (scheduler.isDue(now, false)) {
                    scheduler.nextCustomers(now, 1);
                    sendTimes.add(now);
                }
            }
        }
        int maxTogether = 0;
        for (double from = 0; from < 20_000; from += 20) {
            maxTogether = Math.max(maxTogether, Collections.frequency(sendTimes, from));
        }
        assertTrue(maxTogether <= 6, "messages in one tick: " + maxTogether);
        assertEquals(14 * 20_000 / (MEAN_INTERVAL_MS + 10), sendTimes.size(), 40);
    }

    @Test
    void decodedMessageEqualsTheEncodedOne() {
        List<UsageMessage.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UsageMessage.maxEntries(0); i++) {
            entries.add(new UsageMessage.Entry(0x1_ffff_ffffL - i, i, UsageMessage.encodeUsed(i * 1.5), i, i / 30.0));
        }
        byte[] data = new UsageMessage(-5, 0xffff, entries, List.of(), List.of()).encode();
        UsageMessage.TransferRequest request = new UsageMessage.TransferRequest(0x1_0000_0007L, 3, 13, 10, 400, 63.75);
        UsageMessage.Grant grant = new UsageMessage.Grant(0x1_0000_0007L, 13, 0xffff, 0xfffe, 0.25);
        UsageMessage transfers = UsageMessage.decode(new UsageMessage(1, 2, List.of(), List.of(request), List.of(grant)).encode());
        assertEquals(List.of(request), transfers.transferRequests());
        assertEquals(List.of(grant), transfers.grants());
        assertTrue(data.length <= 256);
        UsageMessage read = UsageMessage.decode(data);
        assertEquals(-5, read.incarnation());
        assertEquals(0xffff, read.count());
        for (int i = 0; i < UsageMessage.maxEntries(0); i++) {
            UsageMessage.Entry e = read.entries().get(i);
            assertEquals(0x1_ffff_ffffL - i, e.customer());
            assertEquals(i, e.plan());
            assertEquals(i * 1.5, UsageMessage.decodeUsed(e.used()), 1 / 32.0);
            assertEquals(i, e.demand(), 0.05 * i + 0.01);
            assertEquals(i / 30.0, e.fullness(), 1 / 255.0);
        }
    }

    @Test
    void damagedBytesAreRejectedWithoutAnException() {
        byte[] good = new UsageMessage(5, 1, List.of(new UsageMessage.Entry(1, 1, 1, 1, 1)),
                List.of(new UsageMessage.TransferRequest(1, 1, 2, 3, 4, 5)), List.of(new UsageMessage.Grant(1, 2, 3, 4, 5))).encode();
        Random random = new Random(3);
        for (int i = 0; i < good.length * 8; i++) {
            byte[] bad = good.clone();
            bad[i / 8] ^= 1 << i % 8;
            assertNull(UsageMessage.decode(bad), "bit " + i);
        }
        for (int length = 0; length < 300; length++) {
            byte[] noise = new byte[length];
            random.nextBytes(noise);
            if (length > 0) {
                noise[0] = 4;
            }
            UsageMessage.decode(noise); // must not throw
        }
        UsageMessage.Entry one = new UsageMessage.Entry(1, 1, 1, 1, 1);
        UsageMessage many = new UsageMessage(1, 1, Collections.nCopies(UsageMessage.maxEntries(0) + 1, one), List.of(), List.of());
        assertThrows(IllegalArgumentException.class, many::encode);
    }

    @Test
    void runningTotalsWrapAround() {
        assertEquals(2, UsageMessage.unitsAhead(UsageMessage.encodeUsed(4097), UsageMessage.encodeUsed(4095)));
        assertTrue(UsageMessage.unitsAhead(UsageMessage.encodeUsed(1), UsageMessage.encodeUsed(5)) < 0);
    }
}
