package marlford.gateway.quota;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.frame.Frame;

/**
 * One message between two gateways of a large tier, or of one to all, and its bytes: version, check sum, the sender's life,
 * the life of the receiver that it answers, the sender's count of messages, then items. Translation only.
 *
 * @param life the sender's life; a later one begins all counts anew
 * @param toLife lowest 16 bits of the life that is answered; 0 where nothing is answered
 * @param count messages of this life up to this one, 16 bits, running over
 * @param items as many as {@link #MOST_BYTES} have room for
 */
public record QuotaMessage(int life, int toLife, int count, List<Item> items) {
    /** Largest message, in bytes. */
    public static final int MOST_BYTES = 256;
    static final int HEAD_BYTES = 11;
    static final int WORD = 0xffff;
    private static final byte VERSION = 5; // up to 4: the messages of smaller tiers
    private static final int BYTE = 0xff;
    private static final double PER_UNIT = 4; // fixed point of a request's units, in a byte
    private static final double PER_STORE = 200; // fixed point of a store's filling, above nothing
    private static final int EMPTY = 50; // the byte of a store at nothing: it may be below by a quarter of its burst
    private static final double PER_ROOT = 16; // demand goes by its root: fine where it is small

    /** How a keeper answered. */
    public enum Verdict {
        /** The units are the asker's. */
        GRANTED,
        /** The customer's store has not got them. */
        STORE,
        /** The store's units are the asker's, but this keeper's share of the ceiling has not got them. */
        CEILING,
        /** This gateway can't judge: it has no room for the book, or the set can't be. */
        UNABLE
    }

    /** One thing said. */
    public sealed interface Item
            permits Ask, Answer, Back, Used, Sync, Hint, Presence, LeaseCapable, LeaseRequest, LeaseGrant,
            UsageReport { }

    /** A customer as messages name it: a number below 2 to the 33rd, its plan below 128, its set. */
    public record Named(long customer, int plan, int first, int spread) {
        /** Whether that gateway of so many is one of the set; never where the set is larger than the tier. */
        public boolean holds(int gateway, int gateways) {
            return spread > 0 && spread <= gateways && Math.floorMod(gateway - first, gateways) < spread;
        }
    }

    /**
     * May a request of so many units be let in? A repeat carries the same serial.
     *
     * @param serial the asker's count of questions, 16 bits
     * @param units 0 to 63.75
     * @param more units asked of the sender since its last question that it refused by itself, 0 to 63.75
     * @param of which units are asked for
     */
    public record Ask(int serial, Named named, double units, double more, Of of) implements Item { }

    /** What units are asked for. */
    public enum Of {
        /** The quota's and, where there is one, the ceiling's. */
        BOTH,
        /** The quota's: the asker has the ceiling's. */
        STORE,
        /** The ceiling's: the quota's were granted. */
        CEILING
    }

    /**
     * @param fullness the store, as a share of its burst, -0.25 to 1
     * @param demand units a second asked for everywhere, 0 to 254
     * @param standsIn a keeper that comes before the sender is there, as far as this one knows
     */
    public record Answer(int serial, Verdict verdict, double fullness, double demand, boolean standsIn)
            implements Item { }

    /** The store's units granted to that question were not used and never will be. */
    public record Back(int serial) implements Item { }

    /**
     * So many units were let in without a keeper's word.
     *
     * @param units 0 to 63.75
     */
    public record Used(int serial, Named named, double units) implements Item { }

    /** A keeper's book for one that may have to stand in for it, or for a returned one that it belongs to. */
    public record Sync(Named named, double fullness, double demand) implements Item { }

    /** A customer that asks for more than it may, by the word of its keeper; for whoever may have to judge by himself. */
    public record Hint(long customer, int plan, double fullness, double demand) implements Item { }

    /** What a gateway says of itself. */
    public record Presence(State state) implements Item { }

    /** The states that a gateway tells. */
    public enum State {
        /** It serves from now on, and has the books of no earlier life. */
        SERVES,
        /** It is about to end: others are to be asked in its place. */
        LEAVES,
        /** It wants to know whether the receiver is there. */
        ASKS,
        /** It is there. */
        HERE
    }

    /**
     * The sender understands {@link LeaseRequest} and {@link LeaseGrant}, which earlier versions can't read. On the wire it is
     * {@link State#HERE} twice: earlier versions ignore that, and never say it twice in one message themselves.
     */
    public record LeaseCapable() implements Item { }

