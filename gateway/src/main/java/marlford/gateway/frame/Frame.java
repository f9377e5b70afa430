package marlford.gateway.frame;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * The frame that all messages between gateways share: one byte of version, then the low 16 bits of a CRC-32 over everything but
 * the checksum itself. Pure and stateless.
 */
public final class Frame {
    /** Bytes of the frame, which precede the header of a particular kind of message. */
    public static final int HEAD_BYTES = 3;

    private Frame() { }

    /** A buffer for a message of {@code size} bytes in all, positioned after the version and the room for the checksum. */
    public static ByteBuffer begin(byte version, int size) {
        return ByteBuffer.allocate(size).put(version).putShort((short) 0);
    }

    /** Writes the checksum of a message that is otherwise complete; returns its bytes. */
    public static byte[] end(ByteBuffer message) {
        byte[] data = message.array();
        message.putShort(1, checksum(data));
        return data;
    }

    /** A buffer positioned after the frame; null if the bytes are too short, too long, damaged or of another version. */
    public static ByteBuffer open(byte[] data, byte version, int minBytes, int maxBytes) {
        if (data.length < minBytes || data.length > maxBytes || data[0] != version) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(data, 1, data.length - 1);
        return b.getShort() == checksum(data) ? b : null;
    }

    private static short checksum(byte[] data) {
        CRC32 crc = new CRC32();
        crc.update(data, 0, 1);
        crc.update(data, HEAD_BYTES, data.length - HEAD_BYTES);
        return (short) crc.getValue();
    }
}
