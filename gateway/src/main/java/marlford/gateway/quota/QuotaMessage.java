package marlford.gateway.quota;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.frame.Frame;

/**
 * One datagram between two gateways of a large tier, with its encoding: version, checksum, the sender's incarnation, the
 * receiver's incarnation that it answers, the sender's sequence number, then the items. This type translates only; it
 * decides nothing.
 *
 * @param incarnation incarnation of the sender; a later incarnation restarts all counters
 * @param answeredIncarnation lowest 16 bits of the incarnation that is answered; 0 if the message answers nothing
 * @param sequence number of messages sent by this incarnation up to and including this one, 16 bits, wraps around
 * @param items as many as fit into {@link #MAX_BYTES}
 */
public record QuotaMessage(int incarnation, int answeredIncarnation, int sequence, List<Item> items) {
    /** Size of the largest message, in bytes. */
    public static final int MAX_BYTES = 256;
    static final int HEADER_BYTES = 11;
    static final int UINT16_MASK = 0xffff;
    private static final byte VERSION = 5; // Versions up to 4 are the messages of smaller tiers.
    private static final int UINT8_MASK = 0xff;
    private static final double UNITS_SCALE = 4; // Fixed-point scale of a request's units, which take one byte.
    private static final double FULLNESS_SCALE = 200; // Fixed-point scale of a bucket's fullness.
    // Byte value of an empty bucket. Smaller values are a debt, of up to a quarter of the burst.
    private static final int FULLNESS_ZERO = 50;
    // Fixed-point scale of the square root of the demand. The root gives small demands the finer resolution.
    private static final double SQRT_DEMAND_SCALE = 16;

    /** How a ledger replica decided on an admission query. */
    public enum Verdict {
        /** The units are granted to the sender of the query. */
        GRANTED,
        /** The customer's quota bucket lacks the units. */
        QUOTA_EXHAUSTED,
        /** The quota units are granted, but this replica's share of the ceiling lacks the units. */
        CEILING_EXHAUSTED,
        /** This gateway cannot decide: it has no room for the ledger, or the set of gateways in the query is impossible. */
        CANNOT_DECIDE
    }

    /** One item of a message. */
    public sealed interface Item
            permits Query, Reply, UnitsReturned, UnitsSpent, LedgerSync, DemandHint, PresenceNotice, LeaseCapable, LeaseRequest, LeaseGrant,
            UsageReport { }

    /**
     * A customer as messages identify it: an id below 2 to the 33rd, a plan number below 128, and the set of gateways that
     * serve it.
     *
     * @param first index of the first gateway of the set
     * @param spread number of consecutive gateways in the set, with wraparound
     */
    public record CustomerKey(long customer, int plan, int first, int spread) {
        /**
         * Returns whether the gateway belongs to the set in a tier of this size; always false if the set is larger than the
         * tier.
         */
        public boolean holds(int gateway, int tierSize) {
            return spread > 0 && spread <= tierSize && Math.floorMod(gateway - first, tierSize) < spread;
        }
    }

    /**
     * Asks whether a request of this many units may be admitted. A retransmission carries the same serial.
     *
     * @param serial counter of the sender's queries, 16 bits
     * @param units 0 to 63.75
     * @param refusedLocally units that the sender has refused without a query since its last query for the customer, 0
     *     to 63.75
     * @param scope which units are requested
     */
    public record Query(int serial, CustomerKey key, double units, double refusedLocally, UnitScope scope) implements Item { }

    /** Which units an item is about. */
    public enum UnitScope {
        /** Units of the quota and, if the plan has a ceiling, of the ceiling. */
        BOTH,
        /** Units of the quota only: the sender already has those of the ceiling. */
        QUOTA,
        /** Units of the ceiling only: those of the quota are already granted. */
        CEILING
    }

    /**
     * The answer to an admission query.
     *
     * @param fullness level of the quota bucket as a share of its burst, -0.25 to 1
     * @param demand units per second requested at all gateways, 0 to 254
     * @param fromStandby whether a replica that precedes the sender is reachable, as far as the sender knows
     */
    public record Reply(int serial, Verdict verdict, double fullness, double demand, boolean fromStandby)
            implements Item { }

    /** Returns the quota units granted for the query with this serial: they were not spent and never will be. */
    public record UnitsReturned(int serial) implements Item { }

    /**
     * Reports units that were admitted without the consent of the receiving ledger replica.
     *
     * @param units 0 to 63.75
     */
    public record UnitsSpent(int serial, CustomerKey key, double units) implements Item { }

