package marlford.board;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What was found out is told as old as it may be, by whoever holds its token, within bounds. */
class BoardTest {
    private final Board board = new Board();

    private BoardChanges tell(long sender, double sentAt, double now, Row... rows) {
        board.begin(1);
        return board.hear(sender, new BoardUpdate(sentAt, 1, 0, List.of(rows)), t -> true, now);
    }

    private static Row row(String key, long token, double ageMs) {
        return new Row("t", key, token, "v" + token, ageMs);
    }

    private List<Row> all(double now) {
        return board.hear(99, new BoardUpdate(now, 1, 0, List.of()), t -> false, now)
                .rows();
    }

    @Test
    void aGreaterTokenReplacesASmallerOneAndAYoungerRowAnOlderOne() {
        tell(1, 0, 0, row("k", 5, 0));
        board.hear(2, new BoardUpdate(10, 1, 0, List.of(row("k", 4, 0))), t -> true, 10);
        board.hear(1, new BoardUpdate(10, 1, 0, List.of(row("k", 5, 50))), t -> true, 10);
        assertEquals(List.of(row("k", 5, 10)), all(10));
        board.hear(2, new BoardUpdate(20, 1, 0, List.of(row("k", 6, 0))), t -> true, 20);
        assertEquals(List.of(row("k", 6, 0)), all(20));
        board.hear(1, new BoardUpdate(30, 1, 0, List.of(row("k", 7, 0))), t -> false, 30); // no holder of it
        assertEquals(6, all(30).get(0).token());
    }

    /** Whatever stands on the way, at any of the three clocks, only makes a row older. */
    @Test
    void ageCountsWhatAMessageStoodOnTheWay() {
        Random random = new Random(4);
        double offset = 1e6; // of the finder's clock
        board.begin(1);
        BoardClient finder = new BoardClient();
        BoardClient reader = new BoardClient();
        for (int i = 0; i < 2000; i++) {
            double foundAt = 100 + i * 100;
            double left = foundAt + random.nextInt(50);
            double came = left + 1 + (random.nextInt(10) == 0 ? random.nextInt(5000) : random.nextInt(3));
            finder.tell("t", "k", i, "v", foundAt + offset, false);
            finder.heard(board.hear(1, finder.telling(left + offset), t -> true, came), left + offset);
            BoardChanges n = board.hear(2, reader.telling(came), t -> false, came);
            double read = came + random.nextInt(300);
            reader.heard(n, came - random.nextInt(20));
            Row seen = reader.row("t", "k", read);
            if (seen != null && seen.token() == i) {
                assertTrue(seen.ageMs() >= read - foundAt - 1 - 1e-6, "seed 4: " + seen + " of " + (read - foundAt));
            }
        }
    }

    @Test
    void eachReaderHearsWhatIsNewToItOnce() {
        tell(1, 0, 0, row("a", 1, 0), row("b", 2, 0));
        BoardClient reader = new BoardClient();
        reader.heard(board.hear(2, reader.telling(5), t -> false, 5), 5);
        assertEquals(2, reader.news("t", 5).size());
        reader.heard(board.hear(2, reader.telling(6), t -> false, 6), 6);
        assertEquals(0, reader.news("t", 6).size());
        board.begin(7); // another leader knows nothing, and counts from anew
        board.hear(1, new BoardUpdate(7, 0, 0, List.of(row("a", 3, 0))), t -> true, 7);
        reader.heard(board.hear(2, reader.telling(8), t -> false, 8), 8);
        assertEquals(List.of("a"), reader.news("t", 8).stream().map(Row::key).toList());
        assertEquals(3, reader.row("t", "a", 8).token());
        reader.heard(null, 9); // a voter that keeps no board
        assertEquals(2, reader.row("t", "b", 9).token());
        assertNull(reader.row("t", "c", 9));
    }

    @Test
    void whatIsNotAnsweredIsToldAgain() {
        BoardClient finder = new BoardClient();
        finder.tell("t", "k", 3, "v", 0, true);
        assertTrue(finder.isUrgent());
        assertEquals(1, finder.telling(1).rows().size());
        assertEquals(1, finder.telling(2).rows().size()); // the first was lost
        assertTrue(!finder.isTold(3));
        finder.heard(null, 2);
        assertTrue(finder.isTold(3));
        assertEquals(0, finder.telling(3).rows().size());
    }

    @Test
    void whatIsBeyondTheBoundsIsNotTaken() {
        board.begin(1);
        String large = "x".repeat(Board.VALUE_MAX);
        for (int i = 0; i < 20; i++) {
            board.hear(1, new BoardUpdate(i, 1, 0, List.of(new Row("t", "k" + i, i, large, 0))), t -> true, i);
        }
        assertTrue(board.text().contains("rows=10 "), board.text());
        BoardClient reader = new BoardClient();
        int notices = 0;
        for (int heard = 0; heard < 10; notices++) {
            reader.heard(board.hear(2, reader.telling(20), t -> false, 20), 20);
            heard += reader.news("t", 20).size();
        }
        assertEquals(10, notices); // one such value a notice
        board.hear(1, new BoardUpdate(0, 1, 0, List.of(new Row("t", "k", 99, large + "x", 0))), t -> true, 30);
        double later = 30 + Board.KEEP_MS;
        board.hear(1, new BoardUpdate(later, 1, 0, List.of(row("new", 100, 0))), t -> true, later + 30);
        assertEquals(List.of("new"), all(later + 30).stream().map(Row::key).toList());
    }
}
