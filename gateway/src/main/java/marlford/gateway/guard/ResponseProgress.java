package marlford.gateway.guard;

/**
 * The progress of a host within a response, and the time at which it counts as stopped. Two limits hold, and the earlier one ends the
 * response:
 *
 * <ul>
 *   <li>a pause in which nothing of the message is read;
 *   <li>past the time of its request, the pace of the body. Only a long body may come later than that, so what has come must show that
 *       the body is long or is becoming long. Bytes outside the body (chunk sizes and extensions, trailers) do not count.
 * </ul>
 *
 * <p>The pace is kept as credit: each byte of the body allows for some time, and a host that has given much may pause for as long as any
 * host may: a body that is not known to be long for as long as one may pause past its request's time. A host that has given hardly anything since the head may still begin with a long body; one that goes on to give a little is not
 * waited for. Neither limit runs while the gateway itself reads nothing because the client is slow.
 *
 * <p>No clock and no I/O. Times are milliseconds on the caller's clock. Used on the event loop.
 */
public final class ResponseProgress {
    /** A response that may be long is not judged by its pace before this time past its request's deadline. */
    public static final double LATE_RESPONSE_LIMIT_MS = 400;

    private static final double START_ALLOWANCE_MS = 2000; // from its head until a body of unknown length must have begun
    private static final int GOES_ON_PIECES = 2; // behind the head; a host that has given so often is not about to begin
    private static final double PIECE_INTERVAL_MS = 20; // what is read within this time may come from one piece, written in parts
    private static final double MIN_BODY_BYTES_PER_MS = 8;

    /** What is known of the length of a body: short enough to be buffered, not known, or longer than that. */
    public enum Length { SHORT, UNKNOWN, LONG }

    private double lastReadMs;
    private int piecesSinceHead;
    private double lastPieceMs; // when the latest piece, or the head, began to be read
    private Length announced = Length.SHORT; // by the head
    private double startUntilMs; // until then the body may begin
    private final Pace longPace = new Pace(TransferProgress.PAUSE_LIMIT_MS);
    private final Pace unknownPace = new Pace(TransferProgress.OVERDUE_PAUSE_LIMIT_MS); // of a body that is not known to be long
    private double pausedSinceMs = Double.NaN; // since when nothing is read; NaN while reading

    /** @param now when the request was written */
    public ResponseProgress(double now) {
        lastReadMs = now;
        recordHead(now, Length.UNKNOWN);
    }

    /** Records that bytes of the response were read, before what they contain is recorded. */
    public void recordRead(double now) {
        lastReadMs = now;
        if (now - lastPieceMs >= PIECE_INTERVAL_MS) {
            lastPieceMs = now;
            piecesSinceHead++;
        }
    }

    /** Records that the head of a response was read whole, and what it says about the length of the body. */
    public void recordHead(double now, Length length) {
        announced = length;
        piecesSinceHead = 0;
        lastPieceMs = now;
        startUntilMs = now + (length == Length.LONG ? TransferProgress.PAUSE_LIMIT_MS : START_ALLOWANCE_MS);
        longPace.begin(now);
        unknownPace.begin(now);
    }

    /** Records that bytes of the body were read. */
    public void recordBody(double now, long bytes) {
        longPace.add(now, bytes);
        unknownPace.add(now, bytes);
    }

    /** Records that the gateway stops reading, because the client does not take more. */
    public void pause(double now) {
        if (!isPaused()) {
            pausedSinceMs = now;
        }
    }

    /** Records that the gateway reads again. */
    public void resume(double now) {
        if (isPaused()) {
            startUntilMs += now - pausedSinceMs;
            longPace.extend(now - pausedSinceMs);
            unknownPace.extend(now - pausedSinceMs);
            pausedSinceMs = Double.NaN;
            lastReadMs = now;
        }
    }

    /** Whether the gateway reads nothing, so that no limit runs. */
    public boolean isPaused() {
        return !Double.isNaN(pausedSinceMs);
    }

    /**
     * Returns when the host counts as stopped if nothing more is read.
     *
     * @param length as far as it is known now
     * @param deadlineMs of the request; infinite if it has none
     */
    public double endMs(Length length, double deadlineMs) {
        double paceUntilMs = (length == Length.LONG ? longPace : unknownPace).untilMs;
        boolean mayBegin = announced == Length.LONG || piecesSinceHead < GOES_ON_PIECES;
        double allowedMs = mayBegin ? Math.max(startUntilMs, paceUntilMs) : paceUntilMs;
        double paceEndMs = Math.max(deadlineMs + LATE_RESPONSE_LIMIT_MS, allowedMs);
        return Math.min(pauseEndMs(length, deadlineMs), paceEndMs);
    }

    private double pauseEndMs(Length length, double deadlineMs) {
        if (length == Length.SHORT) {
            return lastReadMs + TransferProgress.SHORT_RESPONSE_PAUSE_LIMIT_MS;
        }
        double longEndMs = lastReadMs + TransferProgress.PAUSE_LIMIT_MS;
        if (length == Length.LONG) {
            return longEndMs;
        }
        return Math.min(longEndMs, Math.max(deadlineMs, lastReadMs + TransferProgress.OVERDUE_PAUSE_LIMIT_MS));
    }

    /** The time until which a body has been fast enough, as credit that each of its bytes adds to. */
    private static final class Pace {
        private final double maxCreditMs;
        private double untilMs;

        Pace(double maxCreditMs) {
            this.maxCreditMs = maxCreditMs;
        }

        void begin(double now) {
            untilMs = now;
        }

        void add(double now, long bytes) {
            double earnedUntilMs = Math.max(now, untilMs) + bytes / MIN_BODY_BYTES_PER_MS;
            untilMs = Math.max(untilMs, Math.min(earnedUntilMs, now + maxCreditMs));
        }

        void extend(double byMs) {
            untilMs += byMs;
        }
    }
}
