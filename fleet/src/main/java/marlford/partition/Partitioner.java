package marlford.partition;

/**
 * Hash partitioning that spreads similar names evenly. All members and voters, of every version, must agree on it: it
 * must never change.
 */
public final class Partitioner {
    private static final int GOLDEN = 0x9E3779B9; // the golden ratio: names in a row end far from each other

    private Partitioner() {}

    /** @return from 0 to one less than there are shards */
    public static int shardOf(String name, int shards) {
        int h = name.hashCode() * GOLDEN;
        return Math.floorMod(h ^ h >>> Short.SIZE, shards);
    }
}
