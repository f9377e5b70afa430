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

/** Messages, ledger placement and ceiling shares, each by itself. */
class QuotaComponentsTest {
    private static final CeilingShare.FillMode FILLING = new CeilingShare.FillMode(true, 1);
    private static final QuotaMessage.CustomerKey KEY = new QuotaMessage.CustomerKey(0x1_ffff_fffeL, 1, 99, 60);

    private static QuotaMessage messageWithAllItems() {
        return new QuotaMessage(123_456, 0xfedc, 65_535, List.of(new QuotaMessage.Query(65_535, KEY, 3.25, 7, QuotaMessage.UnitScope.QUOTA),
                new QuotaMessage.Reply(1, QuotaMessage.Verdict.CEILING_EXHAUSTED, -0.25, 16, true), new QuotaMessage.UnitsReturned(0),
                new QuotaMessage.UnitsSpent(7, KEY, 63.75),
                new QuotaMessage.LedgerSync(KEY, 0.5, 4), new QuotaMessage.DemandHint(0x1_ffff_fffdL, 1, 0, 25),
                new QuotaMessage.LeaseCapable(),
                new QuotaMessage.LeaseRequest(9, KEY, QuotaMessage.UnitScope.CEILING, 12.25, 63.75, 0.5),
                new QuotaMessage.LeaseGrant(65_535, 7.75, 0.5, 4),
                new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.LEAVING)));
    }

    @Test
    void messageIsDecodedAsItWasEncoded() {
        assertEquals(messageWithAllItems(), QuotaMessage.decode(messageWithAllItems().encode()));
    }

    /** Bytes that are too short or too long, or have any bit flipped, are not decoded as a message. */
    @Test
    void damagedBytesAreNotDecoded() {
        byte[] good = messageWithAllItems().encode();
        for (int length = 0; length < good.length; length++) {
            assertNull(QuotaMessage.decode(Arrays.copyOf(good, length)), length + " bytes");
        }
        assertNull(QuotaMessage.decode(Arrays.copyOf(good, good.length + 1)));
        for (int bit = 0; bit < 8 * good.length; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(QuotaMessage.decode(bad), "bit " + bit);
        }
    }

    /** Earlier versions decode the declaration of lease support as items that they ignore. */
    @Test
    void leaseCapabilityIsEncodedAsTwoProbeReplies() {
        QuotaMessage.Item probeReply = new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.PROBE_REPLY);
        byte[] capable = new QuotaMessage(1, 2, 3, List.of(new QuotaMessage.LeaseCapable())).encode();
        assertArrayEquals(new QuotaMessage(1, 2, 3, List.of(probeReply, probeReply)).encode(), capable);
        assertEquals(List.of(probeReply), QuotaMessage.decode(new QuotaMessage(1, 2, 3, List.of(probeReply)).encode()).items());
    }

    /** Rounding never reports held units as fewer than they are, nor returned units as more. */
    @Test
    void leaseAmountsAreRoundedToTheSafeSide() {
        for (int i = 0; i < 600; i++) {
            double units = i / 10.0;
            QuotaMessage.LeaseRequest sent = new QuotaMessage.LeaseRequest(1, KEY, QuotaMessage.UnitScope.QUOTA, 1, units, units);
            QuotaMessage.LeaseRequest read =
                    (QuotaMessage.LeaseRequest) QuotaMessage.decode(new QuotaMessage(1, 2, 3, List.of(sent)).encode()).items().get(0);
            assertTrue(read.held() >= units && read.returned() <= units, units + " decoded as " + read);
        }
    }

    /** The reported level of a bucket is never more than the true one, nor less by more than the fixed-point resolution. */
    @Test
    void fullnessIsRoundedDown() {
        for (int i = 0; i <= 1000; i++) {
            double fullness = i / 1000.0;
            QuotaMessage message = new QuotaMessage(1, 0, 1,
                    List.of(new QuotaMessage.Reply(1, QuotaMessage.Verdict.QUOTA_EXHAUSTED, fullness, 0, false)));
            double reported = ((QuotaMessage.Reply) QuotaMessage.decode(message.encode()).items().get(0)).fullness();
            assertTrue(reported <= fullness + 1e-5 && reported > fullness - 0.0051, fullness + " encoded as " + reported);
        }
    }

    /** For any set: all replicas differ and belong to it, and the shares of its ceiling sum to one and have room for requests. */
    @Test
    void replicasBelongToTheSetAndSharesSumToOne() {
        Random random = new Random(7);
        for (int i = 0; i < 5000; i++) {
            int gateways = 1 + random.nextInt(500);
            QuotaMessage.CustomerKey key = new QuotaMessage.CustomerKey(random.nextInt(), 0,
                    random.nextInt(gateways), 1 + random.nextInt(gateways));
            LedgerPlacement placement = LedgerPlacement.of(key, gateways, SimulatedTier.CAPPED, 8);
            int[] members = IntStream.concat(IntStream.of(placement.replicas()), IntStream.of(placement.shareHolders())).toArray();
            assertTrue(IntStream.of(members).allMatch(gateway -> key.holds(gateway, gateways)), key + " " + Arrays.toString(members));
            assertEquals(placement.replicas().length, IntStream.of(placement.replicas()).distinct().count());
            assertEquals(Math.min(key.spread(), LedgerPlacement.MAX_REPLICAS), placement.replicas().length);
            assertEquals(placement.shareHolders().length, IntStream.of(placement.shareHolders()).distinct().count());
            assertTrue(placement.shareHolders().length >= 1 && SimulatedTier.CAPPED.ceilingBurst() / placement.shareHolders().length >= 8);
            assertEquals(0, LedgerPlacement.of(key, gateways, SimulatedTier.BASIC, 8).shareHolders().length);
        }
    }

    /** A simultaneous failure of a tenth of the tier, consecutive gateways, leaves every ledger a replica. */
    @Test
    void failureOfNeighboursLeavesAReplica() {
        for (int customer = 0; customer < 2000; customer++) {
            LedgerPlacement placement = LedgerPlacement.of(
                    new QuotaMessage.CustomerKey(customer, 0, customer % 100, 50 + customer % 51), 100, SimulatedTier.BASIC, 8);
            for (int from = 0; from < 100; from++) {
                int failedFrom = from;
                assertTrue(IntStream.of(placement.replicas()).anyMatch(gateway -> Math.floorMod(gateway - failedFrom, 100) >= 10));
            }
        }
    }

    /**
     * Checks the proof in the class comment by simulation: local bucket, outstanding units and true bucket over random
     * courses.
     */
    @Test
    void shareAndItsGrantsNeverExceedTheTrueBucket() {
        record Granted(double sentAt, double units) { }
        Random random = new Random(11);
        for (int course = 0; course < 300; course++) {
            double now = 1000;
            CeilingShare share = new CeilingShare(SimulatedTier.CAPPED, 1, now);
            double trueLevel = SimulatedTier.CAPPED.ceilingBurst() * random.nextDouble();
            List<Granted> granted = new ArrayList<>();
            double busy = random.nextDouble();
            double at = now;
            for (int i = 0; i < 2000; i++) {
                now += 1 + random.nextInt(random.nextInt(50) == 0 ? 3000 : 20);
                granted.sort(Comparator.comparingDouble(Granted::sentAt));
                while (!granted.isEmpty() && granted.get(0).sentAt() <= now) {
                    Granted next = granted.remove(0);
                    trueLevel = Math.min(SimulatedTier.CAPPED.ceilingBurst(),
                            trueLevel + (next.sentAt() - at) / 1000 * SimulatedTier.CAPPED.ceilingRate());
                    trueLevel -= random.nextInt(3) == 0 ? 0 : next.units(); // some are never used
                    at = next.sentAt();
                }
                trueLevel = Math.min(SimulatedTier.CAPPED.ceilingBurst(),
                        trueLevel + (now - at) / 1000 * SimulatedTier.CAPPED.ceilingRate());
                at = now;
                double units = 1 + random.nextInt(4);
                if (random.nextDouble() < busy && share.available(now, FILLING) >= units) {
                    share.grant(now, units);
                    granted.add(new Granted(now + CeilingShare.SEND_WITHIN_MS * random.nextDouble(), units));
                }
                assertTrue(trueLevel >= -1e-6, "course " + course + ": level of the true bucket " + trueLevel);
            }
        }
    }

    /**
     * Units granted by an earlier incarnation may be on their way while the new one starts; and nothing fills while another
     * process holds the right to fill.
     */
    @Test
    void shareFillsOnlyWithItsOwnPart() {
        CeilingShare share = new CeilingShare(SimulatedTier.CAPPED, 0.5, 4000);
        assertEquals((1000 - CeilingShare.OUTSTANDING_MS) / 1000 * 17.5, share.available(5000, FILLING), 1e-9);
        CeilingShare.FillMode otherProcessFills = new CeilingShare.FillMode(false, 1);
        assertEquals(share.available(5000, FILLING) - 0.1 * 17.5, share.available(5100, otherProcessFills), 1e-9);
        assertEquals(0, share.available(9000, otherProcessFills), 1e-9);
        assertEquals(28.5 / 5, share.available(60_000, new CeilingShare.FillMode(true, 0.2)), 1e-9);
    }

    @Test
    void degradedModeAdmitsWhatTheBucketFillsBy() {
        assertEquals(1, DegradedModeEstimator.admissionProbability(SimulatedTier.BASIC, 7, 1, 6000, 3), "the bucket stays full");
        assertEquals(1, DegradedModeEstimator.admissionProbability(SimulatedTier.BASIC, 7, 8, 500, 3), "the bucket still has room");
        assertEquals(0.25, DegradedModeEstimator.admissionProbability(SimulatedTier.BASIC, 7, 8, 3000, 3),
                "the bucket fills by two of the eight units per second requested");
        assertEquals(1, DegradedModeEstimator.admissionProbability(SimulatedTier.ONLY_CAPPED, 0, 100, 3000, 3), "the plan has no quota");
    }

    /** A retransmitted query receives the cached verdict; returned units are added once. */
    @Test
    void verdictsAreCachedBySerial() {
        ReplyCache replyCache = new ReplyCache();
        QuotaLedger ledger = new QuotaLedger(KEY, new LedgerPlacement(new int[] {99}, new int[0]), SimulatedTier.BASIC, null, 0);
        ledger.decide(0, 3, 0, QuotaMessage.UnitScope.BOTH, 0, FILLING);
        replyCache.put(0, 65_535, QuotaMessage.Verdict.GRANTED, ledger, 3);
        assertEquals(QuotaMessage.Verdict.GRANTED, replyCache.find(500, 65_535).verdict());
        assertNull(replyCache.find(500, 65_535 - ReplyCache.MAX_ENTRIES));
        assertNull(replyCache.find(ReplyCache.RETENTION_MS, 65_535), "verdicts expire, since serials wrap around");
        replyCache.returnUnits(500, 65_535);
        replyCache.returnUnits(500, 65_535);
        assertEquals(7, ledger.level());
        assertArrayEquals(new int[] {99}, ledger.placement.replicas());
    }
}