    /**
     * Asks a customer's keeper (or, for ceiling units, the holder of a share) for a lease, or renews one. A repeat carries the
     * same serial and the same figures.
     *
     * @param serial from the same counter as the serials of questions; a later request ends all earlier ones
     * @param of {@link Of#STORE} or {@link Of#CEILING}
     * @param units wanted beside those held, 0 to 63.75; 0 ends the lease
     * @param held units of earlier grants that may still be spent or are on their way to a host, rounded up
     * @param returned units of earlier grants that were not spent and never will be, rounded down; not among those held
     */
    public record LeaseRequest(int serial, Named named, Of of, double units, double held, double returned)
            implements Item { }

    /**
     * The answer to a {@link LeaseRequest}.
     *
     * @param units granted beside those held, 0 to 63.75
     */
    public record LeaseGrant(int serial, double units, double fullness, double demand) implements Item { }

    /**
     * What was tried and let in without a keeper's word; as {@link LeaseRequest} only for those that are capable of it. It is
     * answered by a {@link Hint}.
     *
     * @param units let in, 0 to 63.75
     * @param tried units let in or refused, 0 to 63.75
     */
    public record UsageReport(int serial, Named named, double units, double tried) implements Item { }

    private static final int LEASE = 0; // this and the next three are flags of that kind
    private static final int USAGE = 0;
    private static final int LEASE_REQUEST = 0; // and the ordinal of the units wanted, 1 or 2
    private static final int LEASE_GRANT = 3;
    private static final int ASK = 1;
    private static final int ANSWER = 2;
    private static final int BACK = 3;
    private static final int SYNC = 4;
    private static final int PRESENCE = 5;
    private static final int USED = 6;
    private static final int STANDS_IN = 4; // a flag of answers, above the verdict
    private static final int HINT = 7;
    private static final int KIND = 7; // its bits
    private static final int FLAGS_FROM = 3; // bits of the kind's byte from here on are flags

