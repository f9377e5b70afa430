package marlford.storm;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One fault of a schedule; a line of JSON.
 *
 * @param at when, in milliseconds since all processes took part
 * @param kind what is done
 * @param who a process's name, or {@code leader} or {@code holder} for whoever is that then; a host's name where a host is
 *        meant; null where it concerns all or discovery
 * @param lasts for how long, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Fault(long at, Kind kind, String who, long lasts) {
    /** What may be done to a process, its disk and its connections. */
    enum Kind {
        /** SIGKILL; started again after it. */
        KILL,
        /** SIGTERM; started again after it. */
        TERM,
        /** SIGSTOP, and SIGCONT after it. */
        STOP,
        /** SIGKILL of all at once; started again after it. */
        KILL_ALL,
        /** Nothing gets from or to the other processes. */
        ISOLATE,
        /** What it says reaches no other process; it hears them. */
        MUTE,
        /** What others say does not reach it; they hear it. */
        DEAF,
        /** It can't reach what it acts on. */
        CUT_RESOURCE,
        /** What it says to the resource comes late by this time. */
        SLOW_RESOURCE,
        /** Its connections are reset. */
        RESET,
        /** SIGKILL, and its disk is empty when it starts again after it. */
        EMPTY_DISK,
        /** SIGKILL, and it starts again with a copy of its disk from before its last life; after it, with an empty one. */
        OLDER_DISK,
        /** SIGKILL, and a bit of its disk is turned before it starts again; after it, it starts with an empty one. */
        TURNED_BIT,
        /** Its disk is full. */
        FULL_DISK,
        /** Its disk's sync fails; it starts again after it. */
        FAILING_SYNC,
        /** Its disk's sync hangs. */
        HANGING_SYNC,
        /** Its time of day goes back by a minute; its monotonic clock goes on. */
        STEP_BACK,
        /** A host, and no gateway: nothing that it is asked is answered. */
        HANG_HOST,
        /** Discovery answers nobody; when it is back it counts from anew. */
        AGENT_AWAY
    }
}
