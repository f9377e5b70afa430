package marlford.gateway.metrics;

import java.util.Locale;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.quota.QuotaCoordinator;

/**
 * Counts what one gateway has done since the counters were last taken, by cause. The result is the line that the gateway logs
 * every second, so that the logs of a fleet can be summed up second by second. Pure. Memory: one number for each {@link Item}.
 * Not thread-safe: used on one event loop only.
 */
public final class ActivityCounters {
    /** What is counted; the lower-case names are the counter names in the log. */
    public enum Item {
        /** Requests of clients, including their retries. */
        TRIES,
        /** Requests refused since the customer's token bucket for the whole tier is empty, as far as this gateway knows. */
        QUOTA,
        /** Requests refused since this gateway's part of the bucket is spent, and units left in the rest may be in transit. */
        PART,
        /** Requests refused since this gateway's share of the customer's ceiling is spent. */
        CEILING,
        /** Requests refused by a ledger replica (in a small tier), or since no replica answered. */
        KEEPER,
        /** Requests refused since they had been in the socket for too long before they were read. */
        READ_LATE,
        /** Requests refused since their wait for a concurrency slot at a host would be too long, or was. */
        NO_PLACE,
        /** Requests refused or failed after an attempt that did not serve them. */
        TRIED,
        /** Attempts sent. */
        SENT,
        /** Attempts sent to hosts that are not warm yet; also counted in SENT. */
        TO_COLD,
        /** Attempts that a host answered. */
        OK,
        /** Attempts that a host rejected as overloaded. */
        FULL,
        /** Attempts for which no connection could be made, or that were not sent. */
        UNREACHED,
        /** Attempts that timed out or were cancelled. */
        SILENT,
        /** Attempts that ended in any other way. */
        BROKEN,
        /** Messages sent to peers; a message to all peers counts once. */
        TOLD,
        /** Messages received from peers. */
        HEARD;

        /** The item for a request that was refused while ledger replicas are queried. */
        public static Item of(QuotaCoordinator.Reason why) {
            return why == QuotaCoordinator.Reason.QUOTA_EXHAUSTED ? QUOTA
                    : why == QuotaCoordinator.Reason.CEILING_EXHAUSTED ? CEILING : KEEPER;
        }

        /** The item for the outcome of an attempt. */
        public static Item of(Outcome outcome) {
            return switch (outcome) {
                case OK -> OK;
                case FULL -> FULL;
                case CONNECT_FAILED, UNSENT -> UNREACHED;
                case TIMEOUT, CANCELLED -> SILENT;
                default -> BROKEN;
            };
        }
    }

    private final int[] counts = new int[Item.values().length];

    /** Adds one to the item. */
    public void increment(Item item) {
        counts[item.ordinal()]++;
    }

    /** {@code name=count} for each item that is not zero, in the order of the items; resets all counts to zero. */
    public String takeLine() {
        StringBuilder line = new StringBuilder();
        for (Item item : Item.values()) {
            int count = counts[item.ordinal()];
            if (count > 0) {
                line.append(line.length() == 0 ? "" : " ").append(item.name().toLowerCase(Locale.ROOT));
                line.append('=').append(count);
                counts[item.ordinal()] = 0;
            }
        }
        return line.toString();
    }
}