    static int bytes(Item item) {
        if (item instanceof Ask) {
            return 14;
        }
        if (item instanceof Hint) {
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
        return item instanceof Sync ? 12 : item instanceof Used ? 13 : item instanceof Answer ? 5 : item instanceof Back ? 3 : 1;
    }

    /** @throws IllegalArgumentException where there is more than fits */
    public byte[] bytes() {
        int size = HEAD_BYTES + items.stream().mapToInt(QuotaMessage::bytes).sum();
        if (size > MOST_BYTES) {
            throw new IllegalArgumentException("too much for one message: " + size + " bytes");
        }
        ByteBuffer b = Frame.begin(VERSION, size);
        b.putInt(life).putShort((short) toLife).putShort((short) count);
        items.forEach(i -> put(b, i));
        return Frame.end(b);
    }

    private static void put(ByteBuffer b, Item item) {
        if (item instanceof Ask a) {
            b.put((byte) (ASK | a.of.ordinal() << FLAGS_FROM)).putShort((short) a.serial);
            put(b, a.named);
            b.put(fixed(a.units * PER_UNIT)).put(fixed(a.more * PER_UNIT));
        } else if (item instanceof Answer a) {
            int flags = a.verdict.ordinal() | (a.standsIn ? STANDS_IN : 0);
            b.put((byte) (ANSWER | flags << FLAGS_FROM)).putShort((short) a.serial);
            put(b, a.fullness, a.demand);
        } else if (item instanceof Back back) {
            b.put((byte) BACK).putShort((short) back.serial);
        } else if (item instanceof Used u) {
            b.put((byte) USED).putShort((short) u.serial);
            put(b, u.named);
            b.put(fixed(u.units * PER_UNIT));
        } else if (item instanceof Sync s) {
            b.put((byte) SYNC);
            put(b, s.named);
            put(b, s.fullness, s.demand);
        } else if (item instanceof Hint h) {
            b.put((byte) HINT);
            put(b, h.customer, h.plan);
            put(b, h.fullness, h.demand);
        } else if (item instanceof LeaseRequest r) {
            b.put((byte) (LEASE | LEASE_REQUEST + r.of.ordinal() << FLAGS_FROM)).putShort((short) r.serial);
            put(b, r.named);
            b.put(fixed(r.units * PER_UNIT)).put(fixed(Math.ceil(r.held * PER_UNIT)));
            b.put(fixed(Math.floor(r.returned * PER_UNIT)));
        } else if (item instanceof LeaseGrant g) {
            b.put((byte) (LEASE | LEASE_GRANT << FLAGS_FROM)).putShort((short) g.serial);
            b.put(fixed(g.units * PER_UNIT));
            put(b, g.fullness, g.demand);
        } else if (item instanceof UsageReport u) {
            b.put((byte) (LEASE | USAGE << FLAGS_FROM)).putShort((short) u.serial);
            put(b, u.named);
            b.put(fixed(u.units * PER_UNIT)).put(fixed(u.tried * PER_UNIT));
        } else if (item instanceof LeaseCapable) {
            b.put(here()).put(here());
        } else if (item instanceof Presence p) {
            b.put((byte) (PRESENCE | p.state.ordinal() << FLAGS_FROM));
        }
    }

    private static byte here() {
        return (byte) (PRESENCE | State.HERE.ordinal() << FLAGS_FROM);
    }

    private static void put(ByteBuffer b, long customer, int plan) {
        b.put((byte) (plan << 1 | (int) (customer >>> 32) & 1)).putInt((int) customer);
    }

    private static void put(ByteBuffer b, Named n) {
        put(b, n.customer, n.plan);
        b.putShort((short) n.first).putShort((short) n.spread);
    }

    /** A store is rounded down: what is told is never more than there is. */
    private static void put(ByteBuffer b, double fullness, double demand) {
        b.put((byte) Math.max(0, Math.min(BYTE, Math.floor(fullness * PER_STORE + 1e-6) + EMPTY)));
        b.put(fixed(Math.sqrt(Math.max(0, demand)) * PER_ROOT));
    }

    private static byte fixed(double value) {
        return (byte) Math.max(0, Math.min(BYTE, Math.round(value)));
    }

    /** Null where the bytes are no such message: short, long, damaged or of another version. */
    public static QuotaMessage read(byte[] data) {
        ByteBuffer b = Frame.open(data, VERSION, HEAD_BYTES, MOST_BYTES);
        if (b == null) {
            return null;
        }
        int life = b.getInt();
        int toLife = b.getShort() & WORD;
        int count = b.getShort() & WORD;
        List<Item> items = new ArrayList<>();
        while (b.hasRemaining()) {
            Item item = item(b);
            if (item == null) {
                return null;
            }
            items.add(item);
        }
        return new QuotaMessage(life, toLife, count, items);
    }

    private static Item item(ByteBuffer b) {
        int head = b.get() & BYTE;
        int flags = head >>> FLAGS_FROM;
        int rest = switch (head & KIND) {
            case ASK -> 13;
            case ANSWER -> 4;
            case BACK -> 2;
            case USED -> 12;
            case SYNC -> 11;
            case HINT -> 7;
            case LEASE -> flags == LEASE_GRANT ? 5 : flags == USAGE ? 13 : 14;
            default -> 0;
        };
        if (b.remaining() < rest) {
            return null;
        }
        return switch (head & KIND) {
            case ASK -> flags < Of.values().length
                    ? new Ask(b.getShort() & WORD, named(b), amount(b), amount(b), Of.values()[flags]) : null;
            case ANSWER -> flags < 2 * STANDS_IN ? new Answer(b.getShort() & WORD,
                    Verdict.values()[flags % STANDS_IN], fullness(b), demand(b), flags >= STANDS_IN) : null;
            case BACK -> new Back(b.getShort() & WORD);
            case USED -> new Used(b.getShort() & WORD, named(b), amount(b));
            case SYNC -> new Sync(named(b), fullness(b), demand(b));
            case HINT -> hint(b);
            case LEASE -> lease(flags, b);
            default -> presence(flags, b);
        };
    }

    private static Item presence(int flags, ByteBuffer b) {
        if (flags >= State.values().length) {
            return null;
        }
        if (flags == State.HERE.ordinal() && b.hasRemaining() && b.get(b.position()) == here()) {
            b.get();
            return new LeaseCapable();
        }
        return new Presence(State.values()[flags]);
    }

    private static Item lease(int flags, ByteBuffer b) {
        if (flags == LEASE_GRANT) {
            return new LeaseGrant(b.getShort() & WORD, amount(b), fullness(b), demand(b));
        }
        if (flags == USAGE) {
            return new UsageReport(b.getShort() & WORD, named(b), amount(b), amount(b));
        }
        return flags > LEASE_GRANT ? null
                : new LeaseRequest(b.getShort() & WORD, named(b), Of.values()[flags], amount(b), amount(b), amount(b));
    }

    private static long customer(int head, ByteBuffer b) {
        return (head & 1L) << 32 | b.getInt() & 0xffff_ffffL;
    }

    private static Hint hint(ByteBuffer b) {
        int head = b.get() & BYTE;
        return new Hint(customer(head, b), head >>> 1, fullness(b), demand(b));
    }

    private static Named named(ByteBuffer b) {
        int head = b.get() & BYTE;
        return new Named(customer(head, b), head >>> 1, b.getShort() & WORD, b.getShort() & WORD);
    }

    private static double amount(ByteBuffer b) {
        return (b.get() & BYTE) / PER_UNIT;
    }

    private static double fullness(ByteBuffer b) {
        return ((b.get() & BYTE) - EMPTY) / PER_STORE;
    }

    private static double demand(ByteBuffer b) {
        double root = (b.get() & BYTE) / PER_ROOT;
        return root * root;
    }
}
