package marlford.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import marlford.lease.Answer;
import marlford.lease.Ask;
import marlford.lease.Book;
import marlford.lease.Command;
import marlford.lease.Reply;
import marlford.work.Line;
import marlford.work.Order;
import marlford.work.Outcome;
import marlford.work.Register;
import marlford.work.Said;
import org.junit.jupiter.api.Test;

/** Work on the log: what is written is read as it was, and the book and its register are of one moment. */
class WorkLinesTest {
    private static final Order ORDER = new Order("7:k", "d", "order", 1.5, "POST /x\r\n\r\n\u00e9\u0000");

    private long index;

    private Answer say(Book book, Command c) {
        return book.apply(++index, c);
    }

    @Test
    void whatIsWrittenIsReadAsItWas() throws Exception {
        List<Line> lines = List.of(
                new Line.Enter(ORDER, "a", 3),
                new Line.Move("7:k", 5, "b"),
                new Line.End("7:k", 5, new Outcome(200, "done")),
                new Line.Withdraw("7:k", 5),
                new Line.Take("7:k", 9, 6),
                new Line.Forget(12));
        for (Line l : lines) {
            Codec.Line written = new Codec.Line(4, 2, new Command.Work(1, l), null);
            assertEquals(written, Codec.agreed(Codec.bytes(written), Codec.Line.class));
            Call call = new Call(1, new Ask.Submit(new Command.Work(1, l)));
            assertEquals(call, Codec.read(Codec.bytes(call), Call.class));
        }
        Register register = new Register();
        Said owned = register.apply(1, 1, lines.get(0), (a, b, c) -> false, () -> 5);
        CallBack back =
                new CallBack(1, new Reply(Reply.Status.OK, "v", new Answer(Answer.Kind.DONE, 0, owned), 1, null));
        assertEquals(back, Codec.read(Codec.bytes(back), CallBack.class));
    }

    @Test
    void theEndOfASessionLeavesItsWorkToWhoeverHasTheShard() throws Exception {
        Book book = new Book(1);
        long a = say(book, new Command.Open("a", 1, 1000)).value();
        long b = say(book, new Command.Open("b", 2, 1000)).value();
        say(book, new Command.Join(a, "work", Register.SHARDS));
        say(book, new Command.Join(b, "work", Register.SHARDS));
        Said first =
                say(book, new Command.Work(a, new Line.Enter(ORDER, "x", 1))).work();
        assertEquals(Said.Kind.OWNED, first.kind());
        assertEquals(
                Said.Kind.RUNS, book.look(ORDER.key(), ORDER.digest()).work().kind());
        int shard = Register.shard(ORDER.key());
        say(book, new Command.Close(a));
        Book.Holding mine = book.holdings(b).stream()
                .filter(h -> h.shard() == shard)
                .findFirst()
                .orElseThrow();
        Book copy = Book.of(Codec.agreed(Codec.bytes(book.image()), Book.Image.class)); // as a snapshot
        for (Book each : List.of(book, copy)) {
            assertEquals(
                    Answer.Kind.GONE,
                    each.apply(
                                    90,
                                    new Command.Work(
                                            a, new Line.End(ORDER.key(), first.token(), new Outcome(200, "late"))))
                            .kind());
            assertEquals(
                    Said.Kind.NOT_YOURS,
                    each.apply(91, new Command.Work(b, new Line.Take(ORDER.key(), shard, 3)))
                            .work()
                            .kind());
            Said taken = each.apply(92, new Command.Work(b, new Line.Take(ORDER.key(), shard, mine.token())))
                    .work();
            assertEquals(Said.Kind.OWNED, taken.kind());
            assertTrue(taken.token() > first.token());
            Outcome done = new Outcome(200, "done");
            each.apply(93, new Command.Work(b, new Line.End(ORDER.key(), taken.token(), done)));
            assertEquals(done, each.look(ORDER.key(), ORDER.digest()).work().outcome());
        }
        assertEquals(book.image(), copy.image());
    }

    /** A fleet that has no work writes what one of the version before it can read. */
    @Test
    void whereThereIsNoWorkNothingOfItIsWritten() throws Exception {
        Book book = new Book(1);
        say(book, new Command.Open("a", 1, 1000));
        assertNull(book.image().work());
        assertTrue(!new String(Codec.bytes(book.image()), "ISO-8859-1").contains("work"));
        assertNotNull(Book.of(Codec.agreed(Codec.bytes(book.image()), Book.Image.class)));
        assertEquals(2, new Command.Work(1, new Line.Forget(1)).level());
        assertEquals(1, new Command.Close(1).level());
    }
}
