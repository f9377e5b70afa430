package marlford.gateway.quota;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Messages, keepers and shares of ceilings, each by itself. */
class PartsOfQuotaTest {
    private static final CeilingShare.Fill FILL = new CeilingShare.Fill(true, 1);
    private static final QuotaMessage.Named NAMED = new QuotaMessage.Named(0x1_ffff_fffeL, 1, 99, 60);

    private static QuotaMessage all() {
        return new QuotaMessage(123_456, 0xfedc, 65_535, List.of(new QuotaMessage.Ask(65_535, NAMED, 3.25, 7, QuotaMessage.Of.STORE),
                new QuotaMessage.Answer(1, QuotaMessage.Verdict.CEILING, -0.25, 16, true), new QuotaMessage.Back(0), new QuotaMessage.Used(7, NAMED, 63.75),
                new QuotaMessage.Sync(NAMED, 0.5, 4), new QuotaMessage.Hint(0x1_ffff_fffdL, 1, 0, 25), new QuotaMessage.LeaseCapable(),
                new QuotaMessage.LeaseRequest(9, NAMED, QuotaMessage.Of.CEILING, 12.25, 63.75, 0.5), new QuotaMessage.LeaseGrant(65_535, 7.75, 0.5, 4),
                new QuotaMessage.Presence(QuotaMessage.State.LEAVES)));
    }

    @Test
    void aMessageIsReadAsItWasWritten() {
        assertEquals(all(), QuotaMessage.read(all().bytes()));
    }

    /** Short, long, flipped in any bit, or of an earlier version: none is read as a message. */
    @Test
    void whatIsDamagedIsNoMessage() {
        byte[] good = all().bytes();
        for (int length = 0; length < good.length; length++) {
            assertNull(QuotaMessage.read(Arrays.copyOf(good, length)), length + " bytes");
        }
        assertNull(QuotaMessage.read(Arrays.copyOf(good, good.length + 1)));
        for (int bit = 0; bit < 8 * good.length; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(QuotaMessage.read(bad), "bit " + bit);
        }
    }

    /** Earlier versions read what says that a gateway understands leases as something that they ignore. */
    @Test
    void beingCapableOfLeasesIsNothingNewOnTheWire() {
        QuotaMessage.Item here = new QuotaMessage.Presence(QuotaMessage.State.HERE);
        byte[] capable = new QuotaMessage(1, 2, 3, List.of(new QuotaMessage.LeaseCapable())).bytes();
        assertArrayEquals(new QuotaMessage(1, 2, 3, List.of(here, here)).bytes(), capable);
        assertEquals(List.of(here), QuotaMessage.read(new QuotaMessage(1, 2, 3, List.of(here)).bytes()).items());
    }

    /** The units held are never told as fewer than they are, those returned never as more. */
    @Test
    void aLeaseIsToldOnTheSafeSide() {
        for (int i = 0; i < 600; i++) {
            double units = i / 10.0;
            QuotaMessage.LeaseRequest said = new QuotaMessage.LeaseRequest(1, NAMED, QuotaMessage.Of.STORE, 1, units, units);
            QuotaMessage.LeaseRequest read =
                    (QuotaMessage.LeaseRequest) QuotaMessage.read(new QuotaMessage(1, 2, 3, List.of(said)).bytes()).items().get(0);
            assertTrue(read.held() >= units && read.returned() <= units, units + " read as " + read);
        }
    }

    /** What is told of a store is never more than there is, nor less by more than its fixed point. */
    @Test
    void aStoreIsToldRoundedDown() {
        for (int i = 0; i <= 1000; i++) {
            double fullness = i / 1000.0;
            QuotaMessage message = new QuotaMessage(1, 0, 1, List.of(new QuotaMessage.Answer(1, QuotaMessage.Verdict.STORE, fullness, 0, false)));
            double told = ((QuotaMessage.Answer) QuotaMessage.read(message.bytes()).items().get(0)).fullness();
            assertTrue(told <= fullness + 1e-5 && told > fullness - 0.0051, fullness + " told as " + told);
        }
    }

    /** For any set: all keepers differ and are of it, and the shares of its ceiling sum to one with room each. */
    @Test
    void keepersAreOfTheSetAndSharesSumToOne() {
        Random random = new Random(7);
        for (int i = 0; i < 5000; i++) {
            int gateways = 1 + random.nextInt(500);
            QuotaMessage.Named n = new QuotaMessage.Named(random.nextInt(), 0, random.nextInt(gateways), 1 + random.nextInt(gateways));
            LedgerPlacement k = LedgerPlacement.of(n, gateways, Tier.CAPPED, 8);
            int[] everyone = IntStream.concat(IntStream.of(k.books()), IntStream.of(k.shares())).toArray();
            assertTrue(IntStream.of(everyone).allMatch(g -> n.holds(g, gateways)), n + " " + Arrays.toString(everyone));
            assertEquals(k.books().length, IntStream.of(k.books()).distinct().count());
            assertEquals(Math.min(n.spread(), LedgerPlacement.MOST), k.books().length);
            assertEquals(k.shares().length, IntStream.of(k.shares()).distinct().count());
            assertTrue(k.shares().length >= 1 && Tier.CAPPED.ceilingBurst() / k.shares().length >= 8);
            assertEquals(0, LedgerPlacement.of(n, gateways, Tier.BASIC, 8).shares().length);
        }
    }

