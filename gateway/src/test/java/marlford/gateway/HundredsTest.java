package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import marlford.gateway.quota.QuotaMessage;
import org.junit.jupiter.api.Test;

/** One gateway of a hundred: what the module does with what the keepers of books say, or do not say. */
class HundredsTest {
    private static final int GATEWAYS = 100;
    private static final int ANSWER_MS = 50;

    private final FakeGateway g = new FakeGateway(1000, FakeGateway.settings(0, GATEWAYS)).withHosts("a1", "a2");

    private void ask(String id, String plan, long customer) {
        g.ask(id, "read", plan, customer, 2, GATEWAYS);
    }

    private Stream<QuotaMessage.Item> said() {
        return g.told.stream().flatMap(t -> QuotaMessage.read(t.data()).items().stream());
    }

    private QuotaMessage.Ask asked(int which) {
        return said().filter(i -> i instanceof QuotaMessage.Ask).map(i -> (QuotaMessage.Ask) i).toList().get(which);
    }

    /** The keeper of that gateway's latest message, a question, answers it. */
    private static QuotaMessage.Ask answer(FakeGateway asker, QuotaMessage.Verdict verdict, int count) {
        FakeGateway.Told last = asker.told.get(asker.told.size() - 1);
        QuotaMessage message = QuotaMessage.read(last.data());
        QuotaMessage.Ask ask = assertInstanceOf(QuotaMessage.Ask.class, message.items().get(0));
        QuotaMessage.Answer answer = new QuotaMessage.Answer(ask.serial(), verdict, 0.2, 3, false);
        asker.engine.onPeerMessage(asker.now, last.peer(),
                new QuotaMessage(500, message.life() & 0xffff, count, List.of(answer)).bytes());
        return ask;
    }

    @Test
    void oneQuestionAndItsAnswerLetARequestIn() {
        ask("r", "small", 7);
        assertEquals(1, g.told.size());
        assertEquals(List.of(), g.sent);
        answer(g, QuotaMessage.Verdict.GRANTED, 1);
        assertEquals(1, g.sends("r"));
        assertEquals(1, g.told.size(), "nothing is told of a use that the keeper has booked");
    }

    @Test
    void whatTheKeeperHasNotIsRefusedAtOnceAndIsNotAskedForAgain() {
        ask("r", "small", 7);
        answer(g, QuotaMessage.Verdict.STORE, 1);
        assertEquals(List.of("r"), g.refused);
        int told = g.told.size();
        g.ask("s", "read", "small", 7, 4, GATEWAYS);
        assertEquals(List.of("r", "s"), g.refused);
        assertEquals(told, g.told.size());
    }

    /** Once a question that waited for its turn to leave counted as missed, and its keeper as silent. */
    @Test
    void aMissIsAskedAgainThenOthersAndThenTheGuessDecides() {
        ask("r", "small", 7);
        g.pass(ANSWER_MS + 20);
        assertEquals(asked(0), asked(1), "the same question, of the same serial");
        g.pass(12 * ANSWER_MS);
        assertEquals(1, g.sends("r"), "nobody answers: the store was last known to be full");
        assertEquals(0, g.answers("r"));
        g.end("r", 0, EngineApi.Outcome.OK, 20);
        g.pass(1000);
        assertTrue(said().anyMatch(i -> i instanceof QuotaMessage.Presence), "who was silent is asked for a sign of life");
    }

    /** Units of a ceiling are good for 400 ms: where no host is to be had by then it is refused, the quota's go back. */
    @Test
    void unitsOfACeilingThatCannotBeUsedInTimeGoBack() {
        FakeGateway bare = new FakeGateway(1000, FakeGateway.settings(0, GATEWAYS));
        bare.ask("r", "read", "capped", 7, 2, GATEWAYS);
        QuotaMessage.Ask ask = answer(bare, QuotaMessage.Verdict.GRANTED, 1);
        bare.pass(300);
        assertEquals(0, bare.answers("r"));
        bare.pass(140);
        assertEquals(List.of("r"), bare.refused);
        assertTrue(bare.told.stream().anyMatch(
                t -> QuotaMessage.read(t.data()).items().contains(new QuotaMessage.Back(ask.serial()))));
    }

    @Test
    void whoLeavesPassesItsBooksOn() {
        for (long customer = 1; customer <= 300; customer++) {
            ask("r" + customer, "small", customer); // of some of them this gateway keeps the book
        }
        g.told.clear();
        g.engine.onShutdown(g.now);
        long books = said().filter(i -> i instanceof QuotaMessage.Sync).count();
        assertTrue(books >= 1, books + " books");
        long words = said().filter(i -> i.equals(new QuotaMessage.Presence(QuotaMessage.State.LEAVES))).count();
        assertEquals(6, words, "to those that may stand in for it");
    }

    /** After a stall of its own the loop may turn to what is held before it has seen that its units are no longer good. */
    @Test
    void aStallDoesNotOutliveTheUnitsOfACeiling() {
        FakeGateway bare = new FakeGateway(1000, FakeGateway.settings(0, GATEWAYS));
        bare.ask("r", "read", "capped", 7, 2, GATEWAYS);
        answer(bare, QuotaMessage.Verdict.GRANTED, 1);
        bare.now += 700; // no beat came
        bare.withHosts("a1"); // the list is what it reads first, and sends what is held
        assertEquals(List.of(), bare.sent);
        bare.pass(40);
        assertEquals(List.of("r"), bare.refused);
    }

    /** The client has gone before the answer: what was granted goes back, and nothing is sent on. */
    @Test
    void aClientThatLeftCostsNothing() {
        ask("r", "small", 7);
        g.engine.onClientLeft(g.now, "r");
        answer(g, QuotaMessage.Verdict.GRANTED, 1);
        assertEquals(List.of(), g.sent);
        assertTrue(said().anyMatch(i -> i instanceof QuotaMessage.Back));
    }

    /**
     * Half of the hosts are cold, at less than half of their capacity. Once what a gateway compared counted their cold twice, in
     * how seldom they took part and again in their score, and they stood idle while the warm ones were crowded.
     */
    @Test
    void coldHostsHaveTheirPartAndNoMore() {
        double ramp = 0.2 + 0.8 * 0.3; // three of ten seconds after the start
        int cold = 0;
        int warm = 0;
        for (int me = 0; me < GATEWAYS; me++) {
            FakeGateway one = new FakeGateway(17_000, FakeGateway.settings(me, GATEWAYS, me)); // it sees the start
            one.engine.onHosts(one.now, EngineApi.ListKind.FULL, IntStream.range(0, 60).mapToObj(i -> new EngineApi.Host("a" + i, "a",
                    "std", 0, EngineApi.HostState.RUNNING, 1, i % 2 == 0 ? 17_000 : 0)).toList());
            one.pass(3000);
            for (int i = 0; i < 10; i++) {
                one.ask("r" + i, "read");
                one.ask("s" + i, "read");
                one.pass(150);
                one.end("r" + i, 0, EngineApi.Outcome.OK, 150);
                one.end("s" + i, 0, EngineApi.Outcome.OK, 150);
            }
            cold += (int) one.sent.stream().filter(s -> Integer.parseInt(s.host().substring(1)) % 2 == 0).count();
            warm += one.sent.size();
        }
        warm -= cold;
        double part = (double) cold / warm;
        System.out.println("[hosts] cold to warm " + part + " at a ramp of " + ramp);
        assertTrue(part >= 0.5 * ramp, "they stand idle: " + part);
        assertTrue(part <= 2 * ramp, "they may be pushed over: " + part);
    }
}
