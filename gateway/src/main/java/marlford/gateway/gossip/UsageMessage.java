package marlford.gateway.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.frame.Frame;

/**
 * What one gateway tells all others of its tier at once, and its bytes: version, check sum, the sender's life, its
 * count of such messages, then what customers used, ceiling units wanted and given. Translation only; amounts are held
 * within what their field says.
 *
 * @param life the sender's life; a later one begins all counts anew
 * @param count messages of this life up to this one, 16 bits, running over
 * @param entries at most {@link #room} of them
 * @param wants at most {@link #LOANS}
 * @param gifts at most {@link #LOANS}
 */
public record UsageMessage(int life, int count, List<Entry> entries, List<Want> wants, List<Gift> gifts) {
    /** Wants, and gifts as well, that fit in a message beside entries. */
    public static final int LOANS = 5;
    private static final int MOST_BYTES = 256;
    private static final int HEAD_BYTES = 12;
    private static final int LOAN_BYTES = 12; // of a want or a gift
    private static final double PER_LOAN = 4; // fixed point of units wanted or given, in a byte, rounded down
    private static final int ENTRY_BYTES = 9;
    private static final byte VERSION = 4; // versions up to 3 are of messages between two gateways
    private static final double PER_UNIT = 16; // fixed point of units used
    private static final double PER_ROOT = 16; // demand goes by its root: fine where it is small
    private static final int BYTE = 0xff;
    private static final int WORD = 0xffff;

    /**
     * One customer at the sender: a number below 2 to the 33rd, whose highest bit shares a byte with the plan.
     *
     * @param plan below 128
     * @param used units let in there in the sender's life, in sixteenths, 16 bits, running over
     * @param demand units asked for there, in units a second, 0 to 254
     * @param fullness the sender's view of the customer's whole store, 0 to 1
     */
    public record Entry(long customer, int plan, int used, double demand, double fullness) { }

    /**
     * Ceiling units of a customer that the sender asks of one gateway, with the set that the customer comes through.
     *
     * @param units 0 to 63.75
     */
    public record Want(long customer, int plan, int first, int spread, int giver, double units) {
        /** Whether that gateway of so many is one of the set; never where the set is larger than the tier. */
        public boolean inSet(int gateway, int gateways) {
            return spread <= gateways && Math.floorMod(gateway - first, gateways) < spread;
        }
    }

    /**
     * Ceiling units that the sender has deducted for another gateway.
     *
     * @param toLife the lowest 16 bits of the life that asked
     * @param toCount the count of the message that asked
     * @param units 0 to 63.75
     */
    public record Gift(long customer, int to, int toLife, int toCount, double units) { }

    /** Entries that fit beside so many wants and gifts. */
    public static int room(int loans) {
        return (MOST_BYTES - HEAD_BYTES - LOAN_BYTES * loans) / ENTRY_BYTES;
    }

    /** The lowest 16 bits of a life or count. */
    public static int word(int value) {
        return value & WORD;
    }

    /** What a gift of so many units says, which is not more. */
    public static double loan(double units) {
        return Math.max(0, Math.min(BYTE, Math.floor(units * PER_LOAN))) / PER_LOAN;
    }

    /** The field for an amount of units used. */
    public static int usedField(double units) {
        return (int) Math.round(units * PER_UNIT) & WORD;
    }

    /** Units by which one such field is ahead of another; below 0 where it is behind. */
    public static double ahead(int later, int earlier) {
        return (short) (later - earlier) / PER_UNIT;
    }

    /** Units that such a field says by itself. */
    public static double units(int used) {
        return used / PER_UNIT;
    }

    /** @throws IllegalArgumentException where there is more than fits */
    public byte[] bytes() {
        int loans = wants.size() + gifts.size();
        if (Math.max(wants.size(), gifts.size()) > LOANS || entries.size() > room(loans)) {
            throw new IllegalArgumentException("too much for one message: " + entries.size() + " and " + loans);
        }
        ByteBuffer b = Frame.begin(VERSION, HEAD_BYTES + ENTRY_BYTES * entries.size() + LOAN_BYTES * loans);
        b.putInt(life).putShort((short) count);
        b.put((byte) entries.size()).put((byte) wants.size()).put((byte) gifts.size());
        for (Entry e : entries) {
            putCustomer(b, e.customer(), e.plan());
            b.putShort((short) e.used());
            b.put((byte) Math.min(BYTE, Math.round(Math.sqrt(Math.max(0, e.demand())) * PER_ROOT)));
            b.put((byte) Math.round(Math.max(0, Math.min(1, e.fullness())) * BYTE));
        }
        for (Want w : wants) {
            putCustomer(b, w.customer(), w.plan());
            b.putShort((short) w.first()).putShort((short) w.spread()).putShort((short) w.giver());
            b.put((byte) (loan(w.units()) * PER_LOAN));
        }
        for (Gift g : gifts) {
            putCustomer(b, g.customer(), 0);
            b.putShort((short) g.to()).putShort((short) g.toLife()).putShort((short) g.toCount());
            b.put((byte) (loan(g.units()) * PER_LOAN));
        }
        return Frame.end(b);
    }

    private static void putCustomer(ByteBuffer b, long customer, int plan) {
        b.put((byte) (plan << 1 | (int) (customer >>> 32) & 1)).putInt((int) customer);
    }

    /** Null where the bytes are no such message: short, long, damaged or of another version. */
    public static UsageMessage read(byte[] data) {
        ByteBuffer b = Frame.open(data, VERSION, HEAD_BYTES, MOST_BYTES);
        if (b == null) {
            return null;
        }
        int life = b.getInt();
        int count = b.getShort() & WORD;
        int used = b.get() & BYTE;
        int wanted = b.get() & BYTE;
        int given = b.get() & BYTE;
        if (data.length != HEAD_BYTES + ENTRY_BYTES * used + LOAN_BYTES * (wanted + given)) {
            return null;
        }
        List<Entry> entries = new ArrayList<>(used);
        while (entries.size() < used) {
            entries.add(entry(b));
        }
        List<Want> wants = new ArrayList<>(wanted);
        while (wants.size() < wanted) {
            int head = b.get() & BYTE;
            wants.add(new Want(customer(head, b), head >>> 1, b.getShort() & WORD, b.getShort() & WORD,
                    b.getShort() & WORD, (b.get() & BYTE) / PER_LOAN));
        }
        List<Gift> gifts = new ArrayList<>(given);
        while (gifts.size() < given) {
            gifts.add(new Gift(customer(b.get() & BYTE, b), b.getShort() & WORD, b.getShort() & WORD,
                    b.getShort() & WORD, (b.get() & BYTE) / PER_LOAN));
        }
        return new UsageMessage(life, count, entries, wants, gifts);
    }

    private static long customer(int head, ByteBuffer b) {
        return (head & 1L) << 32 | b.getInt() & 0xffff_ffffL;
    }

    private static Entry entry(ByteBuffer b) {
        int head = b.get() & BYTE;
        long customer = customer(head, b);
        int used = b.getShort() & WORD;
        double root = (b.get() & BYTE) / PER_ROOT;
        return new Entry(customer, head >>> 1, used, root * root, (b.get() & BYTE) / (double) BYTE);
    }
}
