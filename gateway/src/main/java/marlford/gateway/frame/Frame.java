package marlford.gateway.frame;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * What the messages of all kinds between gateways begin with: a byte of version, then the lower half of a CRC-32 over all but
 * itself. Pure and stateless.
 */
public final class Frame {
    /** Bytes before what a kind of message puts into its own head. */
    public static final int HEAD_BYTES = 3;

    private Frame() { }

    /** A buffer for a message of so many bytes in all, behind its version and the room of its check sum. */
    public static ByteBuffer begin(byte version, int size) {
        return ByteBuffer.allocate(size).put(version).putShort((short) 0);
    }

    /** The bytes of a message that is whole but for its check sum. */
    public static byte[] end(ByteBuffer message) {
        byte[] data = message.array();
        message.putShort(1, check(data));
        return data;
    }

    /** What is behind the frame; null where the bytes are short, long, damaged or of another version. */
    public static ByteBuffer open(byte[] data, byte version, int least, int most) {
        if (data.length < least || data.length > most || data[0] != version) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(data, 1, data.length - 1);
        return b.getShort() == check(data) ? b : null;
    }

    private static short check(byte[] data) {
        CRC32 sum = new CRC32();
        sum.update(data, 0, 1);
        sum.update(data, HEAD_BYTES, data.length - HEAD_BYTES);
        return (short) sum.getValue();
    }
}
