package marlford.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** One entry, one owner, one end; bounds; and what is asked again. */
class RegisterTest {
    private static final long A = 1;
    private static final long B = 2;

    private final Register register = new Register();
    private long index;
    private long minted = 100;

    private static Order order(String key, String digest, String message) {
        return new Order(key, digest, "order", 1, message);
    }

    private Said say(long session, Line line) {
        return register.apply(++index, session, line, (s, shard, token) -> s == B && token == 7, () -> ++minted);
    }

    private Said enter(long session, String key, long ask) {
        return say(session, new Line.Enter(order(key, "d", "POST"), "x", ask));
    }

    private Said take(long session, String key) {
        return say(session, new Line.Take(key, Register.shard(key), 7));
    }

    @Test
    void theSameAskIsAnsweredAsBeforeAndAnotherWaits() {
        Said first = enter(A, "k", 1);
        assertEquals(Said.Kind.OWNED, first.kind());
        assertEquals(first, enter(A, "k", 1));
        assertEquals(Said.Kind.RUNS, enter(A, "k", 2).kind());
        assertEquals(Said.Kind.RUNS, enter(B, "k", 1).kind());
        assertEquals(
                Said.Kind.DIFFERS,
                say(B, new Line.Enter(order("k", "e", ""), "x", 3)).kind());
        Outcome done = new Outcome(200, "ok");
        assertEquals(done, say(A, new Line.End("k", first.token(), done)).outcome());
        assertEquals(done, say(A, new Line.End("k", first.token(), done)).outcome());
        assertEquals(done, enter(B, "k", 4).outcome());
        assertEquals(
                Said.Kind.DIFFERS,
                say(B, new Line.Enter(order("k", "e", ""), "x", 5)).kind());
        assertNull(register.entry("k"));
    }

    @Test
    void whatWasOrphanedIsTakenOnceAndItsFormerOwnerChangesNothing() {
        long token = enter(A, "k", 1).token();
        assertEquals(Said.Kind.RUNS, take(B, "k").kind()); // its owner lives
        register.ended(A);
        assertEquals(1, register.orphans(Register.shard("k"), 9).size());
        assertEquals(Said.Kind.NOT_YOURS, take(3, "k").kind()); // has no shard
        Said taken = take(B, "k");
        assertTrue(taken.token() > token);
        assertEquals(1, taken.entry().taken());
        assertEquals(taken, take(B, "k"));
        assertEquals(0, register.orphans(Register.shard("k"), 9).size());
        assertEquals(
                Said.Kind.NOT_YOURS,
                say(A, new Line.End("k", token, new Outcome(200, "late"))).kind());
        assertEquals(Said.Kind.NOT_YOURS, say(A, new Line.Move("k", token, "y")).kind());
        assertEquals(Said.Kind.RUNS, enter(B, "k", 1).kind()); // its taker's own client waits, too
        assertEquals(
                Said.Kind.NOT_YOURS,
                say(B, new Line.Withdraw("k", taken.token())).kind()); // it may have run
        Outcome unknown = Outcome.unknown(Judgement.WINDOW);
        assertEquals(unknown, say(B, new Line.End("k", taken.token(), unknown)).outcome());
        assertEquals(
                unknown,
                say(A, new Line.End("k", token, new Outcome(200, "late"))).outcome());
    }

    @Test
    void theWindowCountsFromTheLastMove() {
        Said s = enter(A, "k", 1);
        long since = register.entry("k").since();
        say(A, new Line.Move("k", s.token(), "x"));
        assertEquals(since, register.entry("k").since());
        say(A, new Line.Move("k", s.token(), "y"));
        long moved = register.entry("k").since();
        assertTrue(moved > since);
        say(A, new Line.Move("k", s.token(), "y")); // its answer was lost
        assertEquals(moved, register.entry("k").since());
    }

    @Test
    void whatNeverRanLeavesNothing() {
        Said s = enter(A, "k", 1);
        assertEquals(Said.Kind.DONE, say(A, new Line.Withdraw("k", s.token())).kind());
        assertEquals(new Register.Image(java.util.List.of(), java.util.List.of()), register.image());
        assertEquals(
                Said.Kind.OWNED,
                say(B, new Line.Enter(order("k", "other", ""), "y", 9)).kind());
    }

    @Test
    void endsAreKeptUntilTheyAreForgotten() {
        for (int i = 0; i < 5; i++) {
            say(A, new Line.End("k" + i, enter(A, "k" + i, i).token(), new Outcome(200, "r" + i)));
        }
        long third = register.end("k2").at();
        say(A, new Line.Forget(third));
        assertNull(register.end("k2"));
        assertEquals("r3", register.end("k3").outcome().said());
        assertEquals(2, register.image().ended().size());
    }

