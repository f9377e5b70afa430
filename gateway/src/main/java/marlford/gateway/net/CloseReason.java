package marlford.gateway.net;

/** Why a client's connection ended. The names stand in the log, in lower case. */
enum CloseReason {
    /** The client ended it. */
    BY_CLIENT,
    /** Reading or writing failed. */
    IO_ERROR,
    /** All places were taken, and nobody gave way. */
    HOUSE_FULL,
    /** It was idle, and gave way to a new one. */
    MADE_ROOM,
    /** It was idle for too long. */
    IDLE,
    /** It was idle while clients are sent away. */
    SENT_AWAY,
    /** It was idle when the process ended or another one took its place. */
    ENDING,
    /** No first request began. */
    SILENT,
    /** A request, answered with 408, did not get on. */
    STALLED_REQUEST,
    /** A long body did not get on. */
    STALLED_BODY,
    /** The client did not take its answers. */
    STALLED_OUTPUT,
    /** A long body could not be read. */
    UNREADABLE_BODY,
    /** A long answer broke off on its way. */
    ANSWER_CUT,
    /** The last answer could not be written. */
    LAST_ANSWER_FAILED,
    /** The last answer was written, and the client's end not waited for any longer. */
    LAST_ANSWER;

    /** Whether this gateway ends the connection of a client that did nothing wrong, to have it no longer. */
    boolean isChosen() {
        return this == HOUSE_FULL || this == MADE_ROOM || this == IDLE || this == SENT_AWAY || this == ENDING || this == SILENT;
    }
}