    /** The state of a ledger, for a replica that may have to take over, or for a restarted one that precedes the sender. */
    public record LedgerSync(CustomerKey key, double fullness, double demand) implements Item { }

    /**
     * Load of a customer as its ledger replica knows it, for gateways that may have to decide without a query. It is sent
     * for customers that request more than their quota, and in answer to a {@link UsageReport}.
     */
    public record DemandHint(long customer, int plan, double fullness, double demand) implements Item { }

    /** A notice about the sender's own availability. */
    public record PresenceNotice(PresenceState state) implements Item { }

    /** What a presence notice says. */
    public enum PresenceState {
        /** The sender serves from now on and holds no ledger of an earlier incarnation. */
        SERVING,
        /** The sender is about to shut down: queries have to go to other replicas. */
        LEAVING,
        /** The sender asks whether the receiver is reachable. */
        PROBE,
        /** The sender is reachable; the reply to a probe. */
        PROBE_REPLY
    }

    /**
     * Declares that the sender understands {@link LeaseRequest} and {@link LeaseGrant}, which earlier versions cannot
     * decode. It is encoded as two consecutive presence notices with {@link PresenceState#PROBE_REPLY}: earlier versions ignore
     * these and never send two of them in one message.
     */
    public record LeaseCapable() implements Item { }

    /**
     * Requests or renews a lease at a customer's ledger replica or, for ceiling units, at the holder of a ceiling share. A
     * retransmission carries the same serial and the same amounts.
     *
     * @param serial from the same counter as the serials of queries; a later request supersedes all earlier ones
     * @param scope {@link UnitScope#QUOTA} or {@link UnitScope#CEILING}
     * @param units requested in addition to those held, 0 to 63.75; 0 ends the lease
     * @param held units of earlier grants that may still be spent or are on their way to a host, rounded up
     * @param returned units of earlier grants that were not spent and never will be, rounded down; not included in
     *     {@code held}
     */
    public record LeaseRequest(int serial, CustomerKey key, UnitScope scope, double units, double held, double returned)
            implements Item { }

    /**
     * The answer to a {@link LeaseRequest}.
     *
     * @param units granted in addition to those held, 0 to 63.75
     * @param fullness level of the quota bucket as a share of its burst
     * @param demand units per second requested at all gateways
     */
    public record LeaseGrant(int serial, double units, double fullness, double demand) implements Item { }

    /**
     * Reports what was attempted and admitted without the consent of a ledger replica. Like a {@link LeaseRequest} it is
     * sent only to gateways that declared {@link LeaseCapable}. The answer is a {@link DemandHint}.
     *
     * @param units admitted, 0 to 63.75
     * @param attempted units admitted or refused, 0 to 63.75
     */
    public record UsageReport(int serial, CustomerKey key, double units, double attempted) implements Item { }

    private static final int KIND_LEASE = 0; // The flags tell a usage report, a request and a grant apart.
    private static final int LEASE_FLAGS_USAGE_REPORT = 0;
    private static final int LEASE_FLAGS_REQUEST = 0; // Plus the ordinal of the scope, 1 or 2.
    private static final int LEASE_FLAGS_GRANT = 3;
    private static final int KIND_QUERY = 1;
    private static final int KIND_REPLY = 2;
    private static final int KIND_UNITS_RETURNED = 3;
    private static final int KIND_SYNC = 4;
    private static final int KIND_PRESENCE = 5;
    private static final int KIND_UNITS_SPENT = 6;
    private static final int REPLY_FLAG_FROM_STANDBY = 4; // above the verdict
    private static final int KIND_HINT = 7;
    private static final int KIND_MASK = 7;
    private static final int FLAGS_SHIFT = 3; // the bits above the kind are flags

    /** Returns the size of an encoded item in bytes. */
    static int encodedSize(Item item) {
        if (item instanceof Query) {
            return 14;
        }
        if (item instanceof DemandHint) {
            return 8;
        }
        if (item instanceof LeaseRequest) {
            return 15;
        }
        if (item instanceof UsageReport) {
            return 14;
        }
        if (item instanceof LeaseGrant) {
            return 6;
        }
        if (item instanceof LeaseCapable) {
            return 2;
        }
        return item instanceof LedgerSync ? 12 : item instanceof UnitsSpent ? 13
                : item instanceof Reply ? 5 : item instanceof UnitsReturned ? 3 : 1;
    }

