package marlford.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** One entry, one owner, one end; bounds; and what is asked again. */
class RequestRegisterTest {
    private static final long A = 1;
    private static final long B = 2;

    private final RequestRegister register = new RequestRegister();
    private long index;
    private long minted = 100;

    private static KeyedRequest order(String key, String digest, String message) {
        return new KeyedRequest(key, digest, "order", 1, message);
    }

    private RegisterResult say(long session, RegisterCommand line) {
        return register.apply(++index, session, line, (s, shard, token) -> s == B && token == 7, () -> ++minted);
    }

    private RegisterResult enter(long session, String key, long ask) {
        return say(session, new RegisterCommand.Enter(order(key, "d", "POST"), "x", ask));
    }

    private RegisterResult take(long session, String key) {
        return say(session, new RegisterCommand.Take(key, RequestRegister.shard(key), 7));
    }

    @Test
    void theSameAskIsAnsweredAsBeforeAndAnotherWaits() {
        RegisterResult first = enter(A, "k", 1);
        assertEquals(RegisterResult.Kind.OWNED, first.kind());
        assertEquals(first, enter(A, "k", 1));
        assertEquals(RegisterResult.Kind.RUNS, enter(A, "k", 2).kind());
        assertEquals(RegisterResult.Kind.RUNS, enter(B, "k", 1).kind());
        assertEquals(
                RegisterResult.Kind.DIFFERS,
                say(B, new RegisterCommand.Enter(order("k", "e", ""), "x", 3)).kind());
        Outcome done = new Outcome(200, "ok");
        assertEquals(
                done, say(A, new RegisterCommand.End("k", first.token(), done)).outcome());
        assertEquals(
                done, say(A, new RegisterCommand.End("k", first.token(), done)).outcome());
        assertEquals(done, enter(B, "k", 4).outcome());
        assertEquals(
                RegisterResult.Kind.DIFFERS,
                say(B, new RegisterCommand.Enter(order("k", "e", ""), "x", 5)).kind());
        assertNull(register.entry("k"));
    }

    @Test
    void whatWasOrphanedIsTakenOnceAndItsFormerOwnerChangesNothing() {
        long token = enter(A, "k", 1).token();
        assertEquals(RegisterResult.Kind.RUNS, take(B, "k").kind()); // its owner lives
        register.ended(A);
        assertEquals(1, register.orphans(RequestRegister.shard("k"), 9).size());
        assertEquals(RegisterResult.Kind.NOT_YOURS, take(3, "k").kind()); // has no shard
        RegisterResult taken = take(B, "k");
        assertTrue(taken.token() > token);
        assertEquals(1, taken.entry().taken());
        assertEquals(taken, take(B, "k"));
        assertEquals(0, register.orphans(RequestRegister.shard("k"), 9).size());
        assertEquals(
                RegisterResult.Kind.NOT_YOURS,
                say(A, new RegisterCommand.End("k", token, new Outcome(200, "late")))
                        .kind());
        assertEquals(
                RegisterResult.Kind.NOT_YOURS,
                say(A, new RegisterCommand.Move("k", token, "y")).kind());
        assertEquals(RegisterResult.Kind.RUNS, enter(B, "k", 1).kind()); // its taker's own client waits, too
        assertEquals(
                RegisterResult.Kind.NOT_YOURS,
                say(B, new RegisterCommand.Withdraw("k", taken.token())).kind()); // it may have run
        Outcome unknown = Outcome.unknown(ResendDecision.WINDOW);
        assertEquals(
                unknown,
                say(B, new RegisterCommand.End("k", taken.token(), unknown)).outcome());
        assertEquals(
                unknown,
                say(A, new RegisterCommand.End("k", token, new Outcome(200, "late")))
                        .outcome());
    }

    @Test
    void theWindowCountsFromTheLastMove() {
        RegisterResult s = enter(A, "k", 1);
        long since = register.entry("k").since();
        say(A, new RegisterCommand.Move("k", s.token(), "x"));
        assertEquals(since, register.entry("k").since());
        say(A, new RegisterCommand.Move("k", s.token(), "y"));
        long moved = register.entry("k").since();
        assertTrue(moved > since);
        say(A, new RegisterCommand.Move("k", s.token(), "y")); // its answer was lost
        assertEquals(moved, register.entry("k").since());
    }

    @Test
    void whatNeverRanLeavesNothing() {
        RegisterResult s = enter(A, "k", 1);
        assertEquals(
                RegisterResult.Kind.DONE,
                say(A, new RegisterCommand.Withdraw("k", s.token())).kind());
        assertEquals(new RequestRegister.Snapshot(java.util.List.of(), java.util.List.of()), register.snapshot());
        assertEquals(
                RegisterResult.Kind.OWNED,
                say(B, new RegisterCommand.Enter(order("k", "other", ""), "y", 9))
                        .kind());
    }

