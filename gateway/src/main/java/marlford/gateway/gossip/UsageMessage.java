package marlford.gateway.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.frame.Frame;

/**
 * A usage message that one gateway sends to all others of its tier, and its encoding: version, checksum, the sender's
 * incarnation and its count of such messages, then the use of customers, transfer requests for ceiling units, and grants.
 * Translation only; amounts are clamped to the range of their field.
 *
 * @param life the sender's incarnation; a later one restarts all counts
 * @param count number of messages that this incarnation has sent, this one included; 16 bits, wraps around
 * @param entries at most {@link #room} of them
 * @param wants transfer requests, at most {@link #LOANS}
 * @param gifts grants, at most {@link #LOANS}
 */
public record UsageMessage(int life, int count, List<Entry> entries, List<Want> wants, List<Gift> gifts) {
    /** Upper limit of transfer requests, and of grants as well, in one message beside entries. */
    public static final int LOANS = 5;
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int HEADER_BYTES = 12;
    private static final int TRANSFER_BYTES = 12; // of a transfer request or a grant
    private static final double TRANSFER_STEPS_PER_UNIT = 4; // fixed point of units requested or granted, one byte, rounded down
    private static final int ENTRY_BYTES = 9;
    private static final byte VERSION = 4; // versions up to 3 belong to messages between two gateways
    private static final double USED_STEPS_PER_UNIT = 16; // fixed point of units used
    private static final double DEMAND_ROOT_STEPS = 16; // demand is encoded as its square root, which is finer for small values
    private static final int BYTE_MASK = 0xff;
    private static final int SHORT_MASK = 0xffff;

    /**
     * The use of one customer at the sender.
     *
     * @param customer a number below 2 to the 33rd; its highest bit shares a byte with the plan
     * @param plan number of the plan, below 128
     * @param used units admitted there by the sender's incarnation, in sixteenths; 16 bits, wraps around
     * @param demand units requested there per second, 0 to 254
     * @param fullness the sender's view of the customer's token bucket for the whole tier, 0 to 1
     */
    public record Entry(long customer, int plan, int used, double demand, double fullness) { }

    /**
     * A transfer request: ceiling units of a customer that the sender wants from one gateway.
     *
     * @param first number of the first gateway of the customer's set
     * @param spread size of that set
     * @param giver number of the lender that the request is for
     * @param units 0 to 63.75
     */
    public record Want(long customer, int plan, int first, int spread, int giver, double units) {
        /** Whether that gateway, in a tier of {@code gateways}, is in the set; false for a set larger than the tier. */
        public boolean inSet(int gateway, int gateways) {
            return spread <= gateways && Math.floorMod(gateway - first, gateways) < spread;
        }
    }

    /**
     * A grant: ceiling units that the sender has deducted for another gateway.
     *
     * @param to number of the borrower
     * @param toLife the low 16 bits of the borrower's incarnation that sent the request
     * @param toCount the count of the message that carried the request
     * @param units 0 to 63.75
     */
    public record Gift(long customer, int to, int toLife, int toCount, double units) { }

    /** The number of entries that fit beside this many transfer requests and grants. */
    public static int room(int transfers) {
        return (MAX_MESSAGE_BYTES - HEADER_BYTES - TRANSFER_BYTES * transfers) / ENTRY_BYTES;
    }

    /** The low 16 bits of an incarnation or a count. */
    public static int word(int value) {
        return value & SHORT_MASK;
    }

    /** The largest amount that a transfer field can carry and that is not above {@code units}. */
    public static double loan(double units) {
        return Math.max(0, Math.min(BYTE_MASK, Math.floor(units * TRANSFER_STEPS_PER_UNIT))) / TRANSFER_STEPS_PER_UNIT;
    }

    /** The field value for an amount of units used. */
    public static int usedField(double units) {
        return (int) Math.round(units * USED_STEPS_PER_UNIT) & SHORT_MASK;
    }

    /** Units by which one such field is ahead of another, across a wrap-around; below 0 if it is behind. */
    public static double ahead(int later, int earlier) {
        return (short) (later - earlier) / USED_STEPS_PER_UNIT;
    }

    /** Units that such a field stands for by itself. */
    public static double units(int used) {
        return used / USED_STEPS_PER_UNIT;
    }