    /**
     * Encodes this message.
     *
     * @throws IllegalArgumentException if the items exceed the maximum message size
     */
    public byte[] encode() {
        int size = HEADER_BYTES + items.stream().mapToInt(QuotaMessage::encodedSize).sum();
        if (size > MAX_BYTES) {
            throw new IllegalArgumentException("message exceeds " + MAX_BYTES + " bytes: its items need " + size + " bytes");
        }
        ByteBuffer b = Frame.begin(VERSION, size);
        b.putInt(incarnation).putShort((short) answeredIncarnation).putShort((short) sequence);
        items.forEach(i -> put(b, i));
        return Frame.end(b);
    }

    private static void put(ByteBuffer b, Item item) {
        if (item instanceof Query a) {
            b.put((byte) (KIND_QUERY | a.scope.ordinal() << FLAGS_SHIFT)).putShort((short) a.serial);
            put(b, a.key);
            b.put(toFixedPoint(a.units * UNITS_SCALE)).put(toFixedPoint(a.refusedLocally * UNITS_SCALE));
        } else if (item instanceof Reply a) {
            int flags = a.verdict.ordinal() | (a.fromStandby ? REPLY_FLAG_FROM_STANDBY : 0);
            b.put((byte) (KIND_REPLY | flags << FLAGS_SHIFT)).putShort((short) a.serial);
            put(b, a.fullness, a.demand);
        } else if (item instanceof UnitsReturned back) {
            b.put((byte) KIND_UNITS_RETURNED).putShort((short) back.serial);
        } else if (item instanceof UnitsSpent u) {
            b.put((byte) KIND_UNITS_SPENT).putShort((short) u.serial);
            put(b, u.key);
            b.put(toFixedPoint(u.units * UNITS_SCALE));
        } else if (item instanceof LedgerSync s) {
            b.put((byte) KIND_SYNC);
            put(b, s.key);
            put(b, s.fullness, s.demand);
        } else if (item instanceof DemandHint h) {
            b.put((byte) KIND_HINT);
            put(b, h.customer, h.plan);
            put(b, h.fullness, h.demand);
        } else if (item instanceof LeaseRequest r) {
            b.put((byte) (KIND_LEASE | LEASE_FLAGS_REQUEST + r.scope.ordinal() << FLAGS_SHIFT)).putShort((short) r.serial);
            put(b, r.key);
            b.put(toFixedPoint(r.units * UNITS_SCALE)).put(toFixedPoint(Math.ceil(r.held * UNITS_SCALE)));
            b.put(toFixedPoint(Math.floor(r.returned * UNITS_SCALE)));
        } else if (item instanceof LeaseGrant g) {
            b.put((byte) (KIND_LEASE | LEASE_FLAGS_GRANT << FLAGS_SHIFT)).putShort((short) g.serial);
            b.put(toFixedPoint(g.units * UNITS_SCALE));
            put(b, g.fullness, g.demand);
        } else if (item instanceof UsageReport u) {
            b.put((byte) (KIND_LEASE | LEASE_FLAGS_USAGE_REPORT << FLAGS_SHIFT)).putShort((short) u.serial);
            put(b, u.key);
            b.put(toFixedPoint(u.units * UNITS_SCALE)).put(toFixedPoint(u.attempted * UNITS_SCALE));
        } else if (item instanceof LeaseCapable) {
            b.put(probeReplyByte()).put(probeReplyByte());
        } else if (item instanceof PresenceNotice p) {
            b.put((byte) (KIND_PRESENCE | p.state.ordinal() << FLAGS_SHIFT));
        }
    }

    private static byte probeReplyByte() {
        return (byte) (KIND_PRESENCE | PresenceState.PROBE_REPLY.ordinal() << FLAGS_SHIFT);
    }

    private static void put(ByteBuffer b, long customer, int plan) {
        b.put((byte) (plan << 1 | (int) (customer >>> 32) & 1)).putInt((int) customer);
    }

    private static void put(ByteBuffer b, CustomerKey n) {
        put(b, n.customer, n.plan);
        b.putShort((short) n.first).putShort((short) n.spread);
    }

    /** Encodes the state of a bucket. The fullness is rounded down, so that the receiver never assumes more than there is. */
    private static void put(ByteBuffer b, double fullness, double demand) {
        b.put((byte) Math.max(0, Math.min(UINT8_MASK, Math.floor(fullness * FULLNESS_SCALE + 1e-6) + FULLNESS_ZERO)));
        b.put(toFixedPoint(Math.sqrt(Math.max(0, demand)) * SQRT_DEMAND_SCALE));
    }

    private static byte toFixedPoint(double value) {
        return (byte) Math.max(0, Math.min(UINT8_MASK, Math.round(value)));
    }