    @Test
    void endsAreKeptUntilTheyAreForgotten() {
        for (int i = 0; i < 5; i++) {
            say(A, new RegisterCommand.End("k" + i, enter(A, "k" + i, i).token(), new Outcome(200, "r" + i)));
        }
        long third = register.end("k2").at();
        say(A, new RegisterCommand.Forget(third));
        assertNull(register.end("k2"));
        assertEquals("r3", register.end("k3").outcome().said());
        assertEquals(2, register.snapshot().ended().size());
    }

    @Test
    void whatIsBeyondTheBoundsIsRefusedAndWhatIsOpenIsNeverDropped() {
        assertEquals(
                RegisterResult.Kind.MALFORMED,
                say(A, new RegisterCommand.Enter(order("", "d", ""), "x", 1)).kind());
        assertEquals(
                RegisterResult.Kind.MALFORMED,
                say(A, new RegisterCommand.Enter(order("k", "d", "x".repeat(KeyedRequest.MESSAGE_MAX + 1)), "x", 1))
                        .kind());
        assertEquals(
                RegisterResult.Kind.MALFORMED,
                enter(A, "k".repeat(KeyedRequest.NAME_MAX + 1), 1).kind());
        String large = "x".repeat(KeyedRequest.MESSAGE_MAX);
        int taken = 0;
        while (say(A, new RegisterCommand.Enter(order("k" + taken, "d", large), "x", taken))
                        .kind()
                == RegisterResult.Kind.OWNED) {
            taken++;
        }
        assertEquals(RequestRegister.CHARS_MAX / KeyedRequest.MESSAGE_MAX, taken);
        assertEquals(
                RegisterResult.Kind.FULL,
                say(A, new RegisterCommand.Enter(order("k" + taken, "d", large), "x", taken))
                        .kind());
        RegisterEntry e = register.entry("k0");
        assertEquals(
                "kept",
                say(A, new RegisterCommand.End("k0", e.token(), new Outcome(200, "kept")))
                        .outcome()
                        .said()); // its message has left
        assertEquals(taken - 1, register.snapshot().open().size());
    }

    /** Whatever is said, a register that begins from another's image goes on as that one. */
    @Test
    void anImageIsTheWholeOfIt() {
        Random random = new Random(11);
        for (int i = 0; i < 3000; i++) {
            String key = "k" + random.nextInt(30);
            long session = 1 + random.nextInt(3);
            RegisterEntry e = register.entry(key);
            long token = e == null ? 0 : e.token();
            switch (random.nextInt(6)) {
                case 0, 1 -> enter(session, key, random.nextInt(3));
                case 2 -> say(session, new RegisterCommand.End(key, token, new Outcome(200, "r" + i)));
                case 3 -> register.ended(session);
                case 4 -> take(session, key);
                default ->
                    say(
                            session,
                            random.nextBoolean()
                                    ? new RegisterCommand.Move(key, token, "g" + i)
                                    : new RegisterCommand.Forget(index - 40));
            }
            if (i % 100 == 0) {
                RequestRegister other = RequestRegister.of(register.snapshot());
                assertEquals(register.snapshot(), other.snapshot());
                assertEquals(
                        register.text().replaceAll("taken_over=\\d+ unknown=\\d+ ", ""),
                        other.text().replaceAll("taken_over=\\d+ unknown=\\d+ ", ""));
                for (int shard = 0; shard < RequestRegister.SHARDS; shard++) {
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
        StalenessBound ages = new StalenessBound();
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
        for (int i = 0; i < 2 * StalenessBound.LOOKS_MAX; i++) {
            ages.saw(500 + i, 10 + i);
        }
        assertEquals(Double.POSITIVE_INFINITY, ages.most(5, 5000));
    }

    @Test
    void nothingIsSentAgainThatMightArriveAfterItsWindow() {
        long token = enter(A, "k", 1).token();
        register.ended(A);
        RegisterEntry e = take(B, "k").entry();
        assertTrue(e.token() > token);
        assertTrue(ResendDecision.of(e, 6000, 7500, 1400, 0).again());
        assertEquals(
                ResendDecision.WINDOW, ResendDecision.of(e, 6000, 7500, 1500, 0).why());
        assertEquals(
                ResendDecision.WINDOW,
                ResendDecision.of(e, 6000, 7500, 1400, 10_000).why()); // clocks 1% wrong
        assertEquals(
                ResendDecision.WINDOW,
                ResendDecision.of(e, Double.POSITIVE_INFINITY, 7500, 0, 0).why());
        RegisterEntry large = new RegisterEntry(order("k", "d", ""), "x", B, 1, 1, 1, 1);
        assertEquals(
                ResendDecision.NOT_KEPT, ResendDecision.of(large, 0, 7500, 0, 0).why());
        RegisterEntry often = new RegisterEntry(order("k", "d", "POST"), "x", B, 1, 1, ResendDecision.TAKEN_MAX + 1, 1);
        assertEquals(
                ResendDecision.TOO_OFTEN,
                ResendDecision.of(often, 0, 7500, 0, 0).why());
    }
}
