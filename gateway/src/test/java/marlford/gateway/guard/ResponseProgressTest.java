package marlford.gateway.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import marlford.gateway.guard.ResponseProgress.Length;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses without an end: a host that goes on to give a little counts as stopped, whatever it gives. */
class ResponseProgressTest {
    private static final double LATE_MS = ResponseProgress.LATE_RESPONSE_LIMIT_MS;
    private static final double ANSWER_SLACK_MS = 550; // half a second, and 50 ms of each limit on sockets
    private static final double DEADLINE_MS = 2500;
    private static final double CHECK_INTERVAL_MS = 250;
    private static final double HOUR_MS = 3_600_000;

    private final ResponseProgress progress = new ResponseProgress(0);

    private void read(double now, long bytes) {
        progress.recordRead(now);
        progress.recordBody(now, bytes);
    }

    private double timeToEnd(Length length, double intervalMs, long bytes) {
        return timeToEnd(length, intervalMs, bytes, DEADLINE_MS);
    }

    /** Returns when a host that gives pieces at an interval counts as stopped; infinite if it does not within an hour. */
    private double timeToEnd(Length length, double intervalMs, long bytes, double deadlineMs) {
        progress.recordHead(0, length);
        return timeToEndOfBody(length, intervalMs, bytes, deadlineMs);
    }

    /** The same for a response whose head, and perhaps a part of its body, has been read. */
    private double timeToEndOfBody(Length length, double intervalMs, long bytes, double deadlineMs) {
        for (double now = intervalMs; now < HOUR_MS; now += intervalMs) {
            double endMs = progress.endMs(length, deadlineMs);
            if (endMs < now) {
                return endMs;
            }
            read(now, bytes);
        }
        return Double.POSITIVE_INFINITY;
    }

    @ParameterizedTest
    @CsvSource({"500, 12", "100, 1", "240, 100", "500, 1000", "1000, 0"})
    void aShortBodyInSmallPiecesEndsAtItsTime(double intervalMs, long bytes) {
        assertTrue(timeToEnd(Length.UNKNOWN, intervalMs, bytes) <= DEADLINE_MS + LATE_MS + CHECK_INTERVAL_MS);
    }

    /** Guards against short bodies that came late since their first part had come at once: it allowed for the pause of a long body. */
    @ParameterizedTest
    @EnumSource(names = "LONG", mode = EnumSource.Mode.EXCLUDE)
    void aShortBodyThatBeganAtOnceEndsAtItsTime(Length length) {
        progress.recordHead(0, length);
        read(0, 60_000);
        assertTrue(timeToEndOfBody(length, 200, 12, DEADLINE_MS) <= DEADLINE_MS + LATE_MS + CHECK_INTERVAL_MS);
    }

    /** However short the client's time is: what goes on to come shows that the body is short. */
    @ParameterizedTest
    @CsvSource({"500, 12", "100, 1", "100, 0", "200, 1000"})
    void aShortTimeIsNotExceededEither(double intervalMs, long bytes) {
        double deadlineMs = 1000;
        assertTrue(timeToEnd(Length.UNKNOWN, intervalMs, bytes, deadlineMs) <= deadlineMs + ANSWER_SLACK_MS);
    }

    /** A host that has given nothing, or one small piece, may begin late with a long body. */
    @ParameterizedTest
    @ValueSource(longs = {0, 5})
    void aLongBodyMayBeginLate(long firstBytes) {
        progress.recordHead(0, Length.UNKNOWN);
        if (firstBytes > 0) {
            read(10, firstBytes);
        }
        assertTrue(progress.endMs(Length.UNKNOWN, 500) >= 2000);
        read(1900, 40_000);
        assertTrue(progress.endMs(Length.UNKNOWN, 500) >= 3900);
    }

    /** Guards against long answers that were cut because their host writes a chunk in parts: its size, its content and its end. */
    @Test
    void aPieceThatIsWrittenInPartsIsOnePiece() {
        progress.recordHead(0, Length.UNKNOWN);
        for (double now = 300; now < 310; now++) {
            read(now, 1);
        }
        assertTrue(progress.endMs(Length.UNKNOWN, 500) >= 2000);
    }

    @ParameterizedTest
    @EnumSource
    void bytesOutsideTheBodyAreNoProgress(Length length) {
        assertTrue(timeToEnd(length, 100, 0) <= TransferProgress.PAUSE_LIMIT_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1 << 16, 32 << 20})
    void whatHasComeAllowsForOnePauseOnly(long bytes) {
        progress.recordHead(0, Length.LONG);
        read(100, bytes);
        for (double now = 200; now < DEADLINE_MS + LATE_MS + TransferProgress.PAUSE_LIMIT_MS; now += 100) {
            read(now, 1);
        }
        assertTrue(progress.endMs(Length.LONG, DEADLINE_MS) <= DEADLINE_MS + LATE_MS + TransferProgress.PAUSE_LIMIT_MS);
    }

    @ParameterizedTest
    @CsvSource({"UNKNOWN, 250, 2500", "UNKNOWN, 1500, 40000", "LONG, 4500, 40000", "LONG, 100, 1000"})
    void aLongBodyThatGoesOnHasNoEnd(Length length, double intervalMs, long bytes) {
        assertEquals(Double.POSITIVE_INFINITY, timeToEnd(length, intervalMs, bytes));
    }

    /** Of an unknown length, pauses count as they did before: five seconds, and two past the deadline. */
    @Test
    void aPauseEndsTheResponse() {
        progress.recordHead(0, Length.UNKNOWN);
        read(100, 40_000);
        assertEquals(DEADLINE_MS, progress.endMs(Length.UNKNOWN, DEADLINE_MS));
        read(2000, 40_000);
        assertEquals(2000 + TransferProgress.OVERDUE_PAUSE_LIMIT_MS, progress.endMs(Length.UNKNOWN, DEADLINE_MS));
        assertEquals(2000 + TransferProgress.PAUSE_LIMIT_MS, progress.endMs(Length.LONG, DEADLINE_MS));
        assertEquals(2000 + TransferProgress.SHORT_RESPONSE_PAUSE_LIMIT_MS, progress.endMs(Length.SHORT, DEADLINE_MS));
    }

    /** The host is not judged by the time in which the client takes nothing. */
    @Test
    void timeInWhichTheClientIsSlowDoesNotCount() {
        progress.recordHead(0, Length.LONG);
        read(100, 1000);
        double endMs = progress.endMs(Length.LONG, 0);
        progress.pause(200);
        progress.pause(300);
        assertTrue(progress.isPaused());
        progress.resume(20_200);
        progress.resume(20_300);
        progress.recordRead(20_300);
        assertEquals(endMs + 20_000, progress.endMs(Length.LONG, 0));
    }
}
