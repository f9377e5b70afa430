package marlford.gateway.net;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;

/**
 * The ids of requests that were sent to a host and must not run again when they come again: on another connection, after their client
 * has left, or at the other process of an upgrade. The processes of one gateway share the table through a mapped file; a claim is
 * atomic among them.
 *
 * <p>A set-associative table of {@value #ENTRIES} hashes in {@value #BYTES} bytes. A new id replaces the oldest one of its set, so memory is
 * bounded under ever new ids as well: the last 8,000 are known but for one case in millions, and of the last {@value #ENTRIES} most. The table has no times, so no clock can make it forget.
 *
 * <p>May be used from any thread and process.
 */
final class SentRequestIds {
    private static final int ENTRIES = 1 << 16;
    private static final int WAYS = 16; // entries in which an id may be
    private static final int ENTRY_BYTES = 2 * Long.BYTES; // hash and order number
    private static final int HEADER_BYTES = WAYS * ENTRY_BYTES;
    private static final int BYTES = HEADER_BYTES + ENTRIES * ENTRY_BYTES;
    private static final int FORMAT_AT = 0;
    private static final int SEED_AT = Long.BYTES;
    private static final int COUNT_AT = 2 * Long.BYTES;
    private static final long FORMAT = 0x6d61726c69647331L;
    private static final long FREE = 0;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /** One entry of the table, and the hash that was seen there. */
    private record Entry(int at, long hash) { }

    private final ByteBuffer table;
    private final long seed;

    private SentRequestIds(ByteBuffer table) {
        this.table = table;
        this.seed = (long) LONGS.getVolatile(table, SEED_AT);
    }

    /** Returns an empty table of this process alone. */
    static SentRequestIds ofProcess() {
        return new SentRequestIds(emptyTable());
    }

    /**
     * Returns the table in a file, which is created if it is absent or has another format. If the file can't be used, for example because
     * the disk is full, the table is that of this process alone.
     */
    static SentRequestIds in(Path file) {
        try {
            if (!Files.exists(file) || !isUsable(file)) {
                create(file);
            }
            return new SentRequestIds(map(file));
        } catch (IOException e) {
            Node.log("start: request ids are not shared with the other process of an upgrade, because " + file + " can't be used: " + e);
            return ofProcess();
        }
    }

    private static boolean isUsable(Path file) throws IOException {
        return Files.size(file) == BYTES && (long) LONGS.getVolatile(map(file), FORMAT_AT) == FORMAT;
    }

    /** Writes the whole file before it gets its name: a mapped page for which there is no room would end the process. */
    private static void create(Path file) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        try {
            Files.write(fresh, emptyTable().array());
            Files.move(fresh, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(fresh);
        }
    }

    private static ByteBuffer emptyTable() {
        ByteBuffer empty = ByteBuffer.allocate(BYTES).order(ByteOrder.nativeOrder());
        empty.putLong(FORMAT_AT, FORMAT);
        empty.putLong(SEED_AT, new SecureRandom().nextLong());
        return empty;
    }

    private static ByteBuffer map(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES).order(ByteOrder.nativeOrder());
        }
    }

    /** Whether a request with this id has been claimed and is still known. */
    boolean contains(String id) {
        long hash = hash(id);
        return find(setOf(hash), hash) >= 0;
    }

    /**
     * Claims an id for a request that is about to be sent. Returns false if it is claimed already, or is being claimed in the same moment
     * at another process; then neither may get it.
     */
    boolean claim(String id) {
        long hash = hash(id);
        int set = setOf(hash);
        while (find(set, hash) < 0) {
            Entry oldest = oldest(set);
            // The order number comes first: an entry that looked old would be displaced at once by another claim.
            LONGS.setVolatile(table, oldest.at() + Long.BYTES, (long) LONGS.getAndAdd(table, COUNT_AT, 1L) + 1);
            if (LONGS.compareAndSet(table, oldest.at(), oldest.hash(), hash)) {
                if (count(set, hash) == 1) {
                    return true;
                }
                LONGS.compareAndSet(table, oldest.at(), hash, FREE); // the other claim has its own entry
                return false;
            }
        }
        return false;
    }

    private int count(int set, long hash) {
        int count = 0;
        for (int at = set; at < set + WAYS * ENTRY_BYTES; at += ENTRY_BYTES) {
            count += (long) LONGS.getVolatile(table, at) == hash ? 1 : 0;
        }
        return count;
    }

    /** Releases an id whose request surely never ran. */
    void release(String id) {
        long hash = hash(id);
        int at = find(setOf(hash), hash);
        if (at >= 0) {
            LONGS.compareAndSet(table, at, hash, FREE);
        }
    }

    /** Returns the place of a hash in its set; negative if it is not there. */
    private int find(int set, long hash) {
        for (int at = set; at < set + WAYS * ENTRY_BYTES; at += ENTRY_BYTES) {
            if ((long) LONGS.getVolatile(table, at) == hash) {
                return at;
            }
        }
        return -1;
    }

    /** Returns a free entry of a set, or its oldest one, as it was seen. */
    private Entry oldest(int set) {
        Entry oldest = null;
        long lowest = Long.MAX_VALUE;
        for (int at = set; at < set + WAYS * ENTRY_BYTES; at += ENTRY_BYTES) {
            long hash = (long) LONGS.getVolatile(table, at);
            long order = hash == FREE ? FREE : (long) LONGS.getVolatile(table, at + Long.BYTES);
            if (oldest == null || order < lowest) {
                lowest = order;
                oldest = new Entry(at, hash);
            }
        }
        return oldest;
    }

    private static int setOf(long hash) {
        int sets = ENTRIES / WAYS;
        return HEADER_BYTES + (int) Long.remainderUnsigned(hash, sets) * WAYS * ENTRY_BYTES;
    }

    /** Hashes an id with a seed that clients don't know, so that none can choose ids that displace those of others. */
    private long hash(String id) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, seed));
            long hash = ByteBuffer.wrap(digest.digest(id.getBytes(StandardCharsets.US_ASCII))).getLong();
            return hash == FREE ? 1 : hash;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
