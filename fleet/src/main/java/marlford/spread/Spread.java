package marlford.spread;

/** Names over pieces, evenly whatever the names look like. All members and voters have to agree on it: it never changes. */
public final class Spread {
    private static final int GOLDEN = 0x9E3779B9; // the golden ratio: names in a row end far from each other

    private Spread() {}

    /** @return from 0 to one less than there are pieces */
    public static int piece(String name, int pieces) {
        int h = name.hashCode() * GOLDEN;
        return Math.floorMod(h ^ h >>> Short.SIZE, pieces);
    }
}
