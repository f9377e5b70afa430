package marlford.gateway.net;

/** Why a client connection was closed. The names appear in the log in lower case. */
enum CloseReason {
    /** The client closed it. */
    BY_CLIENT,
    /** Reading or writing failed. */
    IO_ERROR,
    /** The maximum number of connections was open and none could be evicted. */
    HOUSE_FULL,
    /** It was idle and was evicted for a new connection. */
    MADE_ROOM,
    /** It was idle for too long. */
    IDLE,
    /** It was idle while clients have to move to another gateway. */
    SENT_AWAY,
    /** It was idle when the process shut down or a successor process took over. */
    ENDING,
    /** No request began within the time limit. */
    SILENT,
    /** A request stopped arriving; it was answered with status 408. */
    STALLED_REQUEST,
    /** A long body stopped arriving. */
    STALLED_BODY,
    /** The client stopped reading its answers. */
    STALLED_OUTPUT,
    /** A long body could not be read. */
    UNREADABLE_BODY,
    /** A streamed answer ended before it was complete. */
    ANSWER_CUT,
    /** The last answer could not be written. */
    LAST_ANSWER_FAILED,
    /** The last answer was written, and the time in which the client could close the connection has passed. */
    LAST_ANSWER;

    /** Whether the gateway closed the connection for its own benefit, without a fault of the client. */
    boolean isWithoutClientFault() {
        return this == HOUSE_FULL || this == MADE_ROOM || this == IDLE || this == SENT_AWAY || this == ENDING || this == SILENT;
    }
}
