package marlford.gateway.metrics;

import java.util.Locale;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.quota.QuotaCoordinator;

/**
 * What one gateway did since it was last asked, by cause: the line that it logs every second, so that a fleet's logs can
 * be added up by second. Pure. Bound: one number for each {@link Item}. Not thread-safe; it belongs to one event loop.
 */
public final class ActivityCounters {
    /** What is counted. */
    public enum Item {
        /** Requests of clients, their retries too. */
        TRIES,
        /** Refused: the customer's whole store is empty, as far as this gateway knows. */
        QUOTA,
        /** Refused: this gateway's part of the store is spent, and what is left of the rest may be on its way. */
        PART,
        /** Refused: this gateway's share of the customer's ceiling is spent. */
        CEILING,
        /** Refused by a keeper (among few gateways), or since none answered. */
        KEEPER,
        /** Refused: what was read had stood in the socket for too long. */
        READ_LATE,
        /** Refused: its wait for a place at a host would be too long, or was. */
        NO_PLACE,
        /** Refused or failed after an attempt that did not serve it. */
        TRIED,
        /** Attempts sent. */
        SENT,
        /** Of these, to hosts that are not warm yet. */
        TO_COLD,
        /** Attempts that a host answered. */
        OK,
        /** Attempts that a host turned away. */
        FULL,
        /** Attempts without a connection. */
        UNREACHED,
        /** Attempts ended by their time, or given up. */
        SILENT,
        /** Attempts that ended otherwise. */
        BROKEN,
        /** Messages to peers; one to all counts once. */
        TOLD,
        /** Messages of peers. */
        HEARD;

        /** Why a request was not let in where keepers are asked. */
        public static Item of(QuotaCoordinator.Why why) {
            return why == QuotaCoordinator.Why.STORE ? QUOTA : why == QuotaCoordinator.Why.CEILING ? CEILING : KEEPER;
        }

        /** How an attempt ended. */
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

    public void note(Item item) {
        counts[item.ordinal()]++;
    }

    /** {@code name=count} for all that is not nought, in order; the counts begin anew. */
    public String take() {
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