    @Test
    void whatIsBeyondTheBoundsIsRefusedAndWhatIsOpenIsNeverDropped() {
        assertEquals(
                Said.Kind.MALFORMED,
                say(A, new Line.Enter(order("", "d", ""), "x", 1)).kind());
        assertEquals(
                Said.Kind.MALFORMED,
                say(A, new Line.Enter(order("k", "d", "x".repeat(Order.MESSAGE_MAX + 1)), "x", 1))
                        .kind());
        assertEquals(
                Said.Kind.MALFORMED, enter(A, "k".repeat(Order.NAME_MAX + 1), 1).kind());
        String large = "x".repeat(Order.MESSAGE_MAX);
        int taken = 0;
        while (say(A, new Line.Enter(order("k" + taken, "d", large), "x", taken))
                        .kind()
                == Said.Kind.OWNED) {
            taken++;
        }
        assertEquals(Register.CHARS_MAX / Order.MESSAGE_MAX, taken);
        assertEquals(
                Said.Kind.FULL,
                say(A, new Line.Enter(order("k" + taken, "d", large), "x", taken))
                        .kind());
        Entry e = register.entry("k0");
        assertEquals(
                "kept",
                say(A, new Line.End("k0", e.token(), new Outcome(200, "kept")))
                        .outcome()
                        .said()); // its message has left
        assertEquals(taken - 1, register.image().open().size());
    }

    /** Whatever is said, a register that begins from another's image goes on as that one. */
    @Test
    void anImageIsTheWholeOfIt() {
        Random random = new Random(11);
        for (int i = 0; i < 3000; i++) {
            String key = "k" + random.nextInt(30);
            long session = 1 + random.nextInt(3);
            Entry e = register.entry(key);
            long token = e == null ? 0 : e.token();
            switch (random.nextInt(6)) {
                case 0, 1 -> enter(session, key, random.nextInt(3));
                case 2 -> say(session, new Line.End(key, token, new Outcome(200, "r" + i)));
                case 3 -> register.ended(session);
                case 4 -> take(session, key);
                default ->
                    say(
                            session,
                            random.nextBoolean() ? new Line.Move(key, token, "g" + i) : new Line.Forget(index - 40));
            }
            if (i % 100 == 0) {
                Register other = Register.of(register.image());
                assertEquals(register.image(), other.image());
                assertEquals(
                        register.text().replaceAll("taken_over=\\d+ unknown=\\d+ ", ""),
                        other.text().replaceAll("taken_over=\\d+ unknown=\\d+ ", ""));
                for (int shard = 0; shard < Register.SHARDS; shard++) {
                    assertEquals(
                            register.orphans(shard, 99).size(),
                            other.orphans(shard, 99).size());
                }
            }
        }
    }

    /** A look proves that what it did not see came after it was asked for; nothing else is believed of time. */
    @Test
    void aLineIsAtMostAsOldAsTheLastLookThatDidNotSeeIt() {
        Ages ages = new Ages();
        assertEquals(Double.POSITIVE_INFINITY, ages.most(5, 1000));
        ages.saw(100, 3);
        ages.saw(200, 4);
        ages.saw(150, 9); // overtaken
        ages.saw(300, 4);
        ages.saw(400, 6);
        assertEquals(700, ages.most(5, 1000));
        assertEquals(600, ages.most(7, 1000));
        assertEquals(900, ages.most(4, 1000));
        assertEquals(Double.POSITIVE_INFINITY, ages.most(3, 1000));
        for (int i = 0; i < 2 * Ages.LOOKS_MAX; i++) {
            ages.saw(500 + i, 10 + i);
        }
        assertEquals(Double.POSITIVE_INFINITY, ages.most(5, 5000));
    }

    @Test
    void nothingIsSentAgainThatMightArriveAfterItsWindow() {
        long token = enter(A, "k", 1).token();
        register.ended(A);
        Entry e = take(B, "k").entry();
        assertTrue(e.token() > token);
        assertTrue(Judgement.of(e, 6000, 7500, 1400, 0).again());
        assertEquals(Judgement.WINDOW, Judgement.of(e, 6000, 7500, 1500, 0).why());
        assertEquals(Judgement.WINDOW, Judgement.of(e, 6000, 7500, 1400, 10_000).why()); // clocks 1% wrong
        assertEquals(
                Judgement.WINDOW,
                Judgement.of(e, Double.POSITIVE_INFINITY, 7500, 0, 0).why());
        Entry large = new Entry(order("k", "d", ""), "x", B, 1, 1, 1, 1);
        assertEquals(Judgement.NOT_KEPT, Judgement.of(large, 0, 7500, 0, 0).why());
        Entry often = new Entry(order("k", "d", "POST"), "x", B, 1, 1, Judgement.TAKEN_MAX + 1, 1);
        assertEquals(Judgement.TOO_OFTEN, Judgement.of(often, 0, 7500, 0, 0).why());
    }
}