    /**
     * The encoded message.
     *
     * @throws IllegalArgumentException if the content does not fit
     */
    public byte[] bytes() {
        int transfers = wants.size() + gifts.size();
        if (Math.max(wants.size(), gifts.size()) > LOANS || entries.size() > room(transfers)) {
            throw new IllegalArgumentException("usage message too large: entries " + entries.size() + ", transfers " + transfers);
        }
        ByteBuffer b = Frame.begin(VERSION, HEADER_BYTES + ENTRY_BYTES * entries.size() + TRANSFER_BYTES * transfers);
        b.putInt(life).putShort((short) count);
        b.put((byte) entries.size()).put((byte) wants.size()).put((byte) gifts.size());
        for (Entry e : entries) {
            putCustomer(b, e.customer(), e.plan());
            b.putShort((short) e.used());
            b.put((byte) Math.min(BYTE_MASK, Math.round(Math.sqrt(Math.max(0, e.demand())) * DEMAND_ROOT_STEPS)));
            b.put((byte) Math.round(Math.max(0, Math.min(1, e.fullness())) * BYTE_MASK));
        }
        for (Want w : wants) {
            putCustomer(b, w.customer(), w.plan());
            b.putShort((short) w.first()).putShort((short) w.spread()).putShort((short) w.giver());
            b.put((byte) (loan(w.units()) * TRANSFER_STEPS_PER_UNIT));
        }
        for (Gift g : gifts) {
            putCustomer(b, g.customer(), 0);
            b.putShort((short) g.to()).putShort((short) g.toLife()).putShort((short) g.toCount());
            b.put((byte) (loan(g.units()) * TRANSFER_STEPS_PER_UNIT));
        }
        return Frame.end(b);
    }

    private static void putCustomer(ByteBuffer b, long customer, int plan) {
        b.put((byte) (plan << 1 | (int) (customer >>> 32) & 1)).putInt((int) customer);
    }

    /** The decoded message, or null if the bytes are none: too short, too long, damaged or of another version. */
    public static UsageMessage read(byte[] data) {
        ByteBuffer b = Frame.open(data, VERSION, HEADER_BYTES, MAX_MESSAGE_BYTES);
        if (b == null) {
            return null;
        }
        int life = b.getInt();
        int count = b.getShort() & SHORT_MASK;
        int entryCount = b.get() & BYTE_MASK;
        int requestCount = b.get() & BYTE_MASK;
        int grantCount = b.get() & BYTE_MASK;
        if (data.length != HEADER_BYTES + ENTRY_BYTES * entryCount + TRANSFER_BYTES * (requestCount + grantCount)) {
            return null;
        }
        List<Entry> entries = new ArrayList<>(entryCount);
        while (entries.size() < entryCount) {
            entries.add(entry(b));
        }
        List<Want> requests = new ArrayList<>(requestCount);
        while (requests.size() < requestCount) {
            int customerAndPlan = b.get() & BYTE_MASK;
            requests.add(new Want(customer(customerAndPlan, b), customerAndPlan >>> 1, b.getShort() & SHORT_MASK, b.getShort() & SHORT_MASK,
                    b.getShort() & SHORT_MASK, (b.get() & BYTE_MASK) / TRANSFER_STEPS_PER_UNIT));
        }
        List<Gift> grants = new ArrayList<>(grantCount);
        while (grants.size() < grantCount) {
            grants.add(new Gift(customer(b.get() & BYTE_MASK, b), b.getShort() & SHORT_MASK, b.getShort() & SHORT_MASK,
                    b.getShort() & SHORT_MASK, (b.get() & BYTE_MASK) / TRANSFER_STEPS_PER_UNIT));
        }
        return new UsageMessage(life, count, entries, requests, grants);
    }

    private static long customer(int customerAndPlan, ByteBuffer b) {
        return (customerAndPlan & 1L) << 32 | b.getInt() & 0xffff_ffffL;
    }

    private static Entry entry(ByteBuffer b) {
        int customerAndPlan = b.get() & BYTE_MASK;
        long customer = customer(customerAndPlan, b);
        int used = b.getShort() & SHORT_MASK;
        double demandRoot = (b.get() & BYTE_MASK) / DEMAND_ROOT_STEPS;
        return new Entry(customer, customerAndPlan >>> 1, used, demandRoot * demandRoot, (b.get() & BYTE_MASK) / (double) BYTE_MASK);
    }
}
