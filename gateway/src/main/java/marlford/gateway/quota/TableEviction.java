package marlford.gateway.quota;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Makes room in bounded tables whose keys are names that clients choose, so that a flood under ever new names keeps out no other. The
 * tables keep the order of insertion: a few entries are checked each time, those checked longest ago first.
 */
public final class TableEviction {
    private static final int MAX_CHECKS = 16;

    /** An entry that was used within this time is kept: what was just decided on it may still be under way. */
    static final double MIN_IDLE_MS = 1000;

    private TableEviction() { }

    /**
     * Removes entries until the table has fewer than the maximum or a few have been checked.
     *
     * @param table in the order of insertion
     * @param isExpendable whether an entry holds nothing that a new one would not hold
     * @param onEvicted called with each removed value
     */
    public static <K, V> void makeRoom(Map<K, V> table, int maxEntries, Predicate<V> isExpendable, Consumer<V> onEvicted) {
        for (int i = 0; i < MAX_CHECKS && table.size() >= maxEntries; i++) {
            Map.Entry<K, V> oldest = table.entrySet().iterator().next();
            K key = oldest.getKey();
            V value = oldest.getValue();
            table.remove(key);
            if (isExpendable.test(value)) {
                onEvicted.accept(value);
            } else {
                table.put(key, value);
            }
        }
    }
}
