package marlford.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.frame.Frame;

/**
 * A message between gateways and its bytes: version, check sum, the sender's life, the life it knows of the
 * receiver, its own count of messages to the receiver and the last one it had from there; then entries on
 * customers. Translation only: amounts are fixed point, held within what their field can say.
 */
record LedgerMessage(int epoch, int yourEpoch, int serial, int yourSerial, List<Entry> entries) {
    static final int HEAD_BYTES = 16;
    static final int ENTRY_BYTES = 27; // the longest entry
    private static final byte VERSION = 3;
    private static final int ANSWER = 1;
    private static final int REPLY = 2;
    private static final int CEILING = 4;
    private static final int UNSURE = 8;
    private static final int VIEW = 16;
    private static final double PER_UNIT = 16; // fixed point of units
    private static final double PER_STORE = 30_000; // fixed point of a store's filling
    private static final int WORD = 0xffff;

    /**
     * One customer. From a gateway of its set: units used so far and wanted beside, its demand, its view of the
     * store where it has one. The answer of a keeper: units booked, units granted of what was wanted, the demand of
     * the others, the store, ceiling units given so far in the receiver's life.
     */
    record Entry(boolean answer, boolean reply, boolean ceiling, boolean unsure, boolean view, long customer, int plan,
            int first, int spread, double used, double want, double demand, double fullness, int open,
            double given) {
        private int bytes() {
            return 17 + (answer ? 0 : 4) + (answer || view ? 2 : 0) + (answer && ceiling ? 4 : 0);
        }

        private void put(ByteBuffer b) {
            b.put((byte) ((answer ? ANSWER : 0) | (reply ? REPLY : 0) | (ceiling ? CEILING : 0)
                    | (unsure ? UNSURE : 0) | (view ? VIEW : 0)));
            b.put((byte) plan).put((byte) (customer >>> 32)).putInt((int) customer);
            if (!answer) b.putShort((short) first).putShort((short) spread);
            b.putInt((int) Math.round(used * PER_UNIT)).putShort(word(want * PER_UNIT));
            b.putShort(word(demand * PER_UNIT)).putShort(word(open));
            if (answer || view) b.putShort((short) Math.round(Math.max(-1, Math.min(1, fullness)) * PER_STORE));
            if (answer && ceiling) b.putInt((int) Math.round(given * PER_UNIT));
        }

        private static Entry get(ByteBuffer b) {
            int flags = b.get();
            boolean answer = (flags & ANSWER) != 0;
            boolean ceiling = (flags & CEILING) != 0;
            boolean view = (flags & VIEW) != 0;
            int plan = b.get() & 0xff;
            long customer = (b.get() & 0xffL) << 32 | b.getInt() & 0xffffffffL;
            int first = answer ? 0 : b.getShort() & WORD;
            int spread = answer ? 0 : b.getShort() & WORD;
            double used = b.getInt() / PER_UNIT;
            double want = (b.getShort() & WORD) / PER_UNIT;
            double demand = (b.getShort() & WORD) / PER_UNIT;
            int open = b.getShort() & WORD;
            double fullness = answer || view ? b.getShort() / PER_STORE : 0;
            double given = answer && ceiling ? b.getInt() / PER_UNIT : 0;
            return new Entry(answer, (flags & REPLY) != 0, ceiling, (flags & UNSURE) != 0, view, customer, plan,
                    first, spread, used, want, demand, fullness, open, given);
        }
    }

    /** What running total {@code later} is ahead of {@code earlier}, also where the field has run over between. */
    static double ahead(double later, double earlier) {
        return ((int) Math.round(later * PER_UNIT) - (int) Math.round(earlier * PER_UNIT)) / PER_UNIT;
    }

    /** Whether count {@code a} comes after {@code b}, also where the field has run over between. */
    static boolean after(int a, int b) {
        return (short) (a - b) > 0;
    }

    private static short word(double value) {
        return (short) Math.max(0, Math.min(WORD, Math.round(value)));
    }

    byte[] bytes() {
        int size = HEAD_BYTES + entries.stream().mapToInt(Entry::bytes).sum();
        ByteBuffer b = Frame.begin(VERSION, size);
        b.putInt(epoch).putInt(yourEpoch).putShort((short) serial);
        b.putShort((short) yourSerial).put((byte) entries.size());
        entries.forEach(e -> e.put(b));
        return Frame.end(b);
    }

    /** Null where the message is short, damaged or of another version. */
    static LedgerMessage read(byte[] data) {
        ByteBuffer b = Frame.open(data, VERSION, HEAD_BYTES, Integer.MAX_VALUE);
        if (b == null) return null;
        try {
            int epoch = b.getInt();
            int yourEpoch = b.getInt();
            int serial = b.getShort() & WORD;
            int yourSerial = b.getShort() & WORD;
            int count = b.get() & 0xff;
            List<Entry> entries = new ArrayList<>(count);
            while (entries.size() < count) entries.add(Entry.get(b));
            return b.hasRemaining() ? null : new LedgerMessage(epoch, yourEpoch, serial, yourSerial, entries);
        } catch (java.nio.BufferUnderflowException e) {
            return null;
        }
    }
}
