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
 * @param incarnation the sender's incarnation; a later one restarts all counts
 * @param count number of messages that this incarnation has sent, this one included; 16 bits, wraps around
 * @param entries at most {@link #maxEntries} of them
 * @param transferRequests transfer requests, at most {@link #MAX_TRANSFERS}
 * @param grants grants, at most {@link #MAX_TRANSFERS}
 */
public record UsageMessage(int incarnation, int count, List<Entry> entries, List<TransferRequest> transferRequests, List<Grant> grants) {
    /** Upper limit of transfer requests, and of grants as well, in one message beside entries. */
    public static final int MAX_TRANSFERS = 5;
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
     * @param lender number of the lender that the request is for
     * @param units 0 to 63.75
     */
    public record TransferRequest(long customer, int plan, int first, int spread, int lender, double units) {
        /** Whether that gateway, in a tier of {@code gateways}, is in the set; false for a set larger than the tier. */
        public boolean inSet(int gateway, int gateways) {
            return spread <= gateways && Math.floorMod(gateway - first, gateways) < spread;
        }
    }

    /**
     * A grant: ceiling units that the sender has deducted for another gateway.
     *
     * @param borrower number of the borrower
     * @param borrowerIncarnation the low 16 bits of the borrower's incarnation that sent the request
     * @param requestCount the count of the message that carried the request
     * @param units 0 to 63.75
     */
    public record Grant(long customer, int borrower, int borrowerIncarnation, int requestCount, double units) { }

    /** The number of entries that fit beside this many transfer requests and grants. */
    public static int maxEntries(int transfers) {
        return (MAX_MESSAGE_BYTES - HEADER_BYTES - TRANSFER_BYTES * transfers) / ENTRY_BYTES;
    }

    /** The low 16 bits of an incarnation or a count. */
    public static int low16Bits(int value) {
        return value & SHORT_MASK;
    }

    /** The largest amount that a transfer field can carry and that is not above {@code units}. */
    public static double transferableUnits(double units) {
        return Math.max(0, Math.min(BYTE_MASK, Math.floor(units * TRANSFER_STEPS_PER_UNIT))) / TRANSFER_STEPS_PER_UNIT;
    }

    /** The field value for an amount of units used. */
    public static int encodeUsed(double units) {
        return (int) Math.round(units * USED_STEPS_PER_UNIT) & SHORT_MASK;
    }

    /** Units by which one such field is ahead of another, across a wrap-around; below 0 if it is behind. */
    public static double unitsAhead(int later, int earlier) {
        return (short) (later - earlier) / USED_STEPS_PER_UNIT;
    }

    /** Units that such a field stands for by itself. */
    public static double decodeUsed(int used) {
        return used / USED_STEPS_PER_UNIT;
    }

    /**
     * The encoded message.
     *
     * @throws IllegalArgumentException if the content does not fit
     */
    public byte[] encode() {
        int transfers = transferRequests.size() + grants.size();
        if (Math.max(transferRequests.size(), grants.size()) > MAX_TRANSFERS || entries.size() > maxEntries(transfers)) {
            throw new IllegalArgumentException("usage message too large: entries " + entries.size() + ", transfers " + transfers);
        }
        ByteBuffer b = Frame.begin(VERSION, HEADER_BYTES + ENTRY_BYTES * entries.size() + TRANSFER_BYTES * transfers);
        b.putInt(incarnation).putShort((short) count);
        b.put((byte) entries.size()).put((byte) transferRequests.size()).put((byte) grants.size());
        for (Entry e : entries) {
            putCustomer(b, e.customer(), e.plan());
            b.putShort((short) e.used());
            b.put((byte) Math.min(BYTE_MASK, Math.round(Math.sqrt(Math.max(0, e.demand())) * DEMAND_ROOT_STEPS)));
            b.put((byte) Math.round(Math.max(0, Math.min(1, e.fullness())) * BYTE_MASK));
        }
        for (TransferRequest w : transferRequests) {
            putCustomer(b, w.customer(), w.plan());
            b.putShort((short) w.first()).putShort((short) w.spread()).putShort((short) w.lender());
            b.put((byte) (transferableUnits(w.units()) * TRANSFER_STEPS_PER_UNIT));
        }
        for (Grant g : grants) {
            putCustomer(b, g.customer(), 0);
            b.putShort((short) g.borrower()).putShort((short) g.borrowerIncarnation()).putShort((short) g.requestCount());
            b.put((byte) (transferableUnits(g.units()) * TRANSFER_STEPS_PER_UNIT));
        }
        return Frame.end(b);
    }

    private static void putCustomer(ByteBuffer b, long customer, int plan) {
        b.put((byte) (plan << 1 | (int) (customer >>> 32) & 1)).putInt((int) customer);
    }

    /** The decoded message, or null if the bytes are none: too short, too long, damaged or of another version. */
    public static UsageMessage decode(byte[] data) {
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
        List<TransferRequest> requests = new ArrayList<>(requestCount);
        while (requests.size() < requestCount) {
            int customerAndPlan = b.get() & BYTE_MASK;
            requests.add(new TransferRequest(customer(customerAndPlan, b), customerAndPlan >>> 1, b.getShort() & SHORT_MASK,
                    b.getShort() & SHORT_MASK, b.getShort() & SHORT_MASK, (b.get() & BYTE_MASK) / TRANSFER_STEPS_PER_UNIT));
        }
        List<Grant> grants = new ArrayList<>(grantCount);
        while (grants.size() < grantCount) {
            grants.add(new Grant(customer(b.get() & BYTE_MASK, b), b.getShort() & SHORT_MASK, b.getShort() & SHORT_MASK,
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
