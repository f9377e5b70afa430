package marlford.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;

/**
 * The record format of the store: checksum of the header, length, type, checksum of the body, body.
 *
 * <p>A record that is cut off by the end of the file, or that consists of zeros up to it, is the rest of an
 * interrupted write: the sync after it never returned, so nobody relied on it, and it is truncated. A complete record
 * with a wrong checksum may have been relied on: it is reported as {@link Damaged}, and the voter stops.
 */
final class Segment {
    static final int HEAD = 4 + 4 + 1 + 4; // bytes
    static final int BODY_MAX = 64 << 20; // bytes

    private Segment() {}

    /** The file is corrupt. */
    static final class Damaged extends IOException {
        private static final long serialVersionUID = 1L;

        Damaged(String message) {
            super(message);
        }
    }

    static ByteBuffer record(byte kind, byte[] body) {
        ByteBuffer b = ByteBuffer.allocate(HEAD + body.length);
        b.position(4).putInt(body.length).put(kind).putInt(sum(body, 0, body.length));
        b.put(body);
        b.putInt(0, sum(b.array(), 4, HEAD - 4));
        return b.flip();
    }

    private static int sum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** Reads all records in order; returns the length of the complete records in bytes. */
    static int read(byte[] file, BiConsumer<Byte, byte[]> to) throws Damaged {
        int at = 0;
        while (at < file.length) {
            if (file.length - at < HEAD || zeros(file, at)) {
                return at;
            }
            ByteBuffer head = ByteBuffer.wrap(file, at, HEAD);
            int headSum = head.getInt();
            int length = head.getInt();
            byte kind = head.get();
            int bodySum = head.getInt();
            if (headSum != sum(file, at + 4, HEAD - 4) || length < 0 || length > BODY_MAX) {
                throw new Damaged("the head of a record at " + at + " of " + file.length + " does not add up");
            }
            if (length > file.length - at - HEAD) {
                return at;
            }
            if (bodySum != sum(file, at + HEAD, length)) {
                throw new Damaged("a record at " + at + " of " + file.length + " does not add up");
            }
            byte[] body = new byte[length];
            System.arraycopy(file, at + HEAD, body, 0, length);
            to.accept(kind, body);
            at += HEAD + length;
        }
        return at;
    }

    private static boolean zeros(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