    /** Decodes a message. Returns null if the bytes are not a message of this version, whole and undamaged. */
    public static QuotaMessage decode(byte[] data) {
        ByteBuffer b = Frame.open(data, VERSION, HEADER_BYTES, MAX_BYTES);
        if (b == null) {
            return null;
        }
        int life = b.getInt();
        int answeredIncarnation = b.getShort() & UINT16_MASK;
        int sequence = b.getShort() & UINT16_MASK;
        List<Item> items = new ArrayList<>();
        while (b.hasRemaining()) {
            Item item = readItem(b);
            if (item == null) {
                return null;
            }
            items.add(item);
        }
        return new QuotaMessage(life, answeredIncarnation, sequence, items);
    }

    private static Item readItem(ByteBuffer b) {
        int head = b.get() & UINT8_MASK;
        int flags = head >>> FLAGS_SHIFT;
        int rest = switch (head & KIND_MASK) {
            case KIND_QUERY -> 13;
            case KIND_REPLY -> 4;
            case KIND_UNITS_RETURNED -> 2;
            case KIND_UNITS_SPENT -> 12;
            case KIND_SYNC -> 11;
            case KIND_HINT -> 7;
            case KIND_LEASE -> flags == LEASE_FLAGS_GRANT ? 5 : flags == LEASE_FLAGS_USAGE_REPORT ? 13 : 14;
            default -> 0;
        };
        if (b.remaining() < rest) {
            return null;
        }
        return switch (head & KIND_MASK) {
            case KIND_QUERY -> flags < UnitScope.values().length
                    ? new Query(b.getShort() & UINT16_MASK, readKey(b), readAmount(b), readAmount(b), UnitScope.values()[flags]) : null;
            case KIND_REPLY -> flags < 2 * REPLY_FLAG_FROM_STANDBY ? new Reply(b.getShort() & UINT16_MASK,
                    Verdict.values()[flags % REPLY_FLAG_FROM_STANDBY], readFullness(b), readDemand(b),
                    flags >= REPLY_FLAG_FROM_STANDBY) : null;
            case KIND_UNITS_RETURNED -> new UnitsReturned(b.getShort() & UINT16_MASK);
            case KIND_UNITS_SPENT -> new UnitsSpent(b.getShort() & UINT16_MASK, readKey(b), readAmount(b));
            case KIND_SYNC -> new LedgerSync(readKey(b), readFullness(b), readDemand(b));
            case KIND_HINT -> readHint(b);
            case KIND_LEASE -> readLeaseItem(flags, b);
            default -> readPresence(flags, b);
        };
    }

    private static Item readPresence(int flags, ByteBuffer b) {
        if (flags >= PresenceState.values().length) {
            return null;
        }
        if (flags == PresenceState.PROBE_REPLY.ordinal() && b.hasRemaining() && b.get(b.position()) == probeReplyByte()) {
            b.get();
            return new LeaseCapable();
        }
        return new PresenceNotice(PresenceState.values()[flags]);
    }

    private static Item readLeaseItem(int flags, ByteBuffer b) {
        if (flags == LEASE_FLAGS_GRANT) {
            return new LeaseGrant(b.getShort() & UINT16_MASK, readAmount(b), readFullness(b), readDemand(b));
        }
        if (flags == LEASE_FLAGS_USAGE_REPORT) {
            return new UsageReport(b.getShort() & UINT16_MASK, readKey(b), readAmount(b), readAmount(b));
        }
        return flags > LEASE_FLAGS_GRANT ? null
                : new LeaseRequest(b.getShort() & UINT16_MASK, readKey(b), UnitScope.values()[flags],
                        readAmount(b), readAmount(b), readAmount(b));
    }

    private static long readCustomer(int head, ByteBuffer b) {
        return (head & 1L) << 32 | b.getInt() & 0xffff_ffffL;
    }

    private static DemandHint readHint(ByteBuffer b) {
        int head = b.get() & UINT8_MASK;
        return new DemandHint(readCustomer(head, b), head >>> 1, readFullness(b), readDemand(b));
    }

    private static CustomerKey readKey(ByteBuffer b) {
        int head = b.get() & UINT8_MASK;
        return new CustomerKey(readCustomer(head, b), head >>> 1, b.getShort() & UINT16_MASK, b.getShort() & UINT16_MASK);
    }

    private static double readAmount(ByteBuffer b) {
        return (b.get() & UINT8_MASK) / UNITS_SCALE;
    }

    private static double readFullness(ByteBuffer b) {
        return ((b.get() & UINT8_MASK) - FULLNESS_ZERO) / FULLNESS_SCALE;
    }

    private static double readDemand(ByteBuffer b) {
        double root = (b.get() & UINT8_MASK) / SQRT_DEMAND_SCALE;
        return root * root;
    }
}
