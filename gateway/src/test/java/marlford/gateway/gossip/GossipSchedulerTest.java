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

/** When one speaks to all, of whom, and in what bytes. */
class GossipSchedulerTest {
    private static final double GAP_MS = 400;
    private static final Random SEEDS = new Random(5);

    @Test
    void whatChangedGoesFirstAndIsRepeatedThreeTimes() {
        GossipScheduler rounds = new GossipScheduler(0, GAP_MS, 100, new Random(1));
        rounds.changed(1);
        rounds.changed(2);
        assertEquals(List.of(1L, 2L), rounds.next(0, 3));
        rounds.changed(3);
        assertEquals(List.of(3L, 1L, 2L), rounds.next(0, 3));
        assertEquals(List.of(1L, 2L, 3L), rounds.next(0, 5));
        assertEquals(List.of(1L, 2L, 3L), rounds.next(0, 5));
        assertEquals(List.of(3L), rounds.next(0, 5));
        assertTrue(rounds.next(0, 5).isEmpty());
        assertFalse(rounds.due(GAP_MS * 1.5, false), "with nothing to tell");
        assertTrue(rounds.due(GAP_MS * 1.5, true), "with something else to tell");
        assertTrue(rounds.due(GAP_MS * 1.5 + 1000, false), "to be known for one that lives");
    }

    @Test
    void nobodyIsPassedOverForEverInACrowd() {
        GossipScheduler rounds = new GossipScheduler(0, GAP_MS, 1000, new Random(1));
        for (long id = 0; id < 100; id++) {
            rounds.changed(id);
        }
        List<Long> told = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            rounds.changed(1);
            told.addAll(rounds.next(0, 10));
        }
        assertTrue(told.contains(99L) || rounds.next(0, 10).contains(99L));
    }

    @Test
    void tooManyThatWaitLeaveOutTheFirst() {
        GossipScheduler rounds = new GossipScheduler(0, GAP_MS, 3, new Random(1));
        for (long id = 1; id <= 5; id++) {
            rounds.changed(id);
        }
        assertEquals(List.of(3L, 4L, 5L), rounds.next(0, 10));
    }

    /** All gateways of a tier that began in one moment would else pass every receiver's limit in one moment. */
    @Test
    void aTierThatStartedTogetherDoesNotSpeakTogether() {
        List<Double> left = new ArrayList<>();
        for (int gateway = 0; gateway < 14; gateway++) {
            GossipScheduler rounds = new GossipScheduler(0, GAP_MS, 10, new Random(SEEDS.nextLong()));
            for (double now = 0; now < 20_000; now += 20) {
                rounds.changed(1);
                if (rounds.due(now, false)) {
                    rounds.next(now, 1);
                    left.add(now);
                }
            }
        }
        int most = 0;
        for (double from = 0; from < 20_000; from += 20) {
            most = Math.max(most, Collections.frequency(left, from));
        }
        assertTrue(most <= 6, "in one beat: " + most);
        assertEquals(14 * 20_000 / (GAP_MS + 10), left.size(), 40);
    }

    @Test
    void aMessageSaysWhatItSaid() {
        List<UsageMessage.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UsageMessage.room(0); i++) {
            entries.add(new UsageMessage.Entry(0x1_ffff_ffffL - i, i, UsageMessage.usedField(i * 1.5), i, i / 30.0));
        }
        byte[] data = new UsageMessage(-5, 0xffff, entries, List.of(), List.of()).bytes();
        UsageMessage.Want want = new UsageMessage.Want(0x1_0000_0007L, 3, 13, 10, 400, 63.75);
        UsageMessage.Gift gift = new UsageMessage.Gift(0x1_0000_0007L, 13, 0xffff, 0xfffe, 0.25);
        UsageMessage loans = UsageMessage.read(new UsageMessage(1, 2, List.of(), List.of(want), List.of(gift)).bytes());
        assertEquals(List.of(want), loans.wants());
        assertEquals(List.of(gift), loans.gifts());
        assertTrue(data.length <= 256);
        UsageMessage read = UsageMessage.read(data);
        assertEquals(-5, read.life());
        assertEquals(0xffff, read.count());
        for (int i = 0; i < UsageMessage.room(0); i++) {
            UsageMessage.Entry e = read.entries().get(i);
            assertEquals(0x1_ffff_ffffL - i, e.customer());
            assertEquals(i, e.plan());
            assertEquals(i * 1.5, UsageMessage.units(e.used()), 1 / 32.0);
            assertEquals(i, e.demand(), 0.05 * i + 0.01);
            assertEquals(i / 30.0, e.fullness(), 1 / 255.0);
        }
    }

    @Test
    void damageIsSeenAndNothingElseIsThrown() {
        byte[] good = new UsageMessage(5, 1, List.of(new UsageMessage.Entry(1, 1, 1, 1, 1)),
                List.of(new UsageMessage.Want(1, 1, 2, 3, 4, 5)), List.of(new UsageMessage.Gift(1, 2, 3, 4, 5))).bytes();
        Random random = new Random(3);
        for (int i = 0; i < good.length * 8; i++) {
            byte[] bad = good.clone();
            bad[i / 8] ^= 1 << i % 8;
            assertNull(UsageMessage.read(bad), "bit " + i);
        }
        for (int length = 0; length < 300; length++) {
            byte[] noise = new byte[length];
            random.nextBytes(noise);
            if (length > 0) {
                noise[0] = 4;
            }
            UsageMessage.read(noise); // throws nothing, whatever it is
        }
        UsageMessage.Entry one = new UsageMessage.Entry(1, 1, 1, 1, 1);
        UsageMessage many = new UsageMessage(1, 1, Collections.nCopies(UsageMessage.room(0) + 1, one), List.of(), List.of());
        assertThrows(IllegalArgumentException.class, many::bytes);
    }

    @Test
    void totalsRunOverTheEndOfTheirField() {
        assertEquals(2, UsageMessage.ahead(UsageMessage.usedField(4097), UsageMessage.usedField(4095)));
        assertTrue(UsageMessage.ahead(UsageMessage.usedField(1), UsageMessage.usedField(5)) < 0);
    }
}