    /** A tenth of the tier that goes at once, neighbours in the row, leaves every book a keeper. */
    @Test
    void neighboursThatGoTogetherLeaveAKeeper() {
        for (int customer = 0; customer < 2000; customer++) {
            LedgerPlacement k = LedgerPlacement.of(new QuotaMessage.Named(customer, 0, customer % 100, 50 + customer % 51), 100, Tier.BASIC, 8);
            for (int from = 0; from < 100; from++) {
                int gone = from;
                assertTrue(IntStream.of(k.books()).anyMatch(g -> Math.floorMod(g - gone, 100) >= 10));
            }
        }
    }

    /** The proof above the class in numbers: what is here, what is lent and the true store, for courses of all kinds. */
    @Test
    void aShareAndItsLoansNeverPassTheTrueStore() {
        record Given(double till, double units) { }
        Random random = new Random(11);
        for (int course = 0; course < 300; course++) {
            double now = 1000;
            CeilingShare share = new CeilingShare(Tier.CAPPED, 1, now);
            double truth = Tier.CAPPED.ceilingBurst() * random.nextDouble();
            List<Given> given = new ArrayList<>();
            double busy = random.nextDouble();
            double at = now;
            for (int i = 0; i < 2000; i++) {
                now += 1 + random.nextInt(random.nextInt(50) == 0 ? 3000 : 20);
                given.sort(Comparator.comparingDouble(Given::till));
                while (!given.isEmpty() && given.get(0).till() <= now) {
                    Given g = given.remove(0);
                    truth = Math.min(Tier.CAPPED.ceilingBurst(), truth + (g.till() - at) / 1000 * Tier.CAPPED.ceilingRate());
                    truth -= random.nextInt(3) == 0 ? 0 : g.units(); // some are never used
                    at = g.till();
                }
                truth = Math.min(Tier.CAPPED.ceilingBurst(), truth + (now - at) / 1000 * Tier.CAPPED.ceilingRate());
                at = now;
                double units = 1 + random.nextInt(4);
                if (random.nextDouble() < busy && share.at(now, FILL) >= units) {
                    share.give(now, units);
                    given.add(new Given(now + CeilingShare.USE_MS * random.nextDouble(), units));
                }
                assertTrue(truth >= -1e-6, "course " + course + ": true store " + truth);
            }
        }
    }

    /** What an earlier life gave may be on its way while the new one begins; and nothing fills that another process has. */
    @Test
    void aShareFillsOnlyWithWhatIsItsOwn() {
        CeilingShare share = new CeilingShare(Tier.CAPPED, 0.5, 4000);
        assertEquals((1000 - CeilingShare.LENT_MS) / 1000 * 17.5, share.at(5000, FILL), 1e-9);
        CeilingShare.Fill another = new CeilingShare.Fill(false, 1);
        assertEquals(share.at(5000, FILL) - 0.1 * 17.5, share.at(5100, another), 1e-9);
        assertEquals(0, share.at(9000, another), 1e-9);
        assertEquals(28.5 / 5, share.at(60_000, new CeilingShare.Fill(true, 0.2)), 1e-9);
    }

    @Test
    void aGuessLetsInWhatTheStoreFillsBy() {
        assertEquals(1, DegradedModeEstimator.chance(Tier.BASIC, 7, 1, 6000, 3), "never near its quota");
        assertEquals(1, DegradedModeEstimator.chance(Tier.BASIC, 7, 8, 500, 3), "not yet");
        assertEquals(0.25, DegradedModeEstimator.chance(Tier.BASIC, 7, 8, 3000, 3), "two of eight units a second");
        assertEquals(1, DegradedModeEstimator.chance(Tier.ONLY_CAPPED, 0, 100, 3000, 3), "no quota");
    }

    /** A question that comes again has its verdict; what is given back comes back once. */
    @Test
    void verdictsAreKeptBySerial() {
        ReplyCache v = new ReplyCache();
        QuotaLedger b = new QuotaLedger(NAMED, new LedgerPlacement(new int[] {99}, new int[0]), Tier.BASIC, null, 0);
        b.judge(0, 3, 0, QuotaMessage.Of.BOTH, 0, FILL);
        v.keep(0, 65_535, QuotaMessage.Verdict.GRANTED, b, 3);
        assertEquals(QuotaMessage.Verdict.GRANTED, v.of(500, 65_535).verdict());
        assertNull(v.of(500, 65_535 - ReplyCache.MOST));
        assertNull(v.of(ReplyCache.KEPT_MS, 65_535), "serials run over");
        v.back(500, 65_535);
        v.back(500, 65_535);
        assertEquals(7, b.level());
        assertArrayEquals(new int[] {99}, b.keepers.books());
    }
}
