package marlford.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.frame.Frame;

/**
 * A message between two gateways about customers' ledgers, and its encoding: version, checksum, the header of the
 * components below, and then the entries, one for each customer. Translation only: amounts are fixed point and clamped
 * to the range of their field.
 *
 * @param incarnation the sender's incarnation
 * @param receiverIncarnation the receiver's incarnation as the sender knows it
 * @param serial the sender's count of messages to the receiver, this one included; 16 bits, wraps around
 * @param lastReceivedSerial serial number of the last message that the sender received from the receiver
 * @param entries at most 255
 */
record LedgerMessage(int incarnation, int receiverIncarnation, int serial, int lastReceivedSerial, List<Entry> entries) {
    static final int HEADER_BYTES = 16;
    static final int MAX_ENTRY_BYTES = 27; // of the longest entry
    private static final byte VERSION = 3;
    private static final int FLAG_REPLY = 1;
    private static final int FLAG_REPLY_REQUESTED = 2;
    private static final int FLAG_CEILING = 4;
    private static final int FLAG_UNCERTAIN = 8;
    private static final int FLAG_HAS_FILL_LEVEL = 16;
    private static final double STEPS_PER_UNIT = 16; // fixed point of units
    private static final double STEPS_PER_FULL_BUCKET = 30_000; // fixed point of a fill level
    private static final int SHORT_MASK = 0xffff;

    /**
     * One customer: a query from a gateway of the customer's set to a ledger replica, or the replica's reply.
     *
     * @param isReply whether this is a reply of a replica; otherwise it is a query
     * @param replyRequested in a query, whether the replica has to reply
     * @param hasCeiling in a query, whether ceiling units are requested too; in a reply, whether the plan has a ceiling
     * @param uncertain in a reply, whether the replica's ledger may be incomplete
     * @param hasFillLevel in a query, whether it contains the fill level; a reply always does
     * @param plan number of the plan
     * @param first number of the first gateway of the customer's set; not sent in a reply, and 0 when read from one
     * @param spread size of the set; like {@code first}
     * @param usedUnits in a query, units used so far; in a reply, units booked for the receiver
     * @param requestedOrGrantedUnits in a query, units requested beyond those used; in a reply, how many of them are granted
     * @param demand units requested per second: in a query, at the sender; in a reply, at all gateways but the receiver
     * @param fillLevel fill level of the customer's token bucket, -1 to 1, as the sender knows it
     * @param openRequests requests being served: in a query, at the sender; in a reply, at all gateways but the receiver
     * @param grantedCeilingUnits in a reply, ceiling units granted so far to the receiver's present incarnation
     */
    record Entry(boolean isReply, boolean replyRequested, boolean hasCeiling, boolean uncertain, boolean hasFillLevel,
            long customer, int plan, int first, int spread, double usedUnits, double requestedOrGrantedUnits, double demand,
            double fillLevel, int openRequests, double grantedCeilingUnits) {
        /** Length of the encoded entry. */
        private int encodedBytes() {
            return 17 + (isReply ? 0 : 4) + (isReply || hasFillLevel ? 2 : 0) + (isReply && hasCeiling ? 4 : 0);
        }

        private void put(ByteBuffer b) {
            b.put((byte) ((isReply ? FLAG_REPLY : 0) | (replyRequested ? FLAG_REPLY_REQUESTED : 0) | (hasCeiling ? FLAG_CEILING : 0)
                    | (uncertain ? FLAG_UNCERTAIN : 0) | (hasFillLevel ? FLAG_HAS_FILL_LEVEL : 0)));
            b.put((byte) plan).put((byte) (customer >>> 32)).putInt((int) customer);
            if (!isReply) b.putShort((short) first).putShort((short) spread);
            b.putInt((int) Math.round(usedUnits * STEPS_PER_UNIT)).putShort(toShort(requestedOrGrantedUnits * STEPS_PER_UNIT));
            b.putShort(toShort(demand * STEPS_PER_UNIT)).putShort(toShort(openRequests));
            if (isReply || hasFillLevel) b.putShort((short) Math.round(Math.max(-1, Math.min(1, fillLevel)) * STEPS_PER_FULL_BUCKET));
            if (isReply && hasCeiling) b.putInt((int) Math.round(grantedCeilingUnits * STEPS_PER_UNIT));
        }

        private static Entry get(ByteBuffer b) {
            int flags = b.get();
            boolean answer = (flags & FLAG_REPLY) != 0;
            boolean ceiling = (flags & FLAG_CEILING) != 0;
            boolean view = (flags & FLAG_HAS_FILL_LEVEL) != 0;
            int plan = b.get() & 0xff;
            long customer = (b.get() & 0xffL) << 32 | b.getInt() & 0xffffffffL;
            int first = answer ? 0 : b.getShort() & SHORT_MASK;
            int spread = answer ? 0 : b.getShort() & SHORT_MASK;
            double used = b.getInt() / STEPS_PER_UNIT;
            double want = (b.getShort() & SHORT_MASK) / STEPS_PER_UNIT;
            double demand = (b.getShort() & SHORT_MASK) / STEPS_PER_UNIT;
            int open = b.getShort() & SHORT_MASK;
            double fullness = answer || view ? b.getShort() / STEPS_PER_FULL_BUCKET : 0;
            double given = answer && ceiling ? b.getInt() / STEPS_PER_UNIT : 0;
            return new Entry(answer, (flags & FLAG_REPLY_REQUESTED) != 0, ceiling, (flags & FLAG_UNCERTAIN) != 0, view, customer, plan,
                    first, spread, used, want, demand, fullness, open, given);
        }
    }

    /** Units by which running total {@code later} is ahead of {@code earlier}, also across a wrap-around of the field. */
    static double unitsAhead(double later, double earlier) {
        return ((int) Math.round(later * STEPS_PER_UNIT) - (int) Math.round(earlier * STEPS_PER_UNIT)) / STEPS_PER_UNIT;
    }

    /** Whether serial number {@code a} is later than {@code b}, also across a wrap-around of the field. */
    static boolean isLaterSerial(int a, int b) {
        return (short) (a - b) > 0;
    }

    /** The value, rounded and clamped to 16 bits. */
    private static short toShort(double value) {
        return (short) Math.max(0, Math.min(SHORT_MASK, Math.round(value)));
    }

    /** The encoded message. */
    byte[] encode() {
        int size = HEADER_BYTES + entries.stream().mapToInt(Entry::encodedBytes).sum();
        ByteBuffer b = Frame.begin(VERSION, size);
        b.putInt(incarnation).putInt(receiverIncarnation).putShort((short) serial);
        b.putShort((short) lastReceivedSerial).put((byte) entries.size());
        entries.forEach(e -> e.put(b));
        return Frame.end(b);
    }

    /** The decoded message, or null if the bytes are too short, too long, damaged or of another version. */
    static LedgerMessage decode(byte[] data) {
        ByteBuffer b = Frame.open(data, VERSION, HEADER_BYTES, Integer.MAX_VALUE);
        if (b == null) return null;
        try {
            int epoch = b.getInt();
            int yourEpoch = b.getInt();
            int serial = b.getShort() & SHORT_MASK;
            int yourSerial = b.getShort() & SHORT_MASK;
            int count = b.get() & 0xff;
            List<Entry> entries = new ArrayList<>(count);
            while (entries.size() < count) entries.add(Entry.get(b));
            return b.hasRemaining() ? null : new LedgerMessage(epoch, yourEpoch, serial, yourSerial, entries);
        } catch (java.nio.BufferUnderflowException e) {
            return null;
        }
    }
}
