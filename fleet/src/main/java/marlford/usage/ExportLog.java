package marlford.usage;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Reader and writer of the export file: a sequence of records, each with the fencing token of its writer. In file
 * order a record <em>counts</em> unless its token is smaller than that of an earlier record, or a record of the same
 * source with the same or a later sequence number counts already. Bytes that are not a record are skipped.
 *
 * <p>Whether a record counts depends only on what precedes it, so it never changes. Not thread-safe.
 */
public final class ExportLog {
    private static final long MAGIC = 0x4d41524c45585031L;
    private static final int LONG = 8; // bytes
    private static final int HEAD = 7 * LONG; // magic, sum, token, source, sequence, begin, rows
    private static final int TOKEN_AT = 2 * LONG;
    private static final int ROWS_AT = 6 * LONG;
    private static final int ROW = 2 * LONG;
    private static final int ROWS_MAX = 1 << 20;

    private byte[] rest = new byte[0]; // bytes that may be the beginning of a record
    private final Map<Long, Long> last = new HashMap<>(); // sequence by source
    private final Map<Long, Long> totals = new TreeMap<>(); // thousandths of units by customer
    private long greatest; // token
    private long read; // bytes
    private int counted;
    private int passedOver;

    /** The record of a batch. */
    public static byte[] record(long token, Batch b) {
        byte[] r = new byte[HEAD + b.milliUnits().size() * ROW];
        put(r, 0, MAGIC);
        put(r, TOKEN_AT, token);
        put(r, TOKEN_AT + LONG, b.source());
        put(r, TOKEN_AT + 2 * LONG, b.sequence());
        put(r, TOKEN_AT + 3 * LONG, b.startMs());
        put(r, ROWS_AT, b.milliUnits().size());
        int at = HEAD;
        for (Map.Entry<Long, Long> row : b.milliUnits().entrySet()) {
            put(r, at, row.getKey());
            put(r, at + LONG, row.getValue());
            at += ROW;
        }
        put(r, LONG, sum(r, 0, r.length));
        return r;
    }

    private static long sum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from + TOKEN_AT, length - TOKEN_AT);
        return crc.getValue();
    }

    private static void put(byte[] to, int at, long value) {
        for (int i = 0; i < LONG; i++) {
            to[at + i] = (byte) (value >>> 8 * (LONG - 1 - i));
        }
    }

    private static long get(byte[] from, int at) {
        long value = 0;
        for (int i = 0; i < LONG; i++) {
            value = value << 8 | from[at + i] & 0xff;
        }
        return value;
    }

    /** Reads on: what lies behind all that was read before. */
    public void read(byte[] more) {
        read += more.length;
        byte[] all = Arrays.copyOf(rest, rest.length + more.length);
        System.arraycopy(more, 0, all, rest.length, more.length);
        int at = 0;
        while (all.length - at >= HEAD) {
            int length = lengthAt(all, at);
            if (length < 0) {
                at++; // noise, or what an interrupted write left
            } else if (length > all.length - at) {
                if (!isCutShort(all, at)) {
                    break;
                }
                at++;
            } else if (get(all, at + LONG) != sum(all, at, length)) {
                at++;
            } else {
                take(all, at);
                at += length;
            }
        }
        rest = Arrays.copyOfRange(all, at, all.length);
    }

    /** The length that the head here tells; negative where there is no head. */
    private static int lengthAt(byte[] all, int at) {
        long rows = get(all, at + ROWS_AT);
        return get(all, at) != MAGIC || rows < 0 || rows > ROWS_MAX ? -1 : HEAD + (int) rows * ROW;
    }

    /** Whether a whole record lies behind a head whose own record is not whole: then its end never comes. */
    private static boolean isCutShort(byte[] all, int at) {
        for (int next = at + 1; all.length - next >= HEAD; next++) {
            int length = lengthAt(all, next);
            if (length > 0 && length <= all.length - next && get(all, next + LONG) == sum(all, next, length)) {
                return true;
            }
        }
        return false;
    }

    private void take(byte[] all, int at) {
        long token = get(all, at + TOKEN_AT);
        long source = get(all, at + TOKEN_AT + LONG);
        long sequence = get(all, at + TOKEN_AT + 2 * LONG);
        if (token < greatest || sequence <= last.getOrDefault(source, 0L)) {
            passedOver++;
            return;
        }
        greatest = token;
        last.put(source, sequence);
        counted++;
        int rows = (int) get(all, at + ROWS_AT);
        for (int r = 0; r < rows; r++) {
            totals.merge(get(all, at + HEAD + r * ROW), get(all, at + HEAD + r * ROW + LONG), Long::sum);
        }
    }

    /** How many bytes were read: where the next ones lie. */
    public long offset() {
        return read;
    }

    /** Whether a batch counts already. */
    public boolean has(long source, long sequence) {
        return sequence <= last.getOrDefault(source, 0L);
    }

    /** Thousandths of units that count, by customer. */
    public Map<Long, Long> totals() {
        return new TreeMap<>(totals);
    }

    public int counted() {
        return counted;
    }

    /** Whole records that do not count. */
    public int passedOver() {
        return passedOver;
    }
}
